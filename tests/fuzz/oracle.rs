//! What must hold, stated without regard to how it is done.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use limpetloom::Code;
use limpetloom::codes::RunState;
use limpetloom::types::{AttemptId, Digest};

/// Time within which a change is in force.
pub const IN_FORCE: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Promise {
    InForce,
    NeverBack,
    ZoneOut,
    Leaving,
    ColdBound,
    OwnAnswer,
    OneVersion,
    NotRunIsTrue,
    AtMostOnce,
    GracefulStop,
    PowerCap,
    Poison,
    OneFinalAnswer,
}

#[derive(Clone, Debug)]
pub struct Violation {
    pub promise: Promise,
    pub detail: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.detail)
    }
}

/// One send by a caller.
#[derive(Clone, Debug, Default)]
pub struct Send {
    /// Name of the operation; the same for every send of one key.
    pub work: Arc<str>,
    pub keyed: bool,
    pub entry: usize,
    pub ran: bool,
    pub answered_by: Option<AttemptId>,
    pub told: Option<String>,
    pub told_not_run: bool,
    /// The caller lost its connection, because the entry died.
    pub cut: bool,
}

struct Accepted {
    at: Instant,
    generation: u64,
    zones_out: BTreeSet<String>,
}

#[derive(Default)]
pub struct Oracle {
    pub violations: Vec<Violation>,
    pub sends: BTreeMap<(usize, u64), Send>,
    attempts: BTreeMap<AttemptId, ((usize, u64), Option<Digest>)>,
    runs: BTreeMap<Arc<str>, Vec<AttemptId>>,
    crashes: BTreeMap<Digest, u32>,
    accepted: Vec<Accepted>,
    generations: BTreeMap<String, u64>,
    store_down_at: Vec<(Instant, Instant)>,
}

impl Oracle {
    fn fail(&mut self, promise: Promise, detail: String) {
        self.violations.push(Violation { promise, detail });
    }

    pub fn sent(&mut self, id: (usize, u64), work: &str, keyed: bool) {
        let send = Send {
            work: work.into(),
            keyed,
            entry: id.0,
            ..Send::default()
        };
        self.sends.insert(id, send);
    }

    pub fn dispatched(&mut self, id: (usize, u64), attempt: &AttemptId, version: Option<Digest>) {
        self.attempts.insert(attempt.clone(), (id, version));
    }

    pub fn accepted(&mut self, at: Instant, generation: u64, zones_out: BTreeSet<String>) {
        self.accepted.push(Accepted {
            at,
            generation,
            zones_out,
        });
    }

    pub fn store_down(&mut self, from: Instant, to: Instant) {
        self.store_down_at.push((from, to));
    }

    /// A process that has a configuration says which.
    pub fn holds(&mut self, process: String, generation: u64) {
        let before = self.generations.insert(process.clone(), generation);
        if before.is_some_and(|before| before > generation) {
            self.fail(Promise::NeverBack, format!("{process} at {generation}"));
        }
    }

    /// An attempt's first byte reached an endpoint.
    pub fn started(&mut self, now: Instant, attempt: &AttemptId, zone: &str, generation: u64) {
        let Some((id, _)) = self.attempts.get(attempt).cloned() else {
            return;
        };
        let Some(send) = self.sends.get_mut(&id) else {
            return;
        };
        send.ran = true;
        let (work, keyed, told_not_run) = (send.work.clone(), send.keyed, send.told_not_run);
        if told_not_run {
            self.fail(
                Promise::NotRunIsTrue,
                format!("{attempt} ran after the refusal"),
            );
        }
        let runs = self.runs.entry(work.clone()).or_default();
        runs.push(attempt.clone());
        if keyed && runs.len() > 1 {
            let detail = format!("{work} by {runs:?}");
            self.fail(Promise::AtMostOnce, detail);
        }
        self.check_in_force(now, attempt, zone, generation);
    }

    /// A change counts when the object API was up throughout the time that it has.
    fn check_in_force(&mut self, now: Instant, attempt: &str, zone: &str, generation: u64) {
        let due = |change: &&Accepted| {
            let outage =
                |(from, to): &(Instant, Instant)| *from < change.at + IN_FORCE && *to > change.at;
            now > change.at + IN_FORCE && !self.store_down_at.iter().any(outage)
        };
        let Some(change) = self.accepted.iter().rfind(due) else {
            return;
        };
        let newest = self.accepted.last().map_or(0, |change| change.generation);
        let is_newest = change.generation == newest;
        if generation < change.generation {
            let detail = format!("{attempt} at {generation}, due {}", change.generation);
            self.fail(Promise::InForce, detail);
        } else if is_newest && change.zones_out.contains(zone) {
            self.fail(Promise::ZoneOut, format!("{attempt} in {zone}"));
        }
    }

    pub fn holding(&mut self, endpoint: &str, running: usize, bound: usize) {
        if running > bound {
            let detail = format!("{endpoint} runs {running}, bears {bound}");
            self.fail(Promise::ColdBound, detail);
        }
    }

    pub fn admitted_by_leaving(&mut self, attempt: &str) {
        self.fail(Promise::Leaving, attempt.into());
    }

    /// The endpoint answered an attempt under a version.
    pub fn answered(&mut self, attempt: &AttemptId, version: Option<&Digest>) {
        let Some((id, pinned)) = self.attempts.get(attempt).cloned() else {
            return;
        };
        if pinned.as_ref() != version {
            self.fail(Promise::OneVersion, format!("{attempt}: {version:?}"));
        }
        if let Some(send) = self.sends.get_mut(&id) {
            send.answered_by = Some(attempt.clone());
        }
    }

    pub fn completed(&mut self, id: (usize, u64)) {
        let whole = self
            .sends
            .get(&id)
            .is_some_and(|send| send.answered_by.is_some());
        if !whole {
            self.fail(
                Promise::OwnAnswer,
                format!("{id:?} ended without an answer"),
            );
        }
        self.told(id, "complete".into(), false);
    }

    pub fn replayed(&mut self, id: (usize, u64), answer: &str) {
        let own = self
            .sends
            .get(&id)
            .is_some_and(|send| answer == format!("answer to {}", send.work));
        if !own {
            self.fail(Promise::OwnAnswer, format!("{id:?} got {answer}"));
        }
        self.told(id, "replay".into(), false);
    }

    pub fn refused(&mut self, id: (usize, u64), code: Code) {
        let not_run = code.run_state() == RunState::NotRun;
        let ran = self.sends.get(&id).is_some_and(|send| send.ran);
        if not_run && ran {
            self.fail(
                Promise::NotRunIsTrue,
                format!("{id:?} told {}", code.number()),
            );
        }
        self.told(id, code.number().to_string(), not_run);
    }

    fn told(&mut self, id: (usize, u64), what: String, not_run: bool) {
        let Some(send) = self.sends.get_mut(&id) else {
            return;
        };
        send.told_not_run |= not_run;
        if let Some(before) = send.told.replace(what.clone()) {
            let detail = format!("{id:?} told {before} and {what}");
            self.fail(Promise::OneFinalAnswer, detail);
        }
    }

    pub fn crashed(&mut self, poison: &Digest) {
        let count = self.crashes.entry(poison.clone()).or_default();
        *count += 1;
        if *count > 2 {
            let detail = format!("{poison}: {count} crashes");
            self.fail(Promise::Poison, detail);
        }
    }

    pub fn drained(&mut self, process: &str, left: usize) {
        if left > 0 {
            self.fail(Promise::GracefulStop, format!("{process} left {left}"));
        }
    }

    pub fn power(&mut self, draw: u64, cap: u64) {
        if draw > cap {
            self.fail(Promise::PowerCap, format!("{draw} mW above {cap} mW"));
        }
    }

    /// Fails with the first violation.
    pub fn check(&self) {
        if let Some(violation) = self.violations.first() {
            panic!("{violation}");
        }
    }

    /// Callers of live entries that have no final answer.
    pub fn unanswered(&self) -> Vec<(usize, u64)> {
        self.sends
            .iter()
            .filter(|(_, send)| send.told.is_none() && !send.cut)
            .map(|(id, _)| *id)
            .collect()
    }

    pub fn settle(&mut self) {
        for id in self.unanswered() {
            self.fail(Promise::OneFinalAnswer, format!("{id:?} got none"));
        }
    }
}
