//! Age of the last turn of the control loop that was in time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Measures by how much the turns of a loop are late, from periodic ticks.
#[derive(Clone, Copy, Debug)]
pub struct LoopTicks {
    period: Duration,
    last: Instant,
}

impl LoopTicks {
    /// Creates a measurement whose first tick is due one period after `now`.
    pub fn new(now: Instant, period: Duration) -> Self {
        Self { period, last: now }
    }

    /// By how much the next tick is late already.
    pub fn overdue(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last + self.period)
    }

    /// Records a tick, and returns by how much it is late.
    pub fn tick(&mut self, now: Instant) -> Duration {
        let late = self.overdue(now);
        self.last = self.last.max(now);
        late
    }
}

/// Time at which the control loop last ran in time, shared between threads.
///
/// What other processes send is handled by the control loop. While that loop stands still, requests
/// would be decided on by a state that is older than its readers assume.
#[derive(Debug)]
pub struct Pulse {
    start: Instant,
    /// Time since `start` of the last beat, in nanoseconds.
    ///
    /// Invariant: never decreases.
    beat_ns: AtomicU64,
    /// Age from which the state counts as outdated.
    max_age: Duration,
}

impl Pulse {
    /// Creates a pulse that beats at `now`.
    pub fn new(now: Instant, max_age: Duration) -> Self {
        Self {
            start: now,
            beat_ns: AtomicU64::new(0),
            max_age,
        }
    }

    /// Records a turn of the control loop that was `delay` late. A turn that was late by half of the
    /// allowed age or more does not count: what arrived meanwhile is handled before the next turn.
    pub fn beat(&self, now: Instant, delay: Duration) {
        if delay < self.max_age / 2 {
            let elapsed = now.saturating_duration_since(self.start).as_nanos() as u64;
            self.beat_ns.fetch_max(elapsed, Ordering::Release);
        }
    }

    /// Time since the last beat.
    pub fn age(&self, now: Instant) -> Duration {
        let beat = self.start + Duration::from_nanos(self.beat_ns.load(Ordering::Acquire));
        now.saturating_duration_since(beat)
    }

    /// True while the state of the process may be used for decisions.
    pub fn is_current(&self, now: Instant) -> bool {
        self.age(now) < self.max_age
    }
}
