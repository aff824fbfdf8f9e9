//! Decides when an entry writes a new placement.
//!
//! All entries may propose. Each waits for a random part of the settling time, so that most often
//! one writes and the others see it; the conditional update settles the rest. A proposal is
//! computed anew from the placement that a conflict or a read has shown, never written again as
//! it was.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;

use crate::types::Generation;

use super::Placement;

/// Settings of the proposer.
#[derive(Clone, Copy, Debug)]
pub struct ProposerConfig {
    /// Longest time for which a wish for a change has to last before it is written.
    pub settle: Duration,
    /// Shortest time between two placements.
    pub hold: Duration,
    /// Time after which a write without an answer counts as lost.
    pub write_timeout: Duration,
}

/// A placement to write by conditional update.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// The placement.
    pub placement: Placement,
    /// Version of the object that it replaces; 0 when there is none.
    pub if_version: Generation,
}

/// State of one entry's proposals.
#[derive(Debug)]
pub struct Proposer {
    cfg: ProposerConfig,
    current: Placement,
    /// Version of the object that holds `current`; never falls.
    version: Generation,
    changed_at: Option<Instant>,
    /// Time at which the present wish for a change may be written.
    due: Option<Instant>,
    /// Time at which a write was sent that has not been answered.
    writing: Option<Instant>,
}

impl Proposer {
    /// A proposer that has seen no placement.
    pub fn new(cfg: ProposerConfig) -> Self {
        Self {
            cfg,
            current: Placement::default(),
            version: 0,
            changed_at: None,
            due: None,
            writing: None,
        }
    }

    /// The newest placement seen and its fencing number.
    pub fn current(&self) -> (&Placement, Generation) {
        (&self.current, self.version)
    }

    /// Takes in a placement from the store or from a peer; an older one is ignored.
    pub fn observe(&mut self, now: Instant, version: Generation, placement: Placement) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.current = placement;
        self.changed_at = Some(now);
        self.due = None;
        self.writing = None;
    }

    /// Takes in the end of a write that did not take effect or whose answer was lost.
    ///
    /// The entry has to read the object before the next proposal succeeds: a write over the old
    /// version can not take effect twice.
    pub fn write_failed(&mut self, now: Instant) {
        self.writing = None;
        self.due = Some(now + self.cfg.settle);
    }

    /// Offers the placement that the entry would like; returns what to write now.
    pub fn propose(
        &mut self,
        now: Instant,
        wanted: Placement,
        rng: &mut SmallRng,
    ) -> Option<Proposal> {
        if wanted == self.current || wanted.generation < self.current.generation {
            self.due = None;
            return None;
        }
        let stuck = |at: Instant| now >= at + self.cfg.write_timeout;
        if self.writing.is_some_and(|at| !stuck(at)) {
            return None;
        }
        let hold_until = self.changed_at.map_or(now, |at| at + self.cfg.hold);
        let due = *self
            .due
            .get_or_insert_with(|| now + self.cfg.settle.mul_f64(rng.random_range(0.0..1.0)));
        if now < due || now < hold_until {
            return None;
        }
        self.writing = Some(now);
        Some(Proposal {
            placement: wanted,
            if_version: self.version,
        })
    }
}
