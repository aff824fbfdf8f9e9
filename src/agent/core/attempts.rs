//! Handling of attempts, from the offer to the end.

use std::sync::Arc;
use std::time::Instant;

use crate::codes::Code;
use crate::delivery::{OfferDecision, QuarantineStatus};
use crate::telemetry::Event;
use crate::types::{AttemptId, InstanceId};

use super::gate::{AttemptSpec, AttemptState, GateAction};
use super::{AgentAction, AgentCore, EndpointProbe, Offer};

impl AgentCore {
    /// Decides on an offer. A keyed attempt that is refused as not run is fenced, so that a delayed
    /// duplicate of it does not run either.
    pub(super) fn on_offered(
        &mut self,
        now: Instant,
        offer: Offer,
        actions: &mut Vec<AgentAction>,
    ) {
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
            let work_key = (offer.customer.clone(), offer.class.clone(), key);
            match self.ledger.offer(now, &offer.attempt, work_key) {
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

    /// Handles the first token or byte of an answer.
    pub(super) fn on_started(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(gate) = self.gate_for(attempt) else {
            return;
        };
        if gate.on_started(now, attempt) {
            let detail = format!("{}: time to first token spiked", gate.cfg().id);
            actions.push(AgentAction::Log {
                event: Event::EndpointState,
                detail,
            });
        }
    }

    /// Handles a complete answer.
    pub(super) fn on_answered(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        tokens: u32,
        answer: Option<Arc<str>>,
    ) {
        let running = self
            .gate_for(attempt)
            .and_then(|gate| gate.on_answered(now, attempt, tokens));
        let Some(running) = running else {
            return;
        };
        self.attempts.remove(attempt);
        if running.spec.keyed {
            self.ledger.record_answer(attempt, answer);
        }
        if running.spec.suspect {
            self.quarantine
                .completed_alone(now, &running.spec.fingerprint);
        }
    }

    /// Handles the failure of an attempt at its endpoint. It has certainly not run only when no
    /// byte of it was sent.
    pub(super) fn on_broken(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        maybe_sent: bool,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(gate) = self.gate_for(attempt) else {
            return;
        };
        let instance = gate.instance();
        let Some(running) = gate.on_broken(attempt, maybe_sent) else {
            return;
        };
        self.attempts.remove(attempt);
        let keyed = running.spec.keyed;
        if !maybe_sent {
            self.refuse(now, attempt, Code::NoEndpoint, keyed, actions);
            return;
        }
        if let Some(instance) = instance
            && running.state != AttemptState::Cancelling
        {
            self.record_break(now, instance, &running.spec);
        }
        self.ledger.record_lost(attempt);
        let code = if keyed {
            Code::OutcomeUnknown
        } else {
            Code::AnswerBroken
        };
        self.refuse(now, attempt, code, false, actions);
    }

    /// Handles the endpoint's confirmation of a pause.
    pub(super) fn on_paused(&mut self, attempt: &AttemptId) {
        if let Some(gate) = self.gate_for(attempt) {
            gate.on_paused(attempt);
        }
    }

    /// Handles the disconnect of the entry. A running keyed attempt continues, because the entry
    /// will request its outcome.
    pub(super) fn on_entry_gone(&mut self, attempt: &AttemptId, actions: &mut Vec<AgentAction>) {
        let Some(gate) = self.gate_for(attempt) else {
            return;
        };
        if let Some(running) = gate.running().get(attempt)
            && running.spec.keyed
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

    /// Handles the end of a cancelled attempt, which frees its slot.
    pub(super) fn on_cancelled(&mut self, attempt: &AttemptId) {
        if let Some(gate) = self.gate_for(attempt)
            && gate.on_cancelled(attempt)
        {
            self.attempts.remove(attempt);
        }
    }

    /// Handles the result of a probe; `None` for a failed one.
    pub(super) fn on_probed(
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
        let restarted = gate.on_probed(now, probe);
        let after = gate.phase().state();
        if before != after {
            actions.push(AgentAction::Log {
                event: Event::EndpointState,
                detail: format!("{endpoint}: {before} to {after}"),
            });
        }
        if let Some(instance) = restarted {
            self.mark_crash_suspects(now, endpoint, instance, actions);
        }
    }

    /// Stops accepting attempts and refuses the queued ones.
    pub(super) fn on_stop(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        self.leaving = true;
        let gate_actions = self
            .gates
            .values_mut()
            .flat_map(|gate| gate.start_leaving());
        let gate_actions: Vec<GateAction> = gate_actions.collect();
        self.apply(now, gate_actions, actions);
    }

    /// Schedules the attempts of every endpoint, and reports once when a leaving agent has drained.
    pub(super) fn schedule(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        let gate_actions = self.gates.values_mut().flat_map(|gate| gate.schedule(now));
        let gate_actions: Vec<GateAction> = gate_actions.collect();
        self.apply(now, gate_actions, actions);
        if self.leaving && !self.drained && self.attempts.is_empty() {
            self.drained = true;
            actions.push(AgentAction::Drained);
        }
    }

    /// Turns what the gates decided into actions for the driver.
    pub(super) fn apply(
        &mut self,
        now: Instant,
        gate_actions: Vec<GateAction>,
        actions: &mut Vec<AgentAction>,
    ) {
        for gate_action in gate_actions {
            match gate_action {
                GateAction::Admit(attempt) => {
                    let priority = self.priority(&attempt);
                    actions.push(AgentAction::Admit { attempt, priority });
                }
                GateAction::Refuse(spec, code) => {
                    self.attempts.remove(&spec.attempt);
                    self.refuse(now, &spec.attempt, code, spec.keyed, actions);
                }
                GateAction::Pause(attempt) => actions.push(AgentAction::Pause { attempt }),
                GateAction::Resume(attempt) => actions.push(AgentAction::Resume { attempt }),
            }
        }
    }

    /// Reason to refuse an offer, apart from the state of its endpoint, which the gate checks.
    fn refusal(&self, now: Instant, offer: &Offer) -> Option<Code> {
        if let Err(code) = self.config_state.in_force(now) {
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
        let status = self.quarantine.status(&offer.fingerprint);
        (status == QuarantineStatus::Quarantined).then_some(Code::Quarantined)
    }

    /// Hands an accepted offer to the gate of its endpoint.
    fn admit(&mut self, now: Instant, offer: Offer, actions: &mut Vec<AgentAction>) {
        let is_suspect = self.quarantine.status(&offer.fingerprint) == QuarantineStatus::Suspect;
        let Some(class) = self.targets().class(&offer.class) else {
            return;
        };
        let spec = AttemptSpec {
            attempt: offer.attempt.clone(),
            priority: class.priority,
            deferrable: class.deferrable,
            suspect: offer.suspect || is_suspect,
            version: offer.version,
            first_token_target: class.first_token,
            deadline: now + offer.start_budget,
            fingerprint: offer.fingerprint,
            keyed: offer.key.is_some(),
        };
        let Some(gate) = self.gates.get_mut(&offer.endpoint) else {
            return;
        };
        self.attempts.insert(offer.attempt, offer.endpoint);
        let gate_actions = gate.offer(now, spec);
        self.apply(now, gate_actions, actions);
    }

    /// Refuses an attempt. With `fence`, the ledger also rejects delayed duplicates of it.
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
            Code::StaleConfiguration => self.config_state.doc_newer_than(0),
            _ => None,
        };
        actions.push(AgentAction::Refuse {
            attempt: attempt.clone(),
            code,
            config,
        });
    }

    /// Records a request that broke off. A suspect runs alone, so the break itself counts as a
    /// crash that it caused. For other requests, only a restart shows that the endpoint crashed.
    fn record_break(&mut self, now: Instant, instance: InstanceId, spec: &AttemptSpec) {
        let fingerprint = spec.fingerprint.clone();
        if spec.suspect {
            self.quarantine.record_crash(now, &fingerprint, instance);
        } else {
            self.crash_tracker.record_broken(now, instance, fingerprint);
        }
    }

    /// Records a crash against every request that was in flight at the crashed incarnation.
    fn mark_crash_suspects(
        &mut self,
        now: Instant,
        endpoint: &str,
        instance: InstanceId,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(gate) = self.gates.get(endpoint) else {
            return;
        };
        let mut suspects = self.crash_tracker.take_in_flight(now, instance);
        let running = gate.running().values();
        suspects.extend(running.map(|run| run.spec.fingerprint.clone()));
        actions.push(AgentAction::Log {
            event: Event::EndpointRestarted,
            detail: format!("{endpoint}: {} requests in flight", suspects.len()),
        });
        for fingerprint in suspects {
            let status = self.quarantine.record_crash(now, &fingerprint, instance);
            let event = match status {
                QuarantineStatus::Quarantined => Event::RequestQuarantined,
                _ => Event::RequestSuspected,
            };
            let detail = fingerprint.to_string();
            actions.push(AgentAction::Log { event, detail });
        }
    }

    /// Gate at which an attempt is queued or runs.
    fn gate_for(&mut self, attempt: &AttemptId) -> Option<&mut super::Gate> {
        let endpoint = self.attempts.get(attempt)?;
        self.gates.get_mut(endpoint)
    }

    /// Priority of a running attempt.
    fn priority(&mut self, attempt: &AttemptId) -> u8 {
        self.gate_for(attempt)
            .and_then(|gate| gate.running().get(attempt))
            .map_or(0, |run| run.spec.priority)
    }
}
