//! Backlog: requests of one class wait for endpoints faster than places for them become free.
//!
//! Under lasting overload each of them waits as long as it may, only to be refused. Those that can't be sent in
//! time behind the ones before them are refused at once instead, so that their callers know and may return
//! when there is room. The first of a class always waits, which shows when places become free again.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use crate::dispatch::request::TicketId;

/// Time over which the requests sent are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Least time for which a class must have waited without a break before its rate is known. A burst of arrivals
/// within this time waits for the next load reports.
const MIN_BACKLOG: Duration = Duration::from_millis(200);

/// Waiting requests of one class, the oldest first, and the rate at which such requests are sent.
#[derive(Clone, Debug, Default)]
pub(in crate::dispatch) struct Backlog {
    /// Waiting requests by the time of their first attempt.
    waiting: BTreeSet<(Instant, TicketId)>,
    /// Time since when some request has waited, apart from breaks of less than [`MIN_BACKLOG`] after the last one
    /// was refused; `None` once the last one was sent.
    since: Option<Instant>,
    /// Time at which the last one was refused or left.
    refused_at: Option<Instant>,
    /// Times of the requests sent within [`RATE_WINDOW`] since then.
    sent: VecDeque<Instant>,
}

impl Backlog {
    /// Adds a request that begins to wait.
    pub fn insert(&mut self, now: Instant, first_attempt_at: Instant, ticket: TicketId) {
        let has_ended = self.waiting.is_empty()
            && self
                .refused_at
                .is_none_or(|at| now.saturating_duration_since(at) >= MIN_BACKLOG);
        if has_ended || self.since.is_none() {
            self.since = Some(now);
            self.sent.clear();
        }
        self.waiting.insert((first_attempt_at, ticket));
    }

    /// Removes a request that waits no longer; `is_sent` unless it was refused or its caller left.
    pub fn remove(
        &mut self,
        now: Instant,
        first_attempt_at: Instant,
        ticket: TicketId,
        is_sent: bool,
    ) {
        if !self.waiting.remove(&(first_attempt_at, ticket)) {
            return;
        }
        if is_sent {
            self.sent.push_back(now);
        } else {
            self.refused_at = Some(now);
        }
        if is_sent && self.waiting.is_empty() {
            self.since = None;
        }
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > RATE_WINDOW;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
    }

    /// True when so many requests wait before one that at the present rate it is not sent within `left`.
    pub fn outlasts(
        &self,
        now: Instant,
        first_attempt_at: Instant,
        ticket: TicketId,
        left: Duration,
    ) -> bool {
        let Some(waited) = self.since.map(|since| now.saturating_duration_since(since)) else {
            return false;
        };
        if waited < MIN_BACKLOG {
            return false;
        }
        let window = waited.min(RATE_WINDOW);
        let sent = self
            .sent
            .iter()
            .filter(|at| now.saturating_duration_since(**at) <= window);
        let rate = sent.count() as f64 / window.as_secs_f64();
        let sendable = (rate * left.as_secs_f64()) as usize;
        let before = self.waiting.range(..(first_attempt_at, ticket));
        before.take(sendable + 1).count() > sendable
    }
}
