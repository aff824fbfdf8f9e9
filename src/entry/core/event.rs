//! Inputs of the entry's decision logic.

use std::sync::Arc;

use crate::delivery::StoreReply;
use crate::membership::HostEntry;
use crate::types::{AttemptEnd, AttemptId, EndpointId, HostId, RequestId, RequestMeta};
use crate::wire::{ConfigDoc, SettleReply, SyncReply};

use super::StoreCallId;

/// Something that the entry's shell has seen.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A caller's request was read and parsed.
    Arrived {
        /// Number that the shell gave the request.
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
    /// An answer's header told the load of the endpoint that gave it.
    LoadReported {
        /// The endpoint.
        endpoint: EndpointId,
        /// Requests that its agent counts as in flight there.
        in_flight: u32,
        /// Requests that it bears at once now.
        limit: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        req: RequestId,
        /// The attempt; an event for another than the current attempt is ignored.
        attempt: AttemptId,
        /// How it ended.
        outcome: AttemptEnd,
        /// Whole answer of a keyed request, to be kept for resends.
        answer: Option<Arc<str>>,
    },
    /// The object API answered a call.
    StoreReplied {
        /// The call that is answered.
        call_id: StoreCallId,
        /// What the object API said.
        reply: StoreReply,
    },
    /// An agent answered a settle request, or could not be asked.
    SettleReplied {
        /// The request on whose behalf the agent was asked.
        req: RequestId,
        /// The reply; `None` when the agent was not reached.
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
    /// The object API showed a configuration.
    ConfigRead(ConfigDoc),
    /// An agent's refusal carried a newer configuration.
    ConfigReceived(ConfigDoc),
    /// The object API showed a placement.
    PlacementRead(ConfigDoc),
    /// The object API answered a read or a watch of the configuration, or failed to.
    StoreContact {
        /// True when it answered.
        reached: bool,
    },
    /// The process was asked to stop.
    Stop,
    /// Time has passed.
    Tick,
}
