//! A request on its way through an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::delivery::Attempts;
use crate::types::{CustomerId, EndpointId, TargetId};

use super::configuration::{Customer, Route};

/// Number of a request within this process.
pub type TicketId = u64;

/// A caller's request as it came in, without its body.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Name that the caller gave this attempt.
    pub name: Arc<str>,
    /// Host name that it is for.
    pub host: Arc<str>,
    /// Path without the query.
    pub path: Arc<str>,
    /// Key of the customer.
    pub key: Option<Arc<str>>,
    /// Time that the caller waits for the whole answer.
    pub timeout: Option<Duration>,
    /// Model that it is for.
    pub model: Option<Arc<str>>,
    /// Tokens of the prompt; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Estimate of the answer's tokens, when the caller gives one.
    pub answer_tokens: Option<u32>,
    /// Digest of path, customer and body; the same for every copy of the request.
    pub fingerprint: u64,
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The whole answer arrived.
    Answered,
    /// The whole answer arrived and says that the endpoint failed; the request counts as run.
    Failed,
    /// The endpoint says that it has not run the request.
    NotRun {
        /// True when it had no room.
        is_full: bool,
    },
    /// No connection was made, so that no byte was sent.
    NotSent,
    /// The connection broke, or the answer was not the endpoint's whole answer.
    Broken,
    /// Nothing came for so long that the endpoint is given up.
    Silent,
    /// The caller went away.
    CallerGone,
    /// The time for the answer ran out.
    TimedOut,
}

/// Permission to send a request to an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub addr: SocketAddr,
    /// Customer that the request is accounted to.
    pub customer: Option<CustomerId>,
    /// Number of this attempt, from 1.
    pub attempt: u32,
    /// Time at which the endpoint was chosen.
    pub assigned_at: Instant,
    /// Predicted time to the start of the answer.
    pub predicted: Duration,
    /// Time for which the caller had been asking, from its first attempt that this entry refused.
    pub since_first_attempt: Duration,
    /// Requests believed to be at the endpoint.
    pub in_system: u32,
    /// Age of the endpoint's last load report.
    pub load_age: Option<Duration>,
}

/// State of a request.
///
/// Invariant: at most one attempt runs at a time.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub route: Arc<Route>,
    pub target: TargetId,
    pub customer: Option<Arc<Customer>>,
    pub model: Option<Arc<str>>,
    pub prompt: u32,
    pub answer: Option<u32>,
    pub fingerprint: u64,
    /// Latest time for the whole answer.
    pub deadline: Instant,
    /// Time at which the caller sent its first attempt, as far as this entry refused it.
    pub asked: Instant,
    /// True when the caller was refused before and has come back.
    pub returned: bool,
    /// Time until which it may wait for a place.
    pub hold_until: Instant,
    /// Endpoints that it was sent to.
    pub tried: Vec<EndpointId>,
    /// Attempts that reached an endpoint.
    pub attempts: Attempts,
    /// Version that a continued answer must keep.
    pub version: Option<u64>,
    pub running: Option<Running>,
    /// True while it waits for a place.
    pub waiting: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Running {
    pub endpoint: EndpointId,
    pub since: Instant,
    pub predicted: Duration,
    pub started: bool,
}
