//! Claim of a keyed request as it stands in the object API.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::types::{AttemptId, Digest, EndpointId, HostId, InstanceId};

use super::{ChosenAttempt, KEY_RETENTION};

/// Longest answer that is kept in a claim, in bytes; the object API holds values to 1 MB.
pub(super) const ANSWER_BYTES_MAX: usize = 768 << 10;

/// Object that names the only attempt that may run a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The attempt.
    pub attempt: AttemptId,
    /// Endpoint that the attempt is meant for.
    pub endpoint: EndpointId,
    /// Host of the agent.
    pub host: HostId,
    /// Instance of the agent.
    pub agent_instance: InstanceId,
    /// Digest of class and body.
    pub body: Digest,
    /// Time of the claim, in Unix seconds.
    pub issued: u64,
    /// What became of the attempt.
    pub state: ClaimState,
    /// Whole answer of a completed attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Arc<str>>,
}

/// What a claim says of its attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// It may run now.
    Claimed,
    /// It has not run and will not; the next send may claim.
    Open,
    /// It was answered.
    Done,
    /// It may have run; it is never run again.
    Unknown,
}

impl ClaimRecord {
    /// A claim for an attempt.
    pub(super) fn new(choice: &ChosenAttempt, body: Digest, now: SystemTime) -> Self {
        Self {
            attempt: choice.attempt.clone(),
            endpoint: choice.endpoint.clone(),
            host: choice.host.clone(),
            agent_instance: choice.agent_instance,
            body,
            issued: unix_seconds(now),
            state: ClaimState::Claimed,
            answer: None,
        }
    }

    /// True when the claim may be deleted: every key that it could stop has expired, also by a
    /// clock that is as much as the horizon behind.
    pub fn is_expired(&self, now: SystemTime) -> bool {
        let life = Duration::from_secs(self.issued) + 2 * KEY_RETENTION;
        now.duration_since(UNIX_EPOCH).is_ok_and(|age| age > life)
    }

    pub(super) fn to_json(&self) -> Arc<str> {
        serde_json::to_string(self)
            .expect("invariant: a claim has no map with odd keys")
            .into()
    }
}

fn unix_seconds(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
