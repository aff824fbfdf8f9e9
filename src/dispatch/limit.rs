//! Limits that an endpoint names: the requests per second that it takes from all entries together.

use std::time::{Duration, Instant};

use super::statement::{LimitStatement, StatementSource};

/// Time for which a limit holds after it was last named. One that comes and goes stays in force, and
/// an answer that was overtaken by a later one does not lift it.
const HOLD_TIME: Duration = Duration::from_secs(1);

/// The limit that one source has named.
#[derive(Clone, Copy, Debug, PartialEq)]
struct NamedLimit {
    /// Requests per second, as named.
    rate: f64,
    /// Time at which it was last named, or a stricter one.
    at: Instant,
}

/// What follows from a statement on the limit.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum LimitChange {
    /// The limit in force is another one; `None` when it is lifted.
    InForce(Option<f64>),
    /// What the endpoint names can't be read; it has no effect.
    Invalid(std::sync::Arc<str>),
}

/// Limit in force of one incarnation of an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Limit {
    /// Named in answers that passed this entry. A source that is silent on the limit lifts only what it
    /// has named itself: reports may never name one.
    by_answers: Option<NamedLimit>,
    /// Named in reports to the agent.
    by_agent: Option<NamedLimit>,
    /// True after a limit that could not be read, until one can be.
    is_invalid: bool,
}

impl Limit {
    /// Requests per second from all entries together; `None` without a limit.
    pub fn rate(&self) -> Option<f64> {
        let named = [self.by_answers, self.by_agent].into_iter().flatten();
        named.map(|named| named.rate).reduce(f64::min)
    }

    /// Applies a statement; returns what is new.
    pub fn record(
        &mut self,
        now: Instant,
        source: StatementSource,
        statement: &LimitStatement,
    ) -> Option<LimitChange> {
        let before = self.rate();
        let named = match source {
            StatementSource::Answer => &mut self.by_answers,
            StatementSource::Agent => &mut self.by_agent,
        };
        let rate = match statement {
            LimitStatement::Rate(rate) => Some(*rate),
            LimitStatement::Unlimited => None,
            LimitStatement::Invalid(text) => {
                let is_known = std::mem::replace(&mut self.is_invalid, true);
                return (!is_known).then(|| LimitChange::Invalid(text.clone()));
            }
        };
        self.is_invalid = false;
        let is_held = named.is_some_and(|named| {
            let is_looser = rate.is_none_or(|rate| rate > named.rate);
            is_looser && now.saturating_duration_since(named.at) < HOLD_TIME
        });
        if !is_held {
            *named = rate.map(|rate| NamedLimit { rate, at: now });
        }
        let after = self.rate();
        (before != after).then_some(LimitChange::InForce(after))
    }
}
