//! Attempts, version loads and probes at the simulated endpoints.

use super::*;

impl World {
    pub(super) fn send_to_agent_soon(&mut self, n: usize, event: AgentEvent) {
        let incarnation = (n, self.agents[n].incarnation);
        self.send_soon(Message::ToAgent(incarnation, event, Requester::Nobody));
    }

    pub(super) fn is_running(&self, n: usize, instance: u64, attempt: &str) -> bool {
        let endpoint = &self.agents[n].endpoint;
        endpoint.instance == instance && endpoint.running.contains_key(attempt)
    }

    pub(super) fn admit(&mut self, n: usize, attempt: AttemptId) {
        let now = self.now;
        if self.agents[n].stopping {
            self.oracle.record_admission_while_leaving(&attempt);
        }
        let is_serving = self.agents[n].endpoint.is_serving(now);
        if !is_serving {
            let event = AgentEvent::Broken {
                attempt,
                maybe_sent: false,
            };
            self.send_to_agent_soon(n, event);
            return;
        }
        let zone = agent_zone(n);
        let generation = self.agents[n].core.generation();
        self.oracle.record_start(now, &attempt, zone, generation);
        let span = Duration::from_millis(self.rng.random_range(20..600));
        let agent = &mut self.agents[n];
        let instance = agent.endpoint.instance;
        agent.endpoint.running.insert(attempt.clone(), now + span);
        let (running, limit) = (agent.endpoint.running.len(), agent.endpoint.current_limit());
        let poison = self
            .fingerprints
            .get(&attempt)
            .filter(|fingerprint| fingerprint.starts_with("poison"))
            .cloned();
        self.oracle
            .check_running_limit(&host_name(n), running, limit);
        self.check_power();
        if let Some(poison) = poison {
            let wait = Duration::from_millis(15);
            self.send_in(wait, Message::EndpointCrash(n, instance, poison));
            return;
        }
        self.send_in(
            span / 4,
            Message::EndpointStarted(n, instance, attempt.clone()),
        );
        self.send_in(span, Message::EndpointDone(n, instance, attempt));
    }

    fn check_power(&mut self) {
        let draw = self
            .agents
            .iter()
            .map(|agent| agent.endpoint.power_mw())
            .sum();
        self.oracle.check_power(draw, self.targets.site_power);
    }

    pub(super) fn finish_attempt(&mut self, n: usize, instance: u64, attempt: AttemptId) {
        if !self.is_running(n, instance, &attempt) {
            return;
        }
        let end = self.agents[n].endpoint.running[&attempt];
        if end > self.now {
            self.send_in(end - self.now, Message::EndpointDone(n, instance, attempt));
            return;
        }
        self.agents[n].endpoint.complete_attempt(&attempt);
        let mut version = self.agents[n].endpoint.version.clone();
        if self.fault == Some(Fault::MixedVersion) && version.is_some() {
            version = Some("v9".into());
        }
        self.oracle.record_answer(&attempt, version.as_ref());
        let operation = self.agents[n]
            .callers
            .get(&attempt)
            .and_then(|(entry, req, _)| {
                let send = self.oracle.sends.get(&(entry.0, *req))?;
                send.keyed.then(|| send.operation.clone())
            });
        let text = match self.fault {
            Some(Fault::CrossedAnswers) => "answer to another".to_owned(),
            _ => format!("answer to {}", operation.as_deref().unwrap_or("nobody")),
        };
        let answer = operation.map(|_| Arc::from(text));
        let incarnation = (n, self.agents[n].incarnation);
        let event = AgentEvent::Answered {
            attempt: attempt.clone(),
            tokens: 20,
            answer: answer.clone(),
        };
        self.deliver(Message::ToAgent(incarnation, event, Requester::Nobody));
        self.report_outcome(n, attempt, EntryAttemptOutcome::Answered, answer);
    }

    pub(super) fn cancel(&mut self, n: usize, attempt: AttemptId) {
        let endpoint = &mut self.agents[n].endpoint;
        endpoint.running.remove(&attempt);
        endpoint.paused.remove(&attempt);
        self.send_to_agent_soon(n, AgentEvent::Cancelled { attempt });
    }

    pub(super) fn pause(&mut self, n: usize, attempt: AttemptId) {
        let now = self.now;
        let endpoint = &mut self.agents[n].endpoint;
        if let Some(end) = endpoint.running.remove(&attempt) {
            let left = end.saturating_duration_since(now);
            endpoint.paused.insert(attempt.clone(), left);
            self.send_to_agent_soon(n, AgentEvent::Paused { attempt });
        }
    }

    pub(super) fn resume(&mut self, n: usize, attempt: AttemptId) {
        let now = self.now;
        let endpoint = &mut self.agents[n].endpoint;
        let instance = endpoint.instance;
        if let Some(left) = endpoint.paused.remove(&attempt) {
            endpoint.running.insert(attempt.clone(), now + left);
            let (running, limit) = (endpoint.running.len(), endpoint.current_limit());
            self.oracle
                .check_running_limit(&host_name(n), running, limit);
            self.check_power();
            self.send_in(left, Message::EndpointDone(n, instance, attempt));
        }
    }

    pub(super) fn finish_load(&mut self, n: usize, version: Digest, fence: u64) {
        if self.agents[n].endpoint.is_down(self.now) {
            return;
        }
        let lost = self.agents[n].endpoint.running.len();
        if lost > 0 {
            let detail = format!(
                "{} loaded another version while {lost} attempts were running",
                host_name(n)
            );
            let invariant = Invariant::OneVersion;
            self.oracle
                .violations
                .push(crate::oracle::Violation { invariant, detail });
        }
        self.agents[n].endpoint.load(version.clone());
        let event = AgentEvent::Loaded {
            endpoint: endpoint_name(n),
            version: Some(version),
            fence,
        };
        self.send_to_agent_soon(n, event);
    }

    pub(super) fn probe_endpoint(&mut self, n: usize) {
        let probe = self.agents[n].endpoint.probe(self.now);
        let endpoint = endpoint_name(n);
        self.send_to_agent_soon(n, AgentEvent::Probed { endpoint, probe });
        self.send_in(PROBE_INTERVAL, Message::Probe(n));
    }
}
