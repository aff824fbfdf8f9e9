//! Control side of the entry: hosts, heartbeats and configuration.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::config::Targets;
use crate::membership::Agent;
use crate::routing::Endpoint;
use crate::telemetry::Event;
use crate::types::{Generation, HostId, TargetId};
use crate::wire::{ConfigDoc, EndpointReport, StoreContact, SyncReply, SyncRequest};

use super::{EntryAction, EntryCore, HostEntry};

/// Endpoints of a declared target that an entry wants to know of.
const MIN_ENDPOINTS: usize = 2;
/// Agents outside the subset that are asked at a time while a target is looked for.
const SCOUTS: usize = 2;

impl EntryCore {
    pub(super) fn hosts_listed(&mut self, now: Instant, hosts: &[HostEntry]) {
        self.membership.listed(now, hosts);
        self.forget_endpoints();
    }

    pub(super) fn synced(&mut self, now: Instant, host: &str, reply: SyncReply) {
        if reply.host != host {
            // Another host has taken over the address.
            return self.sync_failed(now, host);
        }
        self.membership.heard(now, host, &reply);
        self.plan_heartbeat(now, host);
        self.take_reports(now, host, &reply);
        if let Some(doc) = reply.config {
            self.config_seen(now, doc);
        }
        if let Some(doc) = reply.placement {
            self.placement_seen(doc);
        }
        self.teach_at_once(now, host);
        self.look_for_targets(now, host);
    }

    fn take_reports(&mut self, now: Instant, host: &str, reply: &SyncReply) {
        let host: HostId = host.into();
        for endpoint in self.endpoints.values_mut().filter(|e| e.host == host) {
            let reported = |report: &EndpointReport| report.endpoint == *endpoint.id;
            if !reply.endpoints.iter().any(reported) {
                endpoint.is_gone();
            }
        }
        for report in &reply.endpoints {
            self.endpoints
                .entry(report.endpoint.as_str().into())
                .and_modify(|endpoint| endpoint.report(now, host.clone(), report))
                .or_insert_with(|| Endpoint::new(now, host.clone(), report));
        }
    }

    /// Forgets endpoints of hosts that are no longer known, once their work has ended.
    fn forget_endpoints(&mut self) {
        let membership = &self.membership;
        self.endpoints
            .retain(|_, e| e.own() > 0 || membership.agent(&e.host).is_some());
    }

    /// Keeps looking outside the subset while a declared target has too few endpoints in it.
    fn look_for_targets(&mut self, now: Instant, host: &str) {
        let Some(targets) = self.targets() else {
            return;
        };
        let wanted: Vec<TargetId> = targets
            .classes
            .iter()
            .map(|class| class.target.clone())
            .collect();
        let scarce: Vec<&TargetId> = wanted
            .iter()
            .filter(|target| self.known_endpoints(target) < MIN_ENDPOINTS)
            .collect();
        let serves_wanted = self
            .endpoints
            .values()
            .any(|e| &*e.host == host && wanted.contains(&e.target));
        if !serves_wanted {
            self.membership.dismiss(host);
        }
        if !scarce.is_empty() {
            self.membership.scout(now, SCOUTS);
        }
    }

    fn known_endpoints(&self, target: &str) -> usize {
        self.endpoints
            .values()
            .filter(|endpoint| &*endpoint.target == target)
            .count()
    }

    /// Sets the time of the next heartbeat; many agents stretch it, so that the rate is bounded.
    fn plan_heartbeat(&mut self, now: Instant, host: &str) {
        let members = self.membership.members().count() as f64;
        let stretched = members / f64::from(self.cfg.heartbeats_per_second.max(1));
        let period = self.cfg.heartbeat.max(Duration::from_secs_f64(stretched));
        if let Some(agent) = self.membership.agent_mut(host) {
            agent.next_sync = now + period;
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
        if let Some(agent) = self.membership.agent_mut(host) {
            agent.sync_pending = false;
            if agent.instance.is_none() {
                self.membership.dismiss(host);
            }
        }
        self.plan_heartbeat(now, host);
    }

    pub(super) fn config_seen(&mut self, now: Instant, doc: ConfigDoc) {
        if doc.generation <= self.generation() {
            return;
        }
        let Ok(targets) = serde_json::from_str::<Targets>(&doc.body) else {
            return;
        };
        let detail = format!("generation {}", doc.generation);
        self.membership.zones_out(now, &targets.zones_out);
        self.config = Some((doc, Arc::new(targets)));
        self.actions.push(EntryAction::Log {
            event: Event::ConfigAdopted,
            detail,
        });
        for agent in self.membership.members_mut() {
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
            .members_mut()
            .filter(|agent| !agent.sync_pending && agent.next_sync <= now)
            .map(|agent| {
                agent.sync_sent(now);
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
        let behind = agent.instance.is_some() && agent.generation < self.generation();
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
            .members()
            .filter(|agent| !agent.sync_pending)
            .map(|agent| agent.next_sync)
            .min()
    }
}
