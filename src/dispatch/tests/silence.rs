//! Silent attempts, and the second attempt beside one.

use std::sync::Arc;
use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::codes::Code;
use crate::delivery::RetryDenied;
use crate::dispatch::*;
use crate::types::EndpointId;

/// Number of requests of the entry at an endpoint.
fn own(core: &Dispatcher, now: Instant, id: &EndpointId) -> u32 {
    let view = core.snapshot(now).endpoints;
    view.iter().find(|e| e.id == *id).unwrap().own
}

/// A stream that has started, and its silent attempt.
fn silent_stream(core: &mut Dispatcher, now: Instant) -> (TicketId, Assignment) {
    let (ticket, first) = send(core, now, &request("chat"));
    core.attempt_started(now, ticket, Some(1));
    assert_eq!(core.attempt_silent(now, ticket), Ok(()));
    (ticket, first)
}

/// A stream with a silent attempt and a second one, which are returned in this order.
fn raced_stream(core: &mut Dispatcher, now: Instant) -> (TicketId, Assignment, Assignment) {
    let (ticket, first) = silent_stream(core, now);
    match decide(core, now, ticket) {
        Some(Decision::Send(second)) => (ticket, first, second),
        other => panic!("{other:?}"),
    }
}

/// Guards against streams that are cut because a silent endpoint was left and no other one was free.
#[rstest]
#[case::no_endpoint_of_the_version(|core: &mut Dispatcher, now| {
    for host in [1, 2, 3] {
        let models = vec![(MODEL.into(), 2)];
        core.update_load(now, ip(host), EndpointLoad { models, ..load(0) });
    }
})]
#[case::no_other_endpoint(|core: &mut Dispatcher, now| {
    for id in ["e1", "e2", "e3"] {
        core.remove_endpoint(now, id, false);
    }
})]
#[case::no_room(|core: &mut Dispatcher, now| {
    for host in [1, 2, 3] {
        core.update_load(now, ip(host), load(500));
    }
})]
#[case::no_route_any_more(|core: &mut Dispatcher, _| {
    core.set_configuration(Arc::new(configuration(2, Vec::new())));
    for id in ["e1", "e2", "e3"] {
        core.remove_endpoint(Instant::now(), id, false);
    }
})]
fn a_silent_attempt_goes_on_when_no_other_endpoint_can_be_tried(
    #[case] change: fn(&mut Dispatcher, Instant),
) {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, first) = send(&mut core, now, &request("chat"));
    core.attempt_started(now, ticket, Some(1));
    change(&mut core, now);
    assert_eq!(core.attempt_silent(now, ticket), Ok(()));
    let late = now + ms(600);
    let decision = decide(&mut core, late, ticket);
    assert!(
        matches!(decision, Some(Decision::KeepSilent(..))),
        "{decision:?}"
    );
    assert_eq!(core.snapshot(late).requests, 1);
    // Its events go on, and it ends as any other.
    let step = core.attempt_ended(late, ticket, AttemptOutcome::Answered);
    assert_eq!(step, NextStep::Finish);
    let left = core.snapshot(late);
    assert_eq!((left.requests, left.waiting), (0, 0));
    assert!(left.endpoints.iter().all(|e| e.own == 0), "{first:?}");
}

/// Guards against a second attempt where the rules of a retry forbid it.
#[rstest]
#[case::must_not_run_twice("hold", 1, RetryDenied::MayHaveRun)]
#[case::attempts_exhausted("chat", 2, RetryDenied::Exhausted)]
#[case::deadline_passed("chat", 1, RetryDenied::DeadlinePassed)]
fn a_second_attempt_follows_the_rules_of_a_retry(
    #[case] route: &str,
    #[case] attempts: u32,
    #[case] denied: RetryDenied,
) {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, _) = send(&mut core, now, &request(route));
    if attempts == 2 {
        core.attempt_ended(now, ticket, AttemptOutcome::Broken);
        assert!(matches!(
            decide(&mut core, now, ticket),
            Some(Decision::Send(_))
        ));
    }
    let at = match denied {
        RetryDenied::DeadlinePassed => now + ms(6_000),
        _ => now + ms(1_000),
    };
    assert_eq!(core.attempt_silent(at, ticket), Err(denied));
    assert!(core.dispatch_waiting(at).is_empty());
    let step = core.attempt_ended(at, ticket, AttemptOutcome::Answered);
    assert_eq!(step, NextStep::Finish);
}

/// Guards against attempts that are not counted at their endpoints, or counted twice.
#[test]
fn both_attempts_take_a_place_and_the_one_that_goes_on_keeps_it() {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, first, second) = raced_stream(&mut core, now);
    assert_ne!(first.endpoint, second.endpoint);
    assert_eq!(second.attempt, 2);
    let places = |core: &Dispatcher| {
        (
            own(core, now, &first.endpoint),
            own(core, now, &second.endpoint),
        )
    };
    assert_eq!(places(&core), (1, 1));
    core.silent_attempt_resumed(now, ticket);
    assert_eq!(places(&core), (1, 0));
    // Both attempts count: the route allows two.
    assert_eq!(
        core.attempt_silent(now, ticket),
        Err(RetryDenied::Exhausted)
    );
    core.attempt_ended(now, ticket, AttemptOutcome::Answered);
    assert_eq!(places(&core), (0, 0));
}

#[test]
fn the_second_attempt_wins_and_the_silent_one_is_superseded() {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, first, second) = raced_stream(&mut core, now);
    core.attempt_started(now, ticket, Some(1));
    assert!(core.silent_attempt_ended(now, ticket, AttemptOutcome::Superseded));
    assert_eq!(own(&core, now, &first.endpoint), 0);
    assert_eq!(own(&core, now, &second.endpoint), 1);
    assert!(!core.silent_attempt_ended(now, ticket, AttemptOutcome::Superseded));
}

/// Guards against requests that end with one of two attempts.
#[rstest]
#[case::broken(AttemptOutcome::Broken)]
#[case::failed(AttemptOutcome::Failed)]
#[case::not_run(AttemptOutcome::NotRun { is_full: true })]
fn a_second_attempt_that_fails_leaves_the_silent_one(#[case] outcome: AttemptOutcome) {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, first, _) = raced_stream(&mut core, now);
    // The route allows two attempts.
    let step = core.attempt_ended(now, ticket, outcome);
    assert_eq!(step, NextStep::KeepSilent);
    assert_eq!(own(&core, now, &first.endpoint), 1);
    assert_eq!(core.snapshot(now).requests, 1);
}

#[test]
fn a_silent_attempt_that_breaks_leaves_the_second_one() {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, _, second) = raced_stream(&mut core, now);
    assert!(core.silent_attempt_ended(now, ticket, AttemptOutcome::Broken));
    assert_eq!(own(&core, now, &second.endpoint), 1);
    let step = core.attempt_ended(now, ticket, AttemptOutcome::Answered);
    assert_eq!(step, NextStep::Finish);
}

/// Guards against a request without any attempt that goes on for ever.
#[test]
fn a_request_whose_silent_attempt_breaks_while_it_waits_is_refused_in_time() {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, _) = silent_stream(&mut core, now);
    for id in ["e1", "e2", "e3"] {
        core.remove_endpoint(now, id, false);
    }
    assert!(core.silent_attempt_ended(now, ticket, AttemptOutcome::Broken));
    assert_eq!(decide(&mut core, now, ticket), None);
    assert_eq!(
        refusal_code(decide(&mut core, now + ms(600), ticket)),
        Some(Code::OutcomeUnknown)
    );
}

#[test]
fn a_silent_attempt_that_goes_on_ends_the_wait_for_another() {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, first) = silent_stream(&mut core, now);
    core.silent_attempt_resumed(now, ticket);
    assert_eq!(decide(&mut core, now, ticket), None);
    assert_eq!(core.snapshot(now).waiting, 0);
    assert_eq!(own(&core, now, &first.endpoint), 1);
    // The retry that was not sent is allowed again.
    assert_eq!(core.attempt_silent(now, ticket), Ok(()));
}

#[test]
fn a_caller_that_leaves_frees_both_places() {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, first, second) = raced_stream(&mut core, now);
    let departure = core.finish(now, ticket).unwrap();
    let endpoints: Vec<_> = departure.open.into_iter().map(|(id, _)| id).collect();
    assert_eq!(endpoints, [second.endpoint, first.endpoint]);
    let left = core.snapshot(now);
    assert!(left.endpoints.iter().all(|e| e.own == 0));
    assert_eq!((left.requests, left.waiting), (0, 0));
}

/// Guards against callers that leave a dead endpoint, whose work goes on when it wakes, although others
/// could have answered in time.
#[test]
fn a_second_attempt_is_sent_at_a_load_that_delays_new_requests() {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, first) = send(&mut core, now, &request("chat"));
    for host in [1, 2, 3] {
        core.update_load(now, ip(host), load(20));
    }
    assert_eq!(core.attempt_silent(now, ticket), Ok(()));
    match decide(&mut core, now, ticket) {
        Some(Decision::Send(second)) => assert_ne!(second.endpoint, first.endpoint),
        other => panic!("{other:?}"),
    }
    let fresh = core.admit(now, &request("chat")).unwrap();
    assert_eq!(decide(&mut core, now, fresh), None);
}

/// Guards against endpoints that count as slow for long because they were silent once.
#[rstest]
#[case::stream("chat", &["e2", "e3"])]
#[case::whole_answer("look", &["d2"])]
fn a_silence_changes_no_prediction(#[case] route: &str, #[case] others: &[&str]) {
    let now = Instant::now();
    let mut core = core(now);
    for id in others {
        core.remove_endpoint(now, id, false);
    }
    let (ticket, first) = send(&mut core, now, &request(route));
    assert_eq!(core.attempt_silent(now, ticket), Ok(()));
    core.silent_attempt_resumed(now, ticket);
    let late = now + ms(3_000);
    core.attempt_started(late, ticket, Some(1));
    core.attempt_ended(late, ticket, AttemptOutcome::Answered);
    let (_, next) = send(&mut core, late, &request(route));
    assert_eq!(next.predicted, first.predicted);
}

/// Guards against new requests at an endpoint that is silent.
#[test]
fn a_silent_endpoint_rests_and_the_retry_budget_pays_for_the_second_attempt() {
    let now = Instant::now();
    let mut core = core_with_one_retry(now);
    let (ticket, first, _) = raced_stream(&mut core, now);
    for _ in 0..8 {
        let (_, other) = send(&mut core, now, &request("chat"));
        assert_ne!(other.endpoint, first.endpoint);
    }
    core.silent_attempt_resumed(now, ticket);
    let (next, _) = send(&mut core, now, &request("chat"));
    assert_eq!(core.attempt_silent(now, next), Err(RetryDenied::OverBudget));
}

/// Guards against streams that are continued at an engine that stands still too: its last load report, 0.9 s old,
/// shows free places for as long as the others are full.
#[rstest]
#[case::before_its_first_event(false)]
#[case::in_the_stream(true)]
fn a_silent_stream_goes_on_at_an_engine_that_still_reports(#[case] has_started: bool) {
    let start = Instant::now();
    let mut core = core(start);
    for (host, running) in [(1, 14), (2, 0), (3, 14)] {
        core.update_load(start, ip(host), load(running));
    }
    let (ticket, first) = send(&mut core, start, &request("chat"));
    assert_eq!(&*first.endpoint, "e2");
    if has_started {
        core.attempt_started(start + ms(20), ticket, Some(1));
    }
    for step in 1..=9 {
        core.update_load(start + ms(100) * step, ip(3), load(16));
    }
    let now = start + ms(900);
    assert_eq!(core.attempt_silent(now, ticket), Ok(()));
    match decide(&mut core, now, ticket) {
        Some(Decision::Send(second)) => assert_eq!(&*second.endpoint, "e3"),
        other => panic!("{other:?}"),
    }
}
