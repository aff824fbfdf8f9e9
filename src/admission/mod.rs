//! Queues of requests that wait for a place at an endpoint.
//!
//! A request is admitted only when its turn is likely to come in time; a refusal is given at once
//! and says when to come back. Within a class, customers share by weight.

mod fair;
mod queue;
mod rate;
mod shares;
#[cfg(test)]
mod tests;

pub use fair::{FairQueue, Ticket};
pub use queue::{Admission, Offer};
pub use rate::Rate;
pub use shares::Shares;
