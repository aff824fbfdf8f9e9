//! Results of a simulation.

use std::time::Duration;

use super::callers::{Caller, RequestOutcome};

/// Longest time between two events of an answer that is on time.
const GAP_GOAL: Duration = Duration::from_millis(300);

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Requests whose callers did not disconnect early; the base of all shares.
    pub expected_answers: u32,
    /// Whole answers that met the start goal and the gap goal.
    pub on_time: u32,
    /// Whole answers that missed one of these goals.
    pub late: u32,
    /// Requests that were refused and not retried again.
    pub refused: u32,
    /// Requests that ended without a whole answer.
    pub lost: u32,
    /// Requests that were refused more than once.
    pub refused_again: u32,
    /// Value of the answers, as a fraction of the value if all requests were answered on time.
    pub value_share: f64,
    /// Lowest such fraction among the request classes.
    pub worst_class_value_share: f64,
    /// Answers on time by the second in which their callers arrived.
    pub on_time_by_second: Vec<u32>,
    /// Requests to cold engines that begin a one-second window with more requests than the engine's
    /// limit allows.
    pub cold_rate_violations: u32,
    /// For each answer that started at the first attempt: the number of requests that were at the
    /// engine when it arrived, and the time from sending it to the first event.
    pub first_event_delays: Vec<(u32, Duration)>,
    /// Attempts cancelled because no event arrived before the silence timeout.
    pub silent_attempts: u32,
}

impl Summary {
    /// Summarises the outcomes of all callers.
    pub fn new(callers: &[Caller]) -> Self {
        let mut summary = Self::default();
        let mut by_class: Vec<(&str, f64, f64)> = Vec::new();
        for caller in callers
            .iter()
            .filter(|c| c.outcome != Some(RequestOutcome::Departed))
        {
            let (full, late) = caller.class.value;
            let second = caller.arrived_at.as_secs() as usize;
            if summary.on_time_by_second.len() <= second {
                summary.on_time_by_second.resize(second + 1, 0);
            }
            summary.expected_answers += 1;
            if let (Some((sent, load)), Some(first)) = (caller.last_send, caller.first_event)
                && caller.attempt == 1
            {
                summary
                    .first_event_delays
                    .push((load, first.saturating_sub(sent)));
            }
            summary.refused_again += u32::from(caller.refusals > 1);
            let earned = match caller.outcome {
                Some(RequestOutcome::Answered) if is_on_time(caller) => {
                    summary.on_time += 1;
                    summary.on_time_by_second[second] += 1;
                    full
                }
                Some(RequestOutcome::Answered) => {
                    summary.late += 1;
                    late
                }
                Some(RequestOutcome::Refused) => {
                    summary.refused += 1;
                    0.0
                }
                Some(RequestOutcome::Lost | RequestOutcome::Departed) | None => {
                    summary.lost += 1;
                    0.0
                }
            };
            let name = caller.class.name;
            match by_class.iter_mut().find(|(other, ..)| *other == name) {
                Some((_, possible, total)) => {
                    *possible += full;
                    *total += earned;
                }
                None => by_class.push((name, full, earned)),
            }
        }
        let sum = |of: fn(&(&str, f64, f64)) -> f64| by_class.iter().map(of).sum::<f64>();
        summary.value_share = sum(|class| class.2) / sum(|class| class.1).max(1.0);
        let shares = by_class
            .iter()
            .map(|(_, possible, total)| total / possible.max(1.0));
        summary.worst_class_value_share = shares.fold(1.0, f64::min);
        summary
    }

    /// `count` as a fraction of the expected answers.
    pub fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.expected_answers.max(1))
    }
}

fn is_on_time(caller: &Caller) -> bool {
    let delay = caller
        .first_event
        .map(|first| first.saturating_sub(caller.arrived_at));
    delay.is_some_and(|delay| delay <= caller.class.start_goal) && caller.max_gap <= GAP_GOAL
}
