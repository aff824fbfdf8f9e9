//! Agents that an entry knows: from the lagging host list, from their own word, and from the
//! configuration, which takes availability zones out.
//!
//! The list introduces hosts and never removes one that answers. An agent's own word about leaving
//! goes before the list. Silence makes an agent a suspect, which gets no new work; it does not make
//! it dead, so nothing else is concluded from it.

mod agent;
mod host;
mod ramp;
mod subset;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::types::{EntryId, HostId, ZoneId};
use crate::wire::SyncReply;

pub use agent::Agent;
pub use host::{HostEntry, HostRole};
pub use ramp::Ramp;
pub use subset::{Mesh, covering_entries, rendezvous_weight};

/// Gap between two events after which the entry takes it that it was paused itself.
const PAUSE: Duration = Duration::from_secs(1);

/// Hosts as the list, the agents and the configuration describe them.
#[derive(Debug)]
pub struct Membership {
    entry: EntryId,
    mesh: Mesh,
    suspicion: Duration,
    agents: BTreeMap<HostId, Agent>,
    /// Entries that the list shows, this one included.
    entries: BTreeSet<EntryId>,
    zones_out: BTreeSet<ZoneId>,
    /// Ramps of availability zones that returned.
    ramps: BTreeMap<ZoneId, Ramp>,
    last_event: Instant,
}

impl Membership {
    /// A membership without hosts.
    pub fn new(entry: EntryId, mesh: Mesh, suspicion: Duration, now: Instant) -> Self {
        Self {
            entries: [entry.clone()].into(),
            entry,
            mesh,
            suspicion,
            agents: BTreeMap::new(),
            zones_out: BTreeSet::new(),
            ramps: BTreeMap::new(),
            last_event: now,
        }
    }

    /// Notes that the process runs at `now`. After a pause of its own it judges nobody by the
    /// silence of that time.
    pub fn record_activity(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_event) > PAUSE {
            self.agents
                .values_mut()
                .for_each(|agent| agent.reset_silence(now));
        }
        self.last_event = now;
    }

    /// Takes in the host list. A host that is no longer listed is kept while it answers.
    pub fn apply_host_list(&mut self, now: Instant, hosts: &[HostEntry]) {
        let (agents, entries): (Vec<_>, Vec<_>) =
            hosts.iter().partition(|host| host.role == HostRole::Agent);
        self.entries = entries.iter().map(|host| host.host.clone()).collect();
        self.entries.insert(self.entry.clone());
        for agent in self.agents.values_mut() {
            agent.listed = false;
        }
        for host in agents {
            self.agents
                .entry(host.host.clone())
                .and_modify(|agent| agent.apply_listing(host))
                .or_insert_with(|| Agent::new(host, now));
        }
        let suspicion = self.suspicion;
        self.agents
            .retain(|_, agent| agent.listed || !agent.is_suspect(now, suspicion));
        self.choose_members(now);
    }

    /// Marks the agents that this entry keeps a control connection to.
    fn choose_members(&mut self, now: Instant) {
        let full = self.agents.len() <= self.mesh.full_mesh_max;
        for agent in self.agents.values_mut() {
            let member = full
                || (agent.added_on_demand && agent.member)
                || covering_entries(&self.entries, &agent.host, self.mesh.entries_per_agent)
                    .contains(&self.entry);
            if member && !agent.member {
                agent.next_sync = agent.next_sync.max(now);
            }
            agent.member = member;
            agent.added_on_demand &= member;
        }
    }

    /// Adds up to `count` agents outside the subset, to look for a target that no member serves.
    ///
    /// Each agent is asked once for each reading of the host list, and a few at a time.
    pub fn add_on_demand(&mut self, now: Instant, count: usize) {
        let is_pending =
            |agent: &Agent| agent.added_on_demand && agent.member && agent.sync_pending;
        if self.agents.values().any(is_pending) {
            return;
        }
        let mut others: Vec<&mut Agent> = self
            .agents
            .values_mut()
            .filter(|agent| !agent.member && !agent.added_on_demand)
            .collect();
        others.sort_by_key(|agent| rendezvous_weight(&self.entry, &agent.host));
        for agent in others.into_iter().take(count) {
            agent.added_on_demand = true;
            agent.member = true;
            agent.sync_pending = false;
            agent.next_sync = now;
        }
    }

    /// Drops an agent that was added on demand and serves nothing of interest.
    pub fn remove_on_demand(&mut self, host: &str) {
        if let Some(agent) = self.agents.get_mut(host)
            && agent.added_on_demand
        {
            agent.member = false;
        }
    }

    /// An agent answered a heartbeat.
    pub fn record_reply(&mut self, now: Instant, host: &str, reply: &SyncReply) {
        if let Some(agent) = self.agents.get_mut(host) {
            agent.record_reply(now, reply);
        }
    }

    /// The configuration names the availability zones that are out; one that returns starts with a
    /// small share.
    pub fn set_zones_out(&mut self, now: Instant, out: &BTreeSet<ZoneId>) {
        for zone in self.zones_out.difference(out) {
            self.ramps.insert(zone.clone(), Ramp::start(now));
        }
        self.zones_out = out.clone();
        let out = &self.zones_out;
        self.ramps
            .retain(|zone, ramp| !out.contains(zone) && !ramp.is_finished(now));
    }

    /// Share of its places that the agent's endpoints may be given: 0 for none, 1 for all.
    pub fn share(&self, now: Instant, host: &str) -> f64 {
        let Some(agent) = self.agents.get(host) else {
            return 0.0;
        };
        if !agent.member
            || agent.is_leaving()
            || self.is_out(agent)
            || agent.is_suspect(now, self.suspicion)
        {
            return 0.0;
        }
        self.ramps
            .get(&agent.zone)
            .map_or(1.0, |ramp| ramp.share(now))
    }

    fn is_out(&self, agent: &Agent) -> bool {
        self.zones_out.contains(&agent.zone)
    }

    /// True when the host's availability zone is out by configuration.
    pub fn is_zone_out(&self, host: &str) -> bool {
        self.agents
            .get(host)
            .is_some_and(|agent| self.is_out(agent))
    }

    /// The agent on a host.
    pub fn agent(&self, host: &str) -> Option<&Agent> {
        self.agents.get(host)
    }

    /// The agent on a host, to be changed.
    pub fn agent_mut(&mut self, host: &str) -> Option<&mut Agent> {
        self.agents.get_mut(host)
    }

    /// Every agent that is known, by host name.
    pub fn agents(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values()
    }

    /// Agents that this entry keeps a control connection to.
    pub fn members(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values().filter(|agent| agent.member)
    }

    /// Agents that this entry keeps a control connection to, to be changed.
    pub fn members_mut(&mut self) -> impl Iterator<Item = &mut Agent> {
        self.agents.values_mut().filter(|agent| agent.member)
    }
}
