//! Rest that endpoints ask of an entry.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::fixture::*;
use crate::codes::Code;
use crate::dispatch::*;
use crate::types::EndpointId;

/// Most time by which a rest of 3 s is prolonged, in milliseconds.
const SPREAD_MS: u64 = 300;

/// What an endpoint says that asks for rest, in milliseconds; nothing for 0.
fn asking(millis: u64) -> Statement {
    let rest = match millis {
        0 => RestStatement::NotAsked,
        millis => RestStatement::For(ms(millis)),
    };
    Statement {
        rest,
        ..Default::default()
    }
}

fn invalid() -> Statement {
    Statement {
        rest: RestStatement::Invalid("soon".into()),
        ..Default::default()
    }
}

const TURNED_AWAY: AttemptOutcome = AttemptOutcome::NotRun { is_full: true };

/// Dispatcher with one plain endpoint, d1.
fn core_with_one_desk(now: Instant) -> Dispatcher {
    let mut core = core(now);
    core.remove_endpoint(now, "d2", false);
    core
}

/// Sends a request to the plain service, whose endpoint turns it away with a statement.
fn turn_away(core: &mut Dispatcher, now: Instant, statement: &Statement) -> TicketId {
    let (ticket, _) = send(core, now, &request("look"));
    core.record_statement(now, ticket, statement);
    core.attempt_ended(now, ticket, TURNED_AWAY);
    core.finish(now, ticket);
    ticket
}

/// Sends requests, which go on running, until one is sent to an endpoint of this kind.
fn send_to(
    core: &mut Dispatcher,
    now: Instant,
    route: &str,
    is_wanted: impl Fn(&EndpointId) -> bool,
) -> TicketId {
    let mut sent = (0..50).map(|_| send(core, now, &request(route)));
    let found = sent.find(|(_, assignment)| is_wanted(&assignment.endpoint));
    found.expect("the other endpoint is used too").0
}

/// Time left of an endpoint's rest.
fn rest_ms(core: &Dispatcher, now: Instant, id: &str) -> Option<u64> {
    let view = core.snapshot(now).endpoints;
    view.iter().find(|e| &*e.id == id).unwrap().rest_ms
}

fn rest_notices(core: &mut Dispatcher) -> Vec<Notice> {
    let notices = core.take_notices().into_iter();
    let is_on_rests = |n: &Notice| {
        matches!(
            n,
            Notice::RestBegan { .. } | Notice::RestEnded { .. } | Notice::RestInvalid { .. }
        )
    };
    notices.filter(is_on_rests).collect()
}

/// Answers of one endpoint, as milliseconds after the start and rest named, and the time left after the
/// last one, without the spread.
#[rstest]
#[case::named(&[(0, 3_000)], Some(3_000))]
#[case::longer(&[(0, 3_000), (1_000, 3_000)], Some(3_000))]
#[case::shortened(&[(0, 3_000), (1_000, 100)], Some(2_000))]
#[case::not_lifted(&[(0, 3_000), (1_000, 0)], Some(2_000))]
#[case::over(&[(0, 3_000), (3_400, 0)], None)]
#[case::named_again_later(&[(0, 3_000), (3_400, 500)], Some(500))]
#[case::a_day(&[(0, 86_400_000)], Some(60_000))]
fn a_rest_lasts_until_the_latest_end_named(
    #[case] answers: &[(u64, u64)],
    #[case] expected: Option<u64>,
) {
    let start = Instant::now();
    let mut core = core_with_one_desk(start);
    // The attempts were sent before the first answer came.
    let tickets: Vec<_> = answers
        .iter()
        .map(|_| send(&mut core, start, &request("look")).0)
        .collect();
    for ((at, rest), ticket) in answers.iter().zip(tickets) {
        let now = start + ms(*at);
        core.record_statement(now, ticket, &asking(*rest));
        core.attempt_ended(now, ticket, TURNED_AWAY);
    }
    let left = rest_ms(&core, start + ms(answers.last().unwrap().0), "d1");
    match expected {
        None => assert_eq!(left, None),
        Some(expected) => {
            let left = left.unwrap();
            assert!((expected..=expected + 500).contains(&left), "{left}");
        }
    }
}

#[rstest]
#[case::no_number(invalid())]
#[case::nothing(asking(0))]
fn what_is_no_time_leaves_the_pause_of_a_full_endpoint(#[case] statement: Statement) {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    turn_away(&mut core, now, &statement);
    assert_eq!(rest_ms(&core, now, "d1"), None);
    send(&mut core, now + ms(100), &request("look"));
}

#[test]
fn a_rest_is_noticed_at_its_begin_and_its_end_and_an_unreadable_one_once() {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    let tickets: Vec<_> = (0..4)
        .map(|_| send(&mut core, now, &request("look")).0)
        .collect();
    for (ticket, statement) in
        tickets
            .into_iter()
            .zip([invalid(), invalid(), asking(3_000), asking(3_000)])
    {
        core.record_statement(now, ticket, &statement);
        core.attempt_ended(now, ticket, TURNED_AWAY);
    }
    core.dispatch_waiting(now + ms(3_000 + SPREAD_MS));
    let notices = rest_notices(&mut core);
    assert!(
        matches!(
            &notices[..],
            [
                Notice::RestInvalid { .. },
                Notice::RestBegan { named, kept, .. },
                Notice::RestEnded { answers: 2, .. }
            ] if *named == ms(3_000) && *kept >= *named
        ),
        "{notices:?}"
    );
}

/// Guards against first attempts, repeats and continuations that each know other rests.
#[test]
fn every_kind_of_attempt_passes_over_an_endpoint_that_rests() {
    let now = Instant::now();
    let mut core = core(now);
    core.remove_endpoint(now, "e3", false);
    // A stream runs at one engine, the other one asks for rest.
    let (stream, running) = send(&mut core, now, &request("chat"));
    core.attempt_started(now, stream, Some(1));
    let resting = send_to(&mut core, now, "chat", |id| *id != running.endpoint);
    core.record_statement(now, resting, &asking(3_000));
    let step = core.attempt_ended(now, resting, TURNED_AWAY);
    assert_eq!(step, NextStep::Wait);
    let Some(Decision::Send(repeat)) = decide(&mut core, now, resting) else {
        panic!("not repeated");
    };
    assert_eq!(repeat.endpoint, running.endpoint);
    let now = now + ms(500);
    for _ in 0..20 {
        let (ticket, first) = send(&mut core, now, &request("chat"));
        assert_eq!(first.endpoint, running.endpoint);
        core.finish(now, ticket);
    }
    // The continuation finds the resting engine only.
    let step = core.attempt_ended(now, stream, AttemptOutcome::Broken);
    assert_eq!(step, NextStep::Wait);
    let decision = decide(&mut core, now, stream);
    assert_eq!(refusal_code(decision), Some(Code::OutcomeUnknown));
}

/// Guards against requests that wait, or are passed from one resting endpoint to the next, before they are
/// refused, and against callers that return in the same instant.
#[test]
fn while_all_endpoints_rest_requests_are_refused_at_once_until_the_first_one_returns() {
    let now = Instant::now();
    let mut core = core(now);
    for rest in [3_000, 8_000] {
        turn_away(&mut core, now, &asking(rest));
    }
    let mut waits = BTreeSet::new();
    for _ in 0..10 {
        let ticket = core.admit(now, &request("look")).unwrap();
        let Some(Decision::Refuse(refusal, _)) = decide(&mut core, now, ticket) else {
            panic!("not refused");
        };
        assert_eq!(refusal.code, Code::NoneAccepts);
        waits.insert(refusal.retry_after.unwrap());
    }
    assert!(
        waits
            .iter()
            .all(|wait| (ms(3_000)..ms(4_400)).contains(wait))
    );
    assert_eq!(waits.len(), 10);
    send(&mut core, now + ms(3_000 + SPREAD_MS), &request("look"));
}

/// A long rest is no reason to keep callers away from other entries, or from new endpoints.
#[test]
fn the_time_that_callers_are_told_is_bounded() {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    turn_away(&mut core, now, &asking(60_000));
    let ticket = core.admit(now, &request("look")).unwrap();
    let Some(Decision::Refuse(refusal, _)) = decide(&mut core, now, ticket) else {
        panic!("not refused");
    };
    assert!(refusal.retry_after.unwrap() <= Duration::from_secs(11));
}

/// A rest that ends while a request may still wait is waited for.
#[test]
fn a_request_waits_for_a_rest_that_ends_soon() {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    turn_away(&mut core, now, &asking(120));
    let ticket = core.admit(now, &request("look")).unwrap();
    assert_eq!(decide(&mut core, now, ticket), None);
    let end = core.next_wakeup().unwrap();
    assert!(end >= now + ms(120) && end <= now + ms(132));
    let decision = decide(&mut core, end, ticket);
    assert!(matches!(decision, Some(Decision::Send(_))), "{decision:?}");
    // No rest wakes the driver any more.
    core.finish(end, ticket);
    assert_eq!(core.next_wakeup(), None);
}

/// Guards against entries that were asked at the same time and return in the same instant.
#[test]
fn entries_return_at_different_times() {
    let now = Instant::now();
    let ends: BTreeSet<_> = (0..16)
        .map(|seed| {
            let mut core = core_with_seed(now, seed);
            core.remove_endpoint(now, "d2", false);
            turn_away(&mut core, now, &asking(3_000));
            rest_ms(&core, now, "d1").unwrap()
        })
        .collect();
    assert!(ends.len() >= 12, "{ends:?}");
    assert!(
        ends.iter()
            .all(|end| (3_000..=3_000 + SPREAD_MS).contains(end))
    );
}

#[test]
fn a_rest_ends_with_the_incarnation_that_asked_for_it() {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    let (late, _) = send(&mut core, now, &request("look"));
    turn_away(&mut core, now, &asking(3_000));
    let mut restarted = listed("d1", "desk", 11, "north");
    restarted.incarnation = 2;
    core.update_endpoint(now, restarted);
    assert_eq!(rest_ms(&core, now, "d1"), None);
    // A late answer of the earlier process says nothing of this one.
    core.record_statement(now, late, &asking(3_000));
    assert_eq!(rest_ms(&core, now, "d1"), None);
    send(&mut core, now, &request("look"));
}

/// Guards against a rest that is forgotten when the endpoint leaves the list and returns.
#[test]
fn a_rest_outlasts_a_gap_in_the_list() {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    turn_away(&mut core, now, &asking(3_000));
    core.remove_endpoint(now, "d1", false);
    core.update_endpoint(now, listed("d1", "desk", 11, "north"));
    assert!(rest_ms(&core, now, "d1").is_some());
    // Another incarnation that an older list names for a while.
    let mut older = listed("d1", "desk", 11, "north");
    older.incarnation = 0;
    core.update_endpoint(now, older);
    core.update_endpoint(now, listed("d1", "desk", 11, "north"));
    assert!(rest_ms(&core, now, "d1").is_some());
}

/// Guards against requests that were assigned before the endpoint asked for rest and are sent after it.
#[test]
fn an_attempt_that_was_assigned_before_a_rest_is_withdrawn_and_goes_elsewhere() {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, assignment) = send(&mut core, now, &request("hold"));
    let asked = send_to(&mut core, now, "look", |id| *id == assignment.endpoint);
    core.record_statement(now, asked, &asking(3_000));
    assert!(!core.may_send(now, ticket, &assignment.endpoint));
    assert!(!core.may_send(now, asked, &assignment.endpoint));
    let failing = |core: &Dispatcher| {
        let view = core.snapshot(now).endpoints;
        let endpoint = view.into_iter().find(|e| e.id == assignment.endpoint);
        endpoint.unwrap().failing
    };
    // Its health is not in question, and the request has not run, so that it may run elsewhere.
    let step = core.attempt_ended(now, ticket, AttemptOutcome::Withdrawn);
    assert_eq!(step, NextStep::Wait);
    assert_eq!(failing(&core), 0.0);
    let Some(Decision::Send(next)) = decide(&mut core, now, ticket) else {
        panic!("not sent elsewhere");
    };
    assert_ne!(next.endpoint, assignment.endpoint);
    assert_eq!(next.attempt, 1);
    assert!(core.may_send(now, ticket, &next.endpoint));
}

/// Reports go to the agent's host, so that a rest in them is not for this entry.
#[test]
fn a_rest_in_a_report_says_nothing_to_an_entry() {
    let now = Instant::now();
    let mut core = core(now);
    let mut report = load(0);
    report.statement = asking(3_000);
    core.update_load(now, ip(1), report);
    assert_eq!(rest_ms(&core, now, "e1"), None);
}
