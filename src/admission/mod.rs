//! Admission control and fair queueing of requests that wait for a slot at an endpoint.
//!
//! A request is admitted only when it is likely to start in time; otherwise it is refused at once
//! with a Retry-After. Within a class, customers share by weight.

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
