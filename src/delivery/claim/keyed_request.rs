//! Keyed request and the attempt chosen for it.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crate::types::{AttemptId, ClassId, CustomerId, Digest, EndpointId, HostId, InstanceId, Key};

use super::KEY_RETENTION;

/// Tolerated lead of a caller's clock.
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
    /// Time at which the caller issued the key, if it was sent.
    pub issued: Option<SystemTime>,
}

impl KeyedRequest {
    /// Key of the claim in the object API. The parts are escaped, so that different requests never
    /// share a key.
    pub fn store_key(&self) -> Arc<str> {
        let parts = [&self.customer, &self.class, &self.key].map(|part| escape(part));
        format!("claims/{}", parts.join("/")).into()
    }
}

/// The attempt that a claim names as the only one allowed to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChosenAttempt {
    /// Attempt id; never reused.
    pub attempt: AttemptId,
    /// Endpoint that the attempt is sent to.
    pub endpoint: EndpointId,
    /// Host of the endpoint's agent.
    pub host: HostId,
    /// Instance id of the agent process.
    pub agent_instance: InstanceId,
}

/// True when a key is older than [`KEY_RETENTION`] or its time lies more than [`CLOCK_SKEW`] ahead.
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
