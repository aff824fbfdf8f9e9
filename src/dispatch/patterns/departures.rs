//! Caller departures: the slot of a caller that disconnects counts as free at once, so that it is
//! neither counted against new requests nor attributed to other entries.

use std::time::{Duration, Instant};

/// Time after which a load report counts what was sent before: an engine's state is read and reported a
/// little later than it was true.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// Number of requests at one endpoint, as estimated by this entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occupancy {
    /// Requests of this entry that are there.
    own: u32,
    /// Requests sent minus requests ended since the last load report.
    since_report: i64,
    /// Requests of this entry whose answer is a stream, without its first event. No load report is needed
    /// to count them, and the engine may not have counted them yet in its last one. Of another answer only
    /// the end is seen, so it does not tell how long its request has waited.
    unstarted: u32,
    /// Requests whose answer is a stream, sent since a load report and between that and the one before it, both
    /// at least [`REPORT_LAG`] apart. Later reports count the ones before.
    recent: [u32; 2],
    /// Arrival of the load report since which the first of `recent` counts.
    recent_since: Option<Instant>,
    /// Prompt tokens of this entry's requests that have not started to answer.
    pending_prefill: f64,
    /// True when slots of callers that left stay counted; disables the mitigation.
    keeps_cancelled: bool,
}

impl Occupancy {
    /// Creates an empty count; `frees_cancelled` frees the slots of callers that leave.
    pub fn new(frees_cancelled: bool) -> Self {
        Self {
            keeps_cancelled: !frees_cancelled,
            ..Self::default()
        }
    }

    /// Requests of this entry that are there.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Requests of this entry whose answer is a stream, without its first event.
    pub fn unstarted(&self) -> u32 {
        self.unstarted
    }

    /// Requests of this entry that the last load report may not count, since it is older than they are. What is
    /// sent to an engine that no longer reports stays here.
    pub fn uncounted(&self) -> u32 {
        let recent = self.recent[0].saturating_add(self.recent[1]);
        self.unstarted.min(recent)
    }

    /// Prompt tokens of this entry's requests that have not started to answer.
    pub fn pending_prefill(&self) -> f64 {
        self.pending_prefill
    }

    /// Requests sent minus requests ended since the last load report.
    pub fn since_report(&self) -> u32 {
        u32::try_from(self.since_report).unwrap_or(0)
    }

    /// Estimate from the last load report, which counted `reported` requests.
    pub fn with_report(&self, reported: u32) -> u32 {
        let estimate = i64::from(reported) + self.since_report;
        u32::try_from(estimate.max(i64::from(self.own))).unwrap_or(u32::MAX)
    }

    /// Estimate without a recent load report: assumes that each of `entries` entries has as many
    /// requests there.
    pub fn without_report(&self, entries: u32) -> u32 {
        self.own.saturating_mul(entries.max(1))
    }

    /// Forgets what was sent since the last load report, as the endpoint has restarted.
    pub fn restarted(&mut self) {
        self.since_report = 0;
        self.recent = [0; 2];
    }

    /// Resets the count for a new load report, which includes everything so far.
    pub fn reported(&mut self, now: Instant) {
        self.since_report = 0;
        let is_due = |at: Instant| now.saturating_duration_since(at) >= REPORT_LAG;
        if self.recent_since.is_none_or(is_due) {
            self.recent = [0, self.recent[0]];
            self.recent_since = Some(now);
        }
    }

    /// Counts a request sent with a prompt of `prompt` tokens; `is_stream` when its answer is a stream.
    pub fn sent(&mut self, prompt: u32, is_stream: bool) {
        self.own += 1;
        self.unstarted += u32::from(is_stream);
        self.recent[0] += u32::from(is_stream);
        self.since_report += 1;
        self.pending_prefill += f64::from(prompt);
    }

    /// Records the first event of a request of this entry; `is_stream` as it was counted when sent.
    pub fn started(&mut self, prompt: u32, is_stream: bool) {
        self.unstarted = self.unstarted.saturating_sub(u32::from(is_stream));
        self.pending_prefill = (self.pending_prefill - f64::from(prompt)).max(0.0);
    }

    /// Removes a request of this entry; `is_stream` as it was counted when sent, `by_caller` when it
    /// ended because its caller left.
    pub fn ended(&mut self, prompt: u32, is_stream: bool, started: bool, by_caller: bool) {
        if by_caller && self.keeps_cancelled {
            return;
        }
        self.own = self.own.saturating_sub(1);
        self.since_report -= 1;
        if !started {
            self.started(prompt, is_stream);
        }
        if self.own == 0 {
            self.pending_prefill = 0.0;
        }
    }
}
