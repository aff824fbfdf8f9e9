//! Model of an endpoint: what it runs, when it is cold, what crashes it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use limpetloom::agent::core::{EndpointConfig, EndpointKind, EndpointProbe};
use limpetloom::types::{AttemptId, Digest, InstanceId};

pub struct Endpoint {
    pub cfg: EndpointConfig,
    pub instance: InstanceId,
    pub version: Option<Digest>,
    pub down_until: Option<Instant>,
    /// Attempts that load the endpoint, with the end of their work.
    pub running: BTreeMap<AttemptId, Instant>,
    pub paused: BTreeMap<AttemptId, Duration>,
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

    pub fn serves(&self, now: Instant) -> bool {
        let loaded = self.cfg.kind == EndpointKind::Service || self.version.is_some();
        !self.is_down(now) && loaded
    }

    /// Requests that the endpoint bears now: one more with each one that it completes.
    pub fn bound(&self) -> usize {
        (self.cfg.cold_limit + self.answers).min(self.cfg.limit) as usize
    }

    pub fn answered(&mut self, attempt: &str) -> bool {
        let known = self.running.remove(attempt).is_some();
        self.answers += u32::from(known);
        known
    }

    /// The process dies; returns what was in flight.
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
            power: self.draw(),
        })
    }

    pub fn draw(&self) -> u64 {
        self.cfg.idle_power_mw + self.running.len() as u64 * self.cfg.millijoules_per_token * 40
    }
}
