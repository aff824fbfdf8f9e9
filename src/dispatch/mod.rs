//! Request dispatch: admission, endpoint selection and retries.
//!
//! [`Dispatcher`] is sans-IO: it is given the time, requests, load reports and attempt outcomes,
//! and returns decisions. The driver that owns the sockets is [`crate::relay`].

mod configuration;
mod crash_watch;
mod dispatcher;
mod endpoint;
mod estimate;
mod exclusion;
mod fleet;
mod leaving;
mod limit;
mod notice;
mod pacing;
mod patterns;
mod request;
mod rest;
mod shared_places;
mod statement;
mod subset;
#[cfg(test)]
pub(crate) mod tests;
mod waiting;
mod work_times;

pub use configuration::{CallerLimits, Configuration, Customer, Repeat, Route, Target};
pub use crash_watch::{EndpointProcess, EndpointSight};
pub use dispatcher::{
    Candidate, Decision, DecisionInputs, DispatchConfig, Dispatcher, EndpointView, ExplainQuery,
    Explanation, NextStep, Outcome, Snapshot,
};
pub use endpoint::{Endpoint, EndpointLoad, ListedEndpoint};
pub use estimate::EngineModel;
pub use exclusion::Exclusion;
pub use fleet::{Fleet, VersionUpdate};
pub use notice::{BlameSource, CrashSign, Notice};
pub use pacing::{Pass, PassPacing};
pub use patterns::{ColdRateLimiter, Health, Mitigations, Occupancy};
pub use request::{Assignment, AttemptOutcome, CallerRequest, Departure, Recall, TicketId};
pub use statement::{LimitStatement, RestStatement, Statement, StatementSource};
