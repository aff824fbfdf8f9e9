//! Targets that operators set, and the generation in force.

mod targets;

pub use targets::{Class, Customer, Model, Service, Targets};
