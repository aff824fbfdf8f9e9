//! Assigns model versions and power grants to endpoints.
//!
//! Any entry may propose the next [`Placement`]. It is written to the object API by conditional
//! update, so that one of several concurrent proposals wins. The version of the stored object is
//! the fencing number of every order that follows from it. [`plan()`] computes a placement,
//! [`Proposer`] decides when it is written, and the agents apply it to their endpoints.

mod document;
mod plan;
mod proposer;

#[cfg(test)]
mod tests;

pub use document::{Assignment, Placement};
pub use plan::{EndpointSnapshot, PlanInputs, merge, plan};
pub use proposer::{Proposal, Proposer, ProposerConfig};
