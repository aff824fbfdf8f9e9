mod peer_lists;
mod peer_lists_fuzz;
mod reports;
mod version_times;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::*;
use crate::delivery::{Suspect, SuspectCrash, Suspects};
use crate::dispatch::{Fleet, Mitigations};
use crate::timer::StallDetector;
use crate::types::{ChangeTime, StorePosition};

fn heartbeat(entry: u64, crashes: Vec<SuspectCrash>) -> EntryHeartbeat {
    EntryHeartbeat {
        entry_incarnation: entry,
        is_open: true,
        interval_ms: 400,
        wants_load: false,
        plan: None,
        crashes,
    }
}

fn crash() -> SuspectCrash {
    SuspectCrash {
        suspect: Suspect::Request(7),
        instance: 9,
        is_cleared: false,
        age_ms: 0,
        answered_ms: None,
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
        peers: 0,
    }
}

/// Applies a plan in a process that has not stood still.
fn apply(state: &mut PlanState, now: Instant, plan: Plan) -> bool {
    state.apply_plan(now, plan, &mut StallDetector::new(now))
}

fn wanted_versions(state: &PlanState) -> Vec<(u64, Instant)> {
    state.wanted().next().unwrap().1
}

#[test]
fn silent_entries_are_removed_and_not_counted() {
    let now = Instant::now();
    let mut entries = Entries::default();
    let addrs = ["127.0.0.1:1", "127.0.0.1:2"].map(|addr| addr.parse().unwrap());
    assert!(entries.record_heartbeat(now, addrs[0], &heartbeat(1, vec![crash()])));
    assert!(!entries.record_heartbeat(now, addrs[0], &heartbeat(1, vec![crash()])));
    let later = now + Duration::from_secs(1);
    assert!(entries.record_heartbeat(later, addrs[1], &heartbeat(2, Vec::new())));
    assert_eq!(entries.open_count(), 2);
    assert_eq!(entries.crashes(now), [crash()]);
    assert_eq!(entries.expire(now + Duration::from_secs(2)), [addrs[0]]);
    assert_eq!(entries.addrs(), [addrs[1]]);
}

#[test]
fn crashes_are_joined_and_forwarded() {
    let now = Instant::now();
    let mut entries = Entries::default();
    for (entry, instances) in [(1, [1, 2]), (2, [2, 3])] {
        let mut known = Suspects::default();
        for instance in instances {
            known.record_crash(now, [Suspect::Part(7), Suspect::Request(8)], instance);
        }
        let heartbeat = heartbeat(entry, known.shared(now));
        let from = SocketAddr::from(([127, 0, 0, 1], entry as u16));
        entries.record_heartbeat(now, from, &heartbeat);
    }
    let mut newcomer = Suspects::default();
    newcomer.merge(now, &entries.crashes(now));
    let suspects = [Suspect::Part(7), Suspect::Request(8)];
    assert!(newcomer.blamed_among(&suspects).is_some());
}

#[test]
fn crashes_leave_room_in_a_datagram() {
    let now = Instant::now();
    let mut known = Suspects::default();
    for n in 0..400_u64 {
        let suspects = [
            Suspect::Part(u64::MAX - n % 40),
            Suspect::Request(u64::MAX / 2 - n),
        ];
        known.record_crash(now, suspects, u64::MAX - n);
        known.record_answer(now, [Suspect::Request(u64::MAX / 2 - n / 2)]);
    }
    let heartbeat = heartbeat(1, known.shared(now + Duration::from_secs(30)));
    let size = encode(&heartbeat).unwrap().len();
    assert!(size < MAX_DATAGRAM / 3, "{size} bytes");
}

#[test]
fn older_revisions_change_nothing_and_older_versions_stay_older() {
    let now = Instant::now();
    let mut state = PlanState::default();
    assert!(apply(&mut state, now, plan(5, 2, 0)));
    assert!(!apply(&mut state, now, plan(4, 3, 0)));
    // An older version is remembered, and stays older.
    assert!(apply(&mut state, now, plan(6, 1, 0)));
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
    assert!(apply(
        &mut state,
        now,
        plan_of_era(before.0, before.1, 2, 0)
    ));
    let next = plan_of_era(next.0, next.1, 3, 0);
    assert_eq!(apply(&mut state, now, next.clone()), is_applied);
    assert_eq!(state.current() == Some(&next), is_applied);
}

// Guards against a version that goes back since the store lost its name.
#[test]
fn a_later_era_that_names_an_older_version_keeps_the_newest() {
    let now = Instant::now();
    let mut state = PlanState::default();
    apply(&mut state, now, plan_of_era(1, 5, 3, 0));
    // The older version is remembered, and stays older.
    assert!(apply(&mut state, now, plan_of_era(2, 4, 2, 0)));
    let versions = wanted_versions(&state);
    assert_eq!(versions.last().unwrap().0, 3);
    assert!(apply(&mut state, now, plan_of_era(2, 6, 4, 0)));
}

#[test]
fn each_version_keeps_its_own_deadline() {
    let now = Instant::now();
    let mut state = PlanState::default();
    apply(&mut state, now, plan(5, 2, 500));
    let later = now + Duration::from_secs(4);
    apply(&mut state, later, plan(6, 3, 0));
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
    assert!(decode::<AgentHeartbeat>(&[0xff; 40]).is_err());
    let heartbeat = heartbeat(3, vec![crash()]);
    assert_eq!(decode(&encode(&heartbeat).unwrap()), Ok(heartbeat));
}

/// Regression: a message that exceeded the datagram size was sent cut off or empty.
#[test]
fn a_message_above_the_datagram_size_is_not_encoded() {
    let heartbeat = heartbeat(3, vec![crash(); MAX_DATAGRAM]);
    assert!(
        matches!(encode(&heartbeat), Err(DatagramError::TooLarge(size)) if size > MAX_DATAGRAM)
    );
}

// Guards against an engine that keeps an older version too long because its agent read the first
// plan late, or from an entry that had heard of the version late.
#[test]
fn a_plan_with_an_earlier_naming_time_corrects_the_deadline() {
    let now = Instant::now();
    let mut state = PlanState::default();
    apply(&mut state, now, plan(5, 2, 0));
    let later = now + Duration::from_secs(1);
    // Another entry has known the version for five seconds.
    assert!(apply(&mut state, later, plan(5, 2, 5_000)));
    let due = now + Duration::from_secs(4);
    assert_eq!(wanted_versions(&state), [(2, due)]);
    // A plan that gives a later time changes nothing.
    assert!(!apply(&mut state, later, plan(5, 2, 0)));
    assert_eq!(wanted_versions(&state), [(2, due)]);
}

// Guards against an engine that stays too long on a version since its agent read of the next two late, and
// only the newest one's time was corrected.
#[test]
fn a_plan_corrects_the_times_of_all_wanted_versions() {
    let now = Instant::now();
    let later = now + Duration::from_secs(5);
    let mut fleet = Fleet::new(Mitigations::default());
    let mut state = PlanState::default();
    for (version, named_at) in [(2, now), (3, now + Duration::from_secs(1))] {
        fleet.set_wanted_version("m", version, ChangeTime::At(named_at));
        // The plan of each version is read four seconds late.
        let late = named_at + Duration::from_secs(4);
        apply(&mut state, late, plan(5, version, 0));
    }
    let wanted = fleet
        .wanted_versions()
        .map(|(_, version, named)| WantedModel {
            version,
            age: named.age(later),
            ..plan(5, version, 0).wanted[0].clone()
        });
    let whole = Plan {
        wanted: wanted.collect(),
        ..plan(5, 3, 0)
    };
    apply(&mut state, later, whole);
    let due = |seconds| now + Duration::from_secs(seconds);
    assert_eq!(wanted_versions(&state), [(2, due(8)), (3, due(9))]);
}

// Guards against a version that counts as new since the plan or the ages on it waited while the process
// stood still.
#[test]
fn ages_that_waited_during_a_stall_are_bounds_until_fresh_ones_come() {
    let start = Instant::now();
    let mut state = PlanState::default();
    let mut stalls = StallDetector::new(start);
    let woken_at = start + Duration::from_secs(4);
    state.apply_plan(woken_at, plan(5, 2, 1), &mut stalls);
    let due = wanted_versions(&state)[0].1;
    assert!(due <= start + Duration::from_secs(8));
    assert!(state.version_ages(woken_at).is_empty());
    let later = woken_at + Duration::from_millis(1_100);
    for millis in [300, 600, 900, 1_100] {
        stalls.tick(woken_at + Duration::from_millis(millis));
    }
    state.apply_plan(later, plan(5, 2, 5_000), &mut stalls);
    let due = later + Duration::from_secs(3);
    assert_eq!(wanted_versions(&state), [(2, due)]);
}

// Guards against a fleet that drops an older version at once because one of its entries was cut off for
// long when the newer one was named and can only tell that it is not older than that.
#[test]
fn the_bound_of_an_entry_that_was_cut_off_does_not_replace_a_closer_one() {
    let now = Instant::now();
    let mut state = PlanState::default();
    for age_ms in [2_000, 60_000] {
        let mut plan = plan(5, 2, 0);
        plan.wanted[0].age = ChangeAge::AtMost(age_ms);
        apply(&mut state, now, plan);
    }
    let due = now + Duration::from_secs(6);
    assert_eq!(wanted_versions(&state), [(2, due)]);
}
