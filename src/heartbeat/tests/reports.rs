//! Which entries an agent sends its load to, and when.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::heartbeat;
use crate::heartbeat::*;

fn addr(entry: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], entry))
}

/// Entries 1 and 2, of which the first prefers the endpoint; both know the state at `now`.
fn told_entries(now: Instant) -> Entries {
    let mut entries = Entries::default();
    for entry in [1, 2] {
        let heartbeat = EntryHeartbeat {
            wants_load: entry == 1,
            interval_ms: 1_000,
            ..heartbeat(u64::from(entry), Vec::new())
        };
        assert!(entries.record_heartbeat(now, addr(entry), &heartbeat));
    }
    let told = entries.take_due(now, ChangeCounts::default());
    assert_eq!(told, [addr(1), addr(2)]);
    entries
}

#[rstest]
#[case::nothing(ChangeCounts { urgent: 0, load: 0 }, 50, &[])]
#[case::load(ChangeCounts { urgent: 0, load: 1 }, 50, &[1])]
#[case::urgent(ChangeCounts { urgent: 1, load: 0 }, 50, &[1, 2])]
#[case::nothing_for_long(ChangeCounts { urgent: 0, load: 0 }, 400, &[1])]
#[case::nothing_for_longer(ChangeCounts { urgent: 0, load: 0 }, 1_000, &[1, 2])]
fn each_entry_hears_what_it_needs(
    #[case] changes: ChangeCounts,
    #[case] after_ms: u64,
    #[case] expected: &[u16],
) {
    let now = Instant::now();
    let mut entries = told_entries(now);
    let later = now + Duration::from_millis(after_ms);
    let expected: Vec<_> = expected.iter().copied().map(addr).collect();
    assert_eq!(entries.take_due(later, changes), expected);
    assert_eq!(entries.take_due(later, changes), []);
}

#[test]
fn a_restarted_entry_is_told_at_once() {
    let now = Instant::now();
    let mut entries = told_entries(now);
    assert!(entries.record_heartbeat(now, addr(2), &heartbeat(7, Vec::new())));
    assert_eq!(entries.take_due(now, ChangeCounts::default()), [addr(2)]);
}

/// Guards against an entry that sends rarely, as to a large fleet, and is taken for gone after one lost
/// heartbeat.
#[test]
fn an_entry_is_removed_after_four_of_its_own_intervals() {
    let now = Instant::now();
    let mut entries = told_entries(now);
    assert_eq!(entries.expire(now + Duration::from_millis(3_999)), []);
    let gone = entries.expire(now + Duration::from_millis(4_000));
    assert_eq!(gone, [addr(1), addr(2)]);
}

/// Bounds of the control traffic for any size.
#[rstest]
#[case::small(27)]
#[case::hundreds(300)]
#[case::thousands(5_000)]
fn an_entry_sends_a_bounded_number_of_heartbeats(#[case] agents: usize) {
    let interval = heartbeat_interval(agents);
    assert!(interval >= Duration::from_millis(400) && interval <= Duration::from_secs(1));
    let per_second = agents as f64 / interval.as_secs_f64();
    assert!(per_second <= 250.0_f64.max(agents as f64));
}

#[rstest]
#[case::none_known(0, 40)]
#[case::small(27, 40)]
#[case::hundreds(240, 60)]
#[case::thousands(5_000, 70)]
fn agents_of_large_fleets_poll_less_often(#[case] agents: usize, #[case] expected_ms: u64) {
    assert_eq!(poll_interval(agents), Duration::from_millis(expected_ms));
}

/// The load changes at each poll, every 40 ms, for ten seconds.
#[rstest]
#[case::few_entries(4)]
#[case::hundreds_of_hosts(35)]
#[case::more_entries(200)]
fn an_agent_sends_a_bounded_number_of_load_reports(#[case] count: u16) {
    let now = Instant::now();
    let mut entries = Entries::default();
    for entry in 1..=count {
        let heartbeat = EntryHeartbeat {
            wants_load: true,
            ..heartbeat(1, Vec::new())
        };
        entries.record_heartbeat(now, addr(entry), &heartbeat);
    }
    let polls = (0..250).map(|poll| {
        let at = now + Duration::from_millis(40 * poll);
        entries
            .take_due(
                at,
                ChangeCounts {
                    urgent: 0,
                    load: poll,
                },
            )
            .len()
    });
    let sent: usize = polls.sum();
    // The first report to each entry, then the larger of the load reports and the heartbeats.
    let bound = usize::from(count) + 1_500.max(25 * usize::from(count));
    assert!(sent <= bound, "{sent} reports, bound {bound}");
}
