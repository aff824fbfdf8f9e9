//! When an engine takes the weights that lie beside it.
//!
//! Sans-IO: the state of the engine and the time go in, a [`Task`] for the shell comes out. An
//! engine that serves nothing is ordered at once. One that serves an older version stops taking
//! work while it changes, so the fleet changes in turns within the time for the version.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

/// Time before the latest time for a version in which the last engine is ordered. An order stops
/// new work at once, so only the way of the order has to fit.
const TAIL: Duration = Duration::from_millis(900);
/// Time over which the orders of a fleet are spread: what is left of the usual eight seconds after
/// a copy has come over the narrow link, which takes three.
const SPREAD: Duration = Duration::from_millis(3_400);
/// Pause after an order that was not taken.
const RETRY: Duration = Duration::from_millis(150);
/// Time after which an order without effect is given again: a stream lasts three seconds at most,
/// and loading less than one.
const PATIENCE: Duration = Duration::from_secs(5);

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// Start of its process in milliseconds since 1970.
    pub incarnation: u64,
    /// Version that it serves with all layers.
    pub version: Option<u64>,
    /// True while it carries out an order.
    pub is_busy: bool,
}

/// Work for the shell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Task {
    /// Put all chunks of the version into the staging.
    Stage {
        /// The version.
        version: u64,
    },
    /// Read the staging back, mend it, and order the engine to load it.
    Order {
        /// The version.
        version: u64,
    },
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It is done; an order was taken.
    Done,
    /// It was refused, failed, or its end is not known.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct Ordered {
    version: u64,
    incarnation: u64,
    at: Instant,
}

/// Decides for one engine.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    /// Wanted version, with the latest time to serve it.
    wanted: Option<(u64, Instant)>,
    /// Place of this engine in the order of the fleet, from 0 to 1.
    turn: f64,
    /// Version that is whole in this host's memory.
    held: Option<u64>,
    /// Version whose chunks were all put into the staging.
    staged: Option<u64>,
    ordered: Option<Ordered>,
    running: Option<Task>,
    /// Time before which nothing is tried again.
    not_before: Option<Instant>,
}

impl Rollout {
    /// A version is wanted until `due`; `turn` is the engine's place in the order of the fleet.
    pub fn want(&mut self, version: u64, due: Instant, turn: f64) {
        self.wanted = Some((version, due));
        self.turn = turn.clamp(0.0, 1.0);
    }

    /// A version is whole in this host's memory.
    pub fn hold(&mut self, version: u64) {
        self.held = self.held.max(Some(version));
    }

    /// The next task, if there is one; its end has to be told by [`Self::ended`].
    pub fn next(&mut self, now: Instant, engine: EngineState) -> Option<Task> {
        let (version, due) = self.wanted?;
        let waits = self.running.is_some() || self.not_before.is_some_and(|at| now < at);
        if waits || engine.version == Some(version) || self.held != Some(version) {
            return None;
        }
        if self.is_ordered(now, engine) {
            return None;
        }
        let task = if self.staged != Some(version) {
            Task::Stage { version }
        } else if engine.version.is_none() || now >= self.turn_at(due) {
            Task::Order { version }
        } else {
            return None;
        };
        self.running = Some(task);
        Some(task)
    }

    fn turn_at(&self, due: Instant) -> Instant {
        let before = TAIL + SPREAD.mul_f64(1.0 - self.turn);
        due.checked_sub(before).unwrap_or(due)
    }

    fn is_ordered(&self, now: Instant, engine: EngineState) -> bool {
        self.ordered.is_some_and(|ordered| {
            Some(ordered.version) == self.wanted.map(|(version, _)| version)
                && ordered.incarnation == engine.incarnation
                && now.saturating_duration_since(ordered.at) < PATIENCE
        })
    }

    /// A task has ended.
    pub fn ended(&mut self, now: Instant, engine: EngineState, outcome: Outcome) {
        match (self.running.take(), outcome) {
            (Some(Task::Stage { version }), Outcome::Done) => self.staged = Some(version),
            (Some(Task::Order { version }), Outcome::Done) => {
                self.ordered = Some(Ordered {
                    version,
                    incarnation: engine.incarnation,
                    at: now,
                });
            }
            (_, Outcome::Failed) => self.not_before = Some(now + RETRY),
            (None, Outcome::Done) => {}
        }
    }

    /// True while the engine takes no new work because it was told to change its version.
    pub fn is_switching(&self, now: Instant, engine: EngineState) -> bool {
        let (wanted, _) = self.wanted.unzip();
        engine.version != wanted && self.is_ordered(now, engine)
    }

    /// Time at which an engine that serves will be told to change its version.
    pub fn switch_at(&self, engine: EngineState) -> Option<Instant> {
        let (version, due) = self.wanted?;
        let waits = engine.version.is_some_and(|served| served != version);
        (waits && self.held == Some(version)).then(|| self.turn_at(due))
    }

    /// Version that is in the staging as far as it is known.
    pub fn staged(&self) -> Option<u64> {
        self.staged
    }
}

/// Place of a host in an order of the fleet that differs for each version, from 0 to 1.
pub fn turn(version: u64, own: &str, hosts: &[String]) -> f64 {
    let score = |host: &str| {
        let mut hash = blake3::Hasher::new();
        hash.update(&version.to_le_bytes()).update(host.as_bytes());
        *hash.finalize().as_bytes()
    };
    let own = score(own);
    let ahead = hosts.iter().filter(|host| score(host) < own).count();
    ahead as f64 / hosts.len().saturating_sub(1).max(1) as f64
}
