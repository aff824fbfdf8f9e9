use std::time::{Duration, Instant};

use super::*;

fn hello(entry: u64, crashes: Vec<Crash>) -> EntryHeartbeat {
    EntryHeartbeat {
        entry_incarnation: entry,
        is_open: true,
        plan: None,
        crashes,
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

fn named(orders: &PlanState) -> Vec<(u64, Instant)> {
    orders.wanted().next().unwrap().1
}

#[test]
fn silent_entries_are_forgotten_and_not_counted() {
    let now = Instant::now();
    let mut entries = Entries::default();
    let addrs = ["127.0.0.1:1", "127.0.0.1:2"].map(|addr| addr.parse().unwrap());
    assert!(entries.record_heartbeat(now, addrs[0], &hello(1, vec![(7, 9)])));
    assert!(!entries.record_heartbeat(now, addrs[0], &hello(1, vec![(7, 9)])));
    let later = now + Duration::from_secs(1);
    assert!(entries.record_heartbeat(later, addrs[1], &hello(2, Vec::new())));
    assert_eq!(entries.open_count(), 2);
    assert_eq!(entries.crashes(), [(7, 9)]);
    assert_eq!(entries.expire(now + Duration::from_secs(2)), [addrs[0]]);
    assert_eq!(entries.addrs(), [addrs[1]]);
}

#[test]
fn an_older_revision_or_version_takes_nothing_back() {
    let now = Instant::now();
    let mut orders = PlanState::default();
    assert!(orders.apply_plan(now, plan(5, 2, 0)));
    assert!(!orders.apply_plan(now, plan(4, 3, 0)));
    assert!(!orders.apply_plan(now, plan(6, 1, 0)));
    assert_eq!(named(&orders).last().unwrap().0, 2);
}

#[test]
fn each_version_keeps_a_time_of_its_own() {
    let now = Instant::now();
    let mut orders = PlanState::default();
    orders.apply_plan(now, plan(5, 2, 500));
    let later = now + Duration::from_secs(4);
    orders.apply_plan(later, plan(6, 3, 0));
    let due = |millis| now + Duration::from_millis(millis);
    assert_eq!(named(&orders), [(2, due(7_500)), (3, due(12_000))]);
    let owed = orders.version_ages(later);
    let ages: Vec<_> = owed
        .iter()
        .map(|owed| (owed.version, owed.age_ms))
        .collect();
    assert_eq!(ages, [(2, 4_500), (3, 0)]);
}

#[test]
fn foreign_bytes_are_no_datagram() {
    assert_eq!(decode::<AgentHeartbeat>(&[0xff; 40]), None);
    let hello = hello(3, vec![(1, 2)]);
    assert_eq!(decode(&encode(&hello)), Some(hello));
}
