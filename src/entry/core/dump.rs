//! Dump of an entry's state for operators.

use std::time::Instant;

use serde_json::{Value, json};

use crate::membership::Agent;
use crate::routing::Endpoint;

use super::{EntryCore, RETRY_LIMIT};

impl EntryCore {
    /// The state as JSON.
    pub fn dump(&mut self, now: Instant) -> Value {
        let agents: Vec<Value> = self.membership.agents().map(agent_json).collect();
        let endpoints: Vec<Value> = self.endpoints.values().map(endpoint_json).collect();
        json!({
            "entry": &*self.cfg.entry,
            "zone": &*self.cfg.zone,
            "instance": self.cfg.instance,
            "generation": self.config.generation(),
            "placement": self.placement.version(),
            "store_reachable": self.config.is_store_reachable(),
            "stopping": self.stop_requested_at.is_some(),
            "waiting": self.admission.len(),
            "requests": self.requests.len(),
            "retries_left": self.retry_window.remaining(now, RETRY_LIMIT, 1),
            "agents": agents,
            "endpoints": endpoints,
        })
    }
}

fn agent_json(agent: &Agent) -> Value {
    json!({
        "host": &*agent.host,
        "zone": &*agent.zone,
        "listed": agent.listed,
        "leaving": agent.is_leaving(),
        "connected": agent.member,
        "answers": agent.instance.is_some() && agent.unanswered_since.is_none(),
        "generation": agent.generation,
    })
}

fn endpoint_json(endpoint: &Endpoint) -> Value {
    json!({
        "endpoint": &*endpoint.id,
        "host": &*endpoint.host,
        "target": &*endpoint.target,
        "state": endpoint.state.to_string(),
        "version": endpoint.version.as_deref(),
        "limit": endpoint.limit,
        "own": endpoint.own(),
        "in_flight": endpoint.in_flight(),
    })
}
