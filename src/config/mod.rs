//! Targets that operators set, and the generation in force.

mod contact;
mod state;
mod targets;
#[cfg(test)]
mod tests;

pub use state::{ConfigParams, ConfigState, InForce, Observation, Standing};
pub use targets::{Class, Customer, Model, Service, Targets};
