//! What follows an attempt, by whether the request may be repeated.

use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::codes::Code;
use crate::dispatch::*;

fn step_code(step: NextStep) -> Option<Code> {
    match step {
        NextStep::Refuse(refusal) => Some(refusal.code),
        NextStep::Finish | NextStep::Wait | NextStep::KeepSilent => None,
    }
}

#[rstest]
#[case::broken(AttemptOutcome::Broken)]
#[case::silent(AttemptOutcome::Silent)]
#[case::failed(AttemptOutcome::Failed)]
fn a_request_that_must_not_run_twice_is_sent_once(#[case] end: AttemptOutcome) {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, _) = send(&mut core, now, &request("hold"));
    let step = core.attempt_ended(now, ticket, end);
    assert_ne!(step, NextStep::Wait);
    // Status 503 would claim that the request has not run.
    assert_ne!(step_code(step).map(|code| code.status()), Some(503));
    assert!(core.dispatch_waiting(now).is_empty());
}

#[rstest]
#[case::refused(AttemptOutcome::NotRun { is_full: true })]
#[case::other_instance(AttemptOutcome::NotRun { is_full: false })]
#[case::not_sent(AttemptOutcome::NotSent)]
fn a_request_that_has_not_run_is_sent_to_another_endpoint(#[case] end: AttemptOutcome) {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, first) = send(&mut core, now, &request("hold"));
    assert_eq!(core.attempt_ended(now, ticket, end), NextStep::Wait);
    match decide(&mut core, now, ticket) {
        Some(Decision::Send(assignment)) => assert_ne!(assignment.endpoint, first.endpoint),
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::safe("look")]
#[case::resumable("chat")]
fn a_repeatable_request_is_sent_to_another_endpoint(#[case] route: &str) {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, first) = send(&mut core, now, &request(route));
    assert_eq!(
        core.attempt_ended(now, ticket, AttemptOutcome::Broken),
        NextStep::Wait
    );
    match decide(&mut core, now, ticket) {
        Some(Decision::Send(assignment)) => {
            assert_ne!(assignment.endpoint, first.endpoint);
            assert_eq!(assignment.attempt, 2);
        }
        other => panic!("{other:?}"),
    }
    // The routes allow two attempts.
    let step = core.attempt_ended(now, ticket, AttemptOutcome::Broken);
    assert_eq!(step_code(step), Some(Code::OutcomeUnknown));
}

#[test]
fn a_refusal_after_a_possible_run_reports_an_unknown_outcome() {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, _) = send(&mut core, now, &request("look"));
    assert_eq!(
        core.attempt_ended(now, ticket, AttemptOutcome::Broken),
        NextStep::Wait
    );
    core.remove_endpoint(now, "d1", false);
    core.remove_endpoint(now, "d2", false);
    let late = now + ms(300);
    assert_eq!(
        refusal_code(decide(&mut core, late, ticket)),
        Some(Code::OutcomeUnknown)
    );
}

#[test]
fn a_resumed_stream_keeps_its_version() {
    let now = Instant::now();
    let mut core = core(now);
    for (host, version) in [(1, 1), (2, 2), (3, 2)] {
        let mut load = load(0);
        load.models = vec![(MODEL.into(), version)];
        core.update_load(now, ip(host), load);
    }
    let (ticket, assignment) = loop {
        let (ticket, assignment) = send(&mut core, now, &request("chat"));
        if &*assignment.endpoint != "e1" {
            break (ticket, assignment);
        }
        core.finish(now, ticket);
    };
    core.attempt_started(now, ticket, Some(2));
    assert_eq!(
        core.attempt_ended(now, ticket, AttemptOutcome::Broken),
        NextStep::Wait
    );
    match decide(&mut core, now, ticket) {
        Some(Decision::Send(resumed)) => {
            assert_ne!(resumed.endpoint, assignment.endpoint);
            assert_ne!(&*resumed.endpoint, "e1");
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_caller_that_left_frees_its_slot() {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, assignment) = send(&mut core, now, &request("chat"));
    let own = |core: &Dispatcher| {
        let view = core.snapshot(now).endpoints;
        view.iter()
            .find(|e| e.id == assignment.endpoint)
            .unwrap()
            .own
    };
    assert_eq!(own(&core), 1);
    core.finish(now, ticket);
    assert_eq!(own(&core), 0);
    assert_eq!(core.snapshot(now).requests, 0);
}

#[test]
fn a_started_stream_is_resumed_at_a_load_that_delays_new_requests() {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, _) = send(&mut core, now, &request("chat"));
    core.attempt_started(now, ticket, Some(1));
    for host in [1, 2, 3] {
        core.update_load(now, ip(host), load(20));
    }
    assert_eq!(
        core.attempt_ended(now, ticket, AttemptOutcome::Broken),
        NextStep::Wait
    );
    assert!(matches!(
        decide(&mut core, now, ticket),
        Some(Decision::Send(_))
    ));
    let fresh = core.admit(now, &request("chat")).unwrap();
    assert_eq!(decide(&mut core, now, fresh), None);
}
