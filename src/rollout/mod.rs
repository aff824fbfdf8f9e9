//! When an engine takes the weights that lie beside it.
//!
//! Sans-IO: the state of the engine and the time go in, a [`Task`] for the shell comes out. An
//! engine that serves nothing is ordered at once. One that serves an older version stops taking
//! work while it changes, so the fleet changes in turns within the time for the version.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
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

/// Part of a fleet that takes a version between when a newer one is on its way.
const BETWEEN_SHARE: f64 = 0.5;
/// Time that a version between must still be allowed for: a change takes about as long.
const WORTHWHILE: Duration = Duration::from_millis(2_500);
/// Named versions that are remembered: more than are named within the time for one.
const NAMED_MAX: usize = 4;

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
pub enum TaskOutcome {
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
    /// Named versions, with the latest time to leave the versions before each.
    ///
    /// Invariant: at most [`NAMED_MAX`], the newest.
    named: BTreeMap<u64, Instant>,
    /// Place of this engine in the order of the fleet, from 0 to 1.
    turn: f64,
    /// Versions that are whole in this host's memory.
    held: BTreeSet<u64>,
    /// Version whose chunks were all put into the staging.
    staged: Option<u64>,
    ordered: Option<Ordered>,
    running: Option<Task>,
    /// Time before which nothing is tried again.
    not_before: Option<Instant>,
}

impl Rollout {
    /// A version was named; those before it may be served until `due`. `turn` is the engine's place
    /// in the order of the fleet for the newest version.
    pub fn add_version(&mut self, version: u64, due: Instant, turn: f64) {
        self.named.insert(version, due);
        while self.named.len() > NAMED_MAX {
            self.named.pop_first();
        }
        self.turn = turn.clamp(0.0, 1.0);
    }

    /// A version is whole in this host's memory.
    pub fn mark_held(&mut self, version: u64) {
        self.held.insert(version);
    }

    /// The next task, if there is one; its end has to be told by [`Self::finish_task`].
    pub fn next(&mut self, now: Instant, engine: EngineState) -> Option<Task> {
        let waits = self.running.is_some() || self.not_before.is_some_and(|at| now < at);
        let (version, at) = self.change(now, engine)?;
        if waits || self.is_ordered(now, engine, version) {
            return None;
        }
        let task = if self.staged != Some(version) {
            Task::Stage { version }
        } else if now >= at {
            Task::Order { version }
        } else {
            return None;
        };
        self.running = Some(task);
        Some(task)
    }

    /// The version that the engine changes to next, and when.
    fn change(&self, now: Instant, engine: EngineState) -> Option<(u64, Instant)> {
        let (newest, _) = self.named.last_key_value()?;
        if engine.version == Some(*newest) {
            return None;
        }
        if self.held.contains(newest) {
            return Some((
                *newest,
                self.turn_at(now, engine, self.turn_to_newest(now, engine)),
            ));
        }
        // Until the newest version is whole, one between is better than none, and lets a part of
        // the fleet serve while the rest waits for the newest beyond the time for the oldest.
        let between = self.held.iter().rev().find(|version| {
            let until = self.due_after(**version);
            engine.version < Some(**version) && until.is_none_or(|until| until > now + WORTHWHILE)
        })?;
        match engine.version {
            None => Some((*between, now)),
            Some(_) if self.turn < BETWEEN_SHARE => {
                let at = self.turn_at(now, engine, self.turn / BETWEEN_SHARE);
                Some((*between, at))
            }
            Some(_) => None,
        }
    }

    /// Engines that took a version between have had their turn and come last.
    fn turn_to_newest(&self, now: Instant, engine: EngineState) -> f64 {
        let due = engine.version.and_then(|version| self.named.get(&version));
        match due {
            Some(due) if *due + SPREAD > now => BETWEEN_SHARE + self.turn.min(BETWEEN_SHARE),
            _ => self.turn,
        }
    }

    fn turn_at(&self, now: Instant, engine: EngineState, turn: f64) -> Instant {
        let due = engine.version.and_then(|version| self.due_after(version));
        due.map_or(now, |due| {
            let before = TAIL + SPREAD.mul_f64(1.0 - turn.min(1.0));
            due.checked_sub(before).unwrap_or(due)
        })
    }

    /// Latest time to leave a version.
    fn due_after(&self, version: u64) -> Option<Instant> {
        let later = self.named.range(version + 1..);
        later.map(|(_, due)| *due).min()
    }

    fn is_ordered(&self, now: Instant, engine: EngineState, version: u64) -> bool {
        self.ordered.is_some_and(|ordered| {
            ordered.version == version
                && ordered.incarnation == engine.incarnation
                && now.saturating_duration_since(ordered.at) < PATIENCE
        })
    }

    /// A task has ended.
    pub fn finish_task(&mut self, now: Instant, engine: EngineState, outcome: TaskOutcome) {
        match (self.running.take(), outcome) {
            (Some(Task::Stage { version }), TaskOutcome::Done) => self.staged = Some(version),
            (Some(Task::Order { version }), TaskOutcome::Done) => {
                self.ordered = Some(Ordered {
                    version,
                    incarnation: engine.incarnation,
                    at: now,
                });
            }
            (_, TaskOutcome::Failed) => self.not_before = Some(now + RETRY),
            (None, TaskOutcome::Done) => {}
        }
    }

    /// True while the engine takes no new work because it was told to change its version.
    pub fn is_switching(&self, now: Instant, engine: EngineState) -> bool {
        self.ordered.is_some_and(|ordered| {
            engine.version != Some(ordered.version) && self.is_ordered(now, engine, ordered.version)
        })
    }

    /// Time at which an engine that serves will be told to change its version.
    pub fn switch_at(&self, now: Instant, engine: EngineState) -> Option<Instant> {
        engine.version?;
        self.change(now, engine).map(|(_, at)| at)
    }
}

/// Place of a host in an order of the fleet that differs for each version, from 0 to 1.
pub fn rollout_position(version: u64, own: &str, hosts: &[String]) -> f64 {
    let score = |host: &str| {
        let mut hash = blake3::Hasher::new();
        hash.update(&version.to_le_bytes()).update(host.as_bytes());
        *hash.finalize().as_bytes()
    };
    let own = score(own);
    let ahead = hosts.iter().filter(|host| score(host) < own).count();
    ahead as f64 / hosts.len().saturating_sub(1).max(1) as f64
}
