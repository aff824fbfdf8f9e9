//! Agents that an entry knows: from the lagging host list and from their own word.

mod agent;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::entry::core::{HostEntry, HostRole};
use crate::types::{HostId, InstanceId};

pub use agent::Agent;

/// Hosts as the list and the agents describe them.
#[derive(Debug, Default)]
pub struct Membership {
    agents: BTreeMap<HostId, Agent>,
}

impl Membership {
    /// Takes in the host list. A host that is no longer listed is kept while it answers.
    pub fn listed(&mut self, now: Instant, hosts: &[HostEntry], silence: Duration) {
        for agent in self.agents.values_mut() {
            agent.listed = false;
        }
        for host in hosts.iter().filter(|host| host.role == HostRole::Agent) {
            self.agents
                .entry(host.host.clone())
                .and_modify(|agent| agent.relisted(host))
                .or_insert_with(|| Agent::new(host, now));
        }
        self.agents
            .retain(|_, agent| agent.listed || !agent.is_silent(now, silence));
    }

    /// An agent answered a heartbeat.
    pub fn heard(&mut self, now: Instant, host: &str, instance: InstanceId, leaving: bool) {
        if let Some(agent) = self.agents.get_mut(host) {
            agent.last_heard = Some(now);
            agent.instance = Some(instance);
            agent.said_leaving = leaving;
        }
    }

    /// The agent on a host.
    pub fn agent(&self, host: &str) -> Option<&Agent> {
        self.agents.get(host)
    }

    /// The agent on a host, to be changed.
    pub fn agent_mut(&mut self, host: &str) -> Option<&mut Agent> {
        self.agents.get_mut(host)
    }

    /// Every agent, by host name.
    pub fn agents(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values()
    }

    /// Every agent, to be changed.
    pub fn agents_mut(&mut self) -> impl Iterator<Item = &mut Agent> {
        self.agents.values_mut()
    }
}
