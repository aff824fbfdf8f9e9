//! Asking the agent that a claim names for the outcome of its attempt.

use std::sync::Arc;

use crate::codes::Code;
use crate::types::{AttemptId, Generation, HostId};
use crate::wire::{SettleReply, SettleState};

use super::{Claim, ClaimRecord, ClaimState, ClaimStep, READS_MAX, State};

impl Claim {
    /// Handles the reply to a [`ClaimStep::Settle`].
    pub fn handle_settle_reply(&mut self, reply: Option<SettleReply>) -> Vec<ClaimStep> {
        match self.state.clone() {
            State::SettlingOther { version, other } => {
                self.handle_other_outcome(version, &other, reply)
            }
            State::SettlingOwn { version, delivered } => {
                self.handle_own_outcome(version, delivered, reply)
            }
            _ => Vec::new(),
        }
    }

    pub(super) fn settle_other(
        &mut self,
        version: Generation,
        other: ClaimRecord,
    ) -> Vec<ClaimStep> {
        let step = self.settle_step(other.host.clone(), other.attempt.clone());
        let other = Box::new(other);
        self.state = State::SettlingOther { version, other };
        vec![step]
    }

    pub(super) fn settle_own(&mut self, version: Generation, delivered: u64) -> Vec<ClaimStep> {
        self.state = State::SettlingOwn { version, delivered };
        let host = self.chosen.host.clone();
        let attempt = self.chosen.attempt.clone();
        vec![self.settle_step(host, attempt)]
    }

    fn settle_step(&self, host: HostId, attempt: AttemptId) -> ClaimStep {
        ClaimStep::Settle {
            host,
            key: self.request.key.clone(),
            attempt,
        }
    }

    /// Acts on the outcome of another submission's attempt. An attempt that did not run is
    /// fenced and cannot run later, so its key is claimed again.
    fn handle_other_outcome(
        &mut self,
        version: Generation,
        other: &ClaimRecord,
        reply: Option<SettleReply>,
    ) -> Vec<ClaimStep> {
        match proven_outcome(reply, other.agent_instance) {
            ProvenOutcome::NotRun
                if self.reads < READS_MAX && other.state == ClaimState::Claimed =>
            {
                self.write(version)
            }
            ProvenOutcome::NotRun | ProvenOutcome::Unknown => self.refuse(Code::OutcomeUnknown),
            ProvenOutcome::Running => self.refuse(Code::StillRunning),
            ProvenOutcome::Done(answer) => {
                let mut steps = vec![ClaimStep::Replay(answer.clone())];
                self.chosen.attempt = other.attempt.clone();
                self.chosen.endpoint = other.endpoint.clone();
                self.chosen.host = other.host.clone();
                self.chosen.agent_instance = other.agent_instance;
                steps.extend(self.record_outcome(version, ClaimState::Done, Some(answer)));
                steps
            }
        }
    }

    /// Acts on the outcome of the own attempt, of which `delivered` tokens reached the caller.
    fn handle_own_outcome(
        &mut self,
        version: Generation,
        delivered: u64,
        reply: Option<SettleReply>,
    ) -> Vec<ClaimStep> {
        match proven_outcome(reply, self.chosen.agent_instance) {
            ProvenOutcome::NotRun => self.not_run(version, Code::NoEndpoint),
            ProvenOutcome::Unknown => self.refuse(Code::OutcomeUnknown),
            ProvenOutcome::Running => self.refuse(Code::StillRunning),
            ProvenOutcome::Done(answer) => {
                let final_step = match delivered {
                    0 => vec![ClaimStep::Replay(answer.clone())],
                    _ => self.refuse(Code::AnswerBroken),
                };
                let record = self.record_outcome(version, ClaimState::Done, Some(answer));
                final_step.into_iter().chain(record).collect()
            }
        }
    }
}

/// Outcome of an attempt as far as its agent can prove it.
enum ProvenOutcome {
    NotRun,
    Running,
    Done(Arc<str>),
    Unknown,
}

/// Outcome that an agent's reply proves. An agent that was not reached, or that restarted since the
/// claim, proves nothing.
fn proven_outcome(reply: Option<SettleReply>, instance: u64) -> ProvenOutcome {
    let Some(reply) = reply.filter(|reply| reply.agent_instance == instance) else {
        return ProvenOutcome::Unknown;
    };
    match (reply.state, reply.answer) {
        (SettleState::Fenced, _) => ProvenOutcome::NotRun,
        (SettleState::Running, _) => ProvenOutcome::Running,
        (SettleState::Done, Some(answer)) => ProvenOutcome::Done(answer.into()),
        (SettleState::Done, None) | (SettleState::Unknown, _) => ProvenOutcome::Unknown,
    }
}
