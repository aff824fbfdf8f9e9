//! Refuses a share of the requests while the traffic loop runs late.
//!
//! The model is that of CoDel: the smallest delay in a window shows a queue that stands, where the largest
//! only shows a burst. The admitted share follows by additive increase and multiplicative decrease.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::pulse::LoopTicks;

/// Period of the ticks of the traffic loop.
pub const SHEDDER_TICK: Duration = Duration::from_millis(50);
/// Window over which the smallest delay is taken. Longer than the pauses of a processor that is granted
/// in slices of a tenth of a second.
const WINDOW: Duration = Duration::from_millis(200);
/// Ticks that a window has at least, so that one long turn is no standing queue.
const MIN_WINDOW_TICKS: u32 = 2;
/// Delay up to which the loop counts as in time. Ticks of a processor that is granted in slices of a
/// tenth of a second are up to that late.
const TARGET_DELAY: Duration = Duration::from_millis(100);
/// Delay of the next tick from which everything is refused until it comes: the loop has more to do than
/// it may, and the windows are as late.
const MAX_OVERDUE: Duration = Duration::from_millis(150);
/// Factor on the admitted share after a window that was late.
const DECREASE: f64 = 0.7;
/// Addend to the admitted share after a window that was in time.
const INCREASE: f64 = 0.05;
/// Smallest admitted share, which shows when there is time again.
const MIN_SHARE: f64 = 0.05;
/// Shortest `Retry-After` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Longest `Retry-After` of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is handled.
    Admit,
    /// It is refused, and its caller may return after this time.
    Shed(Duration),
}

/// What was refused since the last report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedReport {
    /// Number of refused requests.
    pub count: u64,
    /// Share of the requests that is admitted, at most 1.
    pub admitted_share: f64,
    /// Smallest delay of the traffic loop in the last window.
    pub delay: Duration,
}

/// Sans-IO load shedder of one process.
#[derive(Debug)]
pub struct LoadShedder {
    rng: SmallRng,
    ticks: LoopTicks,
    window_start: Instant,
    /// Ticks in this window.
    window_ticks: u32,
    /// Smallest delay in this window; the largest value before its first tick.
    smallest: Duration,
    /// Smallest delay in the last window.
    last_delay: Duration,
    /// Invariant: from [`MIN_SHARE`] to 1.
    admitted_share: f64,
    /// Refused requests that are not reported yet.
    shed: u64,
}

impl LoadShedder {
    /// Creates a shedder that admits everything.
    pub fn new(now: Instant, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            ticks: LoopTicks::new(now, SHEDDER_TICK),
            window_start: now,
            window_ticks: 0,
            smallest: Duration::MAX,
            last_delay: Duration::ZERO,
            admitted_share: 1.0,
            shed: 0,
        }
    }

    /// Records a tick of the traffic loop, expected each [`SHEDDER_TICK`]. Returns its delay.
    pub fn tick(&mut self, now: Instant) -> Duration {
        let delay = self.ticks.tick(now);
        self.smallest = self.smallest.min(delay);
        self.window_ticks += 1;
        let is_over = now.saturating_duration_since(self.window_start) >= WINDOW;
        if is_over && self.window_ticks >= MIN_WINDOW_TICKS {
            self.admitted_share = match self.smallest > TARGET_DELAY {
                true => (self.admitted_share * DECREASE).max(MIN_SHARE),
                false => (self.admitted_share + INCREASE).min(1.0),
            };
            self.last_delay = self.smallest;
            self.smallest = Duration::MAX;
            self.window_ticks = 0;
            self.window_start = now;
        }
        delay
    }

    /// Decides on a request that arrives.
    pub fn decide(&mut self, now: Instant) -> Verdict {
        let is_overdue = self.ticks.overdue(now) >= MAX_OVERDUE;
        if !is_overdue && self.rng.random_bool(self.admitted_share) {
            return Verdict::Admit;
        }
        self.shed += 1;
        Verdict::Shed(self.retry_after())
    }

    /// Refuses a request for another reason, for which the count and the wait are the same.
    pub fn shed(&mut self) -> Duration {
        self.shed += 1;
        self.retry_after()
    }

    /// Takes the count of refused requests; `None` when there were none.
    pub fn take_report(&mut self) -> Option<ShedReport> {
        let count = std::mem::take(&mut self.shed);
        (count > 0).then_some(ShedReport {
            count,
            admitted_share: self.admitted_share,
            delay: self.last_delay,
        })
    }

    /// Spreads the returns over the time in which the admitted share reaches 1 again.
    fn retry_after(&mut self) -> Duration {
        let windows = (1.0 - self.admitted_share) / INCREASE;
        let recovery = WINDOW
            .mul_f64(windows)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER - MIN_RETRY_AFTER);
        MIN_RETRY_AFTER + recovery.mul_f64(self.rng.random_range(0.0..1.0))
    }
}
