//! Runs the real binary as processes against a fake of the operators' platform.

#![allow(clippy::unwrap_used)]

mod answers;
mod connections;
mod crashes;
mod cuts;
mod faults;
mod late_configurations;
mod lifecycle;
mod limits;
mod many_objects;
mod metrics;
mod odd_entries;
mod recall;
mod rest;
mod silence;
mod site;
mod store_era;
mod weights;
