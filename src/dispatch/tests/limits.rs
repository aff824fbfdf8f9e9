//! Limits that endpoints name.

use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::dispatch::*;

/// Time after which a limit that is not named any more is lifted.
const HOLD_MS: u64 = 1_000;

/// Applies an answer of an endpoint, such as `2.5`, `-` for none or `?` for one that is no number.
fn statement(text: &str) -> Statement {
    let limit = match text {
        "-" => LimitStatement::Unlimited,
        "?" => LimitStatement::Invalid(text.into()),
        rate => LimitStatement::Rate(rate.parse().unwrap()),
    };
    Statement { limit }
}

/// Sends a request to the plain service and applies what its endpoint says. Returns the endpoint.
fn answer(core: &mut Dispatcher, now: Instant, text: &str) -> String {
    let (ticket, assignment) = send(core, now, &request("look"));
    core.record_statement(now, ticket, &statement(text));
    core.attempt_ended(now, ticket, AttemptOutcome::Answered);
    assignment.endpoint.to_string()
}

/// Dispatcher with one plain endpoint, d1.
fn core_with_one_desk(now: Instant) -> Dispatcher {
    let mut core = core(now);
    core.remove_endpoint(now, "d2", false);
    core
}

/// Limit of an endpoint.
fn limit(core: &Dispatcher, now: Instant, id: &str) -> Option<f64> {
    let view = core.snapshot(now).endpoints;
    view.iter().find(|e| &*e.id == id).unwrap().limit
}

fn limit_notices(core: &mut Dispatcher) -> Vec<Notice> {
    let notices = core.take_notices().into_iter();
    let is_on_limits =
        |n: &Notice| matches!(n, Notice::LimitChanged { .. } | Notice::LimitInvalid { .. });
    notices.filter(is_on_limits).collect()
}

/// Answers of one endpoint, `at` milliseconds after the start, and the limit afterwards.
#[rstest]
#[case::named(&[(0, "1000")], Some(1_000.0))]
#[case::lowered(&[(0, "1000"), (1, "900")], Some(900.0))]
#[case::raised_at_once(&[(0, "1000"), (900, "2000")], Some(1_000.0))]
#[case::raised_later(&[(0, "1000"), (HOLD_MS, "2000")], Some(2_000.0))]
#[case::silent_at_once(&[(0, "1000"), (900, "-")], Some(1_000.0))]
#[case::lifted(&[(0, "1000"), (HOLD_MS, "-")], None)]
#[case::flapping(&[(0, "1000"), (600, "-"), (700, "1000"), (1_600, "-")], Some(1_000.0))]
#[case::no_number(&[(0, "?")], None)]
#[case::no_number_after_a_limit(&[(0, "1000"), (2_000, "?")], Some(1_000.0))]
fn the_limit_follows_what_an_endpoint_says(
    #[case] answers: &[(u64, &str)],
    #[case] expected: Option<f64>,
) {
    let start = Instant::now();
    let mut core = core_with_one_desk(start);
    for (at, text) in answers {
        answer(&mut core, start + ms(*at), text);
    }
    assert_eq!(limit(&core, start, "d1"), expected);
}

#[test]
fn changes_and_values_that_are_no_number_are_noticed_once() {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    for (at, text) in [(0, "-"), (1, "1000"), (2, "1000"), (3, "?"), (4, "?")] {
        answer(&mut core, now + ms(at), text);
    }
    answer(&mut core, now + ms(2_000), "-");
    let changed = |limit| Notice::LimitChanged {
        endpoint: "d1".into(),
        incarnation: 1,
        limit,
        source: StatementSource::Answer,
        entries: 4,
    };
    let invalid = Notice::LimitInvalid {
        endpoint: "d1".into(),
        text: "?".into(),
        source: StatementSource::Answer,
    };
    let expected = [changed(Some(1_000.0)), invalid, changed(None)];
    assert_eq!(limit_notices(&mut core), expected);
}

/// Reports of the agent on host 1 and answers of its engine e1; the stricter limit holds, and a source
/// lifts only its own.
#[test]
fn answers_and_reports_each_lift_their_own_limit() {
    let start = Instant::now();
    let mut core = core(start);
    for id in ["e2", "e3"] {
        core.remove_endpoint(start, id, false);
    }
    let report = |core: &mut Dispatcher, at: u64, text: &str| {
        let mut load = load(0);
        load.statement = statement(text);
        core.update_load(start + ms(at), ip(1), load);
        limit(core, start, "e1")
    };
    let answer = |core: &mut Dispatcher, at: u64, text: &str| {
        let now = start + ms(at);
        let (ticket, _) = send(core, now, &request("chat"));
        core.record_statement(now, ticket, &statement(text));
        core.attempt_ended(now, ticket, AttemptOutcome::Answered);
        limit(core, start, "e1")
    };
    assert_eq!(answer(&mut core, 0, "1000"), Some(1_000.0));
    assert_eq!(report(&mut core, 2_000, "-"), Some(1_000.0));
    assert_eq!(report(&mut core, 2_100, "900"), Some(900.0));
    assert_eq!(answer(&mut core, 4_000, "-"), Some(900.0));
    assert_eq!(report(&mut core, 4_000, "-"), None);
}

#[test]
fn a_limit_ends_with_the_incarnation_that_named_it() {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    let (ticket, _) = send(&mut core, now, &request("look"));
    answer(&mut core, now, "1000");
    let mut restarted = listed("d1", "desk", 11, "north");
    restarted.incarnation = 2;
    core.update_endpoint(now, restarted);
    assert_eq!(limit(&core, now, "d1"), None);
    // An answer of the earlier process that arrives late says nothing of this one.
    core.record_statement(now, ticket, &statement("1000"));
    assert_eq!(limit(&core, now, "d1"), None);
}
