//! Inputs of the agent's decision logic.

use std::sync::Arc;
use std::time::Duration;

use crate::types::{
    AttemptId, ClassId, CustomerId, Digest, EndpointId, EntryId, Generation, InstanceId, Key,
    Milliwatts,
};
use crate::wire::{SettleRequest, SyncRequest};

/// Something that the agent's shell has seen.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// An entry offers an attempt.
    Offered(Offer),
    /// The endpoint sent the first token or byte of an answer.
    Started {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The endpoint sent the whole answer.
    Answered {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens in the answer.
        tokens: u32,
        /// Whole answer of a keyed attempt.
        answer: Option<Arc<str>>,
    },
    /// The connection to the endpoint broke, or was never made.
    Broken {
        /// The attempt.
        attempt: AttemptId,
        /// True when a byte of the request may have reached the endpoint.
        maybe_sent: bool,
    },
    /// The endpoint confirmed that it paused the attempt.
    Paused {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A cancelled attempt has left its endpoint, or never reached it.
    Cancelled {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The entry closed its connection, so that the answer has no reader.
    EntryGone {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The endpoint answered a probe.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// What it said; `None` when it did not answer.
        probe: Option<EndpointProbe>,
    },
    /// The endpoint answered a load order.
    Loaded {
        /// The endpoint.
        endpoint: EndpointId,
        /// Digest of the version, when the order took effect.
        version: Option<Digest>,
        /// Fencing number of the order.
        fence: Generation,
    },
    /// All chunks of a version are verified and held by the host.
    VersionHeld {
        /// Digest of the version's manifest.
        version: Digest,
    },
    /// Share of a version's chunks that the host holds.
    VersionProgress {
        /// Digest of the version's manifest.
        version: Digest,
        /// Verified share in thousandths.
        permille: u32,
    },
    /// An entry sent a heartbeat; answered by [`super::AgentAction::SyncReply`].
    Synced(Box<SyncRequest>),
    /// An entry asks about a keyed attempt; answered by [`super::AgentAction::SettleReply`].
    Settle(SettleRequest),
    /// The process was asked to stop.
    Stop,
    /// Time has passed.
    Tick,
}

/// An attempt that an entry offers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Name of the attempt.
    pub attempt: AttemptId,
    /// The entry.
    pub entry: EntryId,
    /// The endpoint that should run it.
    pub endpoint: EndpointId,
    /// Instance of the agent that the entry means.
    pub agent_instance: InstanceId,
    /// Generation in force at the entry.
    pub generation: Generation,
    /// Class of work.
    pub class: ClassId,
    /// Customer.
    pub customer: CustomerId,
    /// Idempotency key.
    pub key: Option<Key>,
    /// Digest of class and body.
    pub fingerprint: Digest,
    /// Version that must answer.
    pub version: Option<Digest>,
    /// Estimate of the tokens in the answer.
    pub tokens: u32,
    /// Time left until the answer has to start.
    pub start_budget: Duration,
    /// True when the request must run alone.
    pub suspect: bool,
}

/// State that an endpoint reports of itself; may lag.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointProbe {
    /// Instance of the endpoint's process.
    pub instance: InstanceId,
    /// Digest of the version that it serves; absent for a plain service.
    pub version: Option<Digest>,
    /// Highest fencing number that it has accepted; 0 where it ignores them.
    pub fence: Generation,
    /// Requests that it runs.
    pub running: u32,
    /// Draw that it reports.
    pub power: Milliwatts,
}
