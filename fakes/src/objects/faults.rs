//! Injected faults and counters of the stand-in object API.

use std::time::Duration;

/// Way in which all calls fail.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// Calls do not fail.
    #[default]
    None,
    /// Calls are answered with status 429 and have no effect, as above the configured rates.
    RateLimited,
    /// Calls are answered with status 503 and have no effect.
    Unavailable,
    /// Connections are closed without an answer. Calls have no effect, which the caller cannot
    /// detect.
    Cut,
    /// Calls hang, then their connection is closed without an answer; they have no effect.
    Hang,
}

/// Injected faults of the stand-in object API, which a test can change at any time.
#[derive(Clone, Debug, Default)]
pub struct ObjectFaults {
    /// Way in which all calls fail.
    pub outage: Outage,
    /// Additional delay of each call.
    pub slow: Duration,
    /// Number of newest writes of each object that reads and lists do not show yet.
    pub stale_writes: usize,
    /// Number of upcoming writes that take effect, but whose connection is closed without an
    /// answer.
    pub lose_answer_next: u64,
    /// Loses the answer of every n-th write that takes effect; 0 for none.
    pub lose_answer_every: u64,
}

impl ObjectFaults {
    /// True when the answer to the `written`-th effective write is lost; uses up one of
    /// `lose_answer_next` if there is any.
    pub(super) fn lose_answer(&mut self, written: u64) -> bool {
        if self.lose_answer_next > 0 {
            self.lose_answer_next -= 1;
            return true;
        }
        self.lose_answer_every > 0 && written.is_multiple_of(self.lose_answer_every)
    }
}

/// Counts of the calls since the stand-in was spawned.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ObjectCounters {
    /// Reads, lists and watches, whatever their outcome.
    pub reads: u64,
    /// Watches that were served; counted in `reads` too.
    pub watches: u64,
    /// Puts and deletes, whatever their outcome.
    pub writes: u64,
    /// Puts and deletes that took effect.
    pub written: u64,
    /// Puts and deletes refused because the object had another version than expected.
    pub conflicts: u64,
    /// Calls that failed by an outage or the rate limit.
    pub refused: u64,
    /// Writes that took effect but whose answer was lost.
    pub lost_answers: u64,
}

impl ObjectCounters {
    /// Number of all calls; a watch counts as one.
    pub fn calls(&self) -> u64 {
        self.reads + self.writes
    }
}
