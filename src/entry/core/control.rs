//! Control messages of the entry: host list, heartbeats and configuration.

use std::time::{Duration, Instant};

use crate::config::Observation;
use crate::membership::{Agent, HostEntry, HostRole};
use crate::routing::Endpoint;
use crate::telemetry::Event;
use crate::types::{HostId, TargetId};
use crate::wire::{EndpointReport, QuarantineRecord, SyncReply, SyncRequest, VersionedDocument};

use super::{EntryAction, EntryCore};

/// Number of endpoints of each declared target that an entry should know.
const MIN_KNOWN_ENDPOINTS: usize = 2;
/// Agents outside the entry's subset that are contacted at a time while a target has too few known
/// endpoints.
const DISCOVERY_BATCH: usize = 2;

impl EntryCore {
    pub(super) fn on_hosts_listed(&mut self, now: Instant, hosts: &[HostEntry]) {
        self.membership.apply_host_list(now, hosts);
        let is_in_store_region = |host: &&HostEntry| {
            host.role == HostRole::Entry && host.region == self.cfg.store_region
        };
        let store_entries = hosts
            .iter()
            .filter(is_in_store_region)
            .map(|host| host.host.clone());
        self.config.set_store_entries(store_entries);
        self.remove_unlisted_endpoints();
    }

    pub(super) fn on_synced(&mut self, now: Instant, host: &str, reply: SyncReply) {
        if reply.host != host {
            // The address now belongs to another host.
            return self.on_sync_failed(now, host);
        }
        let previous_instance = self.membership.agent(host).and_then(|agent| agent.instance);
        let is_same_instance = previous_instance == Some(reply.agent_instance);
        self.membership.record_reply(now, host, &reply);
        self.schedule_heartbeat(now, host);
        self.apply_reports(now, host, &reply, is_same_instance);
        if let Some(doc) = &reply.config {
            self.on_config_received(now, doc);
        }
        self.config
            .apply_peer_contact(now, host, reply.generation, &reply.store);
        if self.quarantine.merge(now, &reply.quarantine) {
            self.on_quarantine_changed(now);
        }
        self.sync_soon_if_behind(now, host);
        self.discover_targets(now, host);
    }

    /// Applies the endpoint reports of a heartbeat reply. An endpoint without a report is unchanged
    /// if the agent instance is the same and reports only changes; otherwise it is gone.
    fn apply_reports(
        &mut self,
        now: Instant,
        host: &str,
        reply: &SyncReply,
        is_same_instance: bool,
    ) {
        let host: HostId = host.into();
        let is_partial = is_same_instance && reply.revision.is_some();
        for endpoint in self.endpoints.values_mut().filter(|e| e.host == host) {
            let is_for_endpoint = |report: &EndpointReport| report.endpoint == *endpoint.id;
            match reply.endpoints.iter().any(is_for_endpoint) {
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

    /// Removes endpoints of hosts that are no longer known, unless requests of this entry run
    /// there.
    fn remove_unlisted_endpoints(&mut self) {
        let membership = &self.membership;
        self.endpoints
            .retain(|_, e| e.own() > 0 || membership.agent(&e.host).is_some());
    }

    /// Contacts agents outside the subset while a declared target has too few known endpoints, and
    /// drops such an agent again when it serves no declared target.
    fn discover_targets(&mut self, now: Instant, host: &str) {
        let Some(held) = self.config.held() else {
            return;
        };
        let declared: Vec<TargetId> = held
            .targets
            .classes
            .iter()
            .map(|class| class.target.clone())
            .collect();
        let scarce: Vec<&TargetId> = declared
            .iter()
            .filter(|target| self.count_known_endpoints(target) < MIN_KNOWN_ENDPOINTS)
            .collect();
        let serves_declared = self
            .endpoints
            .values()
            .any(|e| &*e.host == host && declared.contains(&e.target));
        if !serves_declared {
            self.membership.remove_on_demand(host);
        }
        if !scarce.is_empty() {
            self.membership.add_on_demand(now, DISCOVERY_BATCH);
        }
    }

    fn count_known_endpoints(&self, target: &str) -> usize {
        self.endpoints
            .values()
            .filter(|endpoint| &*endpoint.target == target)
            .count()
    }

    /// Sets the time of the next heartbeat to a host. With many members the interval grows, to
    /// bound the total rate.
    fn schedule_heartbeat(&mut self, now: Instant, host: &str) {
        let members = self.membership.members().count() as f64;
        let min_interval = members / f64::from(self.cfg.heartbeats_per_second.max(1));
        let interval = self
            .cfg
            .heartbeat_interval
            .max(Duration::from_secs_f64(min_interval));
        if let Some(agent) = self.membership.agent_mut(host) {
            agent.next_sync = now + interval;
        }
    }

    /// Makes a heartbeat due now for an agent whose configuration or quarantine is outdated.
    fn sync_soon_if_behind(&mut self, now: Instant, host: &str) {
        let generation = self.config.generation();
        let revision = self.quarantine_revision;
        if let Some(agent) = self.membership.agent_mut(host)
            && (agent.generation < generation || agent.quarantine_revision < revision)
        {
            agent.next_sync = now;
        }
    }

    pub(super) fn on_sync_failed(&mut self, now: Instant, host: &str) {
        if let Some(agent) = self.membership.agent_mut(host) {
            agent.sync_pending = false;
            if agent.instance.is_none() {
                self.membership.remove_on_demand(host);
            }
        }
        self.schedule_heartbeat(now, host);
    }

    /// Handles a configuration that was read from the object API.
    pub(super) fn on_config_read(&mut self, now: Instant, doc: &VersionedDocument) {
        if self.config.observe_store_read(now, doc) == Observation::Adopted {
            self.on_config_adopted(now);
        }
    }

    /// Handles a configuration that an agent sent.
    pub(super) fn on_config_received(&mut self, now: Instant, doc: &VersionedDocument) {
        if self.config.observe(doc) == Observation::Adopted {
            self.on_config_adopted(now);
        }
    }

    fn on_config_adopted(&mut self, now: Instant) {
        let Some(held) = self.config.held() else {
            return;
        };
        self.membership.set_zones_out(now, &held.targets.zones_out);
        let declared = held.targets.classes.iter();
        for class in declared {
            self.class_stats.entry(class.id.clone()).or_default();
        }
        self.actions.push(EntryAction::Log {
            event: Event::ConfigAdopted,
            detail: format!("generation {}", held.generation),
        });
        self.sync_members_soon(now);
    }

    /// Sends a changed quarantine to all members.
    pub(super) fn on_quarantine_changed(&mut self, now: Instant) {
        self.quarantine_revision += 1;
        self.sync_members_soon(now);
    }

    /// Makes a heartbeat to every member due now.
    pub(super) fn sync_members_soon(&mut self, now: Instant) {
        for agent in self.membership.members_mut() {
            agent.next_sync = now;
        }
    }

    pub(super) fn send_due_heartbeats(&mut self, now: Instant) {
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
            let request = Box::new(self.heartbeat_request(now, &agent));
            self.actions.push(EntryAction::Sync {
                host: agent.host,
                control: agent.control,
                request,
            });
        }
    }

    fn heartbeat_request(&mut self, now: Instant, agent: &Agent) -> SyncRequest {
        let known_generation = agent.instance.map(|_| agent.generation);
        SyncRequest {
            config: known_generation.and_then(|generation| self.config.doc_newer_than(generation)),
            entry: self.cfg.entry.to_string(),
            seen_instance: agent.instance,
            seen_revision: agent.instance.map(|_| agent.revision),
            generation: self.config.generation(),
            placement: self.placement_update_for(agent),
            placement_version: Some(self.placement.version()),
            quarantine: self.quarantine_update_for(now, agent),
            store: self.config.contact_for(now, &agent.host),
            zone: Some(self.cfg.zone.to_string()),
        }
    }

    /// The quarantine entries to send to an agent; empty when it has the latest revision.
    fn quarantine_update_for(&self, now: Instant, agent: &Agent) -> Vec<QuarantineRecord> {
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
