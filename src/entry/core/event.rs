//! Inputs of the entry's decision logic.

use std::sync::Arc;

use crate::delivery::StoreReply;
use crate::membership::HostEntry;
use crate::types::{AttemptId, EndpointId, EntryAttemptOutcome, HostId, RequestId, RequestMeta};
use crate::wire::{SettleReply, SyncReply, VersionedDocument};

use super::StoreCallId;

/// Something that the entry's driver reports.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A caller's request was read and parsed.
    Arrived {
        /// Id that the driver gave the request.
        req: RequestId,
        /// Description of the request.
        meta: RequestMeta,
    },
    /// The caller closed its connection.
    CallerGone {
        /// The request.
        req: RequestId,
    },
    /// The first token or byte of the answer arrived.
    AnswerStarted {
        /// The request.
        req: RequestId,
        /// The attempt; an event for another than the current attempt is ignored.
        attempt: AttemptId,
    },
    /// The header of an answer reported the load of its endpoint.
    LoadReported {
        /// The endpoint.
        endpoint: EndpointId,
        /// Number of requests that the agent counts as in flight at the endpoint.
        in_flight: u32,
        /// Number of requests that the endpoint can currently run at once.
        limit: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        req: RequestId,
        /// The attempt; an event for another than the current attempt is ignored.
        attempt: AttemptId,
        /// The outcome.
        outcome: EntryAttemptOutcome,
        /// Whole answer of a keyed request, stored so that a repeated request gets the same answer.
        answer: Option<Arc<str>>,
    },
    /// A call to the object API ended.
    StoreReplied {
        /// The call.
        call_id: StoreCallId,
        /// The reply, or how the call failed.
        reply: StoreReply,
    },
    /// An agent answered a settle request, or could not be reached.
    SettleReplied {
        /// The request whose claim needs the outcome.
        req: RequestId,
        /// The reply; `None` when the call failed.
        reply: Option<SettleReply>,
    },
    /// An agent answered a heartbeat.
    Synced {
        /// The agent's host.
        host: HostId,
        /// The reply.
        reply: SyncReply,
    },
    /// A heartbeat failed or timed out.
    SyncFailed {
        /// The agent's host.
        host: HostId,
    },
    /// The platform's host list was read.
    HostsListed(Vec<HostEntry>),
    /// A configuration was read from the object API.
    ConfigRead(VersionedDocument),
    /// An agent's refusal included a newer configuration.
    ConfigReceived(VersionedDocument),
    /// A placement was read from the object API.
    PlacementRead(VersionedDocument),
    /// A read or watch of the configuration in the object API ended.
    StoreContact {
        /// True when the object API answered.
        reached: bool,
    },
    /// The process was asked to stop.
    Stop,
    /// The time of [`next_wakeup`](super::EntryCore::next_wakeup) has come.
    Tick,
}
