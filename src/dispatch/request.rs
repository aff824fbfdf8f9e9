//! Requests and their attempts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::delivery::{Attempts, Suspect};
use crate::types::{CustomerId, EndpointId, PromptPart, TargetId, ZoneId};

use super::configuration::{Customer, Route, Target};
use super::crash_watch::EndpointProcess;
use super::patterns::Rank;
use super::waiting::Place;

/// Identifies a request within this process.
pub type TicketId = u64;

/// Head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Request id set by the caller; each of its tries has its own.
    pub request_id: Arc<str>,
    /// Requested host name in lower case, without the port.
    pub host: Arc<str>,
    /// Path without the query string.
    pub path: Arc<str>,
    /// API key.
    pub key: Option<Arc<str>>,
    /// Time that the caller waits for the whole answer, if it sets one.
    pub timeout: Option<Duration>,
    /// Requested model.
    pub model: Option<Arc<str>>,
    /// Prompt length in tokens; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Caller's estimate of the answer length in tokens.
    pub answer_tokens: Option<u32>,
    /// Prompt segments that other requests may share, in their order, without the request's own.
    pub prompt_parts: Arc<[PromptPart]>,
    /// Digest of path, customer and body; equal for retries of the same request.
    pub fingerprint: u64,
}

impl CallerRequest {
    /// What may be at fault when an endpoint crashes that runs the request.
    pub(super) fn suspects(&self) -> Arc<[Suspect]> {
        let parts = self.prompt_parts.iter().copied().map(Suspect::Part);
        parts.chain([Suspect::Request(self.fingerprint)]).collect()
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The whole answer arrived and reports success.
    Answered,
    /// The whole answer arrived and reports a fault of the request.
    Rejected,
    /// The whole answer arrived and reports a failure of the endpoint; the request counts as run.
    Failed,
    /// The endpoint reports that it has not run the request.
    NotRun {
        /// True when the endpoint had no free slot.
        is_full: bool,
    },
    /// The connection could not be established, so nothing was sent.
    NotSent,
    /// The endpoint was no longer allowed once the connection stood, so nothing was sent.
    Withdrawn,
    /// The connection broke, or the answer was incomplete or not the endpoint's own.
    Broken,
    /// The endpoint sent nothing for so long that the attempt was abandoned.
    Silent,
    /// Another attempt of the same request went on first.
    Superseded,
    /// It was taken back before its first event, since the version of its engine ends.
    Recalled,
    /// The caller disconnected.
    CallerGone,
    /// The deadline for the whole answer passed.
    TimedOut,
}

/// State of a request whose caller left before it ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Departure {
    /// Number of attempts sent.
    pub attempts: u32,
    /// Endpoints of its running and its silent attempt, with the time since each was assigned.
    pub open: Vec<(EndpointId, Duration)>,
}

/// Endpoint chosen for one attempt of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub addr: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: ZoneId,
    /// Customer that the request is accounted to.
    pub customer: Option<CustomerId>,
    /// Number of this attempt, counted from 1.
    pub attempt: u32,
    /// Time of the decision.
    pub assigned_at: Instant,
    /// Predicted time to the start of the answer.
    pub predicted: Duration,
    /// Time since the caller's first attempt, counting earlier ones that this entry refused.
    pub since_first_attempt: Duration,
    /// Estimated number of requests at the endpoint before this one.
    pub in_system: u32,
    /// Age of the endpoint's last load report; `None` when there is no recent one.
    pub load_age: Option<Duration>,
    /// Weight version that the endpoint is believed to serve; `None` for a plain service.
    pub version: Option<u64>,
    /// Priority with which the engine should admit it, 0 first; `None` while its target has no ranks.
    pub priority: Option<u8>,
}

/// An attempt that was taken back because its engine's version ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Recall {
    /// Engine that has not begun it.
    pub endpoint: EndpointId,
    /// Version that the engine is believed to serve.
    pub version: Option<u64>,
    /// Time for which the attempt has waited.
    pub waited: Duration,
    /// Time from its sending until it had to begin; zero when that was already past.
    pub allowed: Duration,
    /// Time from its assignment until its connection stood; zero when it does not stand yet.
    pub way: Duration,
}

/// State of an admitted request.
///
/// Invariants: at most two attempts run at a time, `running` and `silent`, at different endpoints; a
/// request with a silent attempt is repeatable and either waits for an endpoint or has a running
/// attempt; a waiting request has no running attempt.
#[derive(Clone, Debug)]
pub(super) struct RequestState {
    pub route: Arc<Route>,
    pub target: TargetId,
    /// Declaration of the target when the request was admitted; applies where newer configurations
    /// no longer declare the target.
    pub admitted_target: Arc<Target>,
    pub customer: Option<Arc<Customer>>,
    pub model: Option<Arc<str>>,
    pub prompt_tokens: u32,
    pub answer_tokens: Option<u32>,
    /// The request itself and the prompt parts that it shares with others.
    pub suspects: Arc<[Suspect]>,
    pub fingerprint: u64,
    /// Deadline for the whole answer.
    pub deadline: Instant,
    /// Time of the caller's first attempt; earlier than this request when this entry refused that
    /// attempt.
    pub first_attempt_at: Instant,
    /// True when this is a retry of a request that this entry refused.
    pub is_returning: bool,
    /// Time until which it may wait for an endpoint.
    pub queue_deadline: Instant,
    /// Its rank among the requests for the target when it was admitted; `None` when they had one priority.
    pub rank: Option<Rank>,
    /// Endpoints that it was sent to; they are not chosen again.
    pub tried: Vec<EndpointId>,
    /// Attempts sent, and whether one may have run.
    pub attempts: Attempts,
    /// Weight version of the answer's first part; a resumed stream must use the same one.
    pub version: Option<u64>,
    pub running: Option<RunningAttempt>,
    /// Attempt that has been silent for so long that another one is sent beside it.
    pub silent: Option<RunningAttempt>,
    /// Time by which the first of its attempts must have begun; `None` without one.
    pub start_bound: Option<Instant>,
    /// True while it is in the dispatcher's queue.
    pub is_waiting: bool,
}

impl RequestState {
    /// Time until which it may wait.
    pub fn latest_decision(&self) -> Instant {
        self.queue_deadline.min(self.deadline)
    }

    /// Places that it may have among the waiting requests; one that waits again after a failed attempt
    /// does not count as returning.
    pub fn possible_places(&self, ticket: TicketId) -> [Place; 2] {
        [self.is_returning, false]
            .map(|is_returning| (self.rank, is_returning, self.first_attempt_at, ticket))
    }

    /// Its attempts in progress.
    pub fn open_attempts(&self) -> impl Iterator<Item = &RunningAttempt> {
        self.running.iter().chain(&self.silent)
    }

    pub fn open_attempts_mut(&mut self) -> impl Iterator<Item = &mut RunningAttempt> {
        self.running.iter_mut().chain(&mut self.silent)
    }
}

/// Attempt in progress.
#[derive(Clone, Debug)]
pub(super) struct RunningAttempt {
    pub endpoint: EndpointId,
    /// Process of the endpoint that it was sent to.
    pub process: EndpointProcess,
    pub since: Instant,
    /// Predicted time to the start of the answer.
    pub predicted: Duration,
    /// True when its answer is a stream, whose first event shows that it has begun.
    pub is_stream: bool,
    /// True once the first event has arrived.
    pub started: bool,
    /// True once it has counted as silent; its times then tell nothing of the endpoint's speed.
    pub was_silent: bool,
    /// Model that serves it; `None` for a plain service.
    pub model: Option<Arc<str>>,
    /// Version that the endpoint is believed to begin it on; `None` for a plain service.
    pub version: Option<u64>,
    /// Time from its assignment until its connection stood; zero until then. A close takes about as long.
    pub way: Duration,
    /// Time by which it must have begun; `None` without one.
    pub start_bound: Option<Instant>,
    /// How it was taken back; `None` while it goes on.
    pub recall: Option<Recall>,
}

impl RunningAttempt {
    /// True while it may wait at the endpoint without having begun.
    pub fn may_be_queued(&self) -> bool {
        !self.started && self.recall.is_none()
    }
}
