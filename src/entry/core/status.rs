//! What an operator sees of the entry.

use std::time::Instant;

use crate::wire::EntryStatus;

use super::EntryCore;

impl EntryCore {
    /// True while the balancer should send requests here.
    pub fn is_ready(&self, _now: Instant) -> bool {
        self.stopped.is_none() && self.config.is_some()
    }

    /// What the entry knows of the system.
    pub fn status(&self, now: Instant) -> EntryStatus {
        EntryStatus {
            classes: Vec::new(),
            entry: self.cfg.entry.to_string(),
            generation: self.generation(),
            hosts: Vec::new(),
            in_force: self.is_ready(now),
            quarantine: Vec::new(),
            store: self.store_report(now),
            zone: self.cfg.zone.to_string(),
        }
    }
}
