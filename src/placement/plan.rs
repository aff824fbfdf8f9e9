//! Computes the next placement from targets, membership and power.
//!
//! The same inputs give the same placement at every entry. A push goes on in steps: first every
//! host of the model fetches the new version, then endpoints whose hosts hold it switch over, as
//! many at once as the load and the power cap leave free.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::config::{Model, Targets};
use crate::types::{Digest, EndpointId, Generation, HostId, Milliwatts, TargetId, ZoneId};

use super::{Assignment, Placement};

/// What an entry knows of one model endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointSnapshot {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Host of the endpoint.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Model that the endpoint can serve.
    pub model: TargetId,
    /// Version that it is ready with; `None` while it is not ready.
    pub ready_version: Option<Digest>,
    /// True when its host holds the newest version that the placement told it to fetch.
    pub holds_next: bool,
    /// Time since its agent was last heard of.
    pub since_last_reply: Duration,
    /// True when the host leaves.
    pub is_leaving: bool,
}

/// Everything that a placement is computed from.
#[derive(Clone, Copy, Debug)]
pub struct PlanInputs<'a> {
    /// Generation of the targets.
    pub generation: Generation,
    /// The targets.
    pub targets: &'a Targets,
    /// The endpoints.
    pub endpoints: &'a [EndpointSnapshot],
    /// The placement in force.
    pub current: &'a Placement,
    /// Ready replicas that each model's load needs to stay within its targets.
    pub needed_replicas: &'a BTreeMap<TargetId, u32>,
    /// Power under the cap that is not drawn or granted.
    pub spare_power: Milliwatts,
    /// Power that one endpoint draws on top while it loads a version.
    pub load_power: Milliwatts,
    /// Silence after which an endpoint's place is given to another.
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
    let mut loads = power_budget(&inputs);
    for model in &inputs.targets.models {
        let chosen = choose(&inputs, model);
        let mut spare = spare_replicas(&inputs, model, &chosen);
        for fact in chosen {
            let assignment = assign(&inputs, model, fact, &mut spare, &mut loads);
            next.endpoints.insert(fact.endpoint.clone(), assignment);
        }
    }
    next
}

/// Joins a plan for the endpoints that an entry knows with the assignments of all others.
///
/// An assignment of an endpoint that the entry does not know stays while its host is listed.
pub fn merge(
    current: &Placement,
    mut planned: Placement,
    known: &[EndpointSnapshot],
    is_listed: impl Fn(&HostId) -> bool,
) -> Placement {
    let known = ids(known);
    let others = current
        .endpoints
        .iter()
        .filter(|(id, _)| !known.contains(id));
    let kept = others.filter(|(_, assignment)| is_listed(&assignment.host));
    planned
        .endpoints
        .extend(kept.map(|(id, assignment)| (id.clone(), assignment.clone())));
    planned
}

fn ids(facts: &[EndpointSnapshot]) -> BTreeSet<&EndpointId> {
    facts.iter().map(|fact| &fact.endpoint).collect()
}

/// The endpoints that serve a model: those that have it first, then spread over the zones.
fn choose<'a>(inputs: &PlanInputs<'a>, model: &Model) -> Vec<&'a EndpointSnapshot> {
    let mut able: Vec<&EndpointSnapshot> = inputs
        .endpoints
        .iter()
        .filter(|fact| fact.model == model.id)
        .filter(|fact| !fact.is_leaving)
        .collect();
    able.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
    let Some(replicas) = model.replicas else {
        return able;
    };
    let replicas = replicas.saturating_sub(replicas_elsewhere(inputs, model));
    able.retain(|fact| fact.since_last_reply < inputs.replace_after);
    let (mut chosen, mut free): (Vec<_>, Vec<_>) = able
        .into_iter()
        .partition(|fact| inputs.current.endpoints.contains_key(&fact.endpoint));
    chosen.truncate(replicas as usize);
    while chosen.len() < replicas as usize && !free.is_empty() {
        let at = emptiest_zone(inputs.targets, &chosen, &free);
        chosen.push(free.remove(at));
    }
    chosen.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
    chosen
}

/// Replicas at endpoints that this entry does not know.
fn replicas_elsewhere(inputs: &PlanInputs<'_>, model: &Model) -> u32 {
    let known = ids(inputs.endpoints);
    let assigned = inputs.current.endpoints.iter();
    assigned
        .filter(|(id, assignment)| assignment.model == model.id && !known.contains(id))
        .count() as u32
}

/// Place among `free` of the endpoint whose zone has the fewest chosen ones; zones out come last.
fn emptiest_zone(
    targets: &Targets,
    chosen: &[&EndpointSnapshot],
    free: &[&EndpointSnapshot],
) -> usize {
    let crowd = |zone: &ZoneId| chosen.iter().filter(|fact| fact.zone == *zone).count();
    free.iter()
        .enumerate()
        .min_by_key(|(_, fact)| (targets.zones_out.contains(&fact.zone), crowd(&fact.zone)))
        .map_or(0, |(at, _)| at)
}

/// Loads that the power cap leaves room for, less those that run.
fn power_budget(inputs: &PlanInputs<'_>) -> u64 {
    let room = match inputs.load_power {
        0 => u64::MAX,
        load => inputs.spare_power / load,
    };
    let running = inputs
        .endpoints
        .iter()
        .filter(|fact| is_switching(inputs, fact))
        .count();
    room.saturating_sub(running as u64)
}

/// True while an endpoint loads the version that it was assigned.
fn is_switching(inputs: &PlanInputs<'_>, fact: &EndpointSnapshot) -> bool {
    inputs
        .current
        .endpoints
        .get(&fact.endpoint)
        .is_some_and(|assignment| {
            assignment.next.is_none() && fact.ready_version.as_ref() != Some(&assignment.version)
        })
}

/// Ready replicas that the load does not need.
///
/// A model with a single replica can not be switched without a gap, so that one counts as spare.
fn spare_replicas(inputs: &PlanInputs<'_>, model: &Model, chosen: &[&EndpointSnapshot]) -> u32 {
    let serving = chosen
        .iter()
        .filter(|fact| !inputs.targets.zones_out.contains(&fact.zone))
        .filter(|fact| fact.ready_version.is_some() && !is_switching(inputs, fact))
        .count() as u32;
    let needed = inputs.needed_replicas.get(&model.id).copied().unwrap_or(0);
    match chosen.len() {
        1 => 1,
        _ => serving.saturating_sub(needed.max(1)),
    }
}

fn assign(
    inputs: &PlanInputs<'_>,
    model: &Model,
    fact: &EndpointSnapshot,
    spare: &mut u32,
    loads: &mut u64,
) -> Assignment {
    let assignment = |version: &Digest, next: Option<&Digest>| Assignment {
        host: fact.host.clone(),
        model: model.id.clone(),
        version: version.clone(),
        next: next.cloned(),
    };
    let wanted = &model.manifest;
    let old = inputs
        .current
        .endpoints
        .get(&fact.endpoint)
        .filter(|old| old.model == model.id);
    let Some(old) = old else {
        return assignment(wanted, None);
    };
    if old.version == *wanted {
        return assignment(wanted, None);
    }
    if fact.ready_version.is_none() {
        // Nothing is served here, so nothing is lost by going to the new version at once.
        return assignment(wanted, None);
    }
    let fetched = fact.holds_next && old.next.as_ref() == Some(wanted);
    let out = inputs.targets.zones_out.contains(&fact.zone);
    if !fetched || *loads == 0 || (*spare == 0 && !out) {
        return assignment(&old.version, Some(wanted));
    }
    *loads -= 1;
    if !out {
        *spare -= 1;
    }
    assignment(wanted, None)
}
