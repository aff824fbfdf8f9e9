//! Decides when an engine stages and loads a new version of its model's weights.
//!
//! Sans-IO: the state of the engine and the time go in, a [`Task`] for the driver comes out. An
//! engine that serves no version is ordered to load one at once. An engine that serves an older
//! version accepts no requests while it changes, so the engines of a fleet change one after
//! another, all before the deadline until which the older version may be served.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time before the deadline to leave a version at which the last engine is ordered to change. An
/// order stops new requests at once, so the margin only has to cover the delivery of the order.
const LAST_ORDER_MARGIN: Duration = Duration::from_millis(900);
/// Time after the end of an older version for which an engine on the next one counts as one that has
/// changed recently.
const RECENT_CHANGE_TIME: Duration = Duration::from_millis(3_400);
/// Delay before the next task after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time after which an order without effect is repeated: a stream lasts three seconds at most, and
/// loading takes less than one.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Share of the fleet that loads an intermediate version while the newest one is still incomplete.
const INTERMEDIATE_SHARE: f64 = 0.5;
/// Least time for which an intermediate version must still be allowed in order to be loaded: a
/// change takes about as long.
const MIN_INTERMEDIATE_TIME: Duration = Duration::from_millis(2_500);
/// Wanted versions that are remembered: more than are published before the deadline of one passes.
const MAX_WANTED_VERSIONS: usize = 4;

/// State that an engine reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Version of which it serves all layers; `None` while it serves none.
    pub version: Option<u64>,
    /// True while it executes a load order.
    pub is_busy: bool,
}

/// Work for the driver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Task {
    /// Write all chunks of the version to the engine's staging area.
    Stage {
        /// Version to stage.
        version: u64,
    },
    /// Read the staging area back, repair it, and order the engine to load the version.
    Order {
        /// Version to load.
        version: u64,
    },
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskOutcome {
    /// Completed; in the case of an order, the engine accepted it.
    Done,
    /// Refused, failed, or its result is unknown.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct IssuedOrder {
    version: u64,
    incarnation: u64,
    at: Instant,
}

/// Rollout state of one engine.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    /// Wanted versions, each with the deadline until which older versions may be served.
    ///
    /// Invariant: the newest ones, at most [`MAX_WANTED_VERSIONS`].
    wanted: BTreeMap<u64, Instant>,
    /// Position of this engine in the order in which the fleet changes, from 0 to 1.
    position: f64,
    /// Versions that are complete in this host's memory, each with the time since which it is.
    held: BTreeMap<u64, Instant>,
    /// Version of which all chunks were written to the staging area.
    staged: Option<u64>,
    /// Last order that the engine accepted.
    last_order: Option<IssuedOrder>,
    running: Option<Task>,
    /// Time before which no task is started after a failed one.
    retry_at: Option<Instant>,
}

impl Rollout {
    /// Adds a wanted version; older versions may be served until `deadline`. `position` is this
    /// engine's position in the order in which the fleet changes to the newest version.
    pub fn add_version(&mut self, version: u64, deadline: Instant, position: f64) {
        self.wanted.insert(version, deadline);
        while self.wanted.len() > MAX_WANTED_VERSIONS {
            self.wanted.pop_first();
        }
        self.position = position.clamp(0.0, 1.0);
    }

    /// Records that a version is complete in this host's memory.
    pub fn mark_held(&mut self, now: Instant, version: u64) {
        self.held.entry(version).or_insert(now);
    }

    /// Returns the next task, if there is one; the driver reports its outcome to
    /// [`Self::finish_task`].
    pub fn next(&mut self, now: Instant, engine: EngineState) -> Option<Task> {
        let is_blocked = self.running.is_some() || self.retry_at.is_some_and(|at| now < at);
        let (version, at) = self.next_change(now, engine)?;
        if is_blocked || self.has_pending_order(now, engine, version) {
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

    /// Version that the engine changes to next, and the time of the order.
    fn next_change(&self, now: Instant, engine: EngineState) -> Option<(u64, Instant)> {
        let (newest, _) = self.wanted.last_key_value()?;
        if engine.version == Some(*newest) {
            return None;
        }
        if let Some(held_at) = self.held.get(newest) {
            let position = self.position_for_newest(now, engine);
            return Some((*newest, self.order_at(now, engine, *held_at, position)));
        }
        // While the newest version is incomplete, an engine without any version can serve an
        // intermediate one. So can a part of the fleet, which then keeps serving after the deadline
        // of the oldest version while the other engines wait for the newest one.
        let (intermediate, held_at) = self.held.iter().rev().find(|(version, _)| {
            let until = self.deadline_to_leave(**version);
            engine.version < Some(**version)
                && until.is_none_or(|until| until > now + MIN_INTERMEDIATE_TIME)
        })?;
        match engine.version {
            None => Some((*intermediate, now)),
            Some(_) if self.position < INTERMEDIATE_SHARE => {
                let position = self.position / INTERMEDIATE_SHARE;
                let at = self.order_at(now, engine, *held_at, position);
                Some((*intermediate, at))
            }
            Some(_) => None,
        }
    }

    /// Position of the engine in the change to the newest version. An engine that has recently
    /// changed to an intermediate version changes after those that have waited.
    fn position_for_newest(&self, now: Instant, engine: EngineState) -> f64 {
        let deadline = engine.version.and_then(|version| self.wanted.get(&version));
        match deadline {
            Some(deadline) if *deadline + RECENT_CHANGE_TIME > now => {
                INTERMEDIATE_SHARE + self.position.min(INTERMEDIATE_SHARE)
            }
            _ => self.position,
        }
    }

    /// Time of the order for an engine at `position` to load a version that is held since `held_at`;
    /// `now` if the engine's version has no deadline. The orders of a fleet are spread over all the time
    /// that is left before the deadline, since an engine takes no requests until those before the order
    /// have ended.
    fn order_at(
        &self,
        now: Instant,
        engine: EngineState,
        held_at: Instant,
        position: f64,
    ) -> Instant {
        let deadline = engine
            .version
            .and_then(|version| self.deadline_to_leave(version));
        deadline.map_or(now, |deadline| {
            let last = deadline.checked_sub(LAST_ORDER_MARGIN).unwrap_or(deadline);
            let spread = last.saturating_duration_since(held_at);
            (last - spread.mul_f64(1.0 - position.min(1.0))).max(held_at)
        })
    }

    /// Time until which a version may be served; `None` while no newer version is wanted.
    fn deadline_to_leave(&self, version: u64) -> Option<Instant> {
        let newer = self.wanted.range(version + 1..);
        newer.map(|(_, deadline)| *deadline).min()
    }

    fn has_pending_order(&self, now: Instant, engine: EngineState, version: u64) -> bool {
        self.last_order.is_some_and(|order| {
            order.version == version
                && order.incarnation == engine.incarnation
                && now.saturating_duration_since(order.at) < ORDER_TIMEOUT
        })
    }

    /// Records the outcome of the running task.
    pub fn finish_task(&mut self, now: Instant, engine: EngineState, outcome: TaskOutcome) {
        match (self.running.take(), outcome) {
            (Some(Task::Stage { version }), TaskOutcome::Done) => self.staged = Some(version),
            (Some(Task::Order { version }), TaskOutcome::Done) => {
                self.last_order = Some(IssuedOrder {
                    version,
                    incarnation: engine.incarnation,
                    at: now,
                });
            }
            (_, TaskOutcome::Failed) => self.retry_at = Some(now + RETRY_DELAY),
            (None, TaskOutcome::Done) => {}
        }
    }

    /// True while the engine accepts no new requests because it was ordered to change its version.
    pub fn is_switching(&self, now: Instant, engine: EngineState) -> bool {
        self.last_order.is_some_and(|order| {
            engine.version != Some(order.version)
                && self.has_pending_order(now, engine, order.version)
        })
    }

    /// Time at which an engine that serves a version will be ordered to change it.
    pub fn switch_at(&self, now: Instant, engine: EngineState) -> Option<Instant> {
        engine.version?;
        self.next_change(now, engine).map(|(_, at)| at)
    }
}

/// Position of a host in the order in which the fleet changes, from 0 to 1. The order is a
/// pseudorandom one that differs for each version.
pub fn rollout_position(version: u64, own: &str, hosts: &[String]) -> f64 {
    let score = |host: &str| {
        let mut hash = blake3::Hasher::new();
        hash.update(&version.to_le_bytes()).update(host.as_bytes());
        *hash.finalize().as_bytes()
    };
    let own = score(own);
    let preceding = hosts.iter().filter(|host| score(host) < own).count();
    preceding as f64 / hosts.len().saturating_sub(1).max(1) as f64
}
