//! Endpoint state from the list and from load reports, and its age.

use std::collections::BTreeSet;
use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::dispatch::*;
use crate::types::ChangeTime;

/// Endpoints that 40 requests of the route are sent to.
fn chosen_endpoints(core: &mut Dispatcher, now: Instant, route: &str) -> BTreeSet<String> {
    let mut chosen_endpoints = BTreeSet::new();
    for _ in 0..40 {
        let ticket = core.admit(now, &request(route)).unwrap();
        if let Some(Decision::Send(assignment)) = decide(core, now, ticket) {
            chosen_endpoints.insert(assignment.endpoint.to_string());
        }
        core.finish(now, ticket);
    }
    chosen_endpoints
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn a_leaving_endpoint_gets_no_requests() {
    let now = Instant::now();
    let mut core = core(now);
    let mut leaving = listed("d1", "desk", 11, "north");
    leaving.is_leaving = true;
    core.update_endpoint(now, leaving);
    assert_eq!(chosen_endpoints(&mut core, now, "look"), names(&["d2"]));
}

#[test]
fn an_evacuated_zone_gets_no_requests_until_it_is_readmitted() {
    let now = Instant::now();
    let mut core = core(now);
    core.set_evacuated_zones(["north-a".into()].into());
    assert_eq!(chosen_endpoints(&mut core, now, "chat"), names(&["e3"]));
    core.set_evacuated_zones(BTreeSet::new());
    assert!(chosen_endpoints(&mut core, now, "chat").contains("e1"));
}

#[test]
fn an_engine_without_weights_gets_no_requests() {
    let now = Instant::now();
    let mut core = core(now);
    for host in [1, 2] {
        let mut load = load(0);
        load.models = Vec::new();
        core.update_load(now, ip(host), load);
    }
    assert_eq!(chosen_endpoints(&mut core, now, "chat"), names(&["e3"]));
}

#[test]
fn an_engine_that_is_switching_its_version_gets_no_requests() {
    let now = Instant::now();
    let mut core = core(now);
    let mut load = load(0);
    load.is_switching = true;
    core.update_load(now, ip(1), load);
    assert!(!chosen_endpoints(&mut core, now, "chat").contains("e1"));
}

#[rstest]
#[case::outage(true, 1_600, true)]
#[case::outage_and_still_missing(true, 1_800, false)]
#[case::no_outage(false, 0, false)]
fn an_endpoint_whose_lease_expired_during_a_store_outage_is_used_for_a_grace_period(
    #[case] after_outage: bool,
    #[case] later_ms: u64,
    #[case] is_used: bool,
) {
    let now = Instant::now();
    let mut core = core(now);
    core.remove_endpoint(now, "d1", after_outage);
    let later = now + ms(later_ms);
    let chosen_endpoints = chosen_endpoints(&mut core, later, "look");
    assert_eq!(chosen_endpoints.contains("d1"), is_used);
}

#[test]
fn an_endpoint_that_returns_to_the_list_is_used_again() {
    let now = Instant::now();
    let mut core = core(now);
    core.remove_endpoint(now, "d1", true);
    core.update_endpoint(now, listed("d1", "desk", 11, "north"));
    assert!(chosen_endpoints(&mut core, now + ms(5_000), "look").contains("d1"));
}

#[test]
fn older_versions_start_no_requests_after_the_grace_period_of_a_newer_one() {
    let now = Instant::now();
    let mut core = core(now);
    let mut newer = load(0);
    newer.models = vec![(MODEL.into(), 2)];
    core.update_load(now, ip(3), newer.clone());
    core.set_wanted_version(now, MODEL, 2, ChangeTime::At(now));
    for host in [1, 2] {
        core.update_load(now + ms(6_900), ip(host), load(0));
    }
    assert!(chosen_endpoints(&mut core, now + ms(6_900), "chat").contains("e1"));
    core.update_load(now + ms(7_000), ip(3), newer);
    assert_eq!(
        chosen_endpoints(&mut core, now + ms(7_000), "chat"),
        names(&["e3"])
    );
}

#[test]
fn a_version_wanted_since_before_the_start_counts_as_overdue_until_its_time_is_known() {
    let now = Instant::now();
    let mut core = core(now);
    core.set_wanted_version(now, MODEL, 3, ChangeTime::Unknown);
    assert!(chosen_endpoints(&mut core, now, "chat").is_empty());
    // Agents report that version 2 is overdue and version 3 is not.
    core.set_wanted_version(now, MODEL, 2, ChangeTime::At(now - ms(9_000)));
    core.set_wanted_version(now, MODEL, 3, ChangeTime::At(now));
    assert!(chosen_endpoints(&mut core, now, "chat").is_empty());
    let mut second = load(0);
    second.models = vec![(MODEL.into(), 2)];
    core.update_load(now, ip(2), second);
    assert_eq!(chosen_endpoints(&mut core, now, "chat"), names(&["e2"]));
}

#[test]
fn a_late_report_of_an_earlier_incarnation_is_ignored() {
    let now = Instant::now();
    let mut core = core(now);
    let mut restarted = listed("e1", "engines", 1, "north");
    restarted.incarnation = 5;
    restarted.models = Vec::new();
    core.update_endpoint(now, restarted);
    core.update_load(now, ip(1), load(0));
    assert!(!chosen_endpoints(&mut core, now, "chat").contains("e1"));
}

#[test]
fn a_cold_endpoint_gets_at_most_this_entrys_part_of_the_rate_limit() {
    let now = Instant::now();
    let mut core = core(now);
    core.set_entry_count(now, 4);
    for (id, host) in [("d1", 11), ("d2", 12)] {
        let mut cold = listed(id, "desk", host, "north");
        cold.cold_left = ms(3_000);
        core.update_endpoint(now, cold);
    }
    let mut sent = 0;
    for _ in 0..100 {
        let ticket = core.admit(now, &request("look")).unwrap();
        sent += u32::from(matches!(
            decide(&mut core, now, ticket),
            Some(Decision::Send(_))
        ));
        core.finish(now, ticket);
    }
    // 36 per second and endpoint, over four entries, times two endpoints.
    assert_eq!(sent, 18);
}

#[rstest]
#[case::short(20, 300, true)]
#[case::long(200, 300, false)]
#[case::long_with_time(200, 1_500, true)]
#[case::unknown_length(0, 300, false)]
fn an_engine_about_to_switch_its_version_gets_only_requests_that_end_before(
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
    let decided = decide(&mut core, now, ticket);
    assert_eq!(matches!(decided, Some(Decision::Send(_))), is_sent);
}

#[test]
fn the_list_does_not_override_a_recent_load_report() {
    let now = Instant::now();
    let mut core = core(now);
    let mut emptied = load(0);
    emptied.models = Vec::new();
    core.update_load(now, ip(1), emptied);
    core.update_endpoint(now, listed("e1", "engines", 1, "north"));
    assert!(!chosen_endpoints(&mut core, now, "chat").contains("e1"));
    // Once the report is too old the list applies.
    let later = now + ms(2_000);
    core.update_endpoint(later, listed("e1", "engines", 1, "north"));
    assert!(chosen_endpoints(&mut core, later, "chat").contains("e1"));
}

/// Regression: numbers in a report whose sum overflows ended the task or made the engine look idle.
#[rstest]
#[case::sum(u32::MAX, 1)]
#[case::one_more(u32::MAX, 0)]
fn an_engine_with_an_absurd_load_gets_no_requests(#[case] running: u32, #[case] waiting: u32) {
    let now = Instant::now();
    let mut core = core(now);
    for host in [1, 2] {
        let mut load = load(running);
        load.waiting = waiting;
        core.update_load(now, ip(host), load);
    }
    assert_eq!(chosen_endpoints(&mut core, now, "chat"), names(&["e3"]));
    core.snapshot(now);
}
