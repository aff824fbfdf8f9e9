//! Decision logic of a request: may it run, where, when, and what follows when an attempt ends.
//!
//! [`Dispatcher`] is sans-IO: time, requests, reports and ends of attempts go in, placements come
//! out. The shell that owns the sockets is [`crate::relay`].

mod configuration;
mod dispatcher;
mod endpoint;
mod estimate;
mod fleet;
mod patterns;
#[cfg(test)]
mod tests;
mod work;

pub use configuration::{CallerLimits, Configuration, Customer, Repeat, Route, Target};
pub use dispatcher::{
    Decision, DecisionInputs, DispatchConfig, Dispatcher, EndpointView, NextStep, Snapshot,
};
pub use endpoint::{Endpoint, EndpointLoad, ListedEndpoint};
pub use estimate::EngineModel;
pub use fleet::Fleet;
pub use patterns::{ColdBound, Health, Mitigations, Occupancy};
pub use work::{Assignment, AttemptOutcome, CallerRequest, TicketId};
