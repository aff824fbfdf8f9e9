//! Claim of a keyed request as stored in the object API.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::types::{AttemptId, Digest, EndpointId, HostId, InstanceId};

use super::{ChosenAttempt, KEY_RETENTION};

/// Maximum size of an answer stored in a claim, in bytes; the object API limits values to 1 MB.
pub(super) const ANSWER_BYTES_MAX: usize = 768 << 10;

/// Stored object that names the only attempt allowed to run a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// Attempt that holds the key.
    pub attempt: AttemptId,
    /// Endpoint that the attempt is sent to.
    pub endpoint: EndpointId,
    /// Host of the endpoint's agent.
    pub host: HostId,
    /// Instance id of the agent process.
    pub agent_instance: InstanceId,
    /// Digest of class and body.
    pub body: Digest,
    /// Time of the claim, in Unix seconds.
    pub issued: u64,
    /// State of the attempt.
    pub state: ClaimState,
    /// Complete answer of a completed attempt; absent if it was not collected or too large.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Arc<str>>,
}

/// State of the attempt that a claim names.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// The attempt may be running.
    Claimed,
    /// The attempt has not run and will not; the next submission may claim the key.
    Open,
    /// The attempt was answered.
    Done,
    /// The attempt may have run; the key never runs again.
    Unknown,
}

impl ClaimRecord {
    /// Creates a claim for an attempt.
    pub(super) fn new(chosen: &ChosenAttempt, body: Digest, now: SystemTime) -> Self {
        Self {
            attempt: chosen.attempt.clone(),
            endpoint: chosen.endpoint.clone(),
            host: chosen.host.clone(),
            agent_instance: chosen.agent_instance,
            body,
            issued: unix_seconds(now),
            state: ClaimState::Claimed,
            answer: None,
        }
    }

    /// True when the claim may be deleted: the key has expired, even for an entry whose clock is
    /// behind by as much as [`KEY_RETENTION`].
    pub fn is_expired(&self, now: SystemTime) -> bool {
        let lifetime = Duration::from_secs(self.issued) + 2 * KEY_RETENTION;
        now.duration_since(UNIX_EPOCH)
            .is_ok_and(|age| age > lifetime)
    }

    pub(super) fn to_json(&self) -> Arc<str> {
        serde_json::to_string(self)
            .expect("invariant: a claim contains no maps with non-string keys")
            .into()
    }
}

fn unix_seconds(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
