//! Overload: which requests are sent, wait or are refused when engines are at capacity.

use std::time::{Duration, Instant};

use rstest::rstest;

use super::fixture::*;
use crate::codes::Code;
use crate::dispatch::*;

/// Reports `running` requests at each engine.
fn report_running(core: &mut Dispatcher, now: Instant, running: u32) {
    for host in [1, 2, 3] {
        core.update_load(now, ip(host), load(running));
    }
}

#[test]
fn a_request_that_would_start_late_is_refused_after_half_of_its_goal() {
    let now = Instant::now();
    let mut core = core(now);
    report_running(&mut core, now, 24);
    let ticket = core.admit(now, &request("chat")).unwrap();
    assert_eq!(decide(&mut core, now, ticket), None);
    assert_eq!(core.next_wakeup(), Some(now + ms(200)));
    match decide(&mut core, now + ms(200), ticket) {
        Some(Decision::Refuse(refusal, inputs)) => {
            assert_eq!((inputs.configuration, inputs.eligible), (1, 3));
            assert!(inputs.predicted_start > inputs.start_budget);
            assert_eq!(refusal.code, Code::DeadlineUnreachable);
            assert!(refusal.retry_after.is_some());
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_slot_that_becomes_free_in_time_goes_to_a_waiting_request() {
    let now = Instant::now();
    let mut core = core(now);
    report_running(&mut core, now, 24);
    let ticket = core.admit(now, &request("chat")).unwrap();
    assert_eq!(decide(&mut core, now, ticket), None);
    let later = now + ms(30);
    core.update_load(later, ip(2), load(12));
    assert!(matches!(
        decide(&mut core, later, ticket),
        Some(Decision::Send(_))
    ));
}

#[test]
fn no_request_is_refused_while_half_of_the_slots_are_free() {
    let now = Instant::now();
    let mut core = core(now);
    report_running(&mut core, now, 7);
    let huge = CallerRequest {
        prompt_tokens: 30_000,
        ..request("chat")
    };
    send(&mut core, now, &huge);
}

/// Lets a request be refused, so that its next admission is a retry.
fn refuse(core: &mut Dispatcher, now: Instant, req: &CallerRequest) {
    let ticket = core.admit(now, req).unwrap();
    assert_eq!(decide(core, now, ticket), None);
    assert!(refusal_code(decide(core, now + ms(200), ticket)).is_some());
}

#[test]
fn a_retry_after_a_refusal_comes_after_a_first_attempt() {
    let now = Instant::now();
    let mut core = core(now);
    core.set_entry_count(now, 1);
    report_running(&mut core, now, 24);
    let refused = CallerRequest {
        fingerprint: 100,
        ..request("chat")
    };
    refuse(&mut core, now, &refused);
    let now = now + ms(1_000);
    report_running(&mut core, now, 24);
    let returned = core.admit(now, &refused).unwrap();
    let fresh = core.admit(now, &request("chat")).unwrap();
    assert!(core.dispatch_waiting(now).is_empty());
    let later = now + ms(10);
    core.update_load(later, ip(2), load(17));
    let decided = core.dispatch_waiting(later);
    assert_eq!(decided.first().map(|(id, _)| *id), Some(fresh));
    assert_eq!(decide(&mut core, now + ms(100), returned), None);
    assert!(refusal_code(decide(&mut core, now + ms(201), returned)).is_some());
}

#[rstest]
#[case::shorter_timeout(ms(5_200))]
#[case::same_timeout(ms(6_000))]
fn the_timeout_does_not_mark_a_request_as_a_retry(#[case] timeout: Duration) {
    let now = Instant::now();
    let mut core = core(now);
    core.set_entry_count(now, 1);
    send(&mut core, now, &request("chat"));
    report_running(&mut core, now, 24);
    let other = CallerRequest {
        timeout: Some(timeout),
        ..request("chat")
    };
    let first = core.admit(now, &other).unwrap();
    let second = core.admit(now + ms(1), &request("chat")).unwrap();
    core.update_load(now + ms(10), ip(2), load(15));
    let decided: Vec<TicketId> = core
        .dispatch_waiting(now + ms(10))
        .iter()
        .map(|p| p.0)
        .collect();
    assert_eq!(decided.first(), Some(&first), "{second} was admitted later");
}

#[test]
fn a_refusal_is_forgotten_after_a_while() {
    let now = Instant::now();
    let mut core = core(now);
    core.set_entry_count(now, 1);
    report_running(&mut core, now, 24);
    refuse(&mut core, now, &request("chat"));
    let now = now + ms(3_300);
    report_running(&mut core, now, 24);
    let late = core.admit(now, &request("chat")).unwrap();
    let other = CallerRequest {
        fingerprint: 100,
        ..request("chat")
    };
    core.admit(now + ms(1), &other).unwrap();
    core.update_load(now + ms(10), ip(2), load(15));
    let decided: Vec<TicketId> = core
        .dispatch_waiting(now + ms(10))
        .iter()
        .map(|p| p.0)
        .collect();
    assert_eq!(decided.first(), Some(&late));
}

#[rstest]
#[case::one_entry(1)]
#[case::four_entries(4)]
#[case::sixteen_entries(16)]
fn without_reports_an_entry_uses_its_part_of_the_slots(#[case] entries: u32) {
    let now = Instant::now();
    let mut core = core(now);
    core.set_entry_count(now, entries);
    let mut sent = 0;
    for _ in 0..200 {
        let ticket = core.admit(now, &request("chat")).unwrap();
        sent += u32::from(matches!(
            decide(&mut core, now, ticket),
            Some(Decision::Send(_))
        ));
    }
    // Three engines with 16 slots each, and a few queued requests that still start in time.
    let most = 3 * 22 / entries + 3;
    assert!(sent <= most, "{sent} of {most}");
    assert!(sent >= 3 * 8 / entries, "{sent}");
}

#[test]
fn requests_go_to_the_engine_that_starts_them_first() {
    let now = Instant::now();
    let mut core = core(now);
    for (host, running) in [(1, 20), (2, 4), (3, 20)] {
        core.update_load(now, ip(host), load(running));
    }
    let (_, assignment) = send(&mut core, now, &request("chat"));
    assert_eq!(&*assignment.endpoint, "e2");
    let mut slow = load(0);
    slow.slowdown = 5.0;
    core.update_load(now, ip(1), slow);
    for _ in 0..10 {
        let (ticket, assignment) = send(&mut core, now, &request("chat"));
        assert_eq!(&*assignment.endpoint, "e2");
        core.finish(now, ticket);
    }
}

#[test]
fn an_endpoint_that_failed_is_avoided() {
    let now = Instant::now();
    let mut core = core(now);
    let first = loop {
        let (ticket, assignment) = send(&mut core, now, &request("look"));
        core.attempt_ended(now, ticket, AttemptOutcome::Broken);
        core.finish(now, ticket);
        if &*assignment.endpoint == "d1" {
            break assignment.endpoint;
        }
        core.update_endpoint(now, listed("d2", "desk", 12, "north"));
    };
    let soon = now + ms(100);
    for _ in 0..10 {
        let (ticket, assignment) = send(&mut core, soon + ms(900), &request("look"));
        assert_eq!(&*assignment.endpoint, "d2", "after {first} failed");
        core.attempt_ended(soon + ms(900), ticket, AttemptOutcome::Answered);
    }
}
