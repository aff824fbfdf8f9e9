//! Simulated endpoint: its running requests, its limit while cold, its crashes and restarts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use limpetloom::agent::core::{EndpointConfig, EndpointKind, EndpointProbe};
use limpetloom::types::{AttemptId, Digest, InstanceId};

pub struct Endpoint {
    pub cfg: EndpointConfig,
    pub instance: InstanceId,
    pub version: Option<Digest>,
    pub down_until: Option<Instant>,
    /// Running attempts and when each of them ends.
    pub running: BTreeMap<AttemptId, Instant>,
    /// Paused attempts and the work that each of them has left.
    pub paused: BTreeMap<AttemptId, Duration>,
    /// Attempts answered since the last load or crash.
    answers: u32,
}

impl Endpoint {
    pub fn new(cfg: EndpointConfig, instance: InstanceId) -> Self {
        Self {
            cfg,
            instance,
            version: None,
            down_until: None,
            running: BTreeMap::new(),
            paused: BTreeMap::new(),
            answers: 0,
        }
    }

    pub fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|at| now < at)
    }

    pub fn is_serving(&self, now: Instant) -> bool {
        let loaded = self.cfg.kind == EndpointKind::Service || self.version.is_some();
        !self.is_down(now) && loaded
    }

    /// Requests that the endpoint may run now: its cold limit, raised by one with each answer.
    pub fn current_limit(&self) -> usize {
        (self.cfg.cold_limit + self.answers).min(self.cfg.limit) as usize
    }

    pub fn complete_attempt(&mut self, attempt: &str) -> bool {
        let known = self.running.remove(attempt).is_some();
        self.answers += u32::from(known);
        known
    }

    /// Kills the process until `now + down`, and returns the attempts that were in flight.
    pub fn crash(&mut self, now: Instant, down: Duration, instance: InstanceId) -> Vec<AttemptId> {
        self.instance = instance;
        self.version = None;
        self.answers = 0;
        self.down_until = Some(now + down);
        let running = std::mem::take(&mut self.running);
        let paused = std::mem::take(&mut self.paused);
        running.into_keys().chain(paused.into_keys()).collect()
    }

    pub fn load(&mut self, version: Digest) {
        self.version = Some(version);
        self.answers = 0;
    }

    pub fn probe(&self, now: Instant) -> Option<EndpointProbe> {
        (!self.is_down(now)).then(|| EndpointProbe {
            instance: self.instance,
            version: self.version.clone(),
            fence: 0,
            running: self.running.len() as u32,
            power: self.power_mw(),
        })
    }

    /// Current draw: the idle power plus that of each running request at 40 tokens/s.
    pub fn power_mw(&self) -> u64 {
        self.cfg.idle_power_mw + self.running.len() as u64 * self.cfg.millijoules_per_token * 40
    }
}
