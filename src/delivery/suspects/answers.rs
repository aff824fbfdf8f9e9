//! When requests with each suspect were last answered in full.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::Suspect;

/// Maximum number of suspects whose last answer is remembered; the oldest are forgotten first. Most
/// requests never come again, so they are kept apart from prompt parts.
const ANSWERED_MAX: usize = 4_096;

/// Time for which a suspect counts as recently answered.
const ANSWERED_RECENTLY: Duration = Duration::from_secs(5);

/// How recently a request with a suspect was answered in full. Suspects of earlier variants are
/// blamed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Answered {
    Never,
    LongAgo,
    Recently,
}

/// Times of the last complete answers.
#[derive(Clone, Debug, Default)]
pub(super) struct Answers {
    parts: LastAnswers,
    requests: LastAnswers,
}

impl Answers {
    /// Records that a request with the suspect was answered in full; an older answer changes
    /// nothing.
    pub fn record(&mut self, at: Instant, suspect: Suspect) {
        match suspect {
            Suspect::Part(_) => self.parts.record(at, suspect),
            Suspect::Request(_) => self.requests.record(at, suspect),
        }
    }

    /// Time of the last answer; `None` when none is remembered.
    pub fn last(&self, suspect: Suspect) -> Option<Instant> {
        match suspect {
            Suspect::Part(_) => self.parts.last(suspect),
            Suspect::Request(_) => self.requests.last(suspect),
        }
    }

    pub fn standing(&self, now: Instant, suspect: Suspect) -> Answered {
        match self.last(suspect) {
            None => Answered::Never,
            Some(at) if now.saturating_duration_since(at) >= ANSWERED_RECENTLY => Answered::LongAgo,
            Some(_) => Answered::Recently,
        }
    }

    /// Forgets answers that are older than `ttl`.
    pub fn expire(&mut self, now: Instant, ttl: Duration) {
        self.parts.expire(now, ttl);
        self.requests.expire(now, ttl);
    }
}

#[derive(Clone, Debug, Default)]
struct LastAnswers {
    /// Invariant: at most [`ANSWERED_MAX`].
    at: BTreeMap<Suspect, Instant>,
    /// Answers in the order in which they were recorded. Those that are not the last one of their
    /// suspect are skipped when it is their turn to be forgotten.
    ///
    /// Invariant: at most twice [`ANSWERED_MAX`]; contains the last answer of each suspect.
    order: VecDeque<(Instant, Suspect)>,
}

impl LastAnswers {
    fn record(&mut self, at: Instant, suspect: Suspect) {
        if self.last(suspect).is_some_and(|last| last >= at) {
            return;
        }
        self.at.insert(suspect, at);
        self.order.push_back((at, suspect));
        while self.at.len() > ANSWERED_MAX {
            self.forget_oldest();
        }
        if self.order.len() > 2 * ANSWERED_MAX {
            let last = &self.at;
            self.order
                .retain(|(at, suspect)| last.get(suspect) == Some(at));
        }
    }

    fn last(&self, suspect: Suspect) -> Option<Instant> {
        self.at.get(&suspect).copied()
    }

    fn expire(&mut self, now: Instant, ttl: Duration) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= ttl;
        while self.order.front().is_some_and(|(at, _)| is_old(*at)) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((at, suspect)) = self.order.pop_front()
            && self.last(suspect) == Some(at)
        {
            self.at.remove(&suspect);
        }
    }
}
