//! Model of a planned stop: every request ends before it, and none is sent that may not.

use std::time::{Duration, Instant};

use proptest::prelude::*;

use super::ops::InjectedFault;
use super::{Check, ROUTES, TrackedRequest, World};
use crate::dispatch::tests::fixture::ms;
use crate::dispatch::{Assignment, AttemptOutcome};

/// Least time for which answers count, and the longest.
const COUNTED: (Duration, Duration) = (ms(60_000), ms(120_000));
/// Answers without which nothing is known of how long those take that must run once.
const KNOWN_ANSWERS: usize = 8;
/// Factor on the longest of them.
const ONCE_FACTOR: u32 = 4;

#[derive(Default)]
pub(super) struct StopModel {
    /// Time by which every request ends.
    at: Option<Instant>,
    has_passed: bool,
    /// Answers to requests that must run once: when each came, and how long it took.
    answers: Vec<(Instant, Duration)>,
}

impl StopModel {
    /// Time of the stop, if it comes until `end`.
    pub fn due(&self, now: Instant, end: Instant) -> Option<Instant> {
        let at = self.at.filter(|_| !self.has_passed)?;
        (at <= end).then_some(at.max(now))
    }

    pub fn record_answer(&mut self, now: Instant, took: Duration) {
        self.answers.push((now, took));
    }

    /// Checks that a request which is sent now ends before the stop by what is known of it.
    pub fn check_sent(
        &self,
        now: Instant,
        request: &TrackedRequest,
        assignment: &Assignment,
    ) -> Check {
        let Some(stop_at) = self.at else {
            return Ok(());
        };
        prop_assert!(now < stop_at, "a request is sent after the stop");
        if request.deadline <= stop_at {
            return Ok(());
        }
        let start = now + assignment.predicted;
        prop_assert!(start <= stop_at, "a request begins after the stop");
        if ROUTES[request.route] != "hold" {
            return Ok(());
        }
        let recent = |age: Duration| {
            let answers = self.answers.iter();
            answers.filter(move |(at, _)| now.duration_since(*at) < age)
        };
        prop_assert!(
            recent(COUNTED.1).count() >= KNOWN_ANSWERS,
            "a request that must run once is sent, and nothing is known of its time"
        );
        let longest = recent(COUNTED.0).map(|(_, took)| *took).max();
        let end = now + longest.unwrap_or_default() * ONCE_FACTOR;
        prop_assert!(end <= stop_at, "a request that must run once may be cut");
        Ok(())
    }
}

impl World {
    pub(super) fn begin_stop(&mut self, left: Duration) {
        let at = self.now + left;
        if self.fault != InjectedFault::StopNotApplied {
            self.core.begin_stop(at);
            // Another signal does not end the grace sooner.
            self.core.begin_stop(at - left / 2);
        }
        self.stop.at = Some(at);
    }

    pub(super) fn check_admitted(&self) -> Check {
        prop_assert!(!self.stop.has_passed, "admitted after the stop");
        Ok(())
    }

    /// Ends all requests at the stop, as the driver does at their deadlines.
    pub(super) fn pass_stop(&mut self) -> Check {
        self.stop.has_passed = true;
        self.recall()?;
        self.dispatch_waiting()?;
        let waiting = self.tickets.values().filter(|r| r.running_at.is_none());
        prop_assert_eq!(waiting.count(), 0, "a request waits after the stop");
        let tickets: Vec<_> = self.tickets.keys().copied().collect();
        for ticket in tickets {
            let deadline = self.core.deadline(ticket);
            prop_assert!(
                deadline.is_some_and(|at| at <= self.now),
                "a request may go on after the stop"
            );
            self.end_attempt(ticket, AttemptOutcome::TimedOut)?;
        }
        prop_assert!(self.tickets.is_empty(), "a request outlasts the stop");
        Ok(())
    }
}
