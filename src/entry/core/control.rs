//! Control side of the entry: hosts, heartbeats and configuration.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::config::Targets;
use crate::membership::Agent;
use crate::routing::Endpoint;
use crate::telemetry::Event;
use crate::types::Generation;
use crate::wire::{ConfigDoc, StoreContact, SyncReply, SyncRequest};

use super::{EntryAction, EntryCore, HostEntry};

impl EntryCore {
    pub(super) fn hosts_listed(&mut self, now: Instant, hosts: &[HostEntry]) {
        self.membership.listed(now, hosts, self.cfg.suspicion);
    }

    pub(super) fn synced(&mut self, now: Instant, host: &str, reply: SyncReply) {
        self.membership
            .heard(now, host, reply.agent_instance, reply.leaving);
        let next_sync = now + self.cfg.heartbeat;
        if let Some(agent) = self.membership.agent_mut(host) {
            agent.sync_pending = false;
            agent.next_sync = next_sync;
            agent.generation = reply.generation;
        }
        self.take_reports(host, &reply);
        if let Some(doc) = reply.config {
            self.config_seen(now, doc);
        }
        if let Some(doc) = reply.placement {
            self.placement_seen(doc);
        }
        self.teach_at_once(now, host);
    }

    fn take_reports(&mut self, host: &str, reply: &SyncReply) {
        for report in &reply.endpoints {
            let id = report.endpoint.as_str();
            match self.endpoints.get_mut(id) {
                Some(endpoint) => endpoint.report(report),
                None => {
                    let endpoint = Endpoint::new(host.into(), report);
                    self.endpoints.insert(id.into(), endpoint);
                }
            }
        }
    }

    /// An agent that is behind gets the configuration without waiting for the next heartbeat.
    fn teach_at_once(&mut self, now: Instant, host: &str) {
        let generation = self.generation();
        if let Some(agent) = self.membership.agent_mut(host)
            && agent.generation < generation
        {
            agent.next_sync = now;
        }
    }

    pub(super) fn sync_failed(&mut self, now: Instant, host: &str) {
        let next_sync = now + self.cfg.heartbeat;
        if let Some(agent) = self.membership.agent_mut(host) {
            agent.sync_pending = false;
            agent.next_sync = next_sync;
        }
    }

    pub(super) fn config_seen(&mut self, now: Instant, doc: ConfigDoc) {
        if doc.generation <= self.generation() {
            return;
        }
        let Ok(targets) = serde_json::from_str::<Targets>(&doc.body) else {
            return;
        };
        let detail = format!("generation {}", doc.generation);
        self.config = Some((doc, Arc::new(targets)));
        self.actions.push(EntryAction::Log {
            event: Event::ConfigAdopted,
            detail,
        });
        for agent in self.membership.agents_mut() {
            agent.next_sync = now;
        }
    }

    pub(super) fn placement_seen(&mut self, doc: ConfigDoc) {
        let known = self.placement.as_ref().map_or(0, |doc| doc.generation);
        if doc.generation > known {
            self.placement = Some(doc);
        }
    }

    pub(super) fn store_contact(&mut self, now: Instant, reached: bool) {
        self.store_reachable = reached;
        if reached {
            self.store_contact = Some(now);
        }
    }

    pub(super) fn generation(&self) -> Generation {
        self.config.as_ref().map_or(0, |(doc, _)| doc.generation)
    }

    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        let due: Vec<Agent> = self
            .membership
            .agents_mut()
            .filter(|agent| !agent.sync_pending && agent.next_sync <= now)
            .map(|agent| {
                agent.sync_pending = true;
                agent.clone()
            })
            .collect();
        for agent in due {
            let request = Box::new(self.heartbeat(now, &agent));
            self.actions.push(EntryAction::Sync {
                host: agent.host,
                control: agent.control,
                request,
            });
        }
    }

    fn heartbeat(&self, now: Instant, agent: &Agent) -> SyncRequest {
        let behind = agent.last_heard.is_some() && agent.generation < self.generation();
        SyncRequest {
            config: self
                .config
                .as_ref()
                .filter(|_| behind)
                .map(|(doc, _)| doc.clone()),
            entry: self.cfg.entry.to_string(),
            generation: self.generation(),
            placement: self.placement.clone(),
            placement_version: self.placement.as_ref().map(|doc| doc.generation),
            quarantine: Vec::new(),
            store: self.store_report(now),
            zone: Some(self.cfg.zone.to_string()),
        }
    }

    pub(super) fn store_report(&self, now: Instant) -> StoreContact {
        StoreContact {
            age_ms: self.store_age(now).as_millis() as u64,
            reachable: self.store_reachable,
            outages: Vec::new(),
            stamp_ms: None,
            echo_ms: None,
        }
    }

    fn store_age(&self, now: Instant) -> Duration {
        self.store_contact
            .map_or(Duration::from_secs(u64::from(u32::MAX)), |at| {
                now.saturating_duration_since(at)
            })
    }

    pub(super) fn next_heartbeat(&self) -> Option<Instant> {
        self.membership
            .agents()
            .filter(|agent| !agent.sync_pending)
            .map(|agent| agent.next_sync)
            .min()
    }
}
