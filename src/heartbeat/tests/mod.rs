mod version_times;

use std::time::{Duration, Instant};

use rstest::rstest;

use super::*;
use crate::types::StorePosition;

fn heartbeat(entry: u64, crashes: Vec<Crash>) -> EntryHeartbeat {
    EntryHeartbeat {
        entry_incarnation: entry,
        is_open: true,
        plan: None,
        crashes,
    }
}

fn plan(revision: u64, version: u64, age_ms: u64) -> Plan {
    plan_of_era(1, revision, version, age_ms)
}

fn plan_of_era(era: u64, revision: u64, version: u64, age_ms: u64) -> Plan {
    Plan {
        position: StorePosition { era, revision },
        wanted: vec![WantedModel {
            model: "m".into(),
            version,
            age: ChangeAge::Exactly(age_ms),
            within_ms: 8_000,
            layers: 16,
        }],
        origin: None,
        zones: Vec::new(),
    }
}

fn wanted_versions(state: &PlanState) -> Vec<(u64, Instant)> {
    state.wanted().next().unwrap().1
}

#[test]
fn silent_entries_are_removed_and_not_counted() {
    let now = Instant::now();
    let mut entries = Entries::default();
    let addrs = ["127.0.0.1:1", "127.0.0.1:2"].map(|addr| addr.parse().unwrap());
    assert!(entries.record_heartbeat(now, addrs[0], &heartbeat(1, vec![(7, 9)])));
    assert!(!entries.record_heartbeat(now, addrs[0], &heartbeat(1, vec![(7, 9)])));
    let later = now + Duration::from_secs(1);
    assert!(entries.record_heartbeat(later, addrs[1], &heartbeat(2, Vec::new())));
    assert_eq!(entries.open_count(), 2);
    assert_eq!(entries.crashes(), [(7, 9)]);
    assert_eq!(entries.expire(now + Duration::from_secs(2)), [addrs[0]]);
    assert_eq!(entries.addrs(), [addrs[1]]);
}

#[test]
fn older_revisions_and_versions_change_nothing() {
    let now = Instant::now();
    let mut state = PlanState::default();
    assert!(state.apply_plan(now, plan(5, 2, 0)));
    assert!(!state.apply_plan(now, plan(4, 3, 0)));
    assert!(!state.apply_plan(now, plan(6, 1, 0)));
    assert_eq!(wanted_versions(&state).last().unwrap().0, 2);
}

#[rstest]
#[case::higher_revision((1, 5), (1, 6), true)]
#[case::same_position((1, 5), (1, 5), true)]
#[case::lower_revision((1, 5), (1, 4), false)]
#[case::lower_revision_of_a_later_era((1, 5), (2, 1), true)]
#[case::higher_revision_of_an_earlier_era((2, 1), (1, 5), false)]
#[case::first_era_that_is_named((0, 5), (3, 1), true)]
fn the_plan_of_the_highest_position_applies(
    #[case] before: (u64, u64),
    #[case] next: (u64, u64),
    #[case] is_applied: bool,
) {
    let now = Instant::now();
    let mut state = PlanState::default();
    assert!(state.apply_plan(now, plan_of_era(before.0, before.1, 2, 0)));
    let next = plan_of_era(next.0, next.1, 3, 0);
    assert_eq!(state.apply_plan(now, next.clone()), is_applied);
    assert_eq!(state.current() == Some(&next), is_applied);
}

// Guards against a version that goes back since the store lost its name.
#[test]
fn a_later_era_that_names_an_older_version_keeps_the_newest() {
    let now = Instant::now();
    let mut state = PlanState::default();
    state.apply_plan(now, plan_of_era(1, 5, 3, 0));
    assert!(!state.apply_plan(now, plan_of_era(2, 4, 2, 0)));
    let versions = wanted_versions(&state);
    assert_eq!(versions.last().unwrap().0, 3);
    assert!(state.apply_plan(now, plan_of_era(2, 6, 4, 0)));
}

#[test]
fn each_version_keeps_its_own_deadline() {
    let now = Instant::now();
    let mut state = PlanState::default();
    state.apply_plan(now, plan(5, 2, 500));
    let later = now + Duration::from_secs(4);
    state.apply_plan(later, plan(6, 3, 0));
    let due = |millis| now + Duration::from_millis(millis);
    assert_eq!(wanted_versions(&state), [(2, due(7_500)), (3, due(12_000))]);
    let version_ages = state.version_ages(later);
    let ages: Vec<_> = version_ages
        .iter()
        .map(|age| (age.version, age.age))
        .collect();
    assert_eq!(
        ages,
        [(2, ChangeAge::Exactly(4_500)), (3, ChangeAge::Exactly(0))]
    );
}

#[test]
fn invalid_bytes_are_not_decoded() {
    assert_eq!(decode::<AgentHeartbeat>(&[0xff; 40]), None);
    let heartbeat = heartbeat(3, vec![(1, 2)]);
    assert_eq!(decode(&encode(&heartbeat)), Some(heartbeat));
}

// Guards against an engine that keeps an older version too long because its agent read the first
// plan late, or from an entry that had heard of the version late.
#[test]
fn a_plan_with_an_earlier_naming_time_corrects_the_deadline() {
    let now = Instant::now();
    let mut state = PlanState::default();
    state.apply_plan(now, plan(5, 2, 0));
    let later = now + Duration::from_secs(1);
    // Another entry has known the version for five seconds.
    assert!(state.apply_plan(later, plan(5, 2, 5_000)));
    let due = now + Duration::from_secs(4);
    assert_eq!(wanted_versions(&state), [(2, due)]);
    // A plan that gives a later time changes nothing.
    assert!(!state.apply_plan(later, plan(5, 2, 0)));
    assert_eq!(wanted_versions(&state), [(2, due)]);
}
