//! Planned stop of the entry.

use std::sync::Arc;
use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::codes::{Code, RunState};
use crate::dispatch::work_times::WorkTimes;
use crate::dispatch::*;

/// Number of answers from which it is known how long requests of a route take.
const KNOWN_ANSWERS: usize = 8;
/// Longest Retry-After of a stopping entry.
const MAX_RETRY_AFTER: std::time::Duration = ms(250);

/// Has requests of a route answered after `took`; returns the time at the end.
fn answer(
    core: &mut Dispatcher,
    mut now: Instant,
    route: &str,
    count: usize,
    took: u64,
) -> Instant {
    for n in 0..count as u64 {
        let req = CallerRequest {
            fingerprint: 1_000 + n,
            ..request(route)
        };
        let (ticket, _) = send(core, now, &req);
        now += ms(took);
        core.attempt_ended(now, ticket, AttemptOutcome::Answered);
    }
    now
}

/// Regression: while an entry stopped, it passed on requests that could not end before the end of its
/// grace, and cut them.
#[rstest]
// Nothing is known of how long it takes, so it may use all of its 6 s.
#[case::once_unknown("hold", None, 0, 6_000, true)]
#[case::once_unknown_late("hold", None, 0, 5_990, false)]
#[case::once_too_few_known("hold", None, KNOWN_ANSWERS - 1, 5_990, false)]
// Four times the longest of 100 ms, and 250 ms.
#[case::once_known("hold", None, KNOWN_ANSWERS, 700, true)]
#[case::once_known_late("hold", None, KNOWN_ANSWERS, 600, false)]
#[case::safe_unknown("look", None, 0, 350, true)]
#[case::safe_unknown_late("look", None, 0, 250, false)]
// The mean of either endpoint is between 30 and 100 ms.
#[case::safe_known("look", None, KNOWN_ANSWERS, 550, true)]
#[case::safe_known_late("look", None, KNOWN_ANSWERS, 350, false)]
// A usual answer takes 0.84 s after its start, a short one 70 ms.
#[case::stream("chat", None, 0, 3_000, true)]
#[case::stream_late("chat", None, 0, 1_500, false)]
#[case::short_stream("chat", Some(10), 0, 1_000, true)]
#[case::long_stream("chat", Some(400), 0, 4_000, false)]
#[case::long_stream_early("chat", Some(400), 0, 6_000, true)]
fn what_may_not_end_before_the_stop_is_refused_as_not_run(
    #[case] route: &str,
    #[case] answer_tokens: Option<u32>,
    #[case] known: usize,
    #[case] left: u64,
    #[case] is_sent: bool,
) {
    let now = Instant::now();
    let mut core = core(now);
    let now = answer(&mut core, now, route, known, 100);
    core.begin_stop(now + ms(left));
    let req = CallerRequest {
        answer_tokens,
        ..request(route)
    };
    let ticket = core.admit(now, &req).unwrap();
    match decide(&mut core, now, ticket) {
        Some(Decision::Send(_)) => assert!(is_sent),
        Some(Decision::Refuse(refusal, _)) => {
            assert!(!is_sent);
            assert_eq!(refusal.code, Code::Stopping);
            assert_eq!(refusal.code.run_state(), RunState::NotRun);
            assert!(
                refusal
                    .retry_after
                    .is_some_and(|wait| wait <= MAX_RETRY_AFTER)
            );
        }
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::at_the_stop(true)]
#[case::without_configuration(false)]
fn a_request_is_not_admitted(#[case] is_configured: bool) {
    let now = Instant::now();
    let (mut core, left) = match is_configured {
        true => (core(now), ms(0)),
        false => (empty_core(), ms(7_000)),
    };
    core.begin_stop(now + left);
    let refusal = core.admit(now, &request("look")).unwrap_err();
    assert_eq!(refusal.code, Code::Stopping);
    assert!(
        refusal
            .retry_after
            .is_some_and(|wait| wait <= MAX_RETRY_AFTER)
    );
}

/// A request that waits for an endpoint is refused once it may not end before the stop.
#[test]
fn a_waiting_request_is_refused_before_the_stop() {
    let now = Instant::now();
    let mut core = core(now);
    for id in ["e1", "e2", "e3"] {
        core.remove_endpoint(now, id, false);
    }
    let ticket = core.admit(now, &request("chat")).unwrap();
    assert_eq!(decide(&mut core, now, ticket), None);
    core.begin_stop(now + ms(2_000));
    assert_eq!(decide(&mut core, now, ticket), None);
    let check_at = core.next_wakeup().unwrap();
    assert!(check_at <= now + ms(100));
    let decision = decide(&mut core, check_at, ticket);
    assert_eq!(refusal_code(decision), Some(Code::Stopping));
}

/// One endpoint that hung does not have the requests refused that may be repeated.
#[rstest]
#[case::once("hold", false)]
#[case::safe("look", true)]
fn a_request_that_took_long_counts_for_those_that_must_run_once(
    #[case] route: &str,
    #[case] is_sent: bool,
) {
    let now = Instant::now();
    let mut core = core(now);
    let now = answer(&mut core, now, route, KNOWN_ANSWERS, 100);
    let (ticket, _) = send(&mut core, now, &request(route));
    let now = now + ms(3_000);
    core.attempt_ended(now, ticket, AttemptOutcome::TimedOut);
    core.begin_stop(now + ms(5_000));
    let ticket = core.admit(now, &request(route)).unwrap();
    let decision = decide(&mut core, now, ticket);
    assert_eq!(matches!(decision, Some(Decision::Send(_))), is_sent);
}

/// Nothing is repeated that may not end before the stop; the caller learns at once that it may have
/// run.
#[rstest]
#[case::may_have_run(AttemptOutcome::Broken, 200, Some(Code::OutcomeUnknown))]
#[case::not_run(AttemptOutcome::NotRun { is_full: true }, 200, Some(Code::Stopping))]
#[case::in_time(AttemptOutcome::Broken, 500, None)]
fn a_late_repeat_is_refused(
    #[case] end: AttemptOutcome,
    #[case] left: u64,
    #[case] expected: Option<Code>,
) {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, _) = send(&mut core, now, &request("look"));
    core.begin_stop(now + ms(left));
    assert_eq!(core.attempt_ended(now, ticket, end), NextStep::Wait);
    let decision = decide(&mut core, now, ticket);
    assert!(decision.is_some());
    assert_eq!(refusal_code(decision), expected);
}

/// A stream whose beginning the caller has is continued while it may end in time.
#[rstest]
#[case::in_time(1_500, None)]
#[case::late(500, Some(Code::OutcomeUnknown))]
fn a_late_continuation(#[case] left: u64, #[case] expected: Option<Code>) {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, _) = send(&mut core, now, &request("chat"));
    core.attempt_started(now, ticket, Some(1));
    core.begin_stop(now + ms(left));
    core.attempt_ended(now, ticket, AttemptOutcome::Broken);
    let decision = decide(&mut core, now, ticket);
    assert_eq!(refusal_code(decision), expected);
}

/// No second attempt is sent beside a silent one that may not end before the stop.
#[test]
fn a_silent_attempt_goes_on_alone_before_the_stop() {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, _) = send(&mut core, now, &request("look"));
    core.begin_stop(now + ms(200));
    core.attempt_silent(now, ticket).unwrap();
    let decision = decide(&mut core, now, ticket);
    assert!(matches!(
        decision,
        Some(Decision::KeepSilent(Code::Stopping, _))
    ));
}

/// An assigned attempt is not sent if its connection took so long that it may not end in time.
#[test]
fn an_attempt_whose_connection_took_too_long_is_not_sent() {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, assignment) = send(&mut core, now, &request("look"));
    core.begin_stop(now + ms(400));
    assert!(core.may_send(now, ticket, &assignment.endpoint));
    assert!(!core.may_send(now + ms(200), ticket, &assignment.endpoint));
}

/// A request that is still running at the stop ends with an unknown outcome, one whose deadline passes
/// with a timeout; a second signal changes nothing.
#[rstest]
#[case::stop(4_000, Code::OutcomeUnknown)]
#[case::deadline(7_000, Code::AnswerTimeout)]
fn a_running_request_is_answered_by_the_stop(#[case] left: u64, #[case] expected: Code) {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, _) = send(&mut core, now, &request("hold"));
    core.begin_stop(now + ms(left));
    core.begin_stop(now + ms(1_000));
    let deadline = core.deadline(ticket).unwrap();
    assert_eq!(deadline, now + ms(left.min(6_000)));
    match core.attempt_ended(deadline, ticket, AttemptOutcome::TimedOut) {
        NextStep::Refuse(refusal) => assert_eq!(refusal.code, expected),
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::too_few(&[(0, 100)], 7, 0, None)]
#[case::known(&[(0, 100)], 8, 0, Some(100))]
#[case::longest(&[(0, 100), (10_000, 300), (20_000, 50)], 8, 20_000, Some(300))]
#[case::before_it_is_forgotten(&[(0, 300), (61_000, 50)], 8, 100_000, Some(300))]
#[case::forgotten(&[(0, 300), (61_000, 50)], 8, 130_000, Some(50))]
#[case::old(&[(0, 100)], 8, 125_000, None)]
fn the_longest_recent_time_of_a_route(
    #[case] answers: &[(u64, u64)],
    #[case] count: usize,
    #[case] at: u64,
    #[case] expected: Option<u64>,
) {
    let start = Instant::now();
    let (route, target): (Arc<str>, Arc<str>) = ("hold".into(), "desk".into());
    let mut times = WorkTimes::default();
    for (answered_at, took) in answers {
        for _ in 0..count {
            let now = start + ms(*answered_at);
            times.record(now, &route, &target, ms(*took), true);
        }
    }
    let now = start + ms(at);
    assert_eq!(times.longest(now, &route, &target), expected.map(ms));
    assert_eq!(times.longest(now, &target, &route), None);
}

#[test]
fn a_request_without_an_answer_shows_how_long_others_may_take() {
    let now = Instant::now();
    let (route, target): (Arc<str>, Arc<str>) = ("hold".into(), "desk".into());
    let mut times = WorkTimes::default();
    for _ in 0..KNOWN_ANSWERS {
        times.record(now, &route, &target, ms(100), true);
    }
    times.record(now, &route, &target, ms(900), false);
    assert_eq!(times.longest(now, &route, &target), Some(ms(900)));
}
