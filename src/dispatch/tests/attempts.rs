//! What follows the end of an attempt, by what may be repeated.

use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::codes::Code;
use crate::dispatch::*;

fn step_code(step: Step) -> Option<Code> {
    match step {
        Step::Refuse(refusal) => Some(refusal.code),
        Step::Finish | Step::Wait => None,
    }
}

#[rstest]
#[case::broken(End::Broken)]
#[case::silent(End::Silent)]
#[case::failed(End::Failed)]
fn work_that_must_not_run_twice_is_sent_once(#[case] end: End) {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, _) = send(&mut core, now, &request("hold"));
    let step = core.ended(now, ticket, end);
    assert_ne!(step, Step::Wait);
    // Never a promise that it has not run.
    assert_ne!(step_code(step).map(|code| code.status()), Some(503));
    assert!(core.pump(now).is_empty());
}

#[rstest]
#[case::refused(End::NotRun { is_full: true })]
#[case::other_instance(End::NotRun { is_full: false })]
#[case::not_sent(End::NotSent)]
fn work_that_has_not_run_goes_to_another_endpoint(#[case] end: End) {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, first) = send(&mut core, now, &request("hold"));
    assert_eq!(core.ended(now, ticket, end), Step::Wait);
    match next(&mut core, now, ticket) {
        Some(Placing::Send(lease)) => assert_ne!(lease.endpoint, first.endpoint),
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
    assert_eq!(core.ended(now, ticket, End::Broken), Step::Wait);
    match next(&mut core, now, ticket) {
        Some(Placing::Send(lease)) => {
            assert_ne!(lease.endpoint, first.endpoint);
            assert_eq!(lease.attempt, 2);
        }
        other => panic!("{other:?}"),
    }
    // Two endpoints are the most for one request.
    let step = core.ended(now, ticket, End::Broken);
    assert_eq!(step_code(step), Some(Code::OutcomeUnknown));
}

#[test]
fn a_refusal_after_a_run_promises_nothing() {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, _) = send(&mut core, now, &request("look"));
    assert_eq!(core.ended(now, ticket, End::Broken), Step::Wait);
    core.unlist(now, "d1", false);
    core.unlist(now, "d2", false);
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
        core.report(now, ip(host), load);
    }
    let (ticket, lease) = loop {
        let (ticket, lease) = send(&mut core, now, &request("chat"));
        if &*lease.endpoint != "e1" {
            break (ticket, lease);
        }
        core.finish(now, ticket);
    };
    core.started(now, ticket, Some(2));
    assert_eq!(core.ended(now, ticket, End::Broken), Step::Wait);
    match next(&mut core, now, ticket) {
        Some(Placing::Send(again)) => {
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
    core.started(now, ticket, Some(1));
    for host in [1, 2, 3] {
        core.report(now, ip(host), load(20));
    }
    assert_eq!(core.ended(now, ticket, End::Broken), Step::Wait);
    assert!(matches!(
        next(&mut core, now, ticket),
        Some(Placing::Send(_))
    ));
    let fresh = core.admit(now, &request("chat")).unwrap();
    assert_eq!(next(&mut core, now, fresh), None);
}
