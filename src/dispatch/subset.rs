//! Endpoints that an entry prefers.
//!
//! With many entries and endpoints, each entry sends an endpoint a request now and then only, while each
//! change of the endpoint's load would have to reach all entries. So an entry prefers a subset, whose load
//! it hears at once, and uses the others when none of the subset starts in time.
//!
//! The subset follows from a key of the entry and the names of the endpoints alone (rendezvous hashing):
//! one endpoint more or less changes one place. Most places are taken from the entry's own region, the
//! rest from all others, so that the loss of a region or of a zone leaves endpoints with known load.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{EndpointId, RegionId, TargetId};

/// Endpoints of a target in a subset at most; smaller targets are preferred whole. It is several times
/// the number of endpoints that are compared for a request, and leaves each endpoint of a fleet of
/// hundreds with several entries that prefer it.
const SUBSET_SIZE: usize = 64;
/// Places for endpoints of the entry's own region.
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

/// Order of an endpoint for an entry.
fn score(key: u64, id: &str) -> [u8; 32] {
    let mut hash = blake3::Hasher::new();
    hash.update(&key.to_le_bytes()).update(id.as_bytes());
    *hash.finalize().as_bytes()
}
