//! Choice of an endpoint for a request, and the budget for retries.

mod affinity;
mod endpoint;
mod latency;
mod policy;
mod retry;
#[cfg(test)]
mod tests;

pub use endpoint::Endpoint;
pub use policy::{Choice, Chooser, Policy, Want};
pub use retry::RetryBudget;
