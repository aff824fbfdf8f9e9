//! Crashes of endpoints: which attempts they end, and the exchange with other processes.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Instant;

use crate::delivery::{BlameChange, Suspect, SuspectCrash};
use crate::dispatch::crash_watch::{
    AttemptEnd, Attested, EndedAttempt, EndpointProcess, EndpointSight,
};
use crate::dispatch::notice::{BlameSource, CrashSign, Notice};
use crate::dispatch::request::{AttemptOutcome, RunningAttempt};
use crate::types::InstanceId;

use super::Dispatcher;

impl Dispatcher {
    /// Applies what the agent on a host, of incarnation `agent`, says about its endpoint.
    pub fn record_sight(
        &mut self,
        now: Instant,
        host: IpAddr,
        agent: InstanceId,
        sight: EndpointSight,
    ) {
        match self.crash_watch.report(now, host, agent, sight) {
            Some(Attested::Crashed(process)) => {
                let attempts = self.crash_watch.take_crashed(now, process);
                self.record_crash(now, process, attempts, CrashSign::Agent);
            }
            Some(Attested::Alive(process)) => {
                let changes = self.suspects.clear_instance(now, process.instance());
                self.notify_blame(changes, BlameSource::Own);
            }
            None => {}
        }
    }

    /// Crashes that other processes should know.
    pub fn crashes(&mut self, now: Instant) -> Vec<SuspectCrash> {
        let changes = self.suspects.expire(now);
        self.notify_blame(changes, BlameSource::Own);
        self.suspects.shared(now)
    }

    /// Merges crashes that other processes know.
    pub fn merge_crashes(&mut self, now: Instant, crashes: &[SuspectCrash]) {
        let changes = self.suspects.merge(now, crashes);
        self.notify_blame(changes, BlameSource::Peers);
    }

    /// Handles the end of a process that is known from a failed connection or from the list. It counts
    /// as a crash where no agent runs beside the endpoint.
    pub(super) fn record_unattested_end(
        &mut self,
        now: Instant,
        process: EndpointProcess,
        sign: CrashSign,
    ) {
        let attempts = self.crash_watch.take_unattested(now, process);
        self.record_crash(now, process, attempts, sign);
    }

    /// Records how an attempt ended, for the suspects of its request.
    pub(super) fn record_ended(
        &mut self,
        now: Instant,
        running: &RunningAttempt,
        suspects: &Arc<[Suspect]>,
        outcome: AttemptOutcome,
    ) {
        let end = match outcome {
            AttemptOutcome::NotRun { .. } | AttemptOutcome::NotSent | AttemptOutcome::Withdrawn => {
                return;
            }
            AttemptOutcome::Answered => AttemptEnd::Answered,
            AttemptOutcome::Broken => AttemptEnd::Broken,
            AttemptOutcome::Rejected
            | AttemptOutcome::Failed
            | AttemptOutcome::Silent
            | AttemptOutcome::Superseded
            | AttemptOutcome::Recalled
            | AttemptOutcome::CallerGone
            | AttemptOutcome::TimedOut => AttemptEnd::Other,
        };
        let attempt = EndedAttempt {
            at: now,
            endpoint: running.endpoint.clone(),
            process: running.process,
            suspects: suspects.clone(),
            end,
        };
        if let Some(crashed) = self.crash_watch.attempt_ended(attempt) {
            self.record_crash(now, running.process, vec![crashed], CrashSign::Agent);
        }
    }

    /// Clears the requests whose answers are known to be complete, and their prompt parts.
    pub(super) fn settle_answers(&mut self, now: Instant) {
        let settled = self.crash_watch.take_settled(now).into_iter();
        for attempt in settled.filter(|attempt| attempt.end == AttemptEnd::Answered) {
            let suspects = attempt.suspects.iter().copied();
            let changes = self.suspects.record_answer(now, suspects);
            self.notify_blame(changes, BlameSource::Own);
        }
    }

    /// Counts the crash of a process against the suspects of the attempts that ended with it.
    fn record_crash(
        &mut self,
        now: Instant,
        process: EndpointProcess,
        attempts: Vec<EndedAttempt>,
        sign: CrashSign,
    ) {
        let Some(endpoint) = attempts.first().map(|attempt| attempt.endpoint.clone()) else {
            return;
        };
        let suspects: BTreeSet<Suspect> = attempts
            .iter()
            .flat_map(|attempt| attempt.suspects.iter().copied())
            .collect();
        let changes = self
            .suspects
            .record_crash(now, suspects, process.instance());
        self.notify(Notice::EndpointCrashed {
            endpoint,
            incarnation: process.incarnation,
            attempts: attempts.len(),
            sign,
        });
        self.notify_blame(changes, BlameSource::Own);
    }

    fn notify_blame(&mut self, changes: Vec<BlameChange>, source: BlameSource) {
        for change in changes {
            self.is_changed = true;
            self.notify(Notice::BlameChanged { change, source });
        }
    }
}
