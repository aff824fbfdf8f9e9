//! Life cycle of a request at the entry.

use std::time::{Duration, Instant};

use crate::admission::Ticket;
use crate::delivery::Attempts;
use crate::types::{
    AttemptId, CustomerId, Digest, EndpointId, HostId, InstanceId, RequestMeta, TargetId,
};

/// A request that has not got its final answer.
#[derive(Debug)]
pub struct Request {
    pub meta: RequestMeta,
    /// Weight of the customer's share.
    pub weight: u32,
    pub arrived_at: Instant,
    /// Class's target for the time to the first token.
    pub first_token: Duration,
    /// Time from the arrival within which the answer has to start.
    pub patience: Duration,
    /// Silence of a stream after which it goes on elsewhere; `None` where work may be paused.
    pub silence: Option<Duration>,
    /// Place in the queue.
    pub ticket: Ticket,
    pub phase: Phase,
    pub attempts: Attempts,
    /// Endpoint of the attempt that failed last.
    pub avoid: Option<EndpointId>,
    /// True when nobody reads the answer any more.
    pub caller_gone: bool,
    /// Instances of endpoints that broke off while they ran the request.
    pub broke_at: Vec<InstanceId>,
    /// Where a broken answer has to go on.
    pub resume: Option<Resume>,
}

/// Point at which a broken answer goes on.
#[derive(Clone, Debug)]
pub struct Resume {
    /// Version that gave the answer so far.
    pub version: Digest,
    /// Tokens that the caller has.
    pub from: u64,
}

/// Where a request stands.
#[derive(Debug)]
pub enum Phase {
    /// Waits for a place at an endpoint.
    Waiting,
    /// Has a place; its key is being claimed.
    Claiming(Attempt),
    /// An attempt runs.
    Running(Attempt),
}

/// The current attempt of a request.
#[derive(Debug)]
pub struct Attempt {
    pub id: AttemptId,
    pub endpoint: EndpointId,
    pub host: HostId,
    pub agent_instance: InstanceId,
    /// Target and customer that the place is accounted to.
    pub target: TargetId,
    pub customer: CustomerId,
    /// Version that must answer.
    pub version: Option<Digest>,
    pub sent_at: Instant,
    /// True when the answer has started.
    pub started: bool,
}

impl Request {
    /// Takes out the attempt that runs under this name; the request waits then.
    pub fn take_attempt(&mut self, id: &str) -> Option<Attempt> {
        match std::mem::replace(&mut self.phase, Phase::Waiting) {
            Phase::Running(attempt) if &*attempt.id == id => Some(attempt),
            other => {
                self.phase = other;
                None
            }
        }
    }
}
