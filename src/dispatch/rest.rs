//! Rest that endpoints ask of this entry: a time in which they want no further request from it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::endpoint::EndpointKey;
use super::statement::RestStatement;

/// Longest rest that is kept. An endpoint restarts within seconds, so a longer time is a mistake, such as
/// one of units, and only an answer can tell that it has ended.
pub(super) const MAX_REST: Duration = Duration::from_secs(60);
/// Share of a rest by which it is prolonged at most, and the most time of that. The part differs at random,
/// so that entries that were asked at the same time do not return in the same instant.
const SPREAD: (f64, Duration) = (0.1, Duration::from_millis(500));
/// Maximum number of processes that are kept; those that started first are dropped.
const MAX_PROCESSES: usize = 4_096;

/// Rest that one process of an endpoint has asked for.
#[derive(Clone, Copy, Debug, Default)]
struct Rest {
    /// Latest end of all times named; `None` when none is in force.
    until: Option<Instant>,
    /// Number of answers that have asked for it.
    answers: u32,
    /// True after a time that could not be read, until one is named that can.
    is_invalid: bool,
}

/// What follows from a statement on the rest.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RestChange {
    /// A rest begins, which is kept for this time.
    Began(Duration),
    /// What the endpoint names can't be read; it has no effect.
    Invalid(Arc<str>),
}

/// Rests that endpoints have asked for, also those of processes that have left the list: the list may name
/// them again before the end.
#[derive(Clone, Debug, Default)]
pub(super) struct Rests {
    /// Invariant: at most [`MAX_PROCESSES`], and each has a rest in force or an invalid time.
    processes: BTreeMap<EndpointKey, Rest>,
}

impl Rests {
    /// Applies a statement of a process; returns what is new. `phase`, from 0 to 1, is the part of the
    /// spread; it has to differ between entries.
    pub fn record(
        &mut self,
        now: Instant,
        key: EndpointKey,
        statement: &RestStatement,
        phase: impl FnOnce() -> f64,
    ) -> Option<RestChange> {
        let named = match statement {
            RestStatement::NotAsked => return None,
            RestStatement::For(named) => *named,
            RestStatement::Invalid(text) => {
                let rest = self.get_or_insert(key);
                let is_known = std::mem::replace(&mut rest.is_invalid, true);
                return (!is_known).then(|| RestChange::Invalid(text.clone()));
            }
        };
        let kept = named.min(MAX_REST);
        let kept = kept + kept.mul_f64(SPREAD.0).min(SPREAD.1).mul_f64(phase());
        let rest = self.get_or_insert(key);
        rest.is_invalid = false;
        rest.answers += 1;
        let before = rest.until.replace(now + kept);
        rest.until = rest.until.max(before);
        // One whose time has passed has not been ended yet.
        let is_new = before.is_none_or(|until| until <= now);
        is_new.then_some(RestChange::Began(kept))
    }

    fn get_or_insert(&mut self, key: EndpointKey) -> &mut Rest {
        if self.processes.len() >= MAX_PROCESSES && !self.processes.contains_key(&key) {
            self.processes.pop_first();
        }
        self.processes.entry(key).or_default()
    }

    /// End of the rest of a process; `None` when none is in force.
    pub fn until(&self, now: Instant, key: &EndpointKey) -> Option<Instant> {
        let until = self.processes.get(key)?.until?;
        (now < until).then_some(until)
    }

    /// Earliest end of a rest.
    pub fn next_end(&self) -> Option<Instant> {
        self.processes.values().filter_map(|rest| rest.until).min()
    }

    /// Ends the rests whose time has passed; returns them with the number of answers that had asked for
    /// each.
    pub fn end_passed(&mut self, now: Instant) -> Vec<(EndpointKey, u32)> {
        let mut ended = Vec::new();
        self.processes.retain(|key, rest| {
            if rest.until.is_some_and(|until| until <= now) {
                ended.push((key.clone(), rest.answers));
                *rest = Rest {
                    is_invalid: rest.is_invalid,
                    ..Rest::default()
                };
            }
            rest.until.is_some() || rest.is_invalid
        });
        ended
    }
}
