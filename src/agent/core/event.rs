//! Inputs of the agent core.

use std::sync::Arc;
use std::time::Duration;

use crate::types::{
    AttemptId, ClassId, CustomerId, Digest, EndpointId, EntryId, Generation, InstanceId, Key,
    Milliwatts,
};
use crate::wire::{SettleRequest, SyncRequest};

/// An input that the agent's driver reports to the core.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// An entry offers an attempt.
    Offered(Offer),
    /// The endpoint sent the first token or byte of an answer.
    Started {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// The endpoint sent the complete answer.
    Answered {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Number of tokens in the answer.
        tokens: u32,
        /// Complete answer; present only for a keyed attempt.
        answer: Option<Arc<str>>,
    },
    /// The attempt failed at the endpoint: the connection could not be made or broke, the endpoint
    /// refused or timed out, or its answer was invalid.
    Broken {
        /// Id of the attempt.
        attempt: AttemptId,
        /// True when a byte of the request may have reached the endpoint.
        maybe_sent: bool,
    },
    /// The endpoint confirmed a pause.
    Paused {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// A cancelled attempt ended at its endpoint, or never reached it.
    Cancelled {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// The entry closed its connection, so nobody can receive the answer.
    EntryGone {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// A probe of an endpoint finished.
    Probed {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Status that the endpoint returned; `None` when it did not answer.
        probe: Option<EndpointProbe>,
    },
    /// A load order finished.
    Loaded {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Digest of the loaded version; `None` when the order failed.
        version: Option<Digest>,
        /// Fencing number of the order.
        fence: Generation,
    },
    /// The host holds all chunks of a version, verified.
    VersionHeld {
        /// Digest of the version's manifest.
        version: Digest,
    },
    /// Progress of fetching a version.
    VersionProgress {
        /// Digest of the version's manifest.
        version: Digest,
        /// Share of the chunks that are verified, in thousandths.
        permille: u32,
    },
    /// An entry sent a heartbeat; answered by [`super::AgentAction::SyncReply`].
    Synced(Box<SyncRequest>),
    /// An entry requests the outcome of a keyed attempt; answered by
    /// [`super::AgentAction::SettleReply`].
    Settle(SettleRequest),
    /// The process was asked to stop.
    Stop,
    /// The time of [`super::AgentCore::next_wakeup`] has come.
    Tick,
}

/// An attempt that an entry asks the agent to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// The entry that sends it.
    pub entry: EntryId,
    /// The endpoint that should run it.
    pub endpoint: EndpointId,
    /// Incarnation of the agent that the entry addresses.
    pub agent_instance: InstanceId,
    /// Generation of the configuration in force at the entry.
    pub generation: Generation,
    /// Class of the request.
    pub class: ClassId,
    /// Customer that the request belongs to.
    pub customer: CustomerId,
    /// Idempotency key of the request; absent when the caller sent none.
    pub key: Option<Key>,
    /// Digest of class and body.
    pub fingerprint: Digest,
    /// Digest of the version that must answer; absent for a plain service.
    pub version: Option<Digest>,
    /// Estimated number of tokens in the answer.
    pub tokens: u32,
    /// Time within which the request must start, or it is refused.
    pub start_budget: Duration,
    /// True when the request may crash an endpoint and so must run alone.
    pub suspect: bool,
}

/// Status that an endpoint reports about itself; may be outdated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointProbe {
    /// Incarnation of the endpoint's process.
    pub instance: InstanceId,
    /// Digest of the version that it serves; absent for a plain service and when none is loaded.
    pub version: Option<Digest>,
    /// Highest fencing number that it has accepted; 0 where it ignores them.
    pub fence: Generation,
    /// Number of requests that it runs.
    pub running: u32,
    /// Power draw that it reports.
    pub power: Milliwatts,
}
