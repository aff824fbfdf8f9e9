//! Questions to the agent that a claim names.

use std::sync::Arc;

use crate::codes::Code;
use crate::types::{AttemptId, Generation, HostId};
use crate::wire::{SettleReply, SettleState};

use super::{Claim, ClaimRecord, ClaimState, ClaimStep, ROUNDS_MAX, State};

impl Claim {
    /// Takes in the reply to a [`ClaimStep::Settle`].
    pub fn handle_settle_reply(&mut self, reply: Option<SettleReply>) -> Vec<ClaimStep> {
        match self.state.clone() {
            State::SettlingOther { version, other } => self.other_settled(version, &other, reply),
            State::SettlingOwn { version, delivered } => {
                self.own_settled(version, delivered, reply)
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
            key: self.operation.key.clone(),
            attempt,
        }
    }

    /// The other attempt is fenced: it will never run, so the key is claimed anew.
    fn other_settled(
        &mut self,
        version: Generation,
        other: &ClaimRecord,
        reply: Option<SettleReply>,
    ) -> Vec<ClaimStep> {
        match verdict(reply, other.agent_instance) {
            Settled::NotRun if self.rounds < ROUNDS_MAX && other.state == ClaimState::Claimed => {
                self.write(version)
            }
            Settled::NotRun | Settled::Unknown => self.refuse(Code::OutcomeUnknown),
            Settled::Running => self.refuse(Code::StillRunning),
            Settled::Done(answer) => {
                let mut steps = vec![ClaimStep::Replay(answer.clone())];
                self.chosen.attempt = other.attempt.clone();
                self.chosen.endpoint = other.endpoint.clone();
                self.chosen.host = other.host.clone();
                self.chosen.agent_instance = other.agent_instance;
                steps.extend(self.record(version, ClaimState::Done, Some(answer)));
                steps
            }
        }
    }

    fn own_settled(
        &mut self,
        version: Generation,
        delivered: u64,
        reply: Option<SettleReply>,
    ) -> Vec<ClaimStep> {
        match verdict(reply, self.chosen.agent_instance) {
            Settled::NotRun => self.not_run(version, Code::NoEndpoint),
            Settled::Unknown => self.refuse(Code::OutcomeUnknown),
            Settled::Running => self.refuse(Code::StillRunning),
            Settled::Done(answer) => {
                let last = match delivered {
                    0 => vec![ClaimStep::Replay(answer.clone())],
                    _ => self.refuse(Code::AnswerBroken),
                };
                let record = self.record(version, ClaimState::Done, Some(answer));
                last.into_iter().chain(record).collect()
            }
        }
    }
}

enum Settled {
    NotRun,
    Running,
    Done(Arc<str>),
    Unknown,
}

/// An agent that was not reached or restarted proves nothing.
fn verdict(reply: Option<SettleReply>, instance: u64) -> Settled {
    let Some(reply) = reply.filter(|reply| reply.agent_instance == instance) else {
        return Settled::Unknown;
    };
    match (reply.state, reply.answer) {
        (SettleState::Fenced, _) => Settled::NotRun,
        (SettleState::Running, _) => Settled::Running,
        (SettleState::Done, Some(answer)) => Settled::Done(answer.into()),
        (SettleState::Done, None) | (SettleState::Unknown, _) => Settled::Unknown,
    }
}
