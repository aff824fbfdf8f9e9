//! Decides when an entry writes a new placement.
//!
//! All entries may propose. Each first waits for a random part of the longest delay, so that
//! usually one writes and the others observe the result; the conditional update resolves the
//! remaining conflicts. A failed write is not repeated as it was: the next proposal is computed
//! from the newest observed placement.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;

use crate::types::Generation;

use super::Placement;

/// Settings of the proposer.
#[derive(Clone, Copy, Debug)]
pub struct ProposerConfig {
    /// Longest random delay between the first request for a change and its write; also the delay
    /// after a failed write.
    pub max_delay: Duration,
    /// Shortest time between two placements.
    pub min_interval: Duration,
    /// Time after which a write without a reply counts as lost.
    pub write_timeout: Duration,
}

/// A placement to write by conditional update.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Placement to store.
    pub placement: Placement,
    /// Version of the stored object that the placement replaces; 0 when there is none.
    pub if_version: Generation,
}

/// Proposal state of one entry.
#[derive(Debug)]
pub struct Proposer {
    cfg: ProposerConfig,
    current: Placement,
    /// Version of the stored object that holds `current`.
    ///
    /// Invariant: never decreases.
    version: Generation,
    /// Time at which `current` was observed.
    changed_at: Option<Instant>,
    /// Earliest time at which the requested change may be written; `None` while none is requested.
    write_at: Option<Instant>,
    /// Time at which the last proposal was returned; `None` while no write is outstanding.
    write_sent_at: Option<Instant>,
}

impl Proposer {
    /// Creates a proposer that has observed no placement.
    pub fn new(cfg: ProposerConfig) -> Self {
        Self {
            cfg,
            current: Placement::default(),
            version: 0,
            changed_at: None,
            write_at: None,
            write_sent_at: None,
        }
    }

    /// Returns the newest observed placement and its fencing number.
    pub fn current(&self) -> (&Placement, Generation) {
        (&self.current, self.version)
    }

    /// Records a placement received from the object API or from a peer. One that is not newer than
    /// the current placement is ignored.
    pub fn observe(&mut self, now: Instant, version: Generation, placement: Placement) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.current = placement;
        self.changed_at = Some(now);
        self.write_at = None;
        self.write_sent_at = None;
    }

    /// Records that the outstanding write did not take effect or that its reply was lost.
    ///
    /// If the object has changed, another proposal succeeds only after the entry has read it: at
    /// most one write over each version takes effect.
    pub fn write_failed(&mut self, now: Instant) {
        self.write_sent_at = None;
        self.write_at = Some(now + self.cfg.max_delay);
    }

    /// Requests a change to `desired`; returns the proposal to write if it is to be written now.
    pub fn propose(
        &mut self,
        now: Instant,
        desired: Placement,
        rng: &mut SmallRng,
    ) -> Option<Proposal> {
        if desired == self.current || desired.generation < self.current.generation {
            self.write_at = None;
            return None;
        }
        let is_lost = |at: Instant| now >= at + self.cfg.write_timeout;
        if self.write_sent_at.is_some_and(|at| !is_lost(at)) {
            return None;
        }
        let next_allowed = self.changed_at.map_or(now, |at| at + self.cfg.min_interval);
        let write_at = *self
            .write_at
            .get_or_insert_with(|| now + self.cfg.max_delay.mul_f64(rng.random_range(0.0..1.0)));
        if now < write_at || now < next_allowed {
            return None;
        }
        self.write_sent_at = Some(now);
        Some(Proposal {
            placement: desired,
            if_version: self.version,
        })
    }
}
