//! Placement at the entry: proposes it, and passes each agent its own part on.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::delivery::{StoreCall, StoreReply};
use crate::membership::Agent;
use crate::placement::{EndpointFact, Placement, PlanInputs, Proposal, Proposer, ProposerConfig};
use crate::placement::{merge, plan};
use crate::power::{PowerFact, divide};
use crate::routing::Endpoint;
use crate::types::{Generation, HostId, TargetId};
use crate::wire::{ConfigDoc, EndpointState};

use super::{EntryAction, EntryCore, StoreCallId};

/// Key of the placement in the object API.
pub const PLACEMENT_KEY: &str = "placement/current";

/// Longest wait of a wish for a change before it is written.
const SETTLE: Duration = Duration::from_millis(300);
/// Shortest time between two placements.
const HOLD: Duration = Duration::from_millis(500);
/// Time after which a write without an answer counts as lost.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two looks at what the placement should be.
const REVIEW: Duration = Duration::from_millis(250);
/// Silence after which an endpoint's place is given to another.
const REPLACE_AFTER: Duration = Duration::from_secs(15);
/// Share of a fully verified version in thousandths.
const WHOLE_PERMILLE: u32 = 1_000;
/// Share of the places of a ready replica that the load may take before another is needed.
const REPLICA_LOAD: f64 = 0.8;

/// Part of the placement that one host has to know.
#[derive(Debug)]
struct Part {
    placement: Placement,
    /// Version at which it last changed.
    changed: Generation,
}

/// Placement as one entry knows it.
#[derive(Debug)]
pub(super) struct Placing {
    proposer: Proposer,
    /// Part of each host of the current placement.
    parts: BTreeMap<HostId, Part>,
    /// Call that writes a proposal.
    writing: Option<StoreCallId>,
    reviewed_at: Option<Instant>,
}

impl Placing {
    /// Nothing is known yet.
    pub(super) fn new() -> Self {
        let cfg = ProposerConfig {
            settle: SETTLE,
            hold: HOLD,
            write_timeout: WRITE_TIMEOUT,
        };
        Self {
            proposer: Proposer::new(cfg),
            parts: BTreeMap::new(),
            writing: None,
            reviewed_at: None,
        }
    }

    /// Version of the placement; 0 when none is known.
    pub(super) fn version(&self) -> Generation {
        self.proposer.current().1
    }

    /// Takes in a placement; an older one changes nothing. Returns the hosts whose part changed.
    fn seen(&mut self, now: Instant, version: Generation, placement: Placement) -> Vec<HostId> {
        if version <= self.version() {
            return Vec::new();
        }
        let mut changed = Vec::new();
        let mut parts = BTreeMap::new();
        for (host, placement) in placement.parts() {
            let known = self.parts.remove(&host);
            let part = match known.filter(|known| known.placement == placement) {
                Some(known) => known,
                None => {
                    changed.push(host.clone());
                    let changed = version;
                    Part { placement, changed }
                }
            };
            parts.insert(host, part);
        }
        self.parts = parts;
        self.proposer.seen(now, version, placement);
        changed
    }

    /// True when the endpoint is to serve another version than it was reported to serve, so that
    /// its agent refuses work for the reported one, now or with its next heartbeat.
    pub(super) fn is_switching(&self, endpoint: &Endpoint) -> bool {
        let (placement, _) = self.proposer.current();
        let assignment = placement.endpoints.get(&endpoint.id);
        assignment.is_some_and(|assignment| endpoint.version.as_ref() != Some(&assignment.version))
    }

    /// True when the agent has answered with its present part, so that its progress is of that.
    fn is_told(&self, agent: &Agent) -> bool {
        let part = self.parts.get(&agent.host);
        part.is_none_or(|part| agent.placement_version >= part.changed)
    }

    /// The agent's own part, when it has changed since the version that the agent has.
    fn part_for(&self, agent: &Agent) -> Option<ConfigDoc> {
        let part = self.parts.get(&agent.host)?;
        let is_behind = agent.instance.is_some() && agent.placement_version < part.changed;
        is_behind.then(|| ConfigDoc {
            generation: self.version(),
            body: part.placement.to_json(),
        })
    }

    fn is_review_due(&self, now: Instant) -> bool {
        self.reviewed_at.is_none_or(|at| now >= at + REVIEW)
    }

    /// Time of the next look at what the placement should be.
    pub(super) fn next_review(&self) -> Option<Instant> {
        self.reviewed_at.map(|at| at + REVIEW)
    }
}

impl EntryCore {
    pub(super) fn placement_seen(&mut self, now: Instant, doc: &ConfigDoc) {
        let Ok(placement) = Placement::from_json(&doc.body) else {
            return;
        };
        for host in self.placing.seen(now, doc.generation, placement) {
            if let Some(agent) = self.membership.agent_mut(&host) {
                agent.next_sync = now;
            }
        }
    }

    /// The placement for an agent that has answered and is behind.
    pub(super) fn placement_for(&self, agent: &Agent) -> Option<ConfigDoc> {
        self.placing.part_for(agent)
    }

    /// Proposes the next placement when the present one does not fit.
    pub(super) fn review_placement(&mut self, now: Instant) {
        if !self.placing.is_review_due(now) {
            return;
        }
        self.placing.reviewed_at = Some(now);
        let Some(wanted) = self.wanted_placement(now) else {
            return;
        };
        if let Some(proposal) = self.placing.proposer.offer(now, wanted, &mut self.rng) {
            self.propose(proposal);
        }
    }

    /// What the placement should be; `None` while no configuration is in force, or after a stop.
    fn wanted_placement(&self, now: Instant) -> Option<Placement> {
        if self.stopped.is_some() {
            return None;
        }
        let held = self.config.in_force(now).ok()?;
        let facts = self.endpoint_facts(now);
        let needed = self.needed_replicas();
        let (current, _) = self.placing.proposer.current();
        let inputs = PlanInputs {
            generation: held.generation,
            targets: &held.targets,
            endpoints: &facts,
            current,
            needed: &needed,
            spare_power: 0,
            load_power: 0,
            replace_after: REPLACE_AFTER,
        };
        let is_listed = |host: &HostId| self.membership.agent(host).is_some();
        let mut wanted = merge(current, plan(inputs), &facts, is_listed);
        if held.generation >= current.generation {
            let cap = held.targets.site_power;
            wanted.grants = divide(cap, &current.grants, &self.power_facts(), is_listed);
        }
        Some(wanted)
    }

    fn power_facts(&self) -> Vec<PowerFact> {
        let facts = self.endpoints.values().filter_map(|endpoint| {
            let agent = self.membership.agent(&endpoint.host)?;
            let full = endpoint
                .last_report
                .full_power_mw
                .filter(|full| *full > 0)?;
            Some(PowerFact {
                endpoint: endpoint.id.clone(),
                host: endpoint.host.clone(),
                full,
                told: self.placing.is_told(agent),
                draw: endpoint.last_report.power_mw.unwrap_or(0),
            })
        });
        facts.collect()
    }

    fn endpoint_facts(&self, now: Instant) -> Vec<EndpointFact> {
        let facts = self.endpoints.values().filter_map(|endpoint| {
            let agent = self.membership.agent(&endpoint.host)?;
            let is_told = self.placing.is_told(agent);
            Some(fact(now, endpoint, agent, is_told))
        });
        facts.collect()
    }

    /// Ready replicas that each model's present load needs.
    fn needed_replicas(&self) -> BTreeMap<TargetId, u32> {
        let mut needed = BTreeMap::new();
        for endpoint in self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.is_serving())
        {
            let load: &mut f64 = needed.entry(endpoint.target.clone()).or_default();
            *load += endpoint.load() / REPLICA_LOAD;
        }
        needed
            .into_iter()
            .map(|(model, load)| (model, load.ceil() as u32))
            .collect()
    }

    fn propose(&mut self, proposal: Proposal) {
        let call_id = self.next_store_op;
        self.next_store_op += 1;
        self.placing.writing = Some(call_id);
        self.actions.push(EntryAction::Store {
            call_id,
            call: StoreCall::Put {
                key: PLACEMENT_KEY.into(),
                value: proposal.placement.to_json().into(),
                if_version: proposal.if_version,
            },
        });
    }

    /// Takes in the end of a write of the placement; false when the call was another.
    ///
    /// A write that took effect shows in the watch, as a rival's does.
    pub(super) fn placement_written(
        &mut self,
        now: Instant,
        call_id: StoreCallId,
        reply: &StoreReply,
    ) -> bool {
        if self.placing.writing != Some(call_id) {
            return false;
        }
        self.placing.writing = None;
        if !matches!(reply, StoreReply::Written { .. }) {
            self.placing.proposer.write_failed(now);
        }
        true
    }
}

fn fact(now: Instant, endpoint: &Endpoint, agent: &Agent, is_told: bool) -> EndpointFact {
    let report = &endpoint.last_report;
    let is_ready = matches!(endpoint.state, EndpointState::Ready | EndpointState::Cold);
    let silent = agent
        .last_reply
        .map_or(Duration::MAX, |at| now.saturating_duration_since(at));
    EndpointFact {
        endpoint: endpoint.id.clone(),
        host: endpoint.host.clone(),
        zone: agent.zone.clone(),
        model: endpoint.target.clone(),
        ready: endpoint.version.clone().filter(|_| is_ready),
        holds_next: is_told && report.progress_permille == Some(WHOLE_PERMILLE),
        silent,
        leaving: agent.reported_leaving || agent.listed_leaving,
    }
}
