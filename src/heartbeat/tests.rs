use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::*;
use crate::delivery::Suspects;

fn heartbeat(entry: u64, crashes: Vec<Crash>) -> EntryHeartbeat {
    EntryHeartbeat {
        entry_incarnation: entry,
        is_open: true,
        plan: None,
        crashes,
        part_crashes: Vec::new(),
    }
}

fn plan(revision: u64, version: u64, age_ms: u64) -> Plan {
    Plan {
        revision,
        wanted: vec![WantedModel {
            model: "m".into(),
            version,
            age_ms,
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
fn crashes_by_prompt_part_are_joined_and_forwarded() {
    let now = Instant::now();
    let mut entries = Entries::default();
    for (entry, instances) in [(1, [1, 2]), (2, [2, 3])] {
        let mut known = Suspects::default();
        for instance in instances {
            known.record_crash(now, [7], instance);
        }
        let heartbeat = EntryHeartbeat {
            part_crashes: known.shared(now),
            ..heartbeat(entry, Vec::new())
        };
        let from = SocketAddr::from(([127, 0, 0, 1], entry as u16));
        entries.record_heartbeat(now, from, &heartbeat);
    }
    let mut newcomer = Suspects::default();
    newcomer.merge(now, &entries.part_crashes(now));
    assert!(newcomer.blamed_among(&[7]).is_some());
}

#[test]
fn crashes_by_prompt_part_leave_room_in_a_datagram() {
    let now = Instant::now();
    let mut known = Suspects::default();
    for n in 0..400_u64 {
        let parts = [u64::MAX - n % 40, u64::MAX / 2 - n];
        known.record_crash(now, parts, u64::MAX - n);
        known.record_answer(now, [u64::MAX / 2 - n / 2]);
    }
    let heartbeat = EntryHeartbeat {
        part_crashes: known.shared(now + Duration::from_secs(30)),
        ..heartbeat(1, Vec::new())
    };
    let size = encode(&heartbeat).len();
    assert!(size < MAX_DATAGRAM / 3, "{size} bytes");
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
        .map(|age| (age.version, age.age_ms))
        .collect();
    assert_eq!(ages, [(2, 4_500), (3, 0)]);
}

#[test]
fn invalid_bytes_are_not_decoded() {
    assert_eq!(decode::<AgentHeartbeat>(&[0xff; 40]), None);
    let heartbeat = heartbeat(3, vec![(1, 2)]);
    assert_eq!(decode(&encode(&heartbeat)), Some(heartbeat));
}
