//! Crashes by request and by prompt part: which attempts they end, and the exchange with other
//! processes.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Instant;

use crate::delivery::{BlameChange, PartCrash};
use crate::dispatch::crash_watch::{
    AttemptEnd, Attested, EndedAttempt, EndpointProcess, EndpointSight,
};
use crate::dispatch::notice::{BlameSource, CrashSign, Notice};
use crate::dispatch::request::{AttemptOutcome, RunningAttempt};
use crate::types::{InstanceId, PromptPart};

use super::{Dispatcher, digest};

/// Maximum number of crashes of whole requests in a heartbeat; agents forward as many.
const MAX_SHARED_CRASHES: usize = 64;

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
                self.record_part_crashes(now, process, attempts);
            }
            Some(Attested::Alive(process)) => {
                let changes = self.suspects.clear_instance(now, process.instance());
                self.notify_blame(changes, BlameSource::Own);
            }
            None => {}
        }
    }

    /// Request fingerprints with the endpoint incarnations that crashed while running them, newest
    /// last; at most `MAX_SHARED_CRASHES`.
    pub fn crashes(&self, now: Instant) -> Vec<(u64, InstanceId)> {
        let mut records = self.quarantine.entries(now);
        records.sort_by_key(|record| record.age_ms);
        let pairs = records.iter().filter_map(|record| {
            let fingerprint = u64::from_str_radix(&record.fingerprint, 16).ok()?;
            Some(record.crashed.iter().map(move |id| (fingerprint, *id)))
        });
        let mut newest: Vec<_> = pairs.flatten().take(MAX_SHARED_CRASHES).collect();
        newest.reverse();
        newest
    }

    /// Merges crashes that other entries observed.
    pub fn merge_crashes(&mut self, now: Instant, crashes: &[(u64, InstanceId)]) {
        for (fingerprint, instance) in crashes {
            self.quarantine
                .record_crash(now, &digest(*fingerprint), *instance);
        }
    }

    /// Crashes by prompt part that other processes should know.
    pub fn part_crashes(&mut self, now: Instant) -> Vec<PartCrash> {
        let changes = self.suspects.expire(now);
        self.notify_blame(changes, BlameSource::Own);
        self.suspects.shared(now)
    }

    /// Merges crashes by prompt part that other processes know.
    pub fn merge_part_crashes(&mut self, now: Instant, crashes: &[PartCrash]) {
        let changes = self.suspects.merge(now, crashes);
        self.notify_blame(changes, BlameSource::Peers);
    }

    /// Records how an attempt ended, for the parts of its prompt.
    pub(super) fn record_ended(
        &mut self,
        now: Instant,
        running: &RunningAttempt,
        parts: &Arc<[PromptPart]>,
        outcome: AttemptOutcome,
    ) {
        let end = match outcome {
            AttemptOutcome::NotRun { .. } | AttemptOutcome::NotSent => return,
            AttemptOutcome::Answered => AttemptEnd::Answered,
            AttemptOutcome::Broken => AttemptEnd::Broken,
            AttemptOutcome::Rejected
            | AttemptOutcome::Failed
            | AttemptOutcome::Silent
            | AttemptOutcome::CallerGone
            | AttemptOutcome::TimedOut => AttemptEnd::Other,
        };
        if parts.is_empty() {
            return;
        }
        let attempt = EndedAttempt {
            at: now,
            endpoint: running.endpoint.clone(),
            process: running.process,
            parts: parts.clone(),
            end,
        };
        if let Some(crashed) = self.crash_watch.attempt_ended(attempt) {
            self.record_part_crashes(now, running.process, vec![crashed]);
        }
    }

    /// Clears the parts of the requests whose answers are known to be complete.
    pub(super) fn settle_answers(&mut self, now: Instant) {
        let settled = self.crash_watch.take_settled(now).into_iter();
        for attempt in settled.filter(|attempt| attempt.end == AttemptEnd::Answered) {
            let parts = attempt.parts.iter().copied();
            let changes = self.suspects.record_answer(now, parts);
            self.notify_blame(changes, BlameSource::Own);
        }
    }

    /// Counts the crash of a process against the parts of the attempts that ended with it.
    fn record_part_crashes(
        &mut self,
        now: Instant,
        process: EndpointProcess,
        attempts: Vec<EndedAttempt>,
    ) {
        let Some(endpoint) = attempts.first().map(|attempt| attempt.endpoint.clone()) else {
            return;
        };
        let parts: BTreeSet<PromptPart> = attempts
            .iter()
            .flat_map(|attempt| attempt.parts.iter().copied())
            .collect();
        let changes = self.suspects.record_crash(now, parts, process.instance());
        self.notify(Notice::EndpointCrashed {
            endpoint,
            incarnation: process.incarnation,
            attempts: attempts.len(),
            sign: CrashSign::Agent,
        });
        self.notify_blame(changes, BlameSource::Own);
    }

    fn notify_blame(&mut self, changes: Vec<BlameChange>, source: BlameSource) {
        for change in changes {
            self.notify(Notice::BlameChanged { change, source });
        }
    }
}
