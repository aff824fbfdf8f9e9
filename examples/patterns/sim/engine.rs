//! Model of an engine that batches continuously.
//!
//! Time passes in strides of token steps. Before each, the engine admits what waits and reads
//! prompts; at its end each request whose prompt is read gets one event.

use std::collections::VecDeque;
use std::time::Duration;

use limpetloom::dispatch::EngineModel;

/// Name of the model that the engines serve.
pub const MODEL: &str = "m";
/// Requests that wait at an engine beside those that run, as the sites declare it.
const QUEUE: usize = 32;
/// Prompt tokens that are read in one stride at most, as the sites declare it.
const READ_MAX: f64 = 2_048.0;

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Number of the caller.
    pub caller: usize,
    /// Number of the caller's attempt.
    pub attempt: u32,
    /// Prompt tokens that are not read yet.
    pub unread: f64,
    /// Events that are still to be made.
    pub events: u32,
}

/// What an engine made in a stride.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Number of the caller.
    pub caller: usize,
    /// Number of the caller's attempt.
    pub attempt: u32,
    /// True for the last event of the answer.
    pub is_last: bool,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    model: EngineModel,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// True while a stride is under way.
    pub is_busy: bool,
    /// True while it answers nobody.
    pub is_dark: bool,
    /// True from the order to change its version until it serves the new one.
    pub is_changing: bool,
    /// Start of its process; tells two lives apart.
    pub incarnation: u64,
    /// Version that it serves.
    pub version: u64,
}

impl Engine {
    /// An idle engine.
    pub fn new(model: EngineModel) -> Self {
        Self {
            model,
            running: Vec::new(),
            waiting: VecDeque::new(),
            is_busy: false,
            is_dark: false,
            is_changing: false,
            incarnation: 1,
            version: 1,
        }
    }

    /// Requests that run and that wait.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Takes a request in; false when it is full.
    pub fn take(&mut self, job: Job) -> bool {
        let places = self.model.slots as usize;
        let has_room = self.running.len() + self.waiting.len() < places + QUEUE;
        if has_room {
            self.waiting.push_back(job);
        }
        has_room
    }

    /// Forgets a request whose connection is closed.
    pub fn cancel(&mut self, caller: usize, attempt: u32) {
        let other = |job: &Job| (job.caller, job.attempt) != (caller, attempt);
        self.running.retain(other);
        self.waiting.retain(other);
    }

    /// Loses everything, as in a crash.
    pub fn lose_all(&mut self) -> Vec<Job> {
        self.is_busy = false;
        self.running
            .drain(..)
            .chain(self.waiting.drain(..))
            .collect()
    }

    /// Starts a stride; `None` when there is nothing to do.
    pub fn start(&mut self) -> Option<Duration> {
        while !self.is_changing && self.running.len() < self.model.slots as usize {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(job);
        }
        if self.running.is_empty() {
            self.is_busy = false;
            return None;
        }
        let mut left = READ_MAX;
        for job in &mut self.running {
            let read = job.unread.min(left);
            job.unread -= read;
            left -= read;
        }
        self.is_busy = true;
        let pass = self.model.pass_duration(self.running.len() as u32);
        Some(pass + self.model.prefill_time(READ_MAX - left))
    }

    /// Ends a stride.
    pub fn end(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        for job in &mut self.running {
            if job.unread > 0.0 {
                continue;
            }
            job.events -= 1;
            events.push(Event {
                caller: job.caller,
                attempt: job.attempt,
                is_last: job.events == 0,
            });
        }
        self.running.retain(|job| job.events > 0);
        events
    }
}
