//! Invariants that every execution must satisfy, checked from the events of the simulated world.
//!
//! The checks depend on observable events only, not on how the cores are implemented.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use limpetloom::Code;
use limpetloom::codes::RunState;
use limpetloom::types::{AttemptId, Digest};

/// Time after which an accepted configuration must be in force at every process.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invariant {
    /// No attempt starts under a configuration that should have been replaced by now.
    InForce,
    /// The configuration generation of a process never decreases.
    MonotonicGeneration,
    /// No attempt starts in a zone that the configuration in force takes out of service.
    ZoneOut,
    /// A host whose agent is stopping admits no attempt.
    NoAdmissionWhileLeaving,
    /// An endpoint never runs more than its current limit, which is low while it is cold.
    ColdLimit,
    /// A caller gets the answer to its own request.
    OwnAnswer,
    /// An answer comes from the version that its attempt is pinned to.
    OneVersion,
    /// A request refused as "not run" has not run and does not run later.
    NotRunNeverRuns,
    /// A keyed operation runs at most once.
    AtMostOnce,
    /// A process that has drained leaves no request unfinished.
    GracefulStop,
    /// The endpoints together never draw more than the power cap.
    PowerCap,
    /// A request crashes at most two endpoints before it is quarantined.
    PoisonQuarantine,
    /// Every caller gets exactly one final answer, unless its entry died.
    OneFinalAnswer,
}

#[derive(Clone, Debug)]
pub struct Violation {
    pub invariant: Invariant,
    pub detail: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.detail)
    }
}

/// One request sent by a caller.
#[derive(Clone, Debug, Default)]
pub struct Send {
    /// Name of the operation; every send with the same idempotency key has the same name.
    pub operation: Arc<str>,
    pub keyed: bool,
    pub entry: usize,
    pub ran: bool,
    pub answered_by: Option<AttemptId>,
    /// `complete`, `replay`, or the code of the refusal.
    pub final_result: Option<String>,
    /// The caller received a refusal that states that the request did not run.
    pub reported_not_run: bool,
    /// The entry died before the caller got a final result.
    pub connection_lost: bool,
}

struct AcceptedConfig {
    at: Instant,
    generation: u64,
    zones_out: BTreeSet<String>,
}

#[derive(Default)]
pub struct Oracle {
    pub violations: Vec<Violation>,
    /// By entry and request number.
    pub sends: BTreeMap<(usize, u64), Send>,
    /// Send and pinned version of each attempt.
    attempts: BTreeMap<AttemptId, ((usize, u64), Option<Digest>)>,
    /// Attempts that started, by operation.
    runs: BTreeMap<Arc<str>, Vec<AttemptId>>,
    /// Crashes by request fingerprint.
    crashes: BTreeMap<Digest, u32>,
    accepted_configs: Vec<AcceptedConfig>,
    /// Last generation of each process.
    generations: BTreeMap<String, u64>,
    store_outages: Vec<(Instant, Instant)>,
}

impl Oracle {
    fn fail(&mut self, invariant: Invariant, detail: String) {
        self.violations.push(Violation { invariant, detail });
    }

    pub fn record_send(&mut self, id: (usize, u64), operation: &str, keyed: bool) {
        let send = Send {
            operation: operation.into(),
            keyed,
            entry: id.0,
            ..Send::default()
        };
        self.sends.insert(id, send);
    }

    pub fn record_dispatch(
        &mut self,
        id: (usize, u64),
        attempt: &AttemptId,
        version: Option<Digest>,
    ) {
        self.attempts.insert(attempt.clone(), (id, version));
    }

    pub fn record_accepted_config(
        &mut self,
        at: Instant,
        generation: u64,
        zones_out: BTreeSet<String>,
    ) {
        self.accepted_configs.push(AcceptedConfig {
            at,
            generation,
            zones_out,
        });
    }

    pub fn record_store_outage(&mut self, from: Instant, to: Instant) {
        self.store_outages.push((from, to));
    }

    /// Records the generation that a process holds, which must not be lower than the one before.
    pub fn check_generation(&mut self, process: String, generation: u64) {
        let before = self.generations.insert(process.clone(), generation);
        if before.is_some_and(|before| before > generation) {
            self.fail(
                Invariant::MonotonicGeneration,
                format!("{process} went back to generation {generation}"),
            );
        }
    }

    /// Records that an endpoint received the first byte of an attempt.
    pub fn record_start(&mut self, now: Instant, attempt: &AttemptId, zone: &str, generation: u64) {
        let Some((id, _)) = self.attempts.get(attempt).cloned() else {
            return;
        };
        let Some(send) = self.sends.get_mut(&id) else {
            return;
        };
        send.ran = true;
        let (operation, keyed, reported_not_run) =
            (send.operation.clone(), send.keyed, send.reported_not_run);
        if reported_not_run {
            self.fail(
                Invariant::NotRunNeverRuns,
                format!("{attempt} ran after it was refused as not run"),
            );
        }
        let runs = self.runs.entry(operation.clone()).or_default();
        runs.push(attempt.clone());
        if keyed && runs.len() > 1 {
            let detail = format!("{operation} ran in the attempts {runs:?}");
            self.fail(Invariant::AtMostOnce, detail);
        }
        self.check_in_force(now, attempt, zone, generation);
    }

    /// Checks the generation of an attempt against the last change that must be in force by now.
    ///
    /// A change is exempt when the object API was down during its `IN_FORCE_LIMIT`.
    fn check_in_force(&mut self, now: Instant, attempt: &str, zone: &str, generation: u64) {
        let is_due = |change: &&AcceptedConfig| {
            let outage = |(from, to): &(Instant, Instant)| {
                *from < change.at + IN_FORCE_LIMIT && *to > change.at
            };
            now > change.at + IN_FORCE_LIMIT && !self.store_outages.iter().any(outage)
        };
        let Some(change) = self.accepted_configs.iter().rfind(is_due) else {
            return;
        };
        let newest = self
            .accepted_configs
            .last()
            .map_or(0, |change| change.generation);
        let is_newest = change.generation == newest;
        if generation < change.generation {
            let detail = format!(
                "{attempt} started under generation {generation} instead of {}",
                change.generation
            );
            self.fail(Invariant::InForce, detail);
        } else if is_newest && change.zones_out.contains(zone) {
            self.fail(
                Invariant::ZoneOut,
                format!("{attempt} started in {zone}, which is out"),
            );
        }
    }

    pub fn check_running_limit(&mut self, endpoint: &str, running: usize, limit: usize) {
        if running > limit {
            let detail = format!("{endpoint} runs {running} requests, its limit is {limit}");
            self.fail(Invariant::ColdLimit, detail);
        }
    }

    pub fn record_admission_while_leaving(&mut self, attempt: &str) {
        self.fail(Invariant::NoAdmissionWhileLeaving, attempt.into());
    }

    /// Records the answer of an endpoint and the version that it came from.
    pub fn record_answer(&mut self, attempt: &AttemptId, version: Option<&Digest>) {
        let Some((id, pinned)) = self.attempts.get(attempt).cloned() else {
            return;
        };
        if pinned.as_ref() != version {
            self.fail(
                Invariant::OneVersion,
                format!("{attempt} was answered by version {version:?}"),
            );
        }
        if let Some(send) = self.sends.get_mut(&id) {
            send.answered_by = Some(attempt.clone());
        }
    }

    pub fn record_completion(&mut self, id: (usize, u64)) {
        let is_answered = self
            .sends
            .get(&id)
            .is_some_and(|send| send.answered_by.is_some());
        if !is_answered {
            self.fail(
                Invariant::OwnAnswer,
                format!("{id:?} completed without an answer from an endpoint"),
            );
        }
        self.record_final_result(id, "complete".into(), false);
    }

    pub fn record_replay(&mut self, id: (usize, u64), answer: &str) {
        let is_own = self
            .sends
            .get(&id)
            .is_some_and(|send| answer == format!("answer to {}", send.operation));
        if !is_own {
            self.fail(
                Invariant::OwnAnswer,
                format!("{id:?} got the answer of another operation: {answer}"),
            );
        }
        self.record_final_result(id, "replay".into(), false);
    }

    pub fn record_refusal(&mut self, id: (usize, u64), code: Code) {
        let not_run = code.run_state() == RunState::NotRun;
        let ran = self.sends.get(&id).is_some_and(|send| send.ran);
        if not_run && ran {
            self.fail(
                Invariant::NotRunNeverRuns,
                format!(
                    "{id:?} ran and was refused as not run with code {}",
                    code.number()
                ),
            );
        }
        self.record_final_result(id, code.number().to_string(), not_run);
    }

    fn record_final_result(&mut self, id: (usize, u64), result: String, not_run: bool) {
        let Some(send) = self.sends.get_mut(&id) else {
            return;
        };
        send.reported_not_run |= not_run;
        if let Some(before) = send.final_result.replace(result.clone()) {
            let detail = format!("{id:?} got two final results: {before} and {result}");
            self.fail(Invariant::OneFinalAnswer, detail);
        }
    }

    pub fn record_crash(&mut self, fingerprint: &Digest) {
        let count = self.crashes.entry(fingerprint.clone()).or_default();
        *count += 1;
        if *count > 2 {
            let detail = format!("{fingerprint} crashed {count} endpoints");
            self.fail(Invariant::PoisonQuarantine, detail);
        }
    }

    pub fn check_drained(&mut self, process: &str, left: usize) {
        if left > 0 {
            self.fail(
                Invariant::GracefulStop,
                format!("{process} stopped with {left} requests unfinished"),
            );
        }
    }

    pub fn check_power(&mut self, draw: u64, cap: u64) {
        if draw > cap {
            self.fail(
                Invariant::PowerCap,
                format!("draw of {draw} mW exceeds the cap of {cap} mW"),
            );
        }
    }

    /// Panics with the first violation, if any.
    pub fn assert_no_violation(&self) {
        if let Some(violation) = self.violations.first() {
            panic!("{violation}");
        }
    }

    /// Sends without a final result whose entry has not died.
    pub fn unanswered(&self) -> Vec<(usize, u64)> {
        self.sends
            .iter()
            .filter(|(_, send)| send.final_result.is_none() && !send.connection_lost)
            .map(|(id, _)| *id)
            .collect()
    }

    pub fn check_all_answered(&mut self) {
        for id in self.unanswered() {
            self.fail(
                Invariant::OneFinalAnswer,
                format!("{id:?} got no final result"),
            );
        }
    }
}
