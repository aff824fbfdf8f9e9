//! Detects that this process stood still: it was stopped, or its host was.

use std::time::{Duration, Instant};

use crate::types::ChangeTime;

/// Period of the ticks that [`StallDetector::tick`] expects.
pub const STALL_TICK: Duration = Duration::from_millis(200);
/// Time between two ticks from which the process counts as having stood still: a tick that a busy
/// process delivers late by a whole period is no stall.
const MIN_STALL: Duration = Duration::from_millis(400);
/// Least time after a stall during which messages may still arrive that were sent before its end.
const MIN_CATCH_UP: Duration = Duration::from_secs(1);

/// Dates what this process reads, knowing that it may have waited while the process stood still.
///
/// A sender that got no acknowledgement repeats at ever longer intervals, so messages from the time of a
/// stall may arrive for about as long after its end as it lasted.
#[derive(Clone, Debug)]
pub struct StallDetector {
    last_tick: Instant,
    /// All that was sent before this has been read.
    ///
    /// Invariant: not later than `last_tick`.
    read_until: Instant,
    /// Time until which messages from before the end of the last stall may arrive.
    catching_up_until: Instant,
    /// Length of the last stall, until [`Self::tick`] has returned it.
    unreported: Option<Duration>,
}

impl StallDetector {
    /// Creates a detector in a process that runs.
    pub fn new(now: Instant) -> Self {
        Self {
            last_tick: now,
            read_until: now,
            catching_up_until: now,
            unreported: None,
        }
    }

    /// Records that the process runs. Returns for how long it had stood still, once for each time.
    pub fn tick(&mut self, now: Instant) -> Option<Duration> {
        self.observe(now);
        self.unreported.take()
    }

    fn observe(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        if gap >= MIN_STALL {
            let catch_up = now + gap.max(MIN_CATCH_UP);
            self.catching_up_until = self.catching_up_until.max(catch_up);
            self.unreported = Some(gap);
        }
        if now >= self.catching_up_until {
            self.read_until = self.last_tick;
        }
        self.last_tick = self.last_tick.max(now);
    }

    /// Time until which this process has read all that was sent to it.
    pub fn read_until(&mut self, now: Instant) -> Instant {
        self.observe(now);
        self.read_until
    }

    /// Time of a change whose announcement is read at `now` and was sent when it was made.
    pub fn change_time(&mut self, now: Instant) -> ChangeTime {
        let read_until = self.read_until(now);
        match now < self.catching_up_until {
            true => ChangeTime::After(read_until),
            false => ChangeTime::At(now),
        }
    }
}
