//! Model of an engine with continuous batching.
//!
//! An engine works in passes of several token steps. At the start of a pass it moves waiting
//! requests into free slots and processes prompts (prefill); at the end each request whose prompt
//! is processed emits one event.

use std::collections::VecDeque;
use std::time::Duration;

use limpetloom::dispatch::EngineModel;

/// Name of the model that the engines serve.
pub const MODEL: &str = "m";
/// Maximum number of requests that wait at an engine in addition to the running ones, as operators
/// declare it.
const QUEUE_LENGTH: usize = 32;
/// Maximum number of prompt tokens processed in one pass, as operators declare it.
const MAX_PREFILL_TOKENS: f64 = 2_048.0;

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Index of the caller.
    pub caller: usize,
    /// Number of the caller's attempt.
    pub attempt: u32,
    /// Prompt tokens that are not processed yet.
    pub prefill_left: f64,
    /// Number of events still to be emitted.
    pub events_left: u32,
}

/// An event of a streamed answer, emitted at the end of a pass.
#[derive(Clone, Copy, Debug)]
pub struct StreamEvent {
    /// Index of the caller.
    pub caller: usize,
    /// Number of the caller's attempt.
    pub attempt: u32,
    /// True for the last event of the answer.
    pub is_last: bool,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    model: EngineModel,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// True while a pass is in progress.
    pub is_busy: bool,
    /// True while it sends neither answers nor load reports.
    pub is_unresponsive: bool,
    /// True from the order to switch its version until it serves the new one.
    pub is_switching: bool,
    /// Process incarnation; increases when the engine returns after a failure.
    pub incarnation: u64,
    /// Weight version that it serves.
    pub version: u64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(model: EngineModel) -> Self {
        Self {
            model,
            running: Vec::new(),
            waiting: VecDeque::new(),
            is_busy: false,
            is_unresponsive: false,
            is_switching: false,
            incarnation: 1,
            version: 1,
        }
    }

    /// Numbers of running and of waiting requests.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Adds a request to the queue; returns false when the engine is full.
    pub fn enqueue(&mut self, job: Job) -> bool {
        let slots = self.model.slots as usize;
        let accepts = self.running.len() + self.waiting.len() < slots + QUEUE_LENGTH;
        if accepts {
            self.waiting.push_back(job);
        }
        accepts
    }

    /// Removes a request whose connection is closed.
    pub fn cancel(&mut self, caller: usize, attempt: u32) {
        let is_other = |job: &Job| (job.caller, job.attempt) != (caller, attempt);
        self.running.retain(is_other);
        self.waiting.retain(is_other);
    }

    /// Drops all requests, as a crash does, and returns them.
    pub fn drop_jobs(&mut self) -> Vec<Job> {
        self.is_busy = false;
        self.running
            .drain(..)
            .chain(self.waiting.drain(..))
            .collect()
    }

    /// Starts a pass and returns its duration; `None` when no request runs.
    pub fn start_pass(&mut self) -> Option<Duration> {
        while !self.is_switching && self.running.len() < self.model.slots as usize {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(job);
        }
        if self.running.is_empty() {
            self.is_busy = false;
            return None;
        }
        let mut budget = MAX_PREFILL_TOKENS;
        for job in &mut self.running {
            let tokens = job.prefill_left.min(budget);
            job.prefill_left -= tokens;
            budget -= tokens;
        }
        self.is_busy = true;
        let pass = self.model.pass_duration(self.running.len() as u32);
        Some(pass + self.model.prefill_time(MAX_PREFILL_TOKENS - budget))
    }

    /// Ends a pass and returns the events that it emitted.
    pub fn end_pass(&mut self) -> Vec<StreamEvent> {
        let mut events = Vec::new();
        for job in &mut self.running {
            if job.prefill_left > 0.0 {
                continue;
            }
            job.events_left -= 1;
            events.push(StreamEvent {
                caller: job.caller,
                attempt: job.attempt,
                is_last: job.events_left == 0,
            });
        }
        self.running.retain(|job| job.events_left > 0);
        events
    }
}
