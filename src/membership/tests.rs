use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use rstest::rstest;

use super::{Ramp, covering_entries};
use crate::types::EntryId;

fn entries(range: std::ops::Range<usize>) -> BTreeSet<EntryId> {
    range.map(|n| format!("entry-{n}").into()).collect()
}

fn hosts() -> impl Iterator<Item = String> {
    (0..380).map(|n| format!("host-{n}"))
}

fn load(entries: &BTreeSet<EntryId>, entry: &str) -> usize {
    hosts()
        .filter(|host| covering_entries(entries, host, 2).contains(entry))
        .count()
}

#[test]
fn ten_entries_hold_about_76_of_380_agents_each() {
    let all = entries(0..10);
    let loads: Vec<usize> = all.iter().map(|entry| load(&all, entry)).collect();
    assert_eq!(loads.iter().sum::<usize>(), 760);
    assert!(
        loads.iter().all(|load| (50..=105).contains(load)),
        "{loads:?}"
    );
}

#[test]
fn every_zone_is_in_every_subset() {
    let all = entries(0..10);
    let zone = |host: &str| host["host-".len()..].parse::<usize>().unwrap() % 6;
    for entry in &all {
        let zones: BTreeSet<usize> = hosts()
            .filter(|host| covering_entries(&all, host, 2).contains(entry))
            .map(|host| zone(&host))
            .collect();
        assert_eq!(zones.len(), 6, "{entry}");
    }
}

#[test]
fn every_agent_is_covered_while_all_entries_are_replaced_one_by_one() {
    for step in 0..10 {
        let listed = entries(step..step + 10);
        let alive = entries(step + 1..step + 10);
        for host in hosts() {
            let covering = covering_entries(&listed, &host, 2);
            assert!(
                covering.intersection(&alive).count() >= 1,
                "{host} at {step}"
            );
        }
    }
}

proptest! {
    #[test]
    fn an_entry_that_goes_moves_only_its_own_agents(gone in 0_usize..10, host in 0_usize..380) {
        let host = format!("host-{host}");
        let all = entries(0..10);
        let mut rest = all.clone();
        rest.remove(format!("entry-{gone}").as_str());
        let (before, after) = (covering_entries(&all, &host, 2), covering_entries(&rest, &host, 2));
        let kept = before.iter().filter(|entry| rest.contains(*entry));
        prop_assert!(kept.into_iter().all(|entry| after.contains(entry)));
    }
}

#[rstest]
#[case::start(0, 0.1)]
#[case::half(5_000, 0.55)]
#[case::over(10_000, 1.0)]
#[case::long_over(60_000, 1.0)]
fn a_zone_that_returns_gets_its_share_step_by_step(#[case] millis: u64, #[case] share: f64) {
    let now = Instant::now();
    let ramp = Ramp::start(now);
    let at = ramp.share(now + Duration::from_millis(millis));
    assert!((at - share).abs() < 1e-9, "{at}");
}
