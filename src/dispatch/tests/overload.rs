//! More requests than the engines can carry: who is sent, who waits, who is refused.

use std::time::{Duration, Instant};

use rstest::rstest;

use super::fixture::*;
use crate::codes::Code;
use crate::dispatch::*;

fn full(core: &mut Dispatcher, now: Instant, running: u32) {
    for host in [1, 2, 3] {
        core.update_load(now, ip(host), load(running));
    }
}

#[test]
fn a_request_that_would_start_late_is_refused_while_its_caller_still_waits() {
    let now = Instant::now();
    let mut core = core(now);
    full(&mut core, now, 24);
    let ticket = core.admit(now, &request("chat")).unwrap();
    assert_eq!(next(&mut core, now, ticket), None);
    assert_eq!(core.next_wakeup(), Some(now + ms(200)));
    match next(&mut core, now + ms(200), ticket) {
        Some(Decision::Refuse(refusal, grounds)) => {
            assert_eq!((grounds.configuration, grounds.eligible), (1, 3));
            assert!(grounds.earliest_start > grounds.start_budget);
            assert_eq!(refusal.code, Code::DeadlineUnreachable);
            assert!(refusal.retry_after.is_some());
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_place_that_becomes_free_in_time_goes_to_the_one_that_waits() {
    let now = Instant::now();
    let mut core = core(now);
    full(&mut core, now, 24);
    let ticket = core.admit(now, &request("chat")).unwrap();
    assert_eq!(next(&mut core, now, ticket), None);
    let later = now + ms(30);
    core.update_load(later, ip(2), load(12));
    assert!(matches!(
        next(&mut core, later, ticket),
        Some(Decision::Send(_))
    ));
}

#[test]
fn nothing_is_refused_while_half_of_the_places_are_free() {
    let now = Instant::now();
    let mut core = core(now);
    full(&mut core, now, 7);
    let huge = CallerRequest {
        prompt_tokens: 30_000,
        ..request("chat")
    };
    send(&mut core, now, &huge);
}

/// Refuses a request, so that its caller comes back.
fn refused(core: &mut Dispatcher, now: Instant, req: &CallerRequest) {
    let ticket = core.admit(now, req).unwrap();
    assert_eq!(next(core, now, ticket), None);
    assert!(code(next(core, now + ms(200), ticket)).is_some());
}

#[test]
fn a_caller_that_came_back_does_not_take_the_place_of_one_that_can_be_on_time() {
    let now = Instant::now();
    let mut core = core(now);
    full(&mut core, now, 24);
    let back = CallerRequest {
        fingerprint: 100,
        ..request("chat")
    };
    refused(&mut core, now, &back);
    let now = now + ms(1_000);
    full(&mut core, now, 24);
    let returned = core.admit(now, &back).unwrap();
    let fresh = core.admit(now, &request("chat")).unwrap();
    assert!(core.dispatch_waiting(now).is_empty());
    let later = now + ms(10);
    core.update_load(later, ip(2), load(17));
    let placed = core.dispatch_waiting(later);
    assert_eq!(placed.first().map(|(id, _)| *id), Some(fresh));
    assert_eq!(next(&mut core, now + ms(100), returned), None);
    assert!(code(next(&mut core, now + ms(201), returned)).is_some());
}

#[rstest]
#[case::less_patience(ms(5_200))]
#[case::the_same_patience(ms(6_000))]
fn patience_does_not_tell_a_first_attempt_from_a_second(#[case] patience: Duration) {
    let now = Instant::now();
    let mut core = core(now);
    send(&mut core, now, &request("chat"));
    full(&mut core, now, 24);
    let other = CallerRequest {
        timeout: Some(patience),
        ..request("chat")
    };
    let first = core.admit(now, &other).unwrap();
    let second = core.admit(now + ms(1), &request("chat")).unwrap();
    core.update_load(now + ms(10), ip(2), load(15));
    let placed: Vec<TicketId> = core
        .dispatch_waiting(now + ms(10))
        .iter()
        .map(|p| p.0)
        .collect();
    assert_eq!(placed.first(), Some(&first), "{second} came later");
}

#[test]
fn a_refusal_is_forgotten_when_its_caller_stays_away() {
    let now = Instant::now();
    let mut core = core(now);
    full(&mut core, now, 24);
    refused(&mut core, now, &request("chat"));
    let now = now + ms(3_300);
    full(&mut core, now, 24);
    let late = core.admit(now, &request("chat")).unwrap();
    let other = CallerRequest {
        fingerprint: 100,
        ..request("chat")
    };
    core.admit(now + ms(1), &other).unwrap();
    core.update_load(now + ms(10), ip(2), load(15));
    let placed: Vec<TicketId> = core
        .dispatch_waiting(now + ms(10))
        .iter()
        .map(|p| p.0)
        .collect();
    assert_eq!(placed.first(), Some(&late));
}

#[rstest]
#[case::one_entry(1)]
#[case::four_entries(4)]
#[case::sixteen_entries(16)]
fn without_reports_an_entry_takes_its_own_part_of_the_places(#[case] entries: u32) {
    let now = Instant::now();
    let mut core = core(now);
    core.set_entry_count(entries);
    let mut sent = 0;
    for _ in 0..200 {
        let ticket = core.admit(now, &request("chat")).unwrap();
        sent += u32::from(matches!(
            next(&mut core, now, ticket),
            Some(Decision::Send(_))
        ));
    }
    // Three engines bear 16 each, and a queue that still starts in time.
    let most = 3 * 22 / entries + 3;
    assert!(sent <= most, "{sent} of {most}");
    assert!(sent >= 3 * 8 / entries, "{sent}");
}

#[test]
fn work_goes_to_the_engine_that_starts_it_first() {
    let now = Instant::now();
    let mut core = core(now);
    for (host, running) in [(1, 20), (2, 4), (3, 20)] {
        core.update_load(now, ip(host), load(running));
    }
    let (_, lease) = send(&mut core, now, &request("chat"));
    assert_eq!(&*lease.endpoint, "e2");
    let mut slow = load(0);
    slow.slowdown = 5.0;
    core.update_load(now, ip(1), slow);
    for _ in 0..10 {
        let (ticket, lease) = send(&mut core, now, &request("chat"));
        assert_eq!(&*lease.endpoint, "e2");
        core.finish(now, ticket);
    }
}

#[test]
fn an_endpoint_that_fails_gets_less_and_is_tried_again() {
    let now = Instant::now();
    let mut core = core(now);
    let first = loop {
        let (ticket, lease) = send(&mut core, now, &request("look"));
        core.attempt_ended(now, ticket, AttemptOutcome::Broken);
        core.finish(now, ticket);
        if &*lease.endpoint == "d1" {
            break lease.endpoint;
        }
        core.update_endpoint(now, listed("d2", "desk", 12, "north"));
    };
    let soon = now + ms(100);
    for _ in 0..10 {
        let (ticket, lease) = send(&mut core, soon + ms(900), &request("look"));
        assert_eq!(&*lease.endpoint, "d2", "after {first} failed");
        core.attempt_ended(soon + ms(900), ticket, AttemptOutcome::Answered);
    }
}
