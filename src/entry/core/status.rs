//! Readiness, and the status report for operators.

use std::time::{Duration, Instant};

use crate::membership::Agent;
use crate::types::ClassId;
use crate::wire::{ClassStatus, EntryStatus, HostStatus};

use super::EntryCore;
use super::requests::Phase;

impl EntryCore {
    /// True while the load balancer should send requests to this entry.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.stop_requested_at.is_none() && self.config.in_force(now).is_ok()
    }

    /// Status report with recent statistics.
    pub fn status(&mut self, now: Instant) -> EntryStatus {
        EntryStatus {
            classes: self.class_statuses(),
            entry: self.cfg.entry.to_string(),
            generation: self.config.generation(),
            hosts: self.host_statuses(now),
            in_force: self.config.in_force(now).is_ok(),
            quarantine: self.quarantine.entries(now),
            store: self.config.contact_for(now, &self.cfg.entry),
            zone: self.cfg.zone.to_string(),
        }
    }

    fn class_statuses(&self) -> Vec<ClassStatus> {
        self.class_stats
            .iter()
            .map(|(class, stats)| ClassStatus {
                answered: stats.answered,
                class: class.to_string(),
                first_token_p95_ms: stats.first_token_p95().as_millis() as u32,
                in_flight: self.count_running(class),
                queued: self.admission.len_of(class) as u32,
                refused: stats.refused,
            })
            .collect()
    }

    fn count_running(&self, class: &ClassId) -> u32 {
        self.requests
            .values()
            .filter(|request| request.meta.class == *class)
            .filter(|request| matches!(request.phase, Phase::Running(_)))
            .count() as u32
    }

    fn host_statuses(&self, now: Instant) -> Vec<HostStatus> {
        self.membership
            .members()
            .map(|agent| self.host_status(now, agent))
            .collect()
    }

    fn host_status(&self, now: Instant, agent: &Agent) -> HostStatus {
        let never = Duration::from_millis(u64::from(u32::MAX));
        let age = agent
            .last_reply
            .map_or(never, |at| now.saturating_duration_since(at));
        HostStatus {
            age_ms: age.as_millis() as u64,
            endpoints: self
                .endpoints
                .values()
                .filter(|endpoint| endpoint.host == agent.host)
                .map(|endpoint| endpoint.last_report.clone())
                .collect(),
            generation: agent.generation,
            host: agent.host.to_string(),
            leaving: agent.is_leaving(),
            suspect: agent.is_suspect(now, self.cfg.suspect_after),
            zone: agent.zone.to_string(),
        }
    }
}
