//! Which requests were in flight when an endpoint crashed.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::types::{Digest, InstanceId};

/// A request that broke off this long before a restart is seen counts as in flight at the crash.
const CRASH_WINDOW: Duration = Duration::from_secs(30);

/// Broken requests that are remembered at most.
const BROKEN_MAX: usize = 1_024;

/// Requests that broke off lately, until it is known whether their endpoint crashed.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    /// Invariant: at most [`BROKEN_MAX`], oldest first.
    broken: VecDeque<(Instant, InstanceId, Digest)>,
}

impl CrashWatch {
    /// Notes that a request broke off at an instance of an endpoint.
    pub(super) fn broke(&mut self, now: Instant, instance: InstanceId, fingerprint: Digest) {
        if self.broken.len() >= BROKEN_MAX {
            self.broken.pop_front();
        }
        self.broken.push_back((now, instance, fingerprint));
    }

    /// Takes out the requests that were in flight when `instance` crashed.
    pub(super) fn take(&mut self, now: Instant, instance: InstanceId) -> Vec<Digest> {
        let in_window = |at: &Instant| now.saturating_duration_since(*at) < CRASH_WINDOW;
        let found = self
            .broken
            .iter()
            .filter(|(at, id, _)| *id == instance && in_window(at))
            .map(|(_, _, fingerprint)| fingerprint.clone())
            .collect();
        self.broken
            .retain(|(at, id, _)| *id != instance && in_window(at));
        found
    }
}
