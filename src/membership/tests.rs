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

fn covered_agents(entries: &BTreeSet<EntryId>, entry: &str) -> usize {
    hosts()
        .filter(|host| covering_entries(entries, host, 2).contains(entry))
        .count()
}

#[test]
fn ten_entries_cover_about_76_of_380_agents_each() {
    let all = entries(0..10);
    let counts: Vec<usize> = all
        .iter()
        .map(|entry| covered_agents(&all, entry))
        .collect();
    assert_eq!(counts.iter().sum::<usize>(), 760);
    assert!(
        counts.iter().all(|count| (50..=105).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn every_subset_covers_every_zone() {
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
fn every_agent_stays_covered_while_entries_are_replaced_one_by_one() {
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
    fn removing_an_entry_reassigns_only_its_own_agents(removed in 0_usize..10, host in 0_usize..380) {
        let host = format!("host-{host}");
        let all = entries(0..10);
        let mut rest = all.clone();
        rest.remove(format!("entry-{removed}").as_str());
        let (before, after) = (covering_entries(&all, &host, 2), covering_entries(&rest, &host, 2));
        let kept = before.iter().filter(|entry| rest.contains(*entry));
        prop_assert!(kept.into_iter().all(|entry| after.contains(entry)));
    }
}

#[rstest]
#[case::start(0, 0.1)]
#[case::half(5_000, 0.55)]
#[case::end(10_000, 1.0)]
#[case::after_the_end(60_000, 1.0)]
fn share_of_a_returning_zone_grows_linearly(#[case] millis: u64, #[case] share: f64) {
    let now = Instant::now();
    let ramp = Ramp::start(now);
    let at = ramp.share(now + Duration::from_millis(millis));
    assert!((at - share).abs() < 1e-9, "{at}");
}
