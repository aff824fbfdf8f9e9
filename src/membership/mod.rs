//! Agents known to an entry. The state of an agent comes from the host list, from its own reports,
//! and from the configuration, which can take its availability zone out of service.
//!
//! The host list may be out of date: it adds hosts but never removes one that still answers. An
//! agent is leaving as soon as it reports so, even if the list does not show it yet. An agent that
//! stops answering becomes suspect and gets no new work. It may still be alive, so it is removed
//! only if the host list no longer shows it either.

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

/// Gap between two events after which the entry assumes that its own process was paused.
const PAUSE_GAP: Duration = Duration::from_secs(1);

/// Agents, entries and availability zones known to an entry.
#[derive(Debug)]
pub struct Membership {
    entry: EntryId,
    mesh: Mesh,
    /// Time without an answer after which an agent is suspect.
    suspect_after: Duration,
    agents: BTreeMap<HostId, Agent>,
    /// Listed entries, always including this one.
    entries: BTreeSet<EntryId>,
    zones_out: BTreeSet<ZoneId>,
    /// Ramps of availability zones that returned to service.
    ramps: BTreeMap<ZoneId, Ramp>,
    last_event: Instant,
}

impl Membership {
    /// Creates a membership without agents.
    pub fn new(entry: EntryId, mesh: Mesh, suspect_after: Duration, now: Instant) -> Self {
        Self {
            entries: [entry.clone()].into(),
            entry,
            mesh,
            suspect_after,
            agents: BTreeMap::new(),
            zones_out: BTreeSet::new(),
            ramps: BTreeMap::new(),
            last_event: now,
        }
    }

    /// Records that the process is running at `now`. After a pause of its own process, agents are
    /// not suspected for answers that were missing during that time.
    pub fn record_activity(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_event) > PAUSE_GAP {
            self.agents
                .values_mut()
                .for_each(|agent| agent.reset_silence(now));
        }
        self.last_event = now;
    }

    /// Applies a host list. An agent that is no longer listed is kept until it is suspect.
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
        let suspect_after = self.suspect_after;
        self.agents
            .retain(|_, agent| agent.listed || !agent.is_suspect(now, suspect_after));
        self.choose_members(now);
    }

    /// Chooses the members, which are the agents that this entry keeps a control connection to: all
    /// agents in a small fleet, otherwise those that this entry covers. Agents that were added on
    /// demand and not removed stay members.
    fn choose_members(&mut self, now: Instant) {
        let is_full_mesh = self.agents.len() <= self.mesh.full_mesh_max;
        for agent in self.agents.values_mut() {
            let member = is_full_mesh
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

    /// Makes up to `count` other agents members, to find more endpoints of a target of which too
    /// few are known.
    ///
    /// Does nothing while a heartbeat to an agent added before is in flight, so that only a few
    /// agents are tried at a time. Each agent is tried at most once per host list.
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
        // This pseudo-random order differs between entries.
        others.sort_by_key(|agent| rendezvous_weight(&self.entry, &agent.host));
        for agent in others.into_iter().take(count) {
            agent.added_on_demand = true;
            agent.member = true;
            agent.sync_pending = false;
            agent.next_sync = now;
        }
    }

    /// Ends the membership of an agent if it was added on demand; other agents stay as they are.
    pub fn remove_on_demand(&mut self, host: &str) {
        if let Some(agent) = self.agents.get_mut(host)
            && agent.added_on_demand
        {
            agent.member = false;
        }
    }

    /// Records an agent's answer to a heartbeat.
    pub fn record_reply(&mut self, now: Instant, host: &str, reply: &SyncReply) {
        if let Some(agent) = self.agents.get_mut(host) {
            agent.record_reply(now, reply);
        }
    }

    /// Sets the availability zones that the configuration takes out of service. A zone that returns
    /// starts with a small share of the work.
    pub fn set_zones_out(&mut self, now: Instant, out: &BTreeSet<ZoneId>) {
        for zone in self.zones_out.difference(out) {
            self.ramps.insert(zone.clone(), Ramp::start(now));
        }
        self.zones_out = out.clone();
        let out = &self.zones_out;
        self.ramps
            .retain(|zone, ramp| !out.contains(zone) && !ramp.is_finished(now));
    }

    /// Share of the slots of a host's endpoints that may be used, from 0 to 1; 0 if the host is
    /// unknown.
    pub fn share(&self, now: Instant, host: &str) -> f64 {
        let Some(agent) = self.agents.get(host) else {
            return 0.0;
        };
        if !agent.member
            || agent.is_leaving()
            || self.is_out(agent)
            || agent.is_suspect(now, self.suspect_after)
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

    /// True when the configuration takes the host's availability zone out of service; false for an
    /// unknown host.
    pub fn is_zone_out(&self, host: &str) -> bool {
        self.agents
            .get(host)
            .is_some_and(|agent| self.is_out(agent))
    }

    /// The agent on a host; `None` if the host is unknown.
    pub fn agent(&self, host: &str) -> Option<&Agent> {
        self.agents.get(host)
    }

    /// Mutable access to the agent on a host; `None` if the host is unknown.
    pub fn agent_mut(&mut self, host: &str) -> Option<&mut Agent> {
        self.agents.get_mut(host)
    }

    /// All known agents, in the order of their host names.
    pub fn agents(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values()
    }

    /// Agents that this entry keeps a control connection to.
    pub fn members(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values().filter(|agent| agent.member)
    }

    /// Mutable access to the agents that this entry keeps a control connection to.
    pub fn members_mut(&mut self) -> impl Iterator<Item = &mut Agent> {
        self.agents.values_mut().filter(|agent| agent.member)
    }
}
