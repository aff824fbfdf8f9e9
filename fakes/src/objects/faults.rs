//! Faults and counters of the object API's stand-in.

use std::time::Duration;

/// How calls fail.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// Calls do not fail.
    #[default]
    None,
    /// Calls are answered with status 429 and have no effect.
    RateLimited,
    /// Calls are answered with status 503 and have no effect.
    Unavailable,
    /// Connections are closed without an answer; the call has no effect, which the caller can not
    /// know.
    Cut,
    /// Calls hang and have no effect.
    Hang,
}

/// Faults that are in force.
#[derive(Clone, Debug, Default)]
pub struct ObjectFaults {
    /// How calls fail.
    pub outage: Outage,
    /// Delay of each call.
    pub slow: Duration,
    /// Number of newest writes of an object that reads and lists miss.
    pub stale_writes: usize,
    /// Number of coming writes that take effect and whose answer is lost.
    pub lose_answer_next: u64,
    /// Loses the answer of each so-many-th write; 0 for none.
    pub lose_answer_every: u64,
}

impl ObjectFaults {
    pub(super) fn lose_answer(&mut self, written: u64) -> bool {
        if self.lose_answer_next > 0 {
            self.lose_answer_next -= 1;
            return true;
        }
        self.lose_answer_every > 0 && written.is_multiple_of(self.lose_answer_every)
    }
}

/// Calls counted so far.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ObjectCounters {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Watches alone.
    pub watches: u64,
    /// Puts and deletes, whatever their outcome.
    pub writes: u64,
    /// Puts and deletes that took effect.
    pub written: u64,
    /// Puts and deletes whose condition did not hold.
    pub conflicts: u64,
    /// Calls that met an outage or the rate limit.
    pub refused: u64,
    /// Writes that took effect and whose answer was lost.
    pub lost_answers: u64,
}

impl ObjectCounters {
    /// All calls; a watch counts as one.
    pub fn calls(&self) -> u64 {
        self.reads + self.writes
    }
}
