//! Delivery of events to agents and execution of their actions.

use super::*;

impl World {
    pub(super) fn deliver_to_agent(
        &mut self,
        incarnation: Incarnation,
        event: AgentEvent,
        requester: Requester,
    ) {
        let n = incarnation.0;
        if self.agents[n].incarnation != incarnation.1 {
            self.report_call_failure(n, requester);
            return;
        }
        if self.agents[n].paused_until > self.now {
            let wait = self.agents[n].paused_until - self.now;
            self.send_in(wait, Message::ToAgent(incarnation, event, requester));
            return;
        }
        let event = self.tamper_event(n, event);
        let offered = match &event {
            AgentEvent::Offered(offer) => Some(offer.attempt.clone()),
            _ => None,
        };
        trace(self.now - self.start, "agent", incarnation, &event);
        let actions = self.agents[n].core.handle(self.now, event);
        // An offer is queued when the core neither admits nor refuses it.
        let is_queued = actions
            .iter()
            .all(|action| matches!(action, AgentAction::Log { .. }));
        for action in actions {
            trace(self.now - self.start, "agent action", incarnation, &action);
            self.execute_agent_action(n, action, &requester);
        }
        if let (Some(attempt), true, Some(Fault::NoQueue)) = (offered, is_queued, self.fault) {
            self.admit(n, attempt);
        }
        let generation = self.agents[n].core.generation();
        self.oracle
            .check_generation(format!("agent {incarnation:?}"), generation);
    }

    pub(super) fn tamper_event(&mut self, n: usize, event: AgentEvent) -> AgentEvent {
        let known = self.agents[n].core.generation();
        match (self.fault, event) {
            (Some(Fault::StaleConfig), AgentEvent::Synced(mut request)) if known > 0 => {
                request.config = None;
                request.generation = known;
                AgentEvent::Synced(request)
            }
            (Some(Fault::StaleConfig), AgentEvent::Offered(mut offer)) => {
                offer.generation = known;
                AgentEvent::Offered(offer)
            }
            (_, event) => event,
        }
    }

    pub(super) fn execute_agent_action(
        &mut self,
        n: usize,
        action: AgentAction,
        requester: &Requester,
    ) {
        match action {
            AgentAction::Admit { attempt, .. } => self.admit(n, attempt),
            AgentAction::Refuse {
                attempt,
                code,
                config,
            } => {
                if self.fault == Some(Fault::NoFence)
                    && code.run_state() != limpetloom::codes::RunState::Unknown
                {
                    self.admit(n, attempt);
                    return;
                }
                if let Some(doc) = config {
                    self.send_config_to_entry(n, &attempt, doc);
                }
                self.report_outcome(n, attempt, EntryAttemptOutcome::Refused(code), None);
            }
            AgentAction::Replay { attempt, answer } => {
                self.record_replayed_answer(n, &attempt);
                self.report_outcome(n, attempt, EntryAttemptOutcome::Answered, Some(answer));
            }
            AgentAction::Cancel { attempt, .. } => self.send_soon(Message::Cancel(n, attempt)),
            AgentAction::Pause { attempt } => self.send_soon(Message::Pause(n, attempt)),
            AgentAction::Resume { attempt } => self.resume(n, attempt),
            AgentAction::Fetch { version, .. } => {
                let incarnation = (n, self.agents[n].incarnation);
                let event = AgentEvent::VersionHeld { version };
                let wait = Duration::from_millis(300);
                self.send_in(
                    wait,
                    Message::ToAgent(incarnation, event, Requester::Nobody),
                );
            }
            AgentAction::Load { version, fence, .. } => {
                let wait = Duration::from_millis(100);
                self.send_in(wait, Message::EndpointLoaded(n, version, fence));
            }
            AgentAction::SyncReply(reply) => self.forward_sync_reply(n, requester, *reply),
            AgentAction::SettleReply(reply) => self.forward_settle_reply(n, requester, reply),
            AgentAction::Drained => {
                let left = self.agents[n].endpoint.running.len();
                self.oracle.check_drained(&host_name(n), left);
            }
            AgentAction::Log { .. } => {}
        }
    }

    pub(super) fn send_config_to_entry(&mut self, n: usize, attempt: &str, doc: VersionedDocument) {
        if let Some((entry, ..)) = self.agents[n].callers.get(attempt) {
            let entry = *entry;
            self.send_soon(Message::ToEntry(entry, EntryEvent::ConfigReceived(doc)));
        }
    }

    pub(super) fn record_replayed_answer(&mut self, n: usize, attempt: &AttemptId) {
        let Some((entry, req, _)) = self.agents[n].callers.get(attempt) else {
            return;
        };
        let id = (entry.0, *req);
        if let Some(send) = self.oracle.sends.get_mut(&id) {
            send.answered_by = Some(attempt.clone());
        }
    }

    pub(super) fn forward_sync_reply(
        &mut self,
        n: usize,
        requester: &Requester,
        mut reply: SyncReply,
    ) {
        let Requester::Sync(entry) = requester else {
            return;
        };
        if self.is_lost() {
            self.report_call_failure(n, requester.clone());
            return;
        }
        if self.fault == Some(Fault::NoQuarantine) {
            reply.quarantine.clear();
        }
        let host = host_name(n);
        self.send_soon(Message::ToEntry(*entry, EntryEvent::Synced { host, reply }));
    }

    pub(super) fn forward_settle_reply(
        &mut self,
        n: usize,
        requester: &Requester,
        reply: SettleReply,
    ) {
        let Requester::Settle(entry, req) = requester else {
            return;
        };
        if self.is_lost() {
            self.report_call_failure(n, requester.clone());
            return;
        }
        let req = *req;
        let reply = Some(reply);
        let event = EntryEvent::SettleReplied { req, reply };
        self.send_soon(Message::ToEntry(*entry, event));
    }

    pub(super) fn report_outcome(
        &mut self,
        n: usize,
        attempt: AttemptId,
        attempt_outcome: EntryAttemptOutcome,
        answer: Option<Arc<str>>,
    ) {
        let Some((entry, req, _)) = self.agents[n].callers.remove(&attempt) else {
            return;
        };
        let attempt_outcome = self.tamper_outcome(attempt_outcome);
        if self.is_lost() {
            let broken = EntryAttemptOutcome::Broken { delivered: 0 };
            self.end_attempt(entry, req, attempt, broken, None);
        } else {
            self.end_attempt(entry, req, attempt, attempt_outcome, answer);
        }
    }

    pub(super) fn tamper_outcome(
        &self,
        attempt_outcome: EntryAttemptOutcome,
    ) -> EntryAttemptOutcome {
        match (self.fault, attempt_outcome) {
            (Some(Fault::FalseNotRun), EntryAttemptOutcome::Refused(code))
                if code.run_state() == limpetloom::codes::RunState::Unknown =>
            {
                EntryAttemptOutcome::Refused(limpetloom::Code::EndpointFull)
            }
            (_, attempt_outcome) => attempt_outcome,
        }
    }
}
