//! State of the engine.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::config::{EngineConfig, EngineCounters, EngineFaults};
use super::job::Job;
use super::prefix::PrefixCache;
use super::staging::Staged;

/// Ended requests that are remembered.
const ENDED_KEPT: usize = 256;

/// Configuration and state that the engine's tasks share.
#[derive(Debug)]
pub(super) struct Shared {
    pub cfg: EngineConfig,
    state: Mutex<State>,
    /// Signals new work to the batch.
    pub work: Notify,
    /// Signals a crash to the supervisor.
    pub crashed: Notify,
}

/// Version that is active.
#[derive(Clone, Debug)]
pub(super) struct Active {
    pub digest: Arc<str>,
    /// True when the weights are as published.
    pub is_intact: bool,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Ended {
    Done,
    Cancelled,
}

/// Load as reported.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    pub running: usize,
    pub waiting: usize,
    pub power_mw: u64,
}

#[derive(Debug)]
pub(super) struct State {
    pub instance: u64,
    pub is_down: bool,
    pub is_loading: bool,
    pub active: Option<Active>,
    pub completed_since_cold: u32,
    /// Invariant: at most `warm_limit` requests.
    pub running: Vec<Job>,
    /// Invariant: in the order of priority, then of arrival.
    pub waiting: Vec<Job>,
    pub prefill_free: Instant,
    pub ended: HashMap<String, Ended>,
    pub ended_order: VecDeque<String>,
    pub prefix: PrefixCache,
    pub staging: HashMap<String, Staged>,
    pub fence: u64,
    pub faults: EngineFaults,
    pub counters: EngineCounters,
    /// Tokens produced in each second, smoothed.
    pub tokens_per_s: f64,
    pub report: Load,
}

impl Shared {
    pub fn new(cfg: EngineConfig) -> Self {
        let active = cfg.version.as_deref().map(|digest| Active {
            digest: digest.into(),
            is_intact: true,
        });
        let state = State {
            instance: rand::random(),
            is_down: false,
            is_loading: false,
            active,
            completed_since_cold: 0,
            running: Vec::new(),
            waiting: Vec::new(),
            prefill_free: Instant::now(),
            ended: HashMap::new(),
            ended_order: VecDeque::new(),
            prefix: PrefixCache::new(cfg.prefix_blocks),
            staging: HashMap::new(),
            fence: 0,
            faults: EngineFaults::default(),
            counters: EngineCounters::default(),
            tokens_per_s: 0.0,
            report: Load::default(),
        };
        Self {
            cfg,
            state: Mutex::new(state),
            work: Notify::new(),
            crashed: Notify::new(),
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Share of the warm-up that is done, from 0 to 1.
    fn warmth(&self, state: &State) -> f64 {
        if state.completed_since_cold >= self.cfg.warm_up_requests {
            return 1.0;
        }
        f64::from(state.completed_since_cold) / f64::from(self.cfg.warm_up_requests)
    }

    /// Requests that the engine bears.
    pub fn limit(&self, state: &State) -> u32 {
        let growth = f64::from(self.cfg.warm_limit.saturating_sub(self.cfg.cold_limit));
        self.cfg.cold_limit + (growth * self.warmth(state)) as u32
    }

    pub fn is_cold(&self, state: &State) -> bool {
        state.completed_since_cold < self.cfg.warm_up_requests
    }

    /// Factor by which the engine is slower than when warm and without faults.
    pub fn slowness(&self, state: &State) -> f64 {
        let cold = 1.0 + (self.cfg.cold_slowdown - 1.0) * (1.0 - self.warmth(state));
        cold.max(1.0) * state.faults.slow_factor.max(1.0)
    }

    /// Time between two tokens now.
    pub fn step_time(&self, state: &State) -> Duration {
        let others = state.running.len().saturating_sub(1) as u32;
        let batch = self.cfg.token_interval_per_request * others;
        (self.cfg.token_interval + batch).mul_f64(self.slowness(state))
    }

    pub fn power_mw(&self, state: &State) -> u64 {
        self.cfg.idle_mw + (state.tokens_per_s * self.cfg.token_mj as f64) as u64
    }

    /// Drops all work and starts again as another instance.
    pub fn crash(&self, state: &mut State) {
        state.counters.crashes += 1;
        state.instance = rand::random();
        state.is_down = true;
        state.is_loading = false;
        state.completed_since_cold = 0;
        state.running.clear();
        state.waiting.clear();
        state.ended.clear();
        state.ended_order.clear();
        state.prefix.clear();
        state.staging.clear();
        state.fence = 0;
        if !self.cfg.keeps_version_on_crash {
            state.active = None;
        }
        self.crashed.notify_one();
    }
}

impl State {
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    pub fn version(&self) -> Option<String> {
        self.active.as_ref().map(|active| active.digest.to_string())
    }

    /// Remembers how a request ended.
    pub fn end(&mut self, id: String, ended: Ended) {
        match ended {
            Ended::Done => self.counters.completed += 1,
            Ended::Cancelled => self.counters.cancelled += 1,
        }
        if ended == Ended::Done {
            self.completed_since_cold = self.completed_since_cold.saturating_add(1);
        }
        self.ended_order.push_back(id.clone());
        self.ended.insert(id, ended);
        if self.ended_order.len() > ENDED_KEPT {
            let oldest = self.ended_order.pop_front().unwrap_or_default();
            self.ended.remove(&oldest);
        }
    }

    /// Finds a request that runs or waits.
    pub fn job(&mut self, id: &str) -> Option<&mut Job> {
        self.running
            .iter_mut()
            .chain(self.waiting.iter_mut())
            .find(|job| job.id == id)
    }
}
