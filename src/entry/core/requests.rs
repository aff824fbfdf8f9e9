//! State of a request and of its current attempt.

use std::time::{Duration, Instant};

use crate::admission::Ticket;
use crate::delivery::Attempts;
use crate::types::{
    AttemptId, CustomerId, Digest, EndpointId, HostId, InstanceId, RequestMeta, TargetId,
};

/// A request whose final answer has not been sent.
#[derive(Debug)]
pub struct Request {
    pub meta: RequestMeta,
    /// Weight of the customer in fair sharing.
    pub weight: u32,
    pub arrived_at: Instant,
    /// Time-to-first-token target of the class.
    pub first_token_target: Duration,
    /// Time from the arrival within which the answer must start.
    pub start_budget: Duration,
    /// Time without data after which a stream is continued at another endpoint; `None` for
    /// deferrable classes, whose work may be paused.
    pub stall_timeout: Option<Duration>,
    /// Queue entry, also needed to requeue the request.
    pub ticket: Ticket,
    pub phase: Phase,
    pub attempts: Attempts,
    /// Endpoint of the previous attempt, to be avoided by the next.
    pub avoid_endpoint: Option<EndpointId>,
    /// True when the caller of a keyed request has closed its connection.
    pub caller_gone: bool,
    /// Instances of endpoints that failed while they ran the request.
    pub failed_instances: Vec<InstanceId>,
    /// Where an interrupted answer has to continue.
    pub resume_point: Option<ResumePoint>,
}

/// Point at which an interrupted answer continues.
#[derive(Clone, Debug)]
pub struct ResumePoint {
    /// Version that produced the answer so far.
    pub version: Digest,
    /// Number of tokens that the caller has received.
    pub delivered_tokens: u64,
}

/// Processing state of a request.
#[derive(Debug)]
pub enum Phase {
    /// Queued for a slot at an endpoint.
    Waiting,
    /// Has a slot; its idempotency key is being claimed.
    Claiming(Attempt),
    /// An attempt has been sent.
    Running(Attempt),
}

/// The current attempt of a request.
#[derive(Debug)]
pub struct Attempt {
    pub id: AttemptId,
    pub endpoint: EndpointId,
    pub host: HostId,
    pub agent_instance: InstanceId,
    /// Target and customer that the slot is accounted to.
    pub target: TargetId,
    pub customer: CustomerId,
    /// Model version that must answer; `None` for a plain service.
    pub version: Option<Digest>,
    pub sent_at: Instant,
    /// True when the first token or byte of the answer has arrived.
    pub answer_started: bool,
}

impl Request {
    /// Removes and returns the running attempt if it has this id, and sets the phase to waiting.
    pub fn take_running_attempt(&mut self, id: &str) -> Option<Attempt> {
        match std::mem::replace(&mut self.phase, Phase::Waiting) {
            Phase::Running(attempt) if &*attempt.id == id => Some(attempt),
            other => {
                self.phase = other;
                None
            }
        }
    }
}
