//! Limits that an endpoint names: the requests per second that it takes from all entries together.
//!
//! Each entry uses an equal part of the limit. It knows the number of entries from the agents, and
//! needs no message of another entry.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::statement::{LimitStatement, StatementSource};

/// Time for which a limit holds after it was last named. One that comes and goes stays in force.
const HOLD_TIME: Duration = Duration::from_secs(1);

/// Factor by which each answer without a limit raises the one in force, once in [`HOLD_TIME`], so that
/// an endpoint that was in need does not get the requests of all entries at once.
const LOOSEN_FACTOR: f64 = 2.0;

/// Requests per second from which a limit that is not named any more is lifted; more than an engine
/// answers.
const LIFT_RATE: f64 = 50.0;

/// Share of a limit that all entries together use, so that parts that happen to be used at the same
/// time do not exceed it.
const USED_SHARE: f64 = 0.7;

/// Least limit that is applied, in requests per second: one of zero or less would never be heard to
/// end, since only an answer tells.
const MIN_RATE: f64 = 0.25;

/// Requests that all entries together may send at once, as seconds of the limit and a number.
const BURST: (f64, f64) = (1.0, 2.0);

/// Time for which the turn of an entry lasts whose part of the burst is less than one request. Turns of
/// idle entries lapse, so that they do not all send at the same time later.
const TURN_TIME: Duration = Duration::from_secs(1);

/// The limit that one source has named.
#[derive(Clone, Copy, Debug, PartialEq)]
struct NamedLimit {
    /// Requests per second, as named, or more after answers without a limit.
    rate: f64,
    /// Time at which it was last named, or was loosened.
    at: Instant,
    /// What the endpoint has said since, if that is looser; it applies when the limit need not hold any
    /// more. Answers are rare under a low limit, so none of them may be lost.
    looser: Option<Looser>,
}

/// A statement that is looser than the limit in force.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Looser {
    /// Requests per second.
    Rate(f64),
    /// No limit is named.
    Silence,
}

impl NamedLimit {
    fn new(now: Instant, rate: f64) -> Self {
        Self {
            rate,
            at: now,
            looser: None,
        }
    }

    /// The limit at a time; `None` when it is lifted.
    fn at(self, now: Instant) -> Option<Self> {
        let is_held = now.saturating_duration_since(self.at) < HOLD_TIME;
        match self.looser {
            Some(looser) if !is_held => self.loosened(self.at + HOLD_TIME, looser),
            _ => Some(self),
        }
    }

    fn loosened(self, now: Instant, looser: Looser) -> Option<Self> {
        match looser {
            Looser::Rate(rate) => Some(Self::new(now, rate)),
            Looser::Silence => {
                let rate = self.rate.max(MIN_RATE) * LOOSEN_FACTOR;
                (rate < LIFT_RATE).then(|| Self::new(now, rate))
            }
        }
    }

    /// The limit after an answer that names `rate` or, with `None`, no limit. Returns `None` when it is
    /// lifted.
    fn after(self, now: Instant, rate: Option<f64>) -> Option<Self> {
        let looser = match rate {
            Some(rate) if rate <= self.rate => return Some(Self::new(now, rate)),
            Some(rate) => Looser::Rate(rate),
            None => Looser::Silence,
        };
        let waiting = Self {
            looser: Some(looser),
            ..self
        };
        waiting.at(now)
    }
}

/// What follows from a statement on the limit.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum LimitChange {
    /// The limit in force is another one; `None` when it is lifted.
    InForce(Option<f64>),
    /// What the endpoint names can't be read; it has no effect.
    Invalid(Arc<str>),
}

/// One entry's part of a limit.
#[derive(Clone, Copy, Debug)]
struct Share {
    /// Requests per second.
    rate: f64,
    /// Requests that it may send at once.
    burst: f64,
}

impl Share {
    /// Part of one of `entries` entries of a limit in requests per second.
    fn of(limit: f64, entries: u32) -> Self {
        let entries = f64::from(entries.max(1));
        let limit = limit.max(MIN_RATE);
        Self {
            rate: limit * USED_SHARE / entries,
            burst: (limit * BURST.0 + BURST.1) / entries,
        }
    }
}

/// Requests that this entry may send, as a token bucket.
#[derive(Clone, Copy, Debug)]
struct Tokens {
    /// Tokens at `at`; each is a request.
    count: f64,
    at: Instant,
}

impl Tokens {
    /// Tokens at a later time.
    fn at(self, now: Instant, share: Share) -> f64 {
        let elapsed = now.saturating_duration_since(self.at);
        let count = self.count + elapsed.as_secs_f64() * share.rate;
        if share.burst >= 1.0 {
            return count.min(share.burst);
        }
        // A whole token lasts for `TURN_TIME`; then the next one begins to grow.
        count % (1.0 + TURN_TIME.as_secs_f64() * share.rate)
    }
}

/// Limit in force of one incarnation of an endpoint, and this entry's use of it.
#[derive(Clone, Debug, Default)]
pub(super) struct Limit {
    /// Named in answers that passed this entry. A source that is silent on the limit loosens only what it
    /// has named itself: reports may never name one.
    by_answers: Option<NamedLimit>,
    /// Named in reports to the agent.
    by_agent: Option<NamedLimit>,
    /// True after a limit that could not be read, until a number is named.
    is_invalid: bool,
    /// Limit in force at the last statement.
    reported: Option<f64>,
    /// Invariant: present while a limit is in force at the last statement.
    tokens: Option<Tokens>,
}

impl Limit {
    /// Requests per second from all entries together; `None` without a limit.
    pub fn rate(&self, now: Instant) -> Option<f64> {
        let named = [self.by_answers, self.by_agent].into_iter().flatten();
        let rates = named.filter_map(|named| Some(named.at(now)?.rate));
        rates.reduce(f64::min)
    }

    /// Applies a statement; returns what is new. `phase`, from 0 to 1, is how far the first token has
    /// grown when a limit comes into force; it has to differ between entries, which hear of it at
    /// about the same time.
    pub fn record(
        &mut self,
        now: Instant,
        source: StatementSource,
        statement: &LimitStatement,
        entries: u32,
        phase: impl FnOnce() -> f64,
    ) -> Option<LimitChange> {
        let named = match source {
            StatementSource::Answer => self.by_answers,
            StatementSource::Agent => self.by_agent,
        };
        let rate = match statement {
            LimitStatement::Rate(rate) => Some(*rate),
            LimitStatement::Unlimited => None,
            LimitStatement::Invalid(text) => {
                let is_known = std::mem::replace(&mut self.is_invalid, true);
                return (!is_known).then(|| LimitChange::Invalid(text.clone()));
            }
        };
        self.is_invalid &= rate.is_none();
        let before = named.and_then(|named| named.at(now));
        let after = match before {
            Some(before) => before.after(now, rate),
            None => rate.map(|rate| NamedLimit::new(now, rate)),
        };
        let grown = self.tokens_at(now, entries);
        match source {
            StatementSource::Answer => self.by_answers = after,
            StatementSource::Agent => self.by_agent = after,
        }
        let in_force = self.rate(now);
        if in_force != self.reported {
            self.tokens = in_force.map(|_| Tokens {
                count: grown.unwrap_or_else(phase),
                at: now,
            });
        }
        let before = std::mem::replace(&mut self.reported, in_force);
        (before != in_force).then_some(LimitChange::InForce(in_force))
    }

    /// True when this entry may send a request now.
    pub fn admits(&self, now: Instant, entries: u32) -> bool {
        self.tokens_at(now, entries)
            .is_none_or(|tokens| tokens >= 1.0)
    }

    /// Counts a request that this entry sends.
    pub fn sent(&mut self, now: Instant, entries: u32) {
        if let Some(count) = self.tokens_at(now, entries) {
            self.tokens = Some(Tokens {
                count: count - 1.0,
                at: now,
            });
        }
    }

    /// Prepares for another number of entries; `entries` is the one up to now.
    pub fn settle(&mut self, now: Instant, entries: u32) {
        if let Some(count) = self.tokens_at(now, entries) {
            self.tokens = Some(Tokens { count, at: now });
        }
    }

    fn tokens_at(&self, now: Instant, entries: u32) -> Option<f64> {
        let share = Share::of(self.rate(now)?, entries);
        self.tokens.map(|tokens| tokens.at(now, share))
    }
}
