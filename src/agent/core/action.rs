//! Outputs of the agent core.

use std::sync::Arc;

use crate::codes::Code;
use crate::telemetry::Event;
use crate::types::{AttemptId, Digest, EndpointId, Generation, TargetId};
use crate::wire::{SettleReply, SyncReply, VersionedDocument};

/// An action that the agent's driver must perform.
#[derive(Clone, Debug)]
pub enum AgentAction {
    /// Forward the attempt to its endpoint now.
    Admit {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Priority for the endpoint's own scheduler; lower numbers run first.
        priority: u8,
    },
    /// Refuse the attempt with an error code.
    ///
    /// A code with [`crate::codes::RunState::NotRun`] means that the endpoint has not received the
    /// attempt. Any other code follows [`super::AgentEvent::Broken`]: when a part of the answer was
    /// already forwarded, the driver ends the stream without its end marker.
    Refuse {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Reason.
        code: Code,
        /// Newer configuration, for an entry with an outdated one.
        config: Option<VersionedDocument>,
    },
    /// Answer a keyed attempt with the stored answer of the attempt that ran.
    Replay {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Stored answer in its text form.
        answer: Arc<str>,
    },
    /// Cancel a running attempt at its endpoint.
    ///
    /// The attempt occupies a slot until [`super::AgentEvent::Cancelled`] reports its end.
    Cancel {
        /// Name of the endpoint that runs it.
        endpoint: EndpointId,
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// Pause a running attempt at its endpoint; confirmed by [`super::AgentEvent::Paused`].
    Pause {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// Resume a paused attempt at its endpoint.
    Resume {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// Fetch the chunks of a version. Fetches of other versions of the same model stop.
    Fetch {
        /// Name of the model.
        model: TargetId,
        /// Name under which origin and weight store publish the version.
        name: Arc<str>,
        /// Digest of the version's manifest.
        version: Digest,
    },
    /// Order an endpoint to load a version that the host holds.
    Load {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Digest of the version's manifest.
        version: Digest,
        /// Fencing number of the order.
        fence: Generation,
    },
    /// Reply to a heartbeat.
    SyncReply(Box<SyncReply>),
    /// Reply to a settle request.
    SettleReply(SettleReply),
    /// Every attempt has ended after [`super::AgentEvent::Stop`]; the process may exit.
    Drained,
    /// Log a numbered event.
    Log {
        /// Event, as declared in the schema.
        event: Event,
        /// Text that follows the event in the log line.
        detail: String,
    },
}
