//! What a play came to.

use std::time::Duration;

use super::callers::{Caller, End};

/// Longest pause in an answer that is on time.
const GAP_GOAL: Duration = Duration::from_millis(300);

/// What a play came to.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Requests that are owed an answer.
    pub owed: u32,
    /// Answers that began in time and had no long pause.
    pub on_time: u32,
    /// Whole answers that were late.
    pub late: u32,
    /// Requests that ended refused.
    pub refused: u32,
    /// Requests that ended without an answer.
    pub lost: u32,
    /// Requests that were refused more than once.
    pub refused_again: u32,
    /// Worth of the answers over that of all requests on time.
    pub value_share: f64,
    /// The same of the kind of request that got least.
    pub worst_class: f64,
    /// Answers on time by the second in which they were asked for.
    pub on_time_by_second: Vec<u32>,
    /// Times in which a cold engine got more in a second than it may.
    pub cold_rate_violations: u32,
    /// Requests found at the engine, and time from there to the first event, of answers that began.
    pub first_event_delays: Vec<(u32, Duration)>,
    /// Attempts that an engine ran in part for nobody.
    pub wasted: u32,
}

impl Summary {
    /// Counts what became of all callers.
    pub fn new(callers: &[Caller]) -> Self {
        let mut tally = Self::default();
        let mut by_class: Vec<(&str, f64, f64)> = Vec::new();
        for caller in callers.iter().filter(|c| c.end != Some(End::Left)) {
            let (full, late) = caller.class.value;
            let second = caller.asked.as_secs() as usize;
            if tally.on_time_by_second.len() <= second {
                tally.on_time_by_second.resize(second + 1, 0);
            }
            tally.owed += 1;
            if let (Some((sent, found)), Some(first)) = (caller.sent, caller.first)
                && caller.attempt == 1
            {
                tally
                    .first_event_delays
                    .push((found, first.saturating_sub(sent)));
            }
            tally.refused_again += u32::from(caller.refused > 1);
            let earned = match caller.end {
                Some(End::Answered) if is_on_time(caller) => {
                    tally.on_time += 1;
                    tally.on_time_by_second[second] += 1;
                    full
                }
                Some(End::Answered) => {
                    tally.late += 1;
                    late
                }
                Some(End::Refused) => {
                    tally.refused += 1;
                    0.0
                }
                Some(End::Lost | End::Left) | None => {
                    tally.lost += 1;
                    0.0
                }
            };
            let name = caller.class.name;
            match by_class.iter_mut().find(|(other, ..)| *other == name) {
                Some((_, owed, got)) => {
                    *owed += full;
                    *got += earned;
                }
                None => by_class.push((name, full, earned)),
            }
        }
        let sum = |of: fn(&(&str, f64, f64)) -> f64| by_class.iter().map(of).sum::<f64>();
        tally.value_share = sum(|class| class.2) / sum(|class| class.1).max(1.0);
        let shares = by_class.iter().map(|(_, owed, got)| got / owed.max(1.0));
        tally.worst_class = shares.fold(1.0, f64::min);
        tally
    }

    /// Part of the owed requests.
    pub fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.owed.max(1))
    }
}

fn is_on_time(caller: &Caller) -> bool {
    let first = caller.first.map(|first| first.saturating_sub(caller.asked));
    first.is_some_and(|took| took <= caller.class.goal) && caller.gap <= GAP_GOAL
}
