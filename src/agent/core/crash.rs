//! Finds the requests that were in flight when an endpoint crashed.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::types::{Digest, InstanceId};

/// A request that broke off less than this before the restart was detected counts as in flight at
/// the crash.
const CRASH_WINDOW: Duration = Duration::from_secs(30);

/// Maximum number of broken requests kept.
const MAX_BROKEN: usize = 1_024;

/// Requests that broke off recently, kept until it is known whether their endpoint crashed.
#[derive(Debug, Default)]
pub(super) struct CrashTracker {
    /// Time, incarnation of the endpoint and fingerprint of each request.
    ///
    /// Invariant: at most [`MAX_BROKEN`], oldest first.
    broken: VecDeque<(Instant, InstanceId, Digest)>,
}

impl CrashTracker {
    /// Records a request that broke off at an incarnation of an endpoint.
    pub(super) fn record_broken(
        &mut self,
        now: Instant,
        instance: InstanceId,
        fingerprint: Digest,
    ) {
        if self.broken.len() >= MAX_BROKEN {
            self.broken.pop_front();
        }
        self.broken.push_back((now, instance, fingerprint));
    }

    /// Removes and returns the requests that were in flight when `instance` crashed.
    pub(super) fn take_in_flight(&mut self, now: Instant, instance: InstanceId) -> Vec<Digest> {
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
