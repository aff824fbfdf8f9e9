//! Selection of an endpoint for a request.

mod affinity;
mod endpoint;
mod latency;
mod policy;
#[cfg(test)]
mod tests;

pub use endpoint::Endpoint;
pub use policy::{Candidate, Chooser, Criteria, Policy};
