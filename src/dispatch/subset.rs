//! Deterministic subset of the endpoints that an entry prefers.
//!
//! In a large fleet an entry rarely sends a request to a given endpoint, so reporting each change of
//! the endpoint's load to every entry is waste. An entry receives the changes of a subset at once, and
//! falls back to the other endpoints, whose load it knows from heartbeats, when no endpoint of the subset
//! can start a request in time.
//!
//! The subset is chosen by rendezvous hashing, so that adding or removing an endpoint changes at most one
//! place. Most places are in the entry's own region; the others keep endpoints with known load when the
//! region is lost.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{EndpointId, RegionId, TargetId};

/// Largest subset of a target; all endpoints of a smaller target are preferred. It has to be a multiple
/// of the number of endpoints that are compared for a request.
const SUBSET_SIZE: usize = 64;
/// Number of places for endpoints of the entry's own region.
const OWN_REGION_PLACES: usize = 48;

/// An endpoint that may be preferred.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub id: &'a EndpointId,
    pub target: &'a TargetId,
    pub region: &'a RegionId,
}

/// Returns the endpoints that the entry with `key` in `region` prefers.
pub(super) fn preferred<'a>(
    key: u64,
    region: &str,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> BTreeSet<EndpointId> {
    let mut by_target: BTreeMap<&TargetId, Vec<Candidate>> = BTreeMap::new();
    for candidate in candidates {
        by_target
            .entry(candidate.target)
            .or_default()
            .push(candidate);
    }
    let subsets = by_target
        .into_values()
        .flat_map(|candidates| preferred_of_target(key, region, candidates));
    subsets.cloned().collect()
}

fn preferred_of_target<'a>(
    key: u64,
    region: &str,
    mut candidates: Vec<Candidate<'a>>,
) -> Vec<&'a EndpointId> {
    if candidates.len() > SUBSET_SIZE {
        candidates.sort_by_cached_key(|candidate| score(key, candidate.id));
        let (own, others): (Vec<_>, Vec<_>) =
            candidates.iter().partition(|c| **c.region == *region);
        let own_places = OWN_REGION_PLACES.max(SUBSET_SIZE.saturating_sub(others.len()));
        let own_places = own_places.min(own.len());
        let other_places = SUBSET_SIZE - own_places;
        candidates = own.into_iter().take(own_places).collect();
        candidates.extend(others.into_iter().take(other_places));
    }
    candidates
        .into_iter()
        .map(|candidate| candidate.id)
        .collect()
}

/// Rendezvous hash of an entry and an endpoint; the lowest ones are preferred.
fn score(key: u64, id: &str) -> [u8; 32] {
    let mut hash = blake3::Hasher::new();
    hash.update(&key.to_le_bytes()).update(id.as_bytes());
    *hash.finalize().as_bytes()
}
