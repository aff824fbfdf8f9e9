//! Work at endpoints.

use super::*;

impl World {
    pub(super) fn agent_soon(&mut self, n: usize, event: AgentEvent) {
        let life = (n, self.agents[n].life);
        self.send_soon(Message::ToAgent(life, event, Asker::Nobody));
    }

    pub(super) fn runs(&self, n: usize, instance: u64, attempt: &str) -> bool {
        let endpoint = &self.agents[n].endpoint;
        endpoint.instance == instance && endpoint.running.contains_key(attempt)
    }

    pub(super) fn admit(&mut self, n: usize, attempt: AttemptId) {
        let now = self.now;
        if self.agents[n].stopping {
            self.oracle.admitted_by_leaving(&attempt);
        }
        let is_serving = self.agents[n].endpoint.serves(now);
        if !is_serving {
            let event = AgentEvent::Broken {
                attempt,
                maybe_sent: false,
            };
            self.agent_soon(n, event);
            return;
        }
        let zone = agent_zone(n);
        let generation = self.agents[n].core.generation();
        self.oracle.started(now, &attempt, zone, generation);
        let span = Duration::from_millis(self.rng.random_range(20..600));
        let agent = &mut self.agents[n];
        let instance = agent.endpoint.instance;
        agent.endpoint.running.insert(attempt.clone(), now + span);
        let (running, bound) = (agent.endpoint.running.len(), agent.endpoint.bound());
        let poison = self
            .fingerprints
            .get(&attempt)
            .filter(|fingerprint| fingerprint.starts_with("poison"))
            .cloned();
        self.oracle.holding(&host_name(n), running, bound);
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
        let draw = self.agents.iter().map(|agent| agent.endpoint.draw()).sum();
        self.oracle.power(draw, self.targets.site_power);
    }

    pub(super) fn done(&mut self, n: usize, instance: u64, attempt: AttemptId) {
        if !self.runs(n, instance, &attempt) {
            return;
        }
        let end = self.agents[n].endpoint.running[&attempt];
        if end > self.now {
            self.send_in(end - self.now, Message::EndpointDone(n, instance, attempt));
            return;
        }
        self.agents[n].endpoint.answered(&attempt);
        let mut version = self.agents[n].endpoint.version.clone();
        if self.fault == Some(Fault::MixedVersion) && version.is_some() {
            version = Some("v9".into());
        }
        self.oracle.answered(&attempt, version.as_ref());
        let work = self.agents[n]
            .callers
            .get(&attempt)
            .and_then(|(entry, req, _)| {
                let send = self.oracle.sends.get(&(entry.0, *req))?;
                send.keyed.then(|| send.work.clone())
            });
        let text = match self.fault {
            Some(Fault::CrossedAnswers) => "answer to another".to_owned(),
            _ => format!("answer to {}", work.as_deref().unwrap_or("nobody")),
        };
        let answer = work.map(|_| Arc::from(text));
        let life = (n, self.agents[n].life);
        let event = AgentEvent::Answered {
            attempt: attempt.clone(),
            tokens: 20,
            answer: answer.clone(),
        };
        self.deliver(Message::ToAgent(life, event, Asker::Nobody));
        self.answer_entry(n, attempt, EntryAttemptOutcome::Answered, answer);
    }

    pub(super) fn cancel(&mut self, n: usize, attempt: AttemptId) {
        let endpoint = &mut self.agents[n].endpoint;
        endpoint.running.remove(&attempt);
        endpoint.paused.remove(&attempt);
        self.agent_soon(n, AgentEvent::Cancelled { attempt });
    }

    pub(super) fn pause(&mut self, n: usize, attempt: AttemptId) {
        let now = self.now;
        let endpoint = &mut self.agents[n].endpoint;
        if let Some(end) = endpoint.running.remove(&attempt) {
            let left = end.saturating_duration_since(now);
            endpoint.paused.insert(attempt.clone(), left);
            self.agent_soon(n, AgentEvent::Paused { attempt });
        }
    }

    pub(super) fn resume(&mut self, n: usize, attempt: AttemptId) {
        let now = self.now;
        let endpoint = &mut self.agents[n].endpoint;
        let instance = endpoint.instance;
        if let Some(left) = endpoint.paused.remove(&attempt) {
            endpoint.running.insert(attempt.clone(), now + left);
            let (running, bound) = (endpoint.running.len(), endpoint.bound());
            self.oracle.holding(&host_name(n), running, bound);
            self.check_power();
            self.send_in(left, Message::EndpointDone(n, instance, attempt));
        }
    }

    pub(super) fn endpoint_loaded(&mut self, n: usize, version: Digest, fence: u64) {
        if self.agents[n].endpoint.is_down(self.now) {
            return;
        }
        let lost = self.agents[n].endpoint.running.len();
        if lost > 0 {
            let detail = format!("{} switched with {lost} answers open", host_name(n));
            let promise = Promise::OneVersion;
            self.oracle
                .violations
                .push(crate::oracle::Violation { promise, detail });
        }
        self.agents[n].endpoint.load(version.clone());
        let event = AgentEvent::Loaded {
            endpoint: endpoint_name(n),
            version: Some(version),
            fence,
        };
        self.agent_soon(n, event);
    }

    pub(super) fn probe(&mut self, n: usize) {
        let probe = self.agents[n].endpoint.probe(self.now);
        let endpoint = endpoint_name(n);
        self.agent_soon(n, AgentEvent::Probed { endpoint, probe });
        self.send_in(PROBE, Message::Probe(n));
    }
}
