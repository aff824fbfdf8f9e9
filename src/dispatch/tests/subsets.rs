//! Subsets of endpoints that entries prefer.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::dispatch::subset::{Candidate, preferred};
use crate::dispatch::*;
use crate::types::{EndpointId, RegionId, TargetId};

const REGIONS: u64 = 5;

/// Endpoints by name with their regions.
type Fleet = Vec<(EndpointId, RegionId)>;

fn region(n: u64) -> RegionId {
    format!("region-{}", n % REGIONS).into()
}

fn fleet(endpoints: u64) -> Fleet {
    let endpoint = |n| (format!("engine-{n}").into(), region(n));
    (0..endpoints).map(endpoint).collect()
}

fn subset(entry: u64, fleet: &Fleet) -> BTreeSet<EndpointId> {
    let target: TargetId = "engines".into();
    let candidates = fleet.iter().map(|(id, region)| Candidate {
        id,
        target: &target,
        region,
    });
    preferred(entry, &region(entry), candidates)
}

/// Number of entries that prefer each endpoint.
fn shares(entries: u64, fleet: &Fleet) -> BTreeMap<EndpointId, usize> {
    let mut shares: BTreeMap<_, _> = fleet.iter().map(|(id, _)| (id.clone(), 0)).collect();
    for id in (0..entries).flat_map(|entry| subset(entry, fleet)) {
        *shares.entry(id).or_default() += 1;
    }
    shares
}

#[rstest]
#[case::small(27, 27)]
#[case::as_many_as_places(64, 64)]
#[case::hundreds(265, 64)]
#[case::thousands(1_200, 64)]
fn a_subset_is_bounded_and_small_fleets_are_preferred_whole(
    #[case] endpoints: u64,
    #[case] expected: usize,
) {
    assert_eq!(subset(1, &fleet(endpoints)).len(), expected);
}

/// Guards against endpoints whose load nobody knows, and those that many entries take for the best one.
#[rstest]
#[case::as_deployed(35, 265)]
#[case::many_entries(120, 380)]
fn every_endpoint_is_preferred_by_some_entries(#[case] entries: u64, #[case] endpoints: u64) {
    let shares = shares(entries, &fleet(endpoints));
    let mean = shares.values().sum::<usize>() as f64 / endpoints as f64;
    assert!(shares.values().all(|share| *share >= 1));
    assert!(shares.values().all(|share| (*share as f64) < 2.5 * mean));
}

#[test]
fn one_endpoint_more_or_less_changes_one_place_of_each_kind() {
    let all = fleet(265);
    for gone in 0..265 {
        let rest: Fleet = all
            .iter()
            .filter(|(id, _)| *id != all[gone].0)
            .cloned()
            .collect();
        let (before, after) = (subset(3, &all), subset(3, &rest));
        assert!(before.difference(&after).count() <= 1);
    }
}

/// Pattern: loss of a zone. Entries of all regions still prefer as many endpoints, and each endpoint that is
/// left still has entries that prefer it.
#[test]
fn a_lost_region_leaves_whole_subsets() {
    let rest: Fleet = fleet(265)
        .into_iter()
        .filter(|(_, r)| *r != region(0))
        .collect();
    for entry in 0..35 {
        assert_eq!(subset(entry, &rest).len(), 64);
    }
    assert!(shares(35, &rest).values().all(|share| *share >= 1));
}

/// Core in the region of every third of 90 engines.
fn large_core(now: Instant) -> Dispatcher {
    let mut core = core(now);
    for n in 0..90_u8 {
        let region = ["north", "south", "east"][usize::from(n % 3)];
        core.update_endpoint(now, listed(&format!("m{n}"), "engines", n + 20, region));
    }
    core.refresh_subset();
    core
}

/// Pattern: uneven callers. Requests go to preferred endpoints while these start in time, then to the others,
/// and none is refused while an endpoint of the fleet is free.
#[test]
fn a_subset_that_is_full_is_left_before_a_request_is_refused() {
    let now = Instant::now();
    let mut core = large_core(now);
    let is_preferred = |core: &Dispatcher, id: &str| core.fleet().is_preferred(id);
    let preferred_count = core
        .fleet()
        .endpoints()
        .filter(|e| &*e.listed.target == "engines" && is_preferred(&core, &e.listed.id))
        .count();
    assert_eq!(preferred_count, 64);
    let mut preferred_after_others = 0;
    let mut others = 0;
    for n in 0..900_u32 {
        let mut req = request("chat");
        req.request_id = Arc::from(format!("r{n}"));
        req.fingerprint = u64::from(n);
        core.admit(now, &req).unwrap();
        let decisions = core.dispatch_waiting(now);
        let Some((_, Decision::Send(assignment))) = decisions.first() else {
            break;
        };
        match is_preferred(&core, &assignment.endpoint) {
            true => preferred_after_others += usize::from(others > 0),
            false => others += 1,
        }
        assert!(n >= 64 || others == 0, "request {n} leaves the subset");
    }
    assert!(others > 0, "no request leaves the subset");
    assert!(preferred_after_others > 0 || others < 64);
}
