//! Messages to entries and what entries do.

use super::*;

impl World {
    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::ToEntry(life, event) => self.at_entry(life, event),
            Message::ToAgent(life, event, asker) => self.at_agent(life, event, asker),
            Message::Store(life, call_id, call) => self.at_store(life, call_id, &call),
            Message::EndpointStarted(n, instance, attempt) => {
                if self.runs(n, instance, &attempt) {
                    let event = AgentEvent::Started { attempt };
                    self.agent_soon(n, event);
                }
            }
            Message::EndpointDone(n, instance, attempt) => self.done(n, instance, attempt),
            Message::EndpointCrash(n, instance, poison) => {
                if self.agents[n].endpoint.instance == instance {
                    self.oracle.crashed(&poison);
                    self.crash_endpoint(n);
                }
            }
            Message::EndpointLoaded(n, version, fence) => self.endpoint_loaded(n, version, fence),
            Message::Cancel(n, attempt) => self.cancel(n, attempt),
            Message::Pause(n, attempt) => self.pause(n, attempt),
            Message::Probe(n) => self.probe(n),
            Message::Poll(n) => self.poll(n),
            Message::Hosts(n) => self.hosts(n),
        }
    }

    pub(super) fn at_entry(&mut self, life: Life, event: EntryEvent) {
        let entry = &mut self.entries[life.0];
        if entry.life != life.1 {
            return;
        }
        if entry.paused_until > self.now {
            let wait = entry.paused_until - self.now;
            self.send_in(wait, Message::ToEntry(life, event));
            return;
        }
        trace(self.now - self.start, "entry", life, &event);
        let actions = entry.core.handle(self.now, event);
        for action in actions {
            trace(self.now - self.start, "entry does", life, &action);
            self.entry_action(life, action);
        }
        let now = self.now;
        let dump = self.entries[life.0].core.dump(now);
        let generation = dump["generation"].as_u64().unwrap_or(0);
        self.oracle.holds(format!("entry {life:?}"), generation);
    }

    pub(super) fn entry_action(&mut self, life: Life, action: EntryAction) {
        match action {
            EntryAction::Dispatch(dispatch) => self.dispatch(life, dispatch),
            EntryAction::Refuse { req, refusal } => {
                self.oracle.refused((life.0, req), refusal.code);
            }
            EntryAction::Replay { req, answer } => {
                self.oracle.replayed((life.0, req), &answer);
            }
            EntryAction::Complete { req } => self.oracle.completed((life.0, req)),
            EntryAction::Store { call_id, call } => {
                self.send_soon(Message::Store(life, call_id, call));
            }
            EntryAction::Settle {
                req,
                host,
                key,
                attempt,
                ..
            } => {
                let request = SettleRequest {
                    key: key.to_string(),
                    attempt: attempt.to_string(),
                };
                let event = AgentEvent::Settle(request);
                self.call_agent(&host, event, Asker::Settle(life, req));
            }
            EntryAction::Sync { host, request, .. } => {
                let request = self.tamper_sync(*request);
                let event = AgentEvent::Synced(Box::new(request));
                self.call_agent(&host, event, Asker::Sync(life));
            }
            EntryAction::Log { .. } => {}
        }
    }

    pub(super) fn tamper_sync(&self, mut request: SyncRequest) -> SyncRequest {
        if self.fault == Some(Fault::NoQuarantine) {
            request.quarantine.clear();
        }
        if self.fault == Some(Fault::LargeGrants)
            && let Some(doc) = &mut request.placement
        {
            let mut placement = Placement::from_json(&doc.body).expect("it was a placement");
            let grants = placement.grants.values_mut();
            grants.for_each(|grant| grant.power *= 3);
            doc.body = placement.to_json();
        }
        request
    }

    pub(super) fn call_agent(&mut self, host: &str, event: AgentEvent, asker: Asker) {
        let n = host_number(host);
        let life = (n, self.agents[n].life);
        if self.is_lost() {
            self.call_failed(n, asker);
            return;
        }
        if self.is_lost() && matches!(asker, Asker::Sync(_)) {
            let copy = event.clone();
            self.send_soon(Message::ToAgent(life, copy, Asker::Nobody));
        }
        self.send_soon(Message::ToAgent(life, event, asker));
    }

    pub(super) fn call_failed(&mut self, agent: usize, asker: Asker) {
        match asker {
            Asker::Nobody => {}
            Asker::Sync(entry) => {
                let event = EntryEvent::SyncFailed {
                    host: host_name(agent),
                };
                self.send_in(RPC_TIMEOUT, Message::ToEntry(entry, event));
            }
            Asker::Settle(entry, req) => {
                let event = EntryEvent::SettleReplied { req, reply: None };
                self.send_in(RPC_TIMEOUT, Message::ToEntry(entry, event));
            }
        }
    }

    pub(super) fn dispatch(&mut self, entry: Life, dispatch: Dispatch) {
        let id = (entry.0, dispatch.req);
        let attempt = dispatch.attempt.clone();
        self.oracle
            .dispatched(id, &attempt, dispatch.version.clone());
        let Some(meta) = self.entries[entry.0].metas.get(&dispatch.req).cloned() else {
            return;
        };
        let n = host_number(&dispatch.host);
        let req = dispatch.req;
        let fingerprint = meta.fingerprint.clone();
        self.fingerprints.insert(attempt.clone(), fingerprint);
        let offer = offer(entry.0, dispatch, meta);
        let broken = EntryAttemptOutcome::Broken { delivered: 0 };
        self.end_attempt_in(
            ATTEMPT_TIMEOUT,
            entry,
            req,
            attempt.clone(),
            EntryAttemptOutcome::TimedOut,
        );
        if self.is_lost() {
            self.end_attempt(entry, req, attempt, EntryAttemptOutcome::NotSent, None);
            return;
        }
        if self.is_lost() {
            self.end_attempt(entry, req, attempt, broken.clone(), None);
            return;
        }
        let life = (n, self.agents[n].life);
        if self.is_lost() {
            let late = Duration::from_millis(self.rng.random_range(100..4_000));
            let event = AgentEvent::Offered(offer);
            self.send_in(late, Message::ToAgent(life, event, Asker::Nobody));
            self.end_attempt(entry, req, attempt, broken, None);
            return;
        }
        let caller = (entry, req, offer.clone());
        self.agents[n].callers.insert(attempt, caller);
        let event = AgentEvent::Offered(offer);
        self.send_soon(Message::ToAgent(life, event, Asker::Nobody));
    }

    pub(super) fn end_attempt(
        &mut self,
        entry: Life,
        req: u64,
        attempt: AttemptId,
        end: EntryAttemptOutcome,
        answer: Option<Arc<str>>,
    ) {
        let event = EntryEvent::AttemptEnded {
            req,
            attempt,
            outcome: end,
            answer,
        };
        self.send_soon(Message::ToEntry(entry, event));
    }

    pub(super) fn end_attempt_in(
        &mut self,
        span: Duration,
        entry: Life,
        req: u64,
        attempt: AttemptId,
        end: EntryAttemptOutcome,
    ) {
        let event = EntryEvent::AttemptEnded {
            req,
            attempt,
            outcome: end,
            answer: None,
        };
        self.send_in(span, Message::ToEntry(entry, event));
    }
}
