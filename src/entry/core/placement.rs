//! Placement at the entry: proposes new placements and sends each agent the part for its host.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::delivery::{StoreCall, StoreReply};
use crate::membership::Agent;
use crate::placement::{
    EndpointSnapshot, Placement, PlanInputs, Proposal, Proposer, ProposerConfig,
};
use crate::placement::{merge, plan};
use crate::power::{EndpointPower, divide_power};
use crate::routing::Endpoint;
use crate::types::{Generation, HostId, TargetId};
use crate::wire::{EndpointState, VersionedDocument};

use super::{EntryAction, EntryCore, StoreCallId};

/// Key of the placement in the object API.
pub const PLACEMENT_KEY: &str = "placement/current";

/// Upper bound of the random delay before a proposal is written, so that entries rarely collide.
const PROPOSAL_DELAY: Duration = Duration::from_millis(300);
/// Minimum time between two placements.
const MIN_PLACEMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a write without a reply counts as lost.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two checks whether the placement needs a change.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Silence of an agent after which its endpoints are replaced by others.
const REPLACE_AFTER: Duration = Duration::from_secs(15);
/// Progress of a fully verified version, in thousandths.
const COMPLETE_PERMILLE: u32 = 1_000;
/// Share of the slots of a ready replica that may be in use before another replica is needed.
const MAX_REPLICA_LOAD: f64 = 0.8;

/// The part of the placement that concerns one host.
#[derive(Debug)]
struct HostPart {
    placement: Placement,
    /// Version of the placement at which this part last changed.
    changed: Generation,
}

/// Newest placement that the entry knows, and its pending proposal.
#[derive(Debug)]
pub(super) struct PlacementState {
    proposer: Proposer,
    /// The part of each host in the current placement.
    parts: BTreeMap<HostId, HostPart>,
    /// Pending call that writes a proposal.
    pending_write: Option<StoreCallId>,
    reviewed_at: Option<Instant>,
}

impl PlacementState {
    /// Creates a state without a placement.
    pub(super) fn new() -> Self {
        let cfg = ProposerConfig {
            max_delay: PROPOSAL_DELAY,
            min_interval: MIN_PLACEMENT_INTERVAL,
            write_timeout: WRITE_TIMEOUT,
        };
        Self {
            proposer: Proposer::new(cfg),
            parts: BTreeMap::new(),
            pending_write: None,
            reviewed_at: None,
        }
    }

    /// Version of the placement; 0 when none is known.
    pub(super) fn version(&self) -> Generation {
        self.proposer.current().1
    }

    /// Applies a placement if it is newer than the current one. Returns the hosts whose part
    /// changed.
    fn apply(&mut self, now: Instant, version: Generation, placement: Placement) -> Vec<HostId> {
        if version <= self.version() {
            return Vec::new();
        }
        let mut changed = Vec::new();
        let mut parts = BTreeMap::new();
        for (host, placement) in placement.split_by_host() {
            let known = self.parts.remove(&host);
            let part = match known.filter(|known| known.placement == placement) {
                Some(known) => known,
                None => {
                    changed.push(host.clone());
                    let changed = version;
                    HostPart { placement, changed }
                }
            };
            parts.insert(host, part);
        }
        self.parts = parts;
        self.proposer.observe(now, version, placement);
        changed
    }

    /// True when the placement assigns the endpoint another version than its last report names. Its
    /// agent refuses requests for the reported version as soon as it has the placement.
    pub(super) fn is_switching(&self, endpoint: &Endpoint) -> bool {
        let (placement, _) = self.proposer.current();
        let assignment = placement.endpoints.get(&endpoint.id);
        assignment.is_some_and(|assignment| endpoint.version.as_ref() != Some(&assignment.version))
    }

    /// True when the agent has confirmed its current part, so that the progress it reports is about
    /// the version assigned there.
    fn is_up_to_date(&self, agent: &Agent) -> bool {
        let part = self.parts.get(&agent.host);
        part.is_none_or(|part| agent.placement_version >= part.changed)
    }

    /// The part for the agent's host, if the agent has answered before and its part is outdated.
    fn outdated_part_for(&self, agent: &Agent) -> Option<VersionedDocument> {
        let part = self.parts.get(&agent.host)?;
        let is_outdated = agent.instance.is_some() && agent.placement_version < part.changed;
        is_outdated.then(|| VersionedDocument {
            generation: self.version(),
            body: part.placement.to_json(),
        })
    }

    fn is_review_due(&self, now: Instant) -> bool {
        self.reviewed_at
            .is_none_or(|at| now >= at + REVIEW_INTERVAL)
    }

    /// Time of the next review of the placement.
    pub(super) fn next_review(&self) -> Option<Instant> {
        self.reviewed_at.map(|at| at + REVIEW_INTERVAL)
    }
}

impl EntryCore {
    pub(super) fn on_placement_read(&mut self, now: Instant, doc: &VersionedDocument) {
        let Ok(placement) = Placement::from_json(&doc.body) else {
            return;
        };
        for host in self.placement.apply(now, doc.generation, placement) {
            if let Some(agent) = self.membership.agent_mut(&host) {
                agent.next_sync = now;
            }
        }
    }

    /// The placement to send to an agent whose part of it is outdated.
    pub(super) fn placement_update_for(&self, agent: &Agent) -> Option<VersionedDocument> {
        self.placement.outdated_part_for(agent)
    }

    /// Proposes a new placement when the current one differs from the desired one.
    pub(super) fn review_placement(&mut self, now: Instant) {
        if !self.placement.is_review_due(now) {
            return;
        }
        self.placement.reviewed_at = Some(now);
        let Some(desired) = self.desired_placement(now) else {
            return;
        };
        if let Some(proposal) = self.placement.proposer.propose(now, desired, &mut self.rng) {
            self.write_proposal(proposal);
        }
    }

    /// The desired placement; `None` while no configuration is in force, or after a stop request.
    fn desired_placement(&self, now: Instant) -> Option<Placement> {
        if self.stop_requested_at.is_some() {
            return None;
        }
        let held = self.config.in_force(now).ok()?;
        let snapshots = self.endpoint_snapshots(now);
        let needed = self.needed_replicas();
        let (current, _) = self.placement.proposer.current();
        let inputs = PlanInputs {
            generation: held.generation,
            targets: &held.targets,
            endpoints: &snapshots,
            current,
            needed_replicas: &needed,
            spare_power: 0,
            load_power: 0,
            replace_after: REPLACE_AFTER,
        };
        let is_listed = |host: &HostId| self.membership.agent(host).is_some();
        let mut desired = merge(current, plan(inputs), &snapshots, is_listed);
        if held.generation >= current.generation {
            let cap = held.targets.site_power;
            desired.grants = divide_power(cap, &current.grants, &self.power_states(), is_listed);
        }
        Some(desired)
    }

    fn power_states(&self) -> Vec<EndpointPower> {
        let states = self.endpoints.values().filter_map(|endpoint| {
            let agent = self.membership.agent(&endpoint.host)?;
            let full = endpoint
                .last_report
                .full_power_mw
                .filter(|full| *full > 0)?;
            Some(EndpointPower {
                id: endpoint.id.clone(),
                host: endpoint.host.clone(),
                full_load: full,
                has_applied_grant: self.placement.is_up_to_date(agent),
                draw: endpoint.last_report.power_mw.unwrap_or(0),
            })
        });
        states.collect()
    }

    fn endpoint_snapshots(&self, now: Instant) -> Vec<EndpointSnapshot> {
        let snapshots = self.endpoints.values().filter_map(|endpoint| {
            let agent = self.membership.agent(&endpoint.host)?;
            let is_up_to_date = self.placement.is_up_to_date(agent);
            Some(endpoint_snapshot(now, endpoint, agent, is_up_to_date))
        });
        snapshots.collect()
    }

    /// Number of ready replicas that the current load of each model needs.
    fn needed_replicas(&self) -> BTreeMap<TargetId, u32> {
        let mut needed = BTreeMap::new();
        for endpoint in self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.is_serving())
        {
            let load: &mut f64 = needed.entry(endpoint.target.clone()).or_default();
            *load += endpoint.load() / MAX_REPLICA_LOAD;
        }
        needed
            .into_iter()
            .map(|(model, load)| (model, load.ceil() as u32))
            .collect()
    }

    fn write_proposal(&mut self, proposal: Proposal) {
        let call_id = self.next_store_call_id;
        self.next_store_call_id += 1;
        self.placement.pending_write = Some(call_id);
        self.actions.push(EntryAction::Store {
            call_id,
            call: StoreCall::Put {
                key: PLACEMENT_KEY.into(),
                value: proposal.placement.to_json().into(),
                if_version: proposal.if_version,
            },
        });
    }

    /// Handles the reply to a placement write. Returns false when the call was a different one.
    ///
    /// A successful write needs no handling here: the new placement arrives through the watch, like
    /// that of any other entry.
    pub(super) fn on_placement_write_replied(
        &mut self,
        now: Instant,
        call_id: StoreCallId,
        reply: &StoreReply,
    ) -> bool {
        if self.placement.pending_write != Some(call_id) {
            return false;
        }
        self.placement.pending_write = None;
        if !matches!(reply, StoreReply::Written { .. }) {
            self.placement.proposer.write_failed(now);
        }
        true
    }
}

fn endpoint_snapshot(
    now: Instant,
    endpoint: &Endpoint,
    agent: &Agent,
    is_up_to_date: bool,
) -> EndpointSnapshot {
    let report = &endpoint.last_report;
    let is_ready = matches!(endpoint.state, EndpointState::Ready | EndpointState::Cold);
    let silent = agent
        .last_reply
        .map_or(Duration::MAX, |at| now.saturating_duration_since(at));
    EndpointSnapshot {
        id: endpoint.id.clone(),
        host: endpoint.host.clone(),
        zone: agent.zone.clone(),
        model: endpoint.target.clone(),
        ready_version: endpoint.version.clone().filter(|_| is_ready),
        holds_next: is_up_to_date && report.progress_permille == Some(COMPLETE_PERMILLE),
        since_last_reply: silent,
        is_leaving: agent.reported_leaving || agent.listed_leaving,
    }
}
