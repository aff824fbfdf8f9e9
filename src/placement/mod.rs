//! Which endpoint holds which version, and the orders that bring it there.
//!
//! Any entry may propose the next [`Placement`]. It is written by conditional update, so that one
//! proposal wins, and the version of the object is the fencing number of every order that follows
//! from it. [`plan`] computes a placement and [`Proposer`] decides when one is written; the agent's
//! gates carry it out.

mod document;
mod plan;
mod proposer;

#[cfg(test)]
mod tests;

pub use document::{Assignment, Placement};
pub use plan::{EndpointSnapshot, PlanInputs, merge, plan};
pub use proposer::{Proposal, Proposer, ProposerConfig};
