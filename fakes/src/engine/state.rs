//! State shared by the engine's handlers and tasks.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::config::{EngineConfig, EngineCounters, EngineFaults};
use super::job::Job;
use super::prefix::PrefixCache;
use super::staging::StagedVersion;

/// Number of ended requests whose outcome is kept.
const MAX_KEPT_OUTCOMES: usize = 256;

/// Configuration and state that the engine's handlers and tasks share.
#[derive(Debug)]
pub(super) struct Shared {
    pub cfg: EngineConfig,
    state: Mutex<State>,
    /// Notifies the batch task of new or changed requests.
    pub work: Notify,
    /// Notifies the supervisor task of a crash.
    pub crashed: Notify,
}

/// Version that serves requests.
#[derive(Clone, Debug)]
pub(super) struct ActiveVersion {
    pub digest: Arc<str>,
    /// False when the manifest or a chunk did not match its digest when the version was loaded.
    pub is_intact: bool,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum JobOutcome {
    /// The whole answer was sent.
    Done,
    /// The request was cancelled, abandoned by its caller, or cut by an injected fault.
    Cancelled,
}

/// Load figures of the status report.
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
    pub active: Option<ActiveVersion>,
    pub completed_since_cold: u32,
    /// Invariant: at most `warm_limit` requests.
    pub running: Vec<Job>,
    /// Invariant: sorted by priority, then by arrival.
    pub waiting: Vec<Job>,
    /// Time at which the last queued prefill ends.
    pub prefill_free_at: Instant,
    /// Outcomes of the latest ended requests, by id.
    pub outcomes: HashMap<String, JobOutcome>,
    /// Ids in `outcomes`, oldest first.
    pub outcome_order: VecDeque<String>,
    pub prefix: PrefixCache,
    /// Staged versions, by the digest of their manifest.
    pub staging: HashMap<String, StagedVersion>,
    /// Highest fencing number seen since the last crash; stays 0 when fencing is not checked.
    pub fence: u64,
    pub faults: EngineFaults,
    pub counters: EngineCounters,
    /// Moving average of the tokens produced per second.
    pub tokens_per_s: f64,
    /// Load figures of the status, at least as old as the report lag.
    pub reported_load: Load,
}

impl Shared {
    pub fn new(cfg: EngineConfig) -> Self {
        let active = cfg.version.as_deref().map(|digest| ActiveVersion {
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
            prefill_free_at: Instant::now(),
            outcomes: HashMap::new(),
            outcome_order: VecDeque::new(),
            prefix: PrefixCache::new(cfg.prefix_blocks),
            staging: HashMap::new(),
            fence: 0,
            faults: EngineFaults::default(),
            counters: EngineCounters::default(),
            tokens_per_s: 0.0,
            reported_load: Load::default(),
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

    /// Completed share of the warm-up, from 0 to 1.
    fn warm_up_progress(&self, state: &State) -> f64 {
        if state.completed_since_cold >= self.cfg.warm_up_requests {
            return 1.0;
        }
        f64::from(state.completed_since_cold) / f64::from(self.cfg.warm_up_requests)
    }

    /// Running and waiting requests that the engine can hold at its present warmth.
    pub fn limit(&self, state: &State) -> u32 {
        let growth = f64::from(self.cfg.warm_limit.saturating_sub(self.cfg.cold_limit));
        self.cfg.cold_limit + (growth * self.warm_up_progress(state)) as u32
    }

    pub fn is_cold(&self, state: &State) -> bool {
        state.completed_since_cold < self.cfg.warm_up_requests
    }

    /// Factor by which the engine is slower than a warm engine without injected faults.
    pub fn slowdown(&self, state: &State) -> f64 {
        let cold_factor =
            1.0 + (self.cfg.cold_slowdown - 1.0) * (1.0 - self.warm_up_progress(state));
        cold_factor.max(1.0) * state.faults.slow_factor.max(1.0)
    }

    /// Present time between two tokens of a request.
    pub fn step_time(&self, state: &State) -> Duration {
        let others = state.running.len().saturating_sub(1) as u32;
        let batch_cost = self.cfg.token_interval_per_request * others;
        (self.cfg.token_interval + batch_cost).mul_f64(self.slowdown(state))
    }

    pub fn power_mw(&self, state: &State) -> u64 {
        self.cfg.idle_mw + (state.tokens_per_s * self.cfg.token_mj as f64) as u64
    }

    /// Drops all requests and staged chunks, changes the instance id and notifies the supervisor
    /// task, which restarts the engine.
    pub fn crash(&self, state: &mut State) {
        state.counters.crashes += 1;
        state.instance = rand::random();
        state.is_down = true;
        state.is_loading = false;
        state.completed_since_cold = 0;
        state.running.clear();
        state.waiting.clear();
        state.outcomes.clear();
        state.outcome_order.clear();
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

    /// Counts the outcome of a request and keeps it for later cancel, pause and resume calls.
    pub fn finish_job(&mut self, id: String, outcome: JobOutcome) {
        match outcome {
            JobOutcome::Done => self.counters.completed += 1,
            JobOutcome::Cancelled => self.counters.cancelled += 1,
        }
        if outcome == JobOutcome::Done {
            self.completed_since_cold = self.completed_since_cold.saturating_add(1);
        }
        self.outcome_order.push_back(id.clone());
        self.outcomes.insert(id, outcome);
        if self.outcome_order.len() > MAX_KEPT_OUTCOMES {
            let oldest = self.outcome_order.pop_front().unwrap_or_default();
            self.outcomes.remove(&oldest);
        }
    }

    /// Returns a running or waiting request by its id.
    pub fn job(&mut self, id: &str) -> Option<&mut Job> {
        self.running
            .iter_mut()
            .chain(self.waiting.iter_mut())
            .find(|job| job.id == id)
    }
}
