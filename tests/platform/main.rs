//! The real binary as processes on a stand-in of the operators' platform.

#![allow(clippy::unwrap_used)]

mod faults;
mod life;
mod metrics;
mod site;
mod weights;
