//! Computes the next placement from the targets, the endpoints and the available power.
//!
//! The same inputs give the same placement at every entry. A new version is rolled out in two
//! steps: first every host of the model fetches it, then endpoints whose hosts hold it switch to
//! it, as many at once as the load and the power cap permit.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::config::{Model, Targets};
use crate::types::{Digest, EndpointId, Generation, HostId, Milliwatts, TargetId, ZoneId};

use super::{Assignment, Placement};

/// State of one model endpoint as an entry last observed it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointSnapshot {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Host of the endpoint.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Model that the endpoint can serve.
    pub model: TargetId,
    /// Version that it is ready to serve; `None` while it is not ready.
    pub ready_version: Option<Digest>,
    /// True when its host holds the newest version that the placement requires it to fetch.
    pub holds_next: bool,
    /// Time since its agent last replied to this entry.
    pub since_last_reply: Duration,
    /// True when the host is leaving the fleet.
    pub is_leaving: bool,
}

/// Inputs that a placement is computed from.
#[derive(Clone, Copy, Debug)]
pub struct PlanInputs<'a> {
    /// Generation of the targets.
    pub generation: Generation,
    /// Targets that the operators declared.
    pub targets: &'a Targets,
    /// Model endpoints that the entry knows.
    pub endpoints: &'a [EndpointSnapshot],
    /// The placement in force.
    pub current: &'a Placement,
    /// Number of ready replicas that each model needs at its current load.
    pub needed_replicas: &'a BTreeMap<TargetId, u32>,
    /// Power under the cap that is neither drawn nor granted.
    pub spare_power: Milliwatts,
    /// Additional power that one endpoint draws while it loads a version.
    pub load_power: Milliwatts,
    /// Time without a reply from its agent after which another endpoint replaces an endpoint.
    pub replace_after: Duration,
}

/// Computes the next placement; equal to the current one when nothing has to change.
pub fn plan(inputs: PlanInputs<'_>) -> Placement {
    if inputs.generation < inputs.current.generation {
        return inputs.current.clone();
    }
    let mut next = Placement {
        generation: inputs.generation,
        endpoints: BTreeMap::new(),
        grants: inputs.current.grants.clone(),
    };
    let mut available_loads = available_loads(&inputs);
    for model in &inputs.targets.models {
        let chosen = choose_endpoints(&inputs, model);
        let mut spare_replicas = spare_replicas(&inputs, model, &chosen);
        for endpoint in chosen {
            let assignment = assign(
                &inputs,
                model,
                endpoint,
                &mut spare_replicas,
                &mut available_loads,
            );
            next.endpoints.insert(endpoint.id.clone(), assignment);
        }
    }
    next
}

/// Adds the current assignments of endpoints that the entry does not know to a plan for those that
/// it knows.
///
/// Such an assignment is kept while its host is listed, and dropped otherwise.
pub fn merge(
    current: &Placement,
    mut planned: Placement,
    known: &[EndpointSnapshot],
    is_listed: impl Fn(&HostId) -> bool,
) -> Placement {
    let known = ids(known);
    let unknown = current
        .endpoints
        .iter()
        .filter(|(id, _)| !known.contains(id));
    let kept = unknown.filter(|(_, assignment)| is_listed(&assignment.host));
    planned
        .endpoints
        .extend(kept.map(|(id, assignment)| (id.clone(), assignment.clone())));
    planned
}

fn ids(endpoints: &[EndpointSnapshot]) -> BTreeSet<&EndpointId> {
    endpoints.iter().map(|endpoint| &endpoint.id).collect()
}

/// Chooses the endpoints that serve a model: first those that the current placement assigns, then
/// others spread over the zones.
fn choose_endpoints<'a>(inputs: &PlanInputs<'a>, model: &Model) -> Vec<&'a EndpointSnapshot> {
    let mut candidates: Vec<&EndpointSnapshot> = inputs
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.model == model.id)
        .filter(|endpoint| !endpoint.is_leaving)
        .collect();
    candidates.sort_by(|a, b| a.id.cmp(&b.id));
    let Some(replicas) = model.replicas else {
        return candidates;
    };
    let replicas = replicas.saturating_sub(replicas_elsewhere(inputs, model));
    candidates.retain(|endpoint| endpoint.since_last_reply < inputs.replace_after);
    let (mut chosen, mut unassigned): (Vec<_>, Vec<_>) = candidates
        .into_iter()
        .partition(|endpoint| inputs.current.endpoints.contains_key(&endpoint.id));
    chosen.truncate(replicas as usize);
    while chosen.len() < replicas as usize && !unassigned.is_empty() {
        let index = index_in_least_used_zone(inputs.targets, &chosen, &unassigned);
        chosen.push(unassigned.remove(index));
    }
    chosen.sort_by(|a, b| a.id.cmp(&b.id));
    chosen
}

/// Number of replicas assigned to endpoints that this entry does not know.
fn replicas_elsewhere(inputs: &PlanInputs<'_>, model: &Model) -> u32 {
    let known = ids(inputs.endpoints);
    let assigned = inputs.current.endpoints.iter();
    assigned
        .filter(|(id, assignment)| assignment.model == model.id && !known.contains(id))
        .count() as u32
}

/// Index in `unassigned` of the endpoint whose zone has the fewest chosen ones. Zones that the
/// operators have taken out of service come last.
fn index_in_least_used_zone(
    targets: &Targets,
    chosen: &[&EndpointSnapshot],
    unassigned: &[&EndpointSnapshot],
) -> usize {
    let chosen_in = |zone: &ZoneId| {
        chosen
            .iter()
            .filter(|endpoint| endpoint.zone == *zone)
            .count()
    };
    unassigned
        .iter()
        .enumerate()
        .min_by_key(|(_, endpoint)| {
            (
                targets.zones_out.contains(&endpoint.zone),
                chosen_in(&endpoint.zone),
            )
        })
        .map_or(0, |(index, _)| index)
}

/// Number of endpoints that may start to load a version under the power cap, in addition to those
/// that are loading.
fn available_loads(inputs: &PlanInputs<'_>) -> u64 {
    let max_loads = match inputs.load_power {
        0 => u64::MAX,
        load => inputs.spare_power / load,
    };
    let running = inputs
        .endpoints
        .iter()
        .filter(|endpoint| is_switching(inputs, endpoint))
        .count();
    max_loads.saturating_sub(running as u64)
}

/// True while an endpoint is not yet ready with the version that it is assigned to serve.
fn is_switching(inputs: &PlanInputs<'_>, endpoint: &EndpointSnapshot) -> bool {
    inputs
        .current
        .endpoints
        .get(&endpoint.id)
        .is_some_and(|assignment| {
            assignment.next.is_none()
                && endpoint.ready_version.as_ref() != Some(&assignment.version)
        })
}

/// Number of ready replicas that the load does not need.
///
/// A model with a single replica cannot change its version without an interruption, so that
/// replica counts as spare.
fn spare_replicas(inputs: &PlanInputs<'_>, model: &Model, chosen: &[&EndpointSnapshot]) -> u32 {
    let serving = chosen
        .iter()
        .filter(|endpoint| !inputs.targets.zones_out.contains(&endpoint.zone))
        .filter(|endpoint| endpoint.ready_version.is_some() && !is_switching(inputs, endpoint))
        .count() as u32;
    let needed = inputs.needed_replicas.get(&model.id).copied().unwrap_or(0);
    match chosen.len() {
        1 => 1,
        _ => serving.saturating_sub(needed.max(1)),
    }
}

/// Computes the assignment of one endpoint. A switch of a ready endpoint uses up one of
/// `available_loads`, and one of `spare_replicas` unless its zone is out.
fn assign(
    inputs: &PlanInputs<'_>,
    model: &Model,
    endpoint: &EndpointSnapshot,
    spare_replicas: &mut u32,
    available_loads: &mut u64,
) -> Assignment {
    let assignment = |version: &Digest, next: Option<&Digest>| Assignment {
        host: endpoint.host.clone(),
        model: model.id.clone(),
        version: version.clone(),
        next: next.cloned(),
    };
    let wanted = &model.manifest;
    let current = inputs
        .current
        .endpoints
        .get(&endpoint.id)
        .filter(|current| current.model == model.id);
    let Some(current) = current else {
        return assignment(wanted, None);
    };
    if current.version == *wanted {
        return assignment(wanted, None);
    }
    if endpoint.ready_version.is_none() {
        // The endpoint serves nothing, so a switch at once interrupts no requests.
        return assignment(wanted, None);
    }
    let is_fetched = endpoint.holds_next && current.next.as_ref() == Some(wanted);
    let is_zone_out = inputs.targets.zones_out.contains(&endpoint.zone);
    if !is_fetched || *available_loads == 0 || (*spare_replicas == 0 && !is_zone_out) {
        return assignment(&current.version, Some(wanted));
    }
    *available_loads -= 1;
    if !is_zone_out {
        *spare_replicas -= 1;
    }
    assignment(wanted, None)
}
