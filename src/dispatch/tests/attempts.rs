//! What follows the end of an attempt, by what may be repeated.

use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::codes::Code;
use crate::dispatch::*;

fn step_code(step: NextStep) -> Option<Code> {
    match step {
        NextStep::Refuse(refusal) => Some(refusal.code),
        NextStep::Finish | NextStep::Wait => None,
    }
}

#[rstest]
#[case::broken(AttemptOutcome::Broken)]
#[case::silent(AttemptOutcome::Silent)]
#[case::failed(AttemptOutcome::Failed)]
fn work_that_must_not_run_twice_is_sent_once(#[case] end: AttemptOutcome) {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, _) = send(&mut core, now, &request("hold"));
    let step = core.attempt_ended(now, ticket, end);
    assert_ne!(step, NextStep::Wait);
    // Never a promise that it has not run.
    assert_ne!(step_code(step).map(|code| code.status()), Some(503));
    assert!(core.dispatch_waiting(now).is_empty());
}

#[rstest]
#[case::refused(AttemptOutcome::NotRun { is_full: true })]
#[case::other_instance(AttemptOutcome::NotRun { is_full: false })]
#[case::not_sent(AttemptOutcome::NotSent)]
fn work_that_has_not_run_goes_to_another_endpoint(#[case] end: AttemptOutcome) {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, first) = send(&mut core, now, &request("hold"));
    assert_eq!(core.attempt_ended(now, ticket, end), NextStep::Wait);
    match next(&mut core, now, ticket) {
        Some(Decision::Send(lease)) => assert_ne!(lease.endpoint, first.endpoint),
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::safe("look")]
#[case::resumable("chat")]
fn work_that_may_be_repeated_goes_on_elsewhere(#[case] route: &str) {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, first) = send(&mut core, now, &request(route));
    assert_eq!(
        core.attempt_ended(now, ticket, AttemptOutcome::Broken),
        NextStep::Wait
    );
    match next(&mut core, now, ticket) {
        Some(Decision::Send(lease)) => {
            assert_ne!(lease.endpoint, first.endpoint);
            assert_eq!(lease.attempt, 2);
        }
        other => panic!("{other:?}"),
    }
    // Two endpoints are the most for one request.
    let step = core.attempt_ended(now, ticket, AttemptOutcome::Broken);
    assert_eq!(step_code(step), Some(Code::OutcomeUnknown));
}

#[test]
fn a_refusal_after_a_run_promises_nothing() {
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
        code(next(&mut core, late, ticket)),
        Some(Code::OutcomeUnknown)
    );
}

#[test]
fn a_continued_answer_keeps_its_version() {
    let now = Instant::now();
    let mut core = core(now);
    for (host, version) in [(1, 1), (2, 2), (3, 2)] {
        let mut load = load(0);
        load.models = vec![(MODEL.into(), version)];
        core.update_load(now, ip(host), load);
    }
    let (ticket, lease) = loop {
        let (ticket, lease) = send(&mut core, now, &request("chat"));
        if &*lease.endpoint != "e1" {
            break (ticket, lease);
        }
        core.finish(now, ticket);
    };
    core.attempt_started(now, ticket, Some(2));
    assert_eq!(
        core.attempt_ended(now, ticket, AttemptOutcome::Broken),
        NextStep::Wait
    );
    match next(&mut core, now, ticket) {
        Some(Decision::Send(again)) => {
            assert_ne!(again.endpoint, lease.endpoint);
            assert_ne!(&*again.endpoint, "e1");
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_caller_that_left_frees_its_place() {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, lease) = send(&mut core, now, &request("chat"));
    let own = |core: &Dispatcher| {
        let view = core.snapshot(now).endpoints;
        view.iter().find(|e| e.id == lease.endpoint).unwrap().own
    };
    assert_eq!(own(&core), 1);
    core.finish(now, ticket);
    assert_eq!(own(&core), 0);
    assert_eq!(core.snapshot(now).requests, 0);
}

#[test]
fn a_stream_that_has_begun_goes_on_where_a_new_request_would_be_late() {
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
        next(&mut core, now, ticket),
        Some(Decision::Send(_))
    ));
    let fresh = core.admit(now, &request("chat")).unwrap();
    assert_eq!(next(&mut core, now, fresh), None);
}
