//! Control side of the entry: hosts, heartbeats and configuration.

use std::time::{Duration, Instant};

use crate::config::Observation;
use crate::membership::{Agent, HostEntry, HostRole};
use crate::routing::Endpoint;
use crate::telemetry::Event;
use crate::types::{HostId, TargetId};
use crate::wire::{ConfigDoc, EndpointReport, QuarantineEntry, SyncReply, SyncRequest};

use super::{EntryAction, EntryCore};

/// Endpoints of a declared target that an entry wants to know of.
const MIN_ENDPOINTS: usize = 2;
/// Agents outside the subset that are asked at a time while a target is looked for.
const SCOUTS: usize = 2;

impl EntryCore {
    pub(super) fn hosts_listed(&mut self, now: Instant, hosts: &[HostEntry]) {
        self.membership.apply_host_list(now, hosts);
        let near_store = |host: &&HostEntry| {
            host.role == HostRole::Entry && host.region == self.cfg.store_region
        };
        let store_entries = hosts
            .iter()
            .filter(near_store)
            .map(|host| host.host.clone());
        self.config.set_store_entries(store_entries);
        self.forget_endpoints();
    }

    pub(super) fn synced(&mut self, now: Instant, host: &str, reply: SyncReply) {
        if reply.host != host {
            // Another host has taken over the address.
            return self.sync_failed(now, host);
        }
        let earlier = self.membership.agent(host).and_then(|agent| agent.instance);
        let is_same_instance = earlier == Some(reply.agent_instance);
        self.membership.record_reply(now, host, &reply);
        self.plan_heartbeat(now, host);
        self.take_reports(now, host, &reply, is_same_instance);
        if let Some(doc) = &reply.config {
            self.config_taught(now, doc);
        }
        self.config
            .apply_peer_contact(now, host, reply.generation, &reply.store);
        if self.quarantine.merge(now, &reply.quarantine) {
            self.quarantine_changed(now);
        }
        self.teach_at_once(now, host);
        self.look_for_targets(now, host);
    }

    /// An endpoint that is left out has not changed, or is gone when the agent's process is new.
    fn take_reports(&mut self, now: Instant, host: &str, reply: &SyncReply, is_same: bool) {
        let host: HostId = host.into();
        let is_partial = is_same && reply.revision.is_some();
        for endpoint in self.endpoints.values_mut().filter(|e| e.host == host) {
            let reported = |report: &EndpointReport| report.endpoint == *endpoint.id;
            match reply.endpoints.iter().any(reported) {
                true => {}
                false if is_partial => endpoint.confirm_report(),
                false => endpoint.mark_down(),
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
        let Some(held) = self.config.held() else {
            return;
        };
        let wanted: Vec<TargetId> = held
            .targets
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
            self.membership.remove_on_demand(host);
        }
        if !scarce.is_empty() {
            self.membership.add_on_demand(now, SCOUTS);
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
        let period = self
            .cfg
            .heartbeat_interval
            .max(Duration::from_secs_f64(stretched));
        if let Some(agent) = self.membership.agent_mut(host) {
            agent.next_sync = now + period;
        }
    }

    /// An agent that is behind gets the configuration without waiting for the next heartbeat.
    fn teach_at_once(&mut self, now: Instant, host: &str) {
        let generation = self.config.generation();
        let revision = self.quarantine_revision;
        if let Some(agent) = self.membership.agent_mut(host)
            && (agent.generation < generation || agent.quarantine_revision < revision)
        {
            agent.next_sync = now;
        }
    }

    pub(super) fn sync_failed(&mut self, now: Instant, host: &str) {
        if let Some(agent) = self.membership.agent_mut(host) {
            agent.sync_pending = false;
            if agent.instance.is_none() {
                self.membership.remove_on_demand(host);
            }
        }
        self.plan_heartbeat(now, host);
    }

    /// The object API showed a configuration.
    pub(super) fn config_seen(&mut self, now: Instant, doc: &ConfigDoc) {
        if self.config.observe_store_read(now, doc) == Observation::Adopted {
            self.config_adopted(now);
        }
    }

    /// A peer showed a configuration.
    pub(super) fn config_taught(&mut self, now: Instant, doc: &ConfigDoc) {
        if self.config.observe(doc) == Observation::Adopted {
            self.config_adopted(now);
        }
    }

    fn config_adopted(&mut self, now: Instant) {
        let Some(held) = self.config.held() else {
            return;
        };
        self.membership.set_zones_out(now, &held.targets.zones_out);
        let declared = held.targets.classes.iter();
        for class in declared {
            self.stats.entry(class.id.clone()).or_default();
        }
        self.actions.push(EntryAction::Log {
            event: Event::ConfigAdopted,
            detail: format!("generation {}", held.generation),
        });
        self.heartbeat_all(now);
    }

    /// The quarantine has news for every member.
    pub(super) fn quarantine_changed(&mut self, now: Instant) {
        self.quarantine_revision += 1;
        self.heartbeat_all(now);
    }

    /// Sends news to every member without waiting for the next heartbeat.
    pub(super) fn heartbeat_all(&mut self, now: Instant) {
        for agent in self.membership.members_mut() {
            agent.next_sync = now;
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        let revision = self.quarantine_revision;
        let due: Vec<Agent> = self
            .membership
            .members_mut()
            .filter(|agent| !agent.sync_pending && agent.next_sync <= now)
            .map(|agent| {
                agent.sync_sent(now, revision);
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

    fn heartbeat(&mut self, now: Instant, agent: &Agent) -> SyncRequest {
        let known = agent.instance.map(|_| agent.generation);
        SyncRequest {
            config: known.and_then(|generation| self.config.doc_newer_than(generation)),
            entry: self.cfg.entry.to_string(),
            seen_instance: agent.instance,
            seen_revision: agent.instance.map(|_| agent.revision),
            generation: self.config.generation(),
            placement: self.placement_for(agent),
            placement_version: Some(self.placing.version()),
            quarantine: self.quarantine_for(now, agent),
            store: self.config.contact_for(now, &agent.host),
            zone: Some(self.cfg.zone.to_string()),
        }
    }

    /// The quarantine for an agent that has not got its latest revision.
    fn quarantine_for(&self, now: Instant, agent: &Agent) -> Vec<QuarantineEntry> {
        if agent.quarantine_revision == self.quarantine_revision {
            return Vec::new();
        }
        self.quarantine.entries(now)
    }

    pub(super) fn next_heartbeat(&self) -> Option<Instant> {
        self.membership
            .members()
            .filter(|agent| !agent.sync_pending)
            .map(|agent| agent.next_sync)
            .min()
    }
}
