//! Outputs of the agent's decision logic.

use std::sync::Arc;

use crate::codes::Code;
use crate::telemetry::Event;
use crate::types::{AttemptId, Digest, EndpointId, Generation, TargetId};
use crate::wire::{SettleReply, SyncReply, VersionedDocument};

/// Something that the agent's shell has to do.
#[derive(Clone, Debug)]
pub enum AgentAction {
    /// Pass the attempt to its endpoint now.
    Admit {
        /// The attempt.
        attempt: AttemptId,
        /// Rank for the endpoint's own scheduler; a lower number goes first.
        priority: u8,
    },
    /// End the attempt with a numbered refusal.
    ///
    /// A code with [`crate::codes::RunState::NotRun`] means that the endpoint has not seen the
    /// attempt. Another code follows [`super::AgentEvent::Broken`]: when a part of the answer was
    /// already passed on, the shell cuts the answer without its end mark.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        code: Code,
        /// Newer configuration for an entry that is behind.
        config: Option<VersionedDocument>,
    },
    /// Answer a keyed attempt with the stored answer of its first run.
    Replay {
        /// The attempt.
        attempt: AttemptId,
        /// The stored answer.
        answer: Arc<str>,
    },
    /// Cancel a running attempt at its endpoint.
    ///
    /// The attempt counts until [`super::AgentEvent::Cancelled`] reports its end.
    Cancel {
        /// The endpoint that runs it.
        endpoint: EndpointId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Pause a running attempt at its endpoint; confirmed by [`super::AgentEvent::Paused`].
    Pause {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Resume a paused attempt at its endpoint.
    Resume {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Fetch the chunks of a version; fetches of other versions of the model stop.
    Fetch {
        /// The model.
        model: TargetId,
        /// Name of the version, under which origin and weight store publish it.
        name: Arc<str>,
        /// Digest of the version's manifest.
        version: Digest,
    },
    /// Order an endpoint to switch to a version that the host holds.
    Load {
        /// The endpoint.
        endpoint: EndpointId,
        /// Digest of the version's manifest.
        version: Digest,
        /// Fencing number of the order.
        fence: Generation,
    },
    /// Answer to a heartbeat.
    SyncReply(Box<SyncReply>),
    /// Answer to a settle request.
    SettleReply(SettleReply),
    /// Every attempt has ended after [`super::AgentEvent::Stop`]; the process may exit.
    Drained,
    /// Log a numbered event.
    Log {
        /// The event.
        event: Event,
        /// Detail for the reader.
        detail: String,
    },
}
