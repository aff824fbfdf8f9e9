//! Messages to agents and what agents do.

use super::*;

impl World {
    pub(super) fn at_agent(&mut self, life: Life, event: AgentEvent, asker: Asker) {
        let n = life.0;
        if self.agents[n].life != life.1 {
            self.call_failed(n, asker);
            return;
        }
        if self.agents[n].paused_until > self.now {
            let wait = self.agents[n].paused_until - self.now;
            self.send_in(wait, Message::ToAgent(life, event, asker));
            return;
        }
        let event = self.tamper_event(n, event);
        let offered = match &event {
            AgentEvent::Offered(offer) => Some(offer.attempt.clone()),
            _ => None,
        };
        trace(self.now - self.start, "agent", life, &event);
        let actions = self.agents[n].core.handle(self.now, event);
        let is_silent = actions
            .iter()
            .all(|action| matches!(action, AgentAction::Log { .. }));
        for action in actions {
            trace(self.now - self.start, "agent does", life, &action);
            self.agent_action(n, action, &asker);
        }
        if let (Some(attempt), true, Some(Fault::NoQueue)) = (offered, is_silent, self.fault) {
            self.admit(n, attempt);
        }
        let generation = self.agents[n].core.generation();
        self.oracle.holds(format!("agent {life:?}"), generation);
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

    pub(super) fn agent_action(&mut self, n: usize, action: AgentAction, asker: &Asker) {
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
                    self.teach(n, &attempt, doc);
                }
                self.answer_entry(n, attempt, EntryAttemptOutcome::Refused(code), None);
            }
            AgentAction::Replay { attempt, answer } => {
                self.oracle_answered_by_replay(n, &attempt);
                self.answer_entry(n, attempt, EntryAttemptOutcome::Answered, Some(answer));
            }
            AgentAction::Cancel { attempt, .. } => self.send_soon(Message::Cancel(n, attempt)),
            AgentAction::Pause { attempt } => self.send_soon(Message::Pause(n, attempt)),
            AgentAction::Resume { attempt } => self.resume(n, attempt),
            AgentAction::Fetch { version, .. } => {
                let life = (n, self.agents[n].life);
                let event = AgentEvent::VersionHeld { version };
                let wait = Duration::from_millis(300);
                self.send_in(wait, Message::ToAgent(life, event, Asker::Nobody));
            }
            AgentAction::Load { version, fence, .. } => {
                let wait = Duration::from_millis(100);
                self.send_in(wait, Message::EndpointLoaded(n, version, fence));
            }
            AgentAction::SyncReply(reply) => self.sync_reply(n, asker, *reply),
            AgentAction::SettleReply(reply) => self.settle_reply(n, asker, reply),
            AgentAction::Drained => {
                let left = self.agents[n].endpoint.running.len();
                self.oracle.drained(&host_name(n), left);
            }
            AgentAction::Log { .. } => {}
        }
    }

    pub(super) fn teach(&mut self, n: usize, attempt: &str, doc: VersionedDocument) {
        if let Some((entry, ..)) = self.agents[n].callers.get(attempt) {
            let entry = *entry;
            self.send_soon(Message::ToEntry(entry, EntryEvent::ConfigReceived(doc)));
        }
    }

    pub(super) fn oracle_answered_by_replay(&mut self, n: usize, attempt: &AttemptId) {
        let Some((entry, req, _)) = self.agents[n].callers.get(attempt) else {
            return;
        };
        let id = (entry.0, *req);
        if let Some(send) = self.oracle.sends.get_mut(&id) {
            send.answered_by = Some(attempt.clone());
        }
    }

    pub(super) fn sync_reply(&mut self, n: usize, asker: &Asker, mut reply: SyncReply) {
        let Asker::Sync(entry) = asker else {
            return;
        };
        if self.is_lost() {
            self.call_failed(n, asker.clone());
            return;
        }
        if self.fault == Some(Fault::NoQuarantine) {
            reply.quarantine.clear();
        }
        let host = host_name(n);
        self.send_soon(Message::ToEntry(*entry, EntryEvent::Synced { host, reply }));
    }

    pub(super) fn settle_reply(&mut self, n: usize, asker: &Asker, reply: SettleReply) {
        let Asker::Settle(entry, req) = asker else {
            return;
        };
        if self.is_lost() {
            self.call_failed(n, asker.clone());
            return;
        }
        let req = *req;
        let reply = Some(reply);
        let event = EntryEvent::SettleReplied { req, reply };
        self.send_soon(Message::ToEntry(*entry, event));
    }

    pub(super) fn answer_entry(
        &mut self,
        n: usize,
        attempt: AttemptId,
        end: EntryAttemptOutcome,
        answer: Option<Arc<str>>,
    ) {
        let Some((entry, req, _)) = self.agents[n].callers.remove(&attempt) else {
            return;
        };
        let end = self.tamper_end(end);
        if self.is_lost() {
            let broken = EntryAttemptOutcome::Broken { delivered: 0 };
            self.end_attempt(entry, req, attempt, broken, None);
        } else {
            self.end_attempt(entry, req, attempt, end, answer);
        }
    }

    pub(super) fn tamper_end(&self, end: EntryAttemptOutcome) -> EntryAttemptOutcome {
        match (self.fault, end) {
            (Some(Fault::FalseNotRun), EntryAttemptOutcome::Refused(code))
                if code.run_state() == limpetloom::codes::RunState::Unknown =>
            {
                EntryAttemptOutcome::Refused(limpetloom::Code::EndpointFull)
            }
            (_, end) => end,
        }
    }
}
