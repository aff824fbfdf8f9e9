//! Delivery of messages, and execution of the entries' actions.

use super::*;

impl World {
    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::ToEntry(incarnation, event) => self.deliver_to_entry(incarnation, event),
            Message::ToAgent(incarnation, event, requester) => {
                self.deliver_to_agent(incarnation, event, requester)
            }
            Message::Store(incarnation, call_id, call) => {
                self.handle_store_call(incarnation, call_id, &call)
            }
            Message::EndpointStarted(n, instance, attempt) => {
                if self.is_running(n, instance, &attempt) {
                    let event = AgentEvent::Started { attempt };
                    self.send_to_agent_soon(n, event);
                }
            }
            Message::EndpointDone(n, instance, attempt) => {
                self.finish_attempt(n, instance, attempt)
            }
            Message::EndpointCrash(n, instance, poison) => {
                if self.agents[n].endpoint.instance == instance {
                    self.oracle.record_crash(&poison);
                    self.crash_endpoint(n);
                }
            }
            Message::EndpointLoaded(n, version, fence) => self.finish_load(n, version, fence),
            Message::Cancel(n, attempt) => self.cancel(n, attempt),
            Message::Pause(n, attempt) => self.pause(n, attempt),
            Message::Probe(n) => self.probe_endpoint(n),
            Message::StorePoll(n) => self.poll_store(n),
            Message::HostList(n) => self.send_host_list(n),
        }
    }

    pub(super) fn deliver_to_entry(&mut self, incarnation: Incarnation, event: EntryEvent) {
        let entry = &mut self.entries[incarnation.0];
        if entry.incarnation != incarnation.1 {
            return;
        }
        if entry.paused_until > self.now {
            let wait = entry.paused_until - self.now;
            self.send_in(wait, Message::ToEntry(incarnation, event));
            return;
        }
        trace(self.now - self.start, "entry", incarnation, &event);
        let actions = entry.core.handle(self.now, event);
        for action in actions {
            trace(self.now - self.start, "entry action", incarnation, &action);
            self.execute_entry_action(incarnation, action);
        }
        let now = self.now;
        let dump = self.entries[incarnation.0].core.dump(now);
        let generation = dump["generation"].as_u64().unwrap_or(0);
        self.oracle
            .check_generation(format!("entry {incarnation:?}"), generation);
    }

    pub(super) fn execute_entry_action(&mut self, incarnation: Incarnation, action: EntryAction) {
        match action {
            EntryAction::Dispatch(dispatch) => self.dispatch(incarnation, dispatch),
            EntryAction::Refuse { req, refusal } => {
                self.oracle
                    .record_refusal((incarnation.0, req), refusal.code);
            }
            EntryAction::Replay { req, answer } => {
                self.oracle.record_replay((incarnation.0, req), &answer);
            }
            EntryAction::Complete { req } => self.oracle.record_completion((incarnation.0, req)),
            EntryAction::Store { call_id, call } => {
                self.send_soon(Message::Store(incarnation, call_id, call));
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
                self.call_agent(&host, event, Requester::Settle(incarnation, req));
            }
            EntryAction::Sync { host, request, .. } => {
                let request = self.tamper_sync(*request);
                let event = AgentEvent::Synced(Box::new(request));
                self.call_agent(&host, event, Requester::Sync(incarnation));
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
            let mut placement =
                Placement::from_json(&doc.body).expect("a published placement parses");
            let grants = placement.grants.values_mut();
            grants.for_each(|grant| grant.power *= 3);
            doc.body = placement.to_json();
        }
        request
    }

    pub(super) fn call_agent(&mut self, host: &str, event: AgentEvent, requester: Requester) {
        let n = host_number(host);
        let incarnation = (n, self.agents[n].incarnation);
        if self.is_lost() {
            self.report_call_failure(n, requester);
            return;
        }
        // The network duplicates some of the sync calls that it does not lose.
        if self.is_lost() && matches!(requester, Requester::Sync(_)) {
            let copy = event.clone();
            self.send_soon(Message::ToAgent(incarnation, copy, Requester::Nobody));
        }
        self.send_soon(Message::ToAgent(incarnation, event, requester));
    }

    pub(super) fn report_call_failure(&mut self, agent: usize, requester: Requester) {
        match requester {
            Requester::Nobody => {}
            Requester::Sync(entry) => {
                let event = EntryEvent::SyncFailed {
                    host: host_name(agent),
                };
                self.send_in(RPC_TIMEOUT, Message::ToEntry(entry, event));
            }
            Requester::Settle(entry, req) => {
                let event = EntryEvent::SettleReplied { req, reply: None };
                self.send_in(RPC_TIMEOUT, Message::ToEntry(entry, event));
            }
        }
    }

    pub(super) fn dispatch(&mut self, entry: Incarnation, dispatch: Dispatch) {
        let id = (entry.0, dispatch.req);
        let attempt = dispatch.attempt.clone();
        self.oracle
            .record_dispatch(id, &attempt, dispatch.version.clone());
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
        // The connection fails before the entry has sent anything.
        if self.is_lost() {
            self.end_attempt(entry, req, attempt, EntryAttemptOutcome::NotSent, None);
            return;
        }
        // The connection breaks and the offer never arrives.
        if self.is_lost() {
            self.end_attempt(entry, req, attempt, broken.clone(), None);
            return;
        }
        let incarnation = (n, self.agents[n].incarnation);
        // The connection breaks and the offer arrives late.
        if self.is_lost() {
            let late = Duration::from_millis(self.rng.random_range(100..4_000));
            let event = AgentEvent::Offered(offer);
            self.send_in(
                late,
                Message::ToAgent(incarnation, event, Requester::Nobody),
            );
            self.end_attempt(entry, req, attempt, broken, None);
            return;
        }
        let caller = (entry, req, offer.clone());
        self.agents[n].callers.insert(attempt, caller);
        let event = AgentEvent::Offered(offer);
        self.send_soon(Message::ToAgent(incarnation, event, Requester::Nobody));
    }

    pub(super) fn end_attempt(
        &mut self,
        entry: Incarnation,
        req: u64,
        attempt: AttemptId,
        attempt_outcome: EntryAttemptOutcome,
        answer: Option<Arc<str>>,
    ) {
        let event = EntryEvent::AttemptEnded {
            req,
            attempt,
            outcome: attempt_outcome,
            answer,
        };
        self.send_soon(Message::ToEntry(entry, event));
    }

    pub(super) fn end_attempt_in(
        &mut self,
        span: Duration,
        entry: Incarnation,
        req: u64,
        attempt: AttemptId,
        attempt_outcome: EntryAttemptOutcome,
    ) {
        let event = EntryEvent::AttemptEnded {
            req,
            attempt,
            outcome: attempt_outcome,
            answer: None,
        };
        self.send_in(span, Message::ToEntry(entry, event));
    }
}
