//! Longest recent times of requests from sending to the end of the answer, by route and target.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::types::TargetId;

/// Time after which an observation may be forgotten; it is after twice this time.
const WINDOW: Duration = Duration::from_secs(60);
/// Number of recent answers below which the longest of them is not used as a bound.
const MIN_ANSWERS: u32 = 8;
/// Maximum number of observed routes. Beyond it, those without recent requests are dropped.
const MAX_ROUTES: usize = 4_096;

/// Observations of requests that are not kept for longer than needed to predict others.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkTimes {
    routes: HashMap<(Arc<str>, TargetId), Recent>,
}

/// Observations of one route at one target.
#[derive(Clone, Copy, Debug)]
struct Recent {
    /// Start of `current`; `previous` is the window before it.
    since: Instant,
    current: Window,
    previous: Window,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    longest: Duration,
    answers: u32,
}

impl Recent {
    fn advance(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.since);
        if age < WINDOW {
            return;
        }
        let current = std::mem::take(&mut self.current);
        self.previous = match age < WINDOW * 2 {
            true => current,
            false => Window::default(),
        };
        self.since = now;
    }
}

impl WorkTimes {
    /// Records that a request took so long. One without a whole answer would have taken longer.
    pub fn record(
        &mut self,
        now: Instant,
        route: &Arc<str>,
        target: &TargetId,
        took: Duration,
        is_answered: bool,
    ) {
        let key = (route.clone(), target.clone());
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&key) {
            self.drop_old(now);
        }
        let recent = self.routes.entry(key).or_insert(Recent {
            since: now,
            current: Window::default(),
            previous: Window::default(),
        });
        recent.advance(now);
        let window = &mut recent.current;
        window.longest = window.longest.max(took);
        window.answers = window.answers.saturating_add(u32::from(is_answered));
    }

    /// Longest recent time; `None` when fewer than [`MIN_ANSWERS`] answers are known.
    pub fn longest(&self, now: Instant, route: &Arc<str>, target: &TargetId) -> Option<Duration> {
        let mut recent = *self.routes.get(&(route.clone(), target.clone()))?;
        recent.advance(now);
        let Recent {
            current, previous, ..
        } = recent;
        let answers = current.answers.saturating_add(previous.answers);
        (answers >= MIN_ANSWERS).then_some(current.longest.max(previous.longest))
    }

    /// Drops the routes without recent requests; all of them if each has some.
    fn drop_old(&mut self, now: Instant) {
        self.routes
            .retain(|_, recent| now.saturating_duration_since(recent.since) < WINDOW);
        if self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
    }
}
