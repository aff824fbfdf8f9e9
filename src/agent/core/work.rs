//! Life of attempts at the agent.

use std::sync::Arc;
use std::time::Instant;

use crate::codes::Code;
use crate::delivery::{OfferDecision, QuarantineStatus};
use crate::telemetry::Event;
use crate::types::{AttemptId, InstanceId};

use super::gate::{GateStep, RunState, Ticket};
use super::{AgentAction, AgentCore, EndpointProbe, Offer};

impl AgentCore {
    /// Decides on an offer. A keyed attempt that is refused as not run is fenced, so that a late
    /// copy of it does not run either.
    pub(super) fn offered(&mut self, now: Instant, offer: Offer, actions: &mut Vec<AgentAction>) {
        if self.attempts.contains_key(&offer.attempt) {
            actions.push(AgentAction::Log {
                event: Event::DuplicateAttempt,
                detail: offer.attempt.to_string(),
            });
            return;
        }
        if offer.agent_instance != self.cfg.instance {
            self.refuse(now, &offer.attempt, Code::WrongInstance, false, actions);
            return;
        }
        if let Some(key) = offer.key.clone() {
            let work = (offer.customer.clone(), offer.class.clone(), key);
            match self.ledger.offer(now, &offer.attempt, work) {
                OfferDecision::Run => {}
                OfferDecision::Replay(answer) => {
                    let attempt = offer.attempt;
                    actions.push(AgentAction::Replay { attempt, answer });
                    return;
                }
                OfferDecision::Refuse(code) => {
                    self.refuse(now, &offer.attempt, code, false, actions);
                    return;
                }
            }
        }
        if let Some(code) = self.refusal(now, &offer) {
            self.refuse(now, &offer.attempt, code, offer.key.is_some(), actions);
            return;
        }
        self.admit(now, offer, actions);
    }

    pub(super) fn started(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(gate) = self.gate_of(attempt) else {
            return;
        };
        if gate.started(now, attempt) {
            let detail = format!("{}: first token jumped", gate.cfg().id);
            actions.push(AgentAction::Log {
                event: Event::EndpointState,
                detail,
            });
        }
    }

    pub(super) fn answered(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        tokens: u32,
        answer: Option<Arc<str>>,
    ) {
        let running = self
            .gate_of(attempt)
            .and_then(|gate| gate.answered(now, attempt, tokens));
        let Some(running) = running else {
            return;
        };
        self.attempts.remove(attempt);
        if running.ticket.keyed {
            self.ledger.record_answer(attempt, answer);
        }
        if running.ticket.suspect {
            self.quarantine
                .completed_alone(now, &running.ticket.fingerprint);
        }
    }

    /// An attempt broke off. Only work of which no byte was sent has certainly not run.
    pub(super) fn broken(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        maybe_sent: bool,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(gate) = self.gate_of(attempt) else {
            return;
        };
        let instance = gate.instance();
        let Some(running) = gate.broken(attempt, maybe_sent) else {
            return;
        };
        self.attempts.remove(attempt);
        let keyed = running.ticket.keyed;
        if !maybe_sent {
            self.refuse(now, attempt, Code::NoEndpoint, keyed, actions);
            return;
        }
        if let Some(instance) = instance
            && running.state != RunState::Cancelling
        {
            self.note_break(now, instance, &running.ticket);
        }
        self.ledger.record_lost(attempt);
        let code = if keyed {
            Code::OutcomeUnknown
        } else {
            Code::AnswerBroken
        };
        self.refuse(now, attempt, code, false, actions);
    }

    pub(super) fn paused(&mut self, attempt: &AttemptId) {
        if let Some(gate) = self.gate_of(attempt) {
            gate.paused(attempt);
        }
    }

    /// The reader is gone. Keyed work runs on, because its outcome will be asked for.
    pub(super) fn entry_gone(&mut self, attempt: &AttemptId, actions: &mut Vec<AgentAction>) {
        let Some(gate) = self.gate_of(attempt) else {
            return;
        };
        if let Some(running) = gate.running().get(attempt)
            && running.ticket.keyed
        {
            return;
        }
        if gate.withdraw(attempt) {
            actions.push(AgentAction::Cancel {
                endpoint: gate.cfg().id.clone(),
                attempt: attempt.clone(),
            });
        } else if !gate.running().contains_key(attempt) {
            self.attempts.remove(attempt);
        }
    }

    /// A cancelled attempt gives its place back.
    pub(super) fn cancelled(&mut self, attempt: &AttemptId) {
        if let Some(gate) = self.gate_of(attempt)
            && gate.cancelled(attempt)
        {
            self.attempts.remove(attempt);
        }
    }

    pub(super) fn probed(
        &mut self,
        now: Instant,
        endpoint: &str,
        probe: Option<EndpointProbe>,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(gate) = self.gates.get_mut(endpoint) else {
            return;
        };
        let before = gate.phase().state();
        let restarted = gate.probed(now, probe);
        let after = gate.phase().state();
        if before != after {
            actions.push(AgentAction::Log {
                event: Event::EndpointState,
                detail: format!("{endpoint}: {before} to {after}"),
            });
        }
        if let Some(instance) = restarted {
            self.crashed(now, endpoint, instance, actions);
        }
    }

    pub(super) fn stop(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        self.leaving = true;
        let steps = self.gates.values_mut().flat_map(|gate| gate.leave());
        let steps: Vec<GateStep> = steps.collect();
        self.apply(now, steps, actions);
    }

    /// Lets every gate move work on, and reports when a leaving agent has drained.
    pub(super) fn pump(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        let steps = self.gates.values_mut().flat_map(|gate| gate.pump(now));
        let steps: Vec<GateStep> = steps.collect();
        self.apply(now, steps, actions);
        if self.leaving && !self.drained && self.attempts.is_empty() {
            self.drained = true;
            actions.push(AgentAction::Drained);
        }
    }

    pub(super) fn apply(
        &mut self,
        now: Instant,
        steps: Vec<GateStep>,
        actions: &mut Vec<AgentAction>,
    ) {
        for step in steps {
            match step {
                GateStep::Admit(attempt) => {
                    let priority = self.priority(&attempt);
                    actions.push(AgentAction::Admit { attempt, priority });
                }
                GateStep::Refuse(ticket, code) => {
                    self.attempts.remove(&ticket.attempt);
                    self.refuse(now, &ticket.attempt, code, ticket.keyed, actions);
                }
                GateStep::Pause(attempt) => actions.push(AgentAction::Pause { attempt }),
                GateStep::Resume(attempt) => actions.push(AgentAction::Resume { attempt }),
            }
        }
    }

    fn refusal(&self, now: Instant, offer: &Offer) -> Option<Code> {
        if let Err(code) = self.config.in_force(now) {
            return Some(code);
        }
        if offer.generation < self.generation() {
            return Some(Code::StaleConfiguration);
        }
        if self.leaving {
            return Some(Code::EndpointLeaving);
        }
        if self.targets().zones_out.contains(&self.cfg.zone) {
            return Some(Code::ZoneOut);
        }
        let Some(gate) = self.gates.get(&offer.endpoint) else {
            return Some(Code::NoEndpoint);
        };
        let Some(class) = self.targets().class(&offer.class) else {
            return Some(Code::UnknownClass);
        };
        if class.target != gate.cfg().target {
            return Some(Code::UnknownTarget);
        }
        if class.keyed && offer.key.is_none() {
            return Some(Code::KeyMissing);
        }
        let standing = self.quarantine.status(&offer.fingerprint);
        (standing == QuarantineStatus::Quarantined).then_some(Code::Quarantined)
    }

    fn admit(&mut self, now: Instant, offer: Offer, actions: &mut Vec<AgentAction>) {
        let suspected = self.quarantine.status(&offer.fingerprint) == QuarantineStatus::Suspect;
        let Some(class) = self.targets().class(&offer.class) else {
            return;
        };
        let ticket = Ticket {
            attempt: offer.attempt.clone(),
            priority: class.priority,
            deferrable: class.deferrable,
            suspect: offer.suspect || suspected,
            version: offer.version,
            first_token: class.first_token,
            deadline: now + offer.start_budget,
            fingerprint: offer.fingerprint,
            keyed: offer.key.is_some(),
        };
        let Some(gate) = self.gates.get_mut(&offer.endpoint) else {
            return;
        };
        self.attempts.insert(offer.attempt, offer.endpoint);
        let steps = gate.offer(now, ticket);
        self.apply(now, steps, actions);
    }

    fn refuse(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        code: Code,
        fence: bool,
        actions: &mut Vec<AgentAction>,
    ) {
        if fence {
            self.ledger.fence(now, attempt);
        }
        let config = match code {
            Code::StaleConfiguration => self.config.doc_newer_than(0),
            _ => None,
        };
        actions.push(AgentAction::Refuse {
            attempt: attempt.clone(),
            code,
            config,
        });
    }

    /// A suspect runs alone, so the break itself is evidence enough; for other work it is known
    /// only at the restart whether the endpoint crashed.
    fn note_break(&mut self, now: Instant, instance: InstanceId, ticket: &Ticket) {
        let fingerprint = ticket.fingerprint.clone();
        if ticket.suspect {
            self.quarantine.record_crash(now, &fingerprint, instance);
        } else {
            self.crashes.broke(now, instance, fingerprint);
        }
    }

    /// Marks everything that was in flight at a crash.
    fn crashed(
        &mut self,
        now: Instant,
        endpoint: &str,
        instance: InstanceId,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(gate) = self.gates.get(endpoint) else {
            return;
        };
        let mut suspects = self.crashes.take(now, instance);
        let running = gate.running().values();
        suspects.extend(running.map(|run| run.ticket.fingerprint.clone()));
        actions.push(AgentAction::Log {
            event: Event::EndpointRestarted,
            detail: format!("{endpoint}: {} requests in flight", suspects.len()),
        });
        for fingerprint in suspects {
            let standing = self.quarantine.record_crash(now, &fingerprint, instance);
            let event = match standing {
                QuarantineStatus::Quarantined => Event::RequestQuarantined,
                _ => Event::RequestSuspected,
            };
            let detail = fingerprint.to_string();
            actions.push(AgentAction::Log { event, detail });
        }
    }

    fn gate_of(&mut self, attempt: &AttemptId) -> Option<&mut super::Gate> {
        let endpoint = self.attempts.get(attempt)?;
        self.gates.get_mut(endpoint)
    }

    fn priority(&mut self, attempt: &AttemptId) -> u8 {
        self.gate_of(attempt)
            .and_then(|gate| gate.running().get(attempt))
            .map_or(0, |run| run.ticket.priority)
    }
}
