//! Targets that operators declare, their generations, and which generation is in force.

mod contact;
mod declaration;
mod diff;
mod state;
mod targets;
#[cfg(test)]
mod tests;
mod write;

pub use declaration::{Body, Declaration};
pub use diff::{Difference, differences};
pub use state::{ConfigParams, ConfigState, Freshness, Observation, VersionedTargets};
pub use targets::{Class, Customer, Model, Service, Targets};
pub use write::{Write, WriteCall, WriteOutcome};
