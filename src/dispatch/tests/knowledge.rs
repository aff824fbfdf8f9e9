//! What entries know of endpoints, and how old it is.

use std::collections::BTreeSet;
use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::dispatch::*;

/// Endpoints that a request of the route is sent to in many tries.
fn reached(core: &mut Dispatcher, now: Instant, route: &str) -> BTreeSet<String> {
    let mut reached = BTreeSet::new();
    for _ in 0..40 {
        let ticket = core.admit(now, &request(route)).unwrap();
        if let Some(Decision::Send(lease)) = next(core, now, ticket) {
            reached.insert(lease.endpoint.to_string());
        }
        core.finish(now, ticket);
    }
    reached
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn a_leaving_endpoint_gets_nothing_more() {
    let now = Instant::now();
    let mut core = core(now);
    let mut leaving = listed("d1", "desk", 11, "north");
    leaving.is_leaving = true;
    core.update_endpoint(now, leaving);
    assert_eq!(reached(&mut core, now, "look"), names(&["d2"]));
}

#[test]
fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let now = Instant::now();
    let mut core = core(now);
    core.set_evacuated_zones(["north-a".into()].into());
    assert_eq!(reached(&mut core, now, "chat"), names(&["e3"]));
    core.set_evacuated_zones(BTreeSet::new());
    assert!(reached(&mut core, now, "chat").contains("e1"));
}

#[test]
fn an_engine_without_weights_gets_nothing() {
    let now = Instant::now();
    let mut core = core(now);
    for host in [1, 2] {
        let mut load = load(0);
        load.models = Vec::new();
        core.update_load(now, ip(host), load);
    }
    assert_eq!(reached(&mut core, now, "chat"), names(&["e3"]));
}

#[test]
fn an_engine_that_changes_its_version_gets_nothing_meanwhile() {
    let now = Instant::now();
    let mut core = core(now);
    let mut load = load(0);
    load.is_switching = true;
    core.update_load(now, ip(1), load);
    assert!(!reached(&mut core, now, "chat").contains("e1"));
}

#[rstest]
#[case::outage(true, 1_600, true)]
#[case::outage_and_still_missing(true, 1_800, false)]
#[case::no_outage(false, 0, false)]
fn a_lease_that_ran_out_while_the_store_was_away_is_not_an_end(
    #[case] after_outage: bool,
    #[case] later_ms: u64,
    #[case] is_used: bool,
) {
    let now = Instant::now();
    let mut core = core(now);
    core.remove_endpoint(now, "d1", after_outage);
    let later = now + ms(later_ms);
    let reached = reached(&mut core, later, "look");
    assert_eq!(reached.contains("d1"), is_used);
}

#[test]
fn an_endpoint_that_comes_back_to_the_list_is_used_again() {
    let now = Instant::now();
    let mut core = core(now);
    core.remove_endpoint(now, "d1", true);
    core.update_endpoint(now, listed("d1", "desk", 11, "north"));
    assert!(reached(&mut core, now + ms(5_000), "look").contains("d1"));
}

#[test]
fn older_versions_begin_nothing_once_the_time_for_a_newer_is_over() {
    let now = Instant::now();
    let mut core = core(now);
    let mut newer = load(0);
    newer.models = vec![(MODEL.into(), 2)];
    core.update_load(now, ip(3), newer.clone());
    core.announce_version(MODEL, 2, Some(now));
    assert!(reached(&mut core, now + ms(6_900), "chat").contains("e1"));
    core.update_load(now + ms(7_000), ip(3), newer);
    assert_eq!(reached(&mut core, now + ms(7_000), "chat"), names(&["e3"]));
}

#[test]
fn a_version_from_before_the_start_counts_as_overdue_until_an_agent_tells_its_time() {
    let now = Instant::now();
    let mut core = core(now);
    core.announce_version(MODEL, 3, None);
    assert!(reached(&mut core, now, "chat").is_empty());
    // Agents know that version 2 is overdue and version 3 is not.
    core.announce_version(MODEL, 2, now.checked_sub(ms(9_000)));
    core.announce_version(MODEL, 3, Some(now));
    assert!(reached(&mut core, now, "chat").is_empty());
    let mut second = load(0);
    second.models = vec![(MODEL.into(), 2)];
    core.update_load(now, ip(2), second);
    assert_eq!(reached(&mut core, now, "chat"), names(&["e2"]));
}

#[test]
fn a_late_report_of_an_earlier_life_is_not_believed() {
    let now = Instant::now();
    let mut core = core(now);
    let mut reborn = listed("e1", "engines", 1, "north");
    reborn.incarnation = 5;
    reborn.models = Vec::new();
    core.update_endpoint(now, reborn);
    core.update_load(now, ip(1), load(0));
    assert!(!reached(&mut core, now, "chat").contains("e1"));
}

#[test]
fn a_cold_endpoint_gets_no_more_than_its_part_of_the_bound() {
    let now = Instant::now();
    let mut core = core(now);
    core.set_entry_count(4);
    for (id, host) in [("d1", 11), ("d2", 12)] {
        let mut cold = listed(id, "desk", host, "north");
        cold.cold_left = ms(3_000);
        core.update_endpoint(now, cold);
    }
    let mut sent = 0;
    for _ in 0..100 {
        let ticket = core.admit(now, &request("look")).unwrap();
        sent += u32::from(matches!(
            next(&mut core, now, ticket),
            Some(Decision::Send(_))
        ));
        core.finish(now, ticket);
    }
    // 36 a second and endpoint, for four entries and two endpoints.
    assert_eq!(sent, 18);
}

#[rstest]
#[case::short(20, 300, true)]
#[case::long(200, 300, false)]
#[case::long_with_time(200, 1_500, true)]
#[case::unknown_length(0, 300, false)]
fn an_engine_about_to_change_its_version_gets_only_what_ends_before(
    #[case] answer: u32,
    #[case] left_ms: u64,
    #[case] is_sent: bool,
) {
    let now = Instant::now();
    let mut core = core(now);
    for host in [1, 2, 3] {
        let mut load = load(0);
        load.switch_in = Some(ms(left_ms));
        core.update_load(now, ip(host), load);
    }
    let req = CallerRequest {
        answer_tokens: (answer > 0).then_some(answer),
        ..request("chat")
    };
    let ticket = core.admit(now, &req).unwrap();
    let placed = next(&mut core, now, ticket);
    assert_eq!(matches!(placed, Some(Decision::Send(_))), is_sent);
}

#[test]
fn a_list_that_lags_takes_nothing_back_that_an_agent_has_reported() {
    let now = Instant::now();
    let mut core = core(now);
    let mut emptied = load(0);
    emptied.models = Vec::new();
    core.update_load(now, ip(1), emptied);
    core.update_endpoint(now, listed("e1", "engines", 1, "north"));
    assert!(!reached(&mut core, now, "chat").contains("e1"));
    // Without an agent's report the list is all there is.
    let later = now + ms(2_000);
    core.update_endpoint(later, listed("e1", "engines", 1, "north"));
    assert!(reached(&mut core, later, "chat").contains("e1"));
}
