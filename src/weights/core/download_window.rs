//! Number of chunks fetched at the same time, adapted to what the host's link carries.

use std::time::{Duration, Instant};

/// Size before the first chunk was measured.
const INITIAL_SIZE: usize = 2;
/// Slow chunks in a row that reduce the size.
const SLOW_RUN: u32 = 2;
/// Multiple of the longest wait, or of the last chunk's time if that is longer, after which a link
/// without arrivals is taken to be idle: the running fetches wait at their senders.
const SILENCE_FACTOR: u32 = 2;

/// Limits the chunks that are on their way to this host, so that requests to the engine beside it do
/// not wait behind them.
///
/// The time of a chunk includes the wait on this host's link and the wait at its sender. A quick
/// chunk shows that the link is free, whatever others take, so only a run of slow chunks without a
/// quick one between them reduces the size.
#[derive(Clone, Debug)]
pub struct DownloadWindow {
    max_wait: Duration,
    max_size: usize,
    /// Invariant: from 1 to `max_size`.
    size: usize,
    /// Number of slow chunks since the last quick one or the last reduction, and the shortest time
    /// among them.
    slow_run: Option<(u32, Duration)>,
    /// Latest start of a fetch whose chunk has arrived.
    arrived_start: Option<Instant>,
    /// Time of the last chunk that arrived.
    last_took: Duration,
    /// Time of the last start, arrival or timeout of a fetch.
    last_event_at: Option<Instant>,
}

impl DownloadWindow {
    /// Creates a window of at most `max_size` chunks, behind which other traffic waits for about
    /// `max_wait` at most; a single chunk is always allowed.
    pub fn new(max_size: usize, max_wait: Duration) -> Self {
        let max_size = max_size.max(1);
        Self {
            max_wait,
            max_size,
            size: INITIAL_SIZE.min(max_size),
            slow_run: None,
            arrived_start: None,
            last_took: Duration::ZERO,
            last_event_at: None,
        }
    }

    /// Number of chunks that may be on their way.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Returns whether another fetch may start, given the start times of the running ones.
    ///
    /// One that was overtaken by a chunk requested much later waits at its sender and not on this
    /// host's link, so it does not count. While nothing arrives at all, one more is admitted at a
    /// time, since all senders of the running ones may be stalled.
    pub fn admits(&self, now: Instant, running: impl Iterator<Item = Instant>) -> bool {
        let is_overtaken = |started_at: Instant| {
            self.arrived_start
                .is_some_and(|arrived| started_at + self.max_wait < arrived)
        };
        let counted = running.filter(|started_at| !is_overtaken(*started_at));
        let silence = self.max_wait.max(self.last_took) * SILENCE_FACTOR;
        counted.count() < self.size || self.quiet_time(now) >= silence
    }

    /// Records the start of a fetch while `running` others run. After a pause what was measured is
    /// forgotten, since the link may have changed meanwhile.
    pub fn fetch_started(&mut self, now: Instant, running: usize) {
        if running == 0 && self.quiet_time(now) > self.max_wait {
            *self = Self::new(self.max_size, self.max_wait);
        }
        self.last_event_at = Some(now);
    }

    fn quiet_time(&self, now: Instant) -> Duration {
        let last = self.last_event_at.unwrap_or(now);
        now.saturating_duration_since(last)
    }

    /// Records that the chunk of a fetch has arrived.
    pub fn chunk_arrived(&mut self, now: Instant, started_at: Instant, took: Duration) {
        self.last_event_at = Some(now);
        self.last_took = took;
        self.arrived_start = self.arrived_start.max(Some(started_at));
        if took > self.max_wait {
            self.record_slow_chunk(took);
            return;
        }
        self.slow_run = None;
        // One more chunk lengthens the wait of each by its share.
        if took * (self.size as u32 + 1) <= self.max_wait * self.size as u32 {
            self.size = (self.size + 1).min(self.max_size);
        }
    }

    /// Records a fetch whose chunk did not arrive within `timeout`.
    pub fn fetch_timed_out(&mut self, now: Instant, timeout: Duration) {
        self.last_event_at = Some(now);
        self.record_slow_chunk(timeout);
    }

    fn record_slow_chunk(&mut self, took: Duration) {
        let (count, shortest) = match self.slow_run {
            Some((count, shortest)) => (count + 1, shortest.min(took)),
            None => (1, took),
        };
        self.slow_run = Some((count, shortest));
        if count >= SLOW_RUN {
            let share = (self.max_wait.as_secs_f64() / shortest.as_secs_f64()).min(1.0);
            self.size = ((self.size as f64 * share) as usize).max(1);
            self.slow_run = None;
        }
    }
}
