//! What a claim is made for.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crate::types::{AttemptId, ClassId, CustomerId, Digest, EndpointId, HostId, InstanceId, Key};

use super::KEY_RETENTION;

/// Allowance for clocks of callers that run ahead.
const CLOCK_SKEW: Duration = Duration::from_secs(60);

/// A keyed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRequest {
    /// Customer that the key is scoped to.
    pub customer: CustomerId,
    /// Class that the key is scoped to.
    pub class: ClassId,
    /// Idempotency key.
    pub key: Key,
    /// Digest of class and body.
    pub body: Digest,
    /// Time at which the caller issued the key, when it says so.
    pub issued: Option<SystemTime>,
}

impl KeyedRequest {
    /// Key of the claim in the object API; parts are escaped so that they can not run together.
    pub fn store_key(&self) -> Arc<str> {
        let parts = [&self.customer, &self.class, &self.key].map(|part| escape(part));
        format!("claims/{}", parts.join("/")).into()
    }
}

/// The attempt that the claim is made for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChosenAttempt {
    /// Name of the attempt; never used before.
    pub attempt: AttemptId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Host of its agent.
    pub host: HostId,
    /// Instance of the agent.
    pub agent_instance: InstanceId,
}

/// True when a key was issued before the horizon, or by a clock that is far ahead.
pub(super) fn is_expired(issued: Option<SystemTime>, now: SystemTime) -> bool {
    let Some(issued) = issued else {
        return false;
    };
    match now.duration_since(issued) {
        Ok(age) => age > KEY_RETENTION,
        Err(ahead) => ahead.duration() > CLOCK_SKEW,
    }
}

fn escape(part: &str) -> String {
    let mut text = String::with_capacity(part.len());
    for byte in part.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => text.push(byte as char),
            _ => text.push_str(&format!("%{byte:02x}")),
        }
    }
    text
}
