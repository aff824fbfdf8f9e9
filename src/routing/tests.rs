use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::{Candidate, Chooser, Criteria, Endpoint, Policy};
use crate::wire::{EndpointReport, EndpointState};

/// Report of endpoint `e{index}`, which has `limit` slots.
fn report(index: usize, limit: u32, in_flight: u32) -> EndpointReport {
    EndpointReport {
        endpoint: format!("e{index}"),
        first_token_ms: 50,
        in_flight,
        instance: 1,
        limit,
        power_mw: None,
        full_power_mw: None,
        progress_permille: None,
        queued: 0,
        state: EndpointState::Ready,
        target: Some("chat".into()),
        version: None,
    }
}

/// Endpoints of 8 slots each, with these numbers of requests in flight.
fn endpoints(now: Instant, loads: &[u32]) -> Vec<Endpoint> {
    loads
        .iter()
        .enumerate()
        .map(|(index, load)| Endpoint::new(now, "host".into(), &report(index, 8, *load)))
        .collect()
}

/// Candidates with all of their slots open.
fn candidates(endpoints: &[Endpoint]) -> Vec<Candidate<'_>> {
    endpoints
        .iter()
        .map(|endpoint| Candidate {
            endpoint,
            open_share: 1.0,
        })
        .collect()
}

#[rstest]
#[case::idle(&[0, 0], true)]
#[case::one_free_slot(&[8, 7], true)]
#[case::full(&[8, 8], false)]
#[case::over_the_limit(&[9, 12], false)]
#[case::none(&[], false)]
fn only_an_endpoint_with_a_free_slot_is_chosen(#[case] loads: &[u32], #[case] found: bool) {
    let now = Instant::now();
    let endpoints = endpoints(now, loads);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut chooser = Chooser::new(Policy::Adaptive);
    for prefix in [None, Some("p")] {
        let criteria = Criteria {
            prefix,
            ..Criteria::default()
        };
        let chosen = chooser.choose(now, &candidates(&endpoints), criteria, &mut rng);
        assert_eq!(chosen.is_some(), found);
    }
}

#[test]
fn entries_with_the_same_reports_choose_different_endpoints() {
    let now = Instant::now();
    let endpoints = endpoints(now, &[0, 1, 1, 1, 1, 1, 1, 1]);
    let chosen: Vec<_> = (0..8)
        .filter_map(|seed| {
            let mut rng = SmallRng::seed_from_u64(seed);
            Chooser::new(Policy::Adaptive).choose(
                now,
                &candidates(&endpoints),
                Criteria::default(),
                &mut rng,
            )
        })
        .collect();
    let distinct: BTreeSet<_> = chosen.iter().collect();
    assert!(distinct.len() >= 4, "{chosen:?}");
}

#[rstest]
#[case::fast_endpoints_have_slots(&[0, 7, 7], 0, false)]
#[case::short_wait(&[0, 8, 8], 10, false)]
#[case::long_wait(&[0, 8, 8], 900, true)]
fn a_slow_endpoint_is_used_when_waiting_takes_longer(
    #[case] loads: &[u32],
    #[case] wait_ms: u64,
    #[case] used: bool,
) {
    let now = Instant::now();
    let mut endpoints = endpoints(now, loads);
    for endpoint in &mut endpoints {
        let slow = &*endpoint.id == "e0";
        endpoint.started(now, Duration::from_millis(if slow { 600 } else { 50 }));
    }
    let criteria = Criteria {
        prefix: None,
        expected_wait: Duration::from_millis(wait_ms),
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let chosen =
        Chooser::new(Policy::Adaptive).choose(now, &candidates(&endpoints), criteria, &mut rng);
    assert_eq!(chosen == Some("e0".into()), used);
}

#[test]
fn a_restart_discards_first_token_samples() {
    let now = Instant::now();
    let mut endpoint = Endpoint::new(now, "host".into(), &report(0, 8, 0));
    endpoint.started(now, Duration::from_millis(10));
    assert!(endpoint.first_token(now).is_some());
    let mut restarted = report(0, 1, 0);
    restarted.instance = 2;
    endpoint.report(now, "host".into(), &restarted);
    assert!(endpoint.first_token(now).is_none());
}

proptest! {
    /// Requests of this entry are counted in the load, however late a report is. A step of kind 0
    /// sends a request, one of kind 1 ends a request if any is in flight, and any other applies a
    /// report of `reported` requests in flight.
    #[test]
    fn own_requests_are_always_counted(steps in prop::collection::vec((0_u8..3, 0_u32..9), 1..60)) {
        let mut endpoint = Endpoint::new(Instant::now(), "host".into(), &report(0, 8, 0));
        let mut own = 0_u32;
        for (kind, reported) in steps {
            match kind {
                0 => { endpoint.sent(); own += 1; }
                1 if own > 0 => { endpoint.ended(false); own -= 1; }
                _ => endpoint.update_load(reported, 8),
            }
            prop_assert_eq!(endpoint.own(), own);
            prop_assert!(endpoint.in_flight() >= own);
        }
    }
}
