//! Callers that leave: what they held at an endpoint is free again at once, so that it is neither
//! counted against new requests nor mistaken for others' load.

/// Requests at one endpoint, as this entry knows them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occupancy {
    /// Requests of this entry that are there.
    own: u32,
    /// Requests sent and ended since the last report.
    since_report: i64,
    /// Prompt tokens of own requests that have not started.
    unread: f64,
    /// True when places of callers that left stay taken.
    keeps_cancelled: bool,
}

impl Occupancy {
    /// An endpoint without requests; `frees_cancelled` when callers that leave give their places back.
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

    /// Prompt tokens of own requests that have not started.
    pub fn unread(&self) -> f64 {
        self.unread
    }

    /// Requests that are there when the last report told of `reported`.
    pub fn with_report(&self, reported: u32) -> u32 {
        let seen = i64::from(reported) + self.since_report;
        u32::try_from(seen.max(i64::from(self.own))).unwrap_or(u32::MAX)
    }

    /// Requests that are there when nothing was reported, with `entries` that share the endpoint.
    pub fn without_report(&self, entries: u32) -> u32 {
        self.own.saturating_mul(entries.max(1))
    }

    /// A report came that counts everything so far.
    pub fn reported(&mut self) {
        self.since_report = 0;
    }

    /// A request was sent there.
    pub fn sent(&mut self, prompt: u32) {
        self.own += 1;
        self.since_report += 1;
        self.unread += f64::from(prompt);
    }

    /// The first event of an own request has come.
    pub fn started(&mut self, prompt: u32) {
        self.unread = (self.unread - f64::from(prompt)).max(0.0);
    }

    /// An own request has ended there; `by_caller` when its caller has left.
    pub fn left(&mut self, prompt: u32, started: bool, by_caller: bool) {
        if by_caller && self.keeps_cancelled {
            return;
        }
        self.own = self.own.saturating_sub(1);
        self.since_report -= 1;
        if !started {
            self.started(prompt);
        }
        if self.own == 0 {
            self.unread = 0.0;
        }
    }
}
