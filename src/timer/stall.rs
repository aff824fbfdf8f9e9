//! Detects that this process stood still: it was stopped, or its host was.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::types::{ChangeAge, ChangeTime};

/// Period of the ticks that [`StallDetector::tick`] expects.
pub const STALL_TICK: Duration = Duration::from_millis(200);
/// Time between two observations from which the process counts as having stood still: one that a
/// busy process makes late by a whole period is no stall.
const MIN_STALL: Duration = Duration::from_millis(400);
/// Time after a stall within which the datagrams that waited meanwhile are read.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);
/// Number of stalls that are remembered: more than happen between two calls to a store.
const MAX_STALLS: usize = 32;

/// A time for which the process stood still.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Stall {
    /// All that was sent to the process before this was read before the stall.
    from: Instant,
    to: Instant,
}

/// Dates what this process reads, knowing that it may have waited while the process stood still.
#[derive(Clone, Debug)]
pub struct StallDetector {
    last_seen: Instant,
    /// Oldest first.
    ///
    /// Invariant: at most [`MAX_STALLS`].
    stalls: VecDeque<Stall>,
    /// Length of the last stall, until [`Self::tick`] has returned it.
    unreported: Option<Duration>,
}

impl StallDetector {
    /// Creates a detector in a process that runs.
    pub fn new(now: Instant) -> Self {
        Self {
            last_seen: now,
            stalls: VecDeque::new(),
            unreported: None,
        }
    }

    /// Records that the process runs. Returns for how long it had stood still, once for each time.
    pub fn tick(&mut self, now: Instant) -> Option<Duration> {
        self.observe(now);
        self.unreported.take()
    }

    /// Time of a change that an answer read at `now` announces, where all changes until
    /// `covered_until` had been seen before.
    pub fn change_time(&mut self, now: Instant, covered_until: Instant) -> ChangeTime {
        self.observe(now);
        let mut since = self.stalls.iter().filter(|stall| stall.to > covered_until);
        match since.next() {
            Some(stall) => ChangeTime::After(covered_until.max(stall.from)),
            None => ChangeTime::At(now),
        }
    }

    /// Time of a change whose age another process reported in a datagram that is read at `now`.
    pub fn reported_time(&mut self, now: Instant, age: ChangeAge) -> ChangeTime {
        self.observe(now);
        let is_recent = |stall: &&Stall| now < stall.to + CATCH_UP_TIME;
        // A datagram that waited was sent after the start of a stall.
        match self.stalls.iter().find(is_recent) {
            Some(stall) => age.time(stall.from).as_bound(),
            None => age.time(now),
        }
    }

    fn observe(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_seen);
        if gap >= MIN_STALL {
            self.stalls.push_back(Stall {
                from: self.last_seen,
                to: now,
            });
            if self.stalls.len() > MAX_STALLS {
                self.stalls.pop_front();
            }
            self.unreported = Some(gap);
        }
        self.last_seen = self.last_seen.max(now);
    }
}
