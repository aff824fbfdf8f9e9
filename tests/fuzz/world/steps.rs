//! Requests, faults and configuration changes that the steps of a script cause.

use super::*;

impl World {
    /// Sends a request to entry `n`, unless it is stopping. Requests of the same class and
    /// operation number have the same fingerprint and, if the class is `booking`, the same
    /// idempotency key. A `poison` request crashes each endpoint that runs it.
    pub fn send(&mut self, n: usize, class: &str, operation: u32, poison: bool) {
        let req = self.allocate_id();
        let keyed = class == "booking";
        let name = format!("{class}-{operation}");
        let fingerprint = match poison {
            true => format!("poison-{operation}"),
            false => name.clone(),
        };
        let meta = RequestMeta {
            class: class.into(),
            customer: ["studio", "office"][operation as usize % 2].into(),
            target: if keyed { "seats" } else { "clay" }.into(),
            key: keyed.then(|| name.as_str().into()),
            key_issued: None,
            fingerprint: fingerprint.into(),
            prefix: None,
            tokens: 20,
            start_budget: None,
        };
        if self.entries[n].stopping {
            return;
        }
        self.oracle.record_send((n, req), &name, keyed);
        self.entries[n].metas.insert(req, meta.clone());
        let incarnation = (n, self.entries[n].incarnation);
        self.deliver(Message::ToEntry(
            incarnation,
            EntryEvent::Arrived { req, meta },
        ));
    }

    /// Kills and restarts the entry's process. Callers that have no final result yet lose their
    /// connections, and agents see the entry's connections close.
    pub fn kill_entry(&mut self, n: usize) {
        for send in self.oracle.sends.values_mut() {
            send.connection_lost |= send.entry == n && send.final_result.is_none();
        }
        let incarnation = self.entries[n].incarnation + 1;
        let previous = (n, incarnation - 1);
        self.entries[n] = self.new_entry(n, incarnation);
        self.schedule_entry_polls(n);
        for agent in 0..AGENTS {
            self.report_entry_gone(agent, previous);
        }
    }

    /// Sends an agent `EntryGone` for each of its attempts from one incarnation of an entry.
    pub(super) fn report_entry_gone(&mut self, agent: usize, entry: Incarnation) {
        let incarnation = (agent, self.agents[agent].incarnation);
        let callers = self.agents[agent].callers.iter();
        let attempts: Vec<AttemptId> = callers
            .filter(|(_, (caller, ..))| *caller == entry)
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in attempts {
            let event = AgentEvent::EntryGone { attempt };
            self.send_soon(Message::ToAgent(incarnation, event, Requester::Nobody));
        }
    }

    pub fn pause_entry(&mut self, n: usize, span: Duration) {
        let paused_until = &mut self.entries[n].paused_until;
        *paused_until = (*paused_until).max(self.now + span);
    }

    /// Kills and restarts the agent's process; its endpoint keeps running.
    pub fn kill_agent(&mut self, n: usize) {
        let (core, instance) = self.new_agent_core(n);
        let agent = &mut self.agents[n];
        agent.core = core;
        agent.instance = instance;
        agent.incarnation += 1;
        agent.last_tick = None;
        agent.stopping = false;
        let callers = std::mem::take(&mut agent.callers);
        for (attempt, (entry, req, _)) in callers {
            self.end_attempt(
                entry,
                req,
                attempt,
                EntryAttemptOutcome::Broken { delivered: 0 },
                None,
            );
        }
    }

    pub fn pause_agent(&mut self, n: usize, span: Duration) {
        let paused_until = &mut self.agents[n].paused_until;
        *paused_until = (*paused_until).max(self.now + span);
    }

    /// Crashes the agent's endpoint, which restarts as a new instance after `ENDPOINT_RESTART`. The
    /// attempts that it was running break.
    pub fn crash_endpoint(&mut self, n: usize) {
        let instance = self.allocate_id();
        let now = self.now;
        let agent = &mut self.agents[n];
        let lost = agent.endpoint.crash(now, ENDPOINT_RESTART, instance);
        let incarnation = (n, agent.incarnation);
        for attempt in lost {
            let event = AgentEvent::Broken {
                attempt,
                maybe_sent: true,
            };
            self.send_soon(Message::ToAgent(incarnation, event, Requester::Nobody));
        }
    }

    /// Stops an entry gracefully, and restarts it once it has drained or after `MAX_STOP_POLLS`
    /// polls.
    pub fn stop_entry(&mut self, n: usize) {
        self.entries[n].stopping = true;
        let incarnation = (n, self.entries[n].incarnation);
        self.deliver(Message::ToEntry(incarnation, EntryEvent::Stop));
        let polls = match self.fault {
            Some(Fault::EarlyStop) => 0,
            _ => MAX_STOP_POLLS,
        };
        for _ in 0..polls {
            self.advance(Duration::from_millis(100));
            if self.entries[n].core.is_drained() {
                break;
            }
        }
        let open = self.oracle.unanswered();
        let left = open.iter().filter(|(entry, _)| *entry == n).count();
        // A paused entry does not handle the stop event, so it need not have drained.
        let is_paused = self.entries[n].paused_until > self.now;
        if !is_paused {
            self.oracle.check_drained(&entry_name(n), left);
        }
        self.kill_entry(n);
    }

    /// Starts the graceful stop of an agent; the caller of this function restarts it.
    pub fn stop_agent(&mut self, n: usize) {
        let incarnation = (n, self.agents[n].incarnation);
        self.agents[n].stopping = true;
        self.deliver(Message::ToAgent(
            incarnation,
            AgentEvent::Stop,
            Requester::Nobody,
        ));
    }

    pub fn store_outage(&mut self, span: Duration) {
        self.store_down_until = self.store_down_until.max(self.now + span);
        self.oracle
            .record_store_outage(self.now, self.store_down_until);
    }

    pub fn lose_store_answers(&mut self, count: u32) {
        self.lose_answers += count;
    }

    /// Loses this share of the messages for `span`, in place of an earlier share.
    pub fn lose_messages(&mut self, span: Duration, permille: u32) {
        self.loss_until = self.now + span;
        self.loss_permille = permille;
    }

    /// Takes a zone out of service, or back in.
    pub fn set_zone(&mut self, zone: usize, out: bool) {
        if out {
            self.targets.zones_out.insert(ZONES[zone].into());
        } else {
            self.targets.zones_out.remove(ZONES[zone]);
        }
        self.apply_targets();
    }

    pub fn set_version(&mut self, version: u32) {
        self.targets.models[0].manifest = format!("v{version}").into();
        self.apply_targets();
    }

    /// Writes the targets to the object API. During an outage, changed targets are kept and written
    /// by the next call after it.
    pub(super) fn apply_targets(&mut self) {
        if self.now < self.store_down_until {
            return;
        }
        let body = serde_json::to_string(&self.targets).expect("targets serialise to JSON");
        let generation = self.store.put("config/current", &body);
        let zones = self.targets.zones_out.iter().map(ToString::to_string);
        self.oracle
            .record_accepted_config(self.now, generation, zones.collect());
    }

    /// Ends the losses and outages, runs until all attempts have timed out, and checks that every
    /// caller got its final result.
    pub fn finish(&mut self) {
        self.loss_permille = 0;
        self.lose_answers = 0;
        self.store_down_until = self.now;
        self.advance(ATTEMPT_TIMEOUT + Duration::from_secs(5));
        self.oracle.check_all_answered();
    }
}
