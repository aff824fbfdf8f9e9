//! Limits that endpoints name.

use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::codes::Code;
use crate::dispatch::*;

/// Time after which a limit that is not named any more is loosened.
const HOLD_MS: u64 = 1_000;

/// Applies an answer of an endpoint, such as `2.5`, `-` for none or `?` for one that is no number.
fn statement(text: &str) -> Statement {
    let limit = match text {
        "-" => LimitStatement::Unlimited,
        "?" => LimitStatement::Invalid(text.into()),
        rate => LimitStatement::Rate(rate.parse().unwrap()),
    };
    Statement {
        limit,
        ..Default::default()
    }
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

/// Answers of one endpoint, `at` milliseconds after the start, and the limit afterwards; at the times
/// without a text there is no answer.
#[rstest]
#[case::named(&[(0, "1e6")], Some(1e6))]
#[case::lowered(&[(0, "1e6"), (1, "9e5")], Some(9e5))]
#[case::raised_at_once(&[(0, "1e6"), (900, "2e6")], Some(1e6))]
#[case::raised_later(&[(0, "1e6"), (HOLD_MS, "2e6")], Some(2e6))]
#[case::silent_at_once(&[(0, "1e6"), (900, "-")], Some(1e6))]
#[case::lifted(&[(0, "1e6"), (HOLD_MS, "-")], None)]
#[case::raised_after_the_hold(&[(0, "1e6"), (900, "2e6"), (HOLD_MS, "")], Some(2e6))]
#[case::lifted_after_the_hold(&[(0, "1e6"), (900, "-"), (HOLD_MS, "")], None)]
#[case::loosened_after_the_hold(
    &[(0, "1e6"), (2_000, "20"), (2_100, "-"), (9_000, "")], Some(40.0))]
#[case::named_again_in_the_hold(
    &[(0, "1e6"), (900, "-"), (950, "1e6"), (1_900, "")], Some(1e6))]
#[case::loosened(&[(0, "1e6"), (2_000, "20"), (3_000, "-")], Some(40.0))]
#[case::loosened_once_in_the_time(&[(0, "1e6"), (2_000, "20"), (3_000, "-"), (3_900, "-")], Some(40.0))]
#[case::loosened_and_lifted(&[(0, "1e6"), (2_000, "20"), (3_000, "-"), (4_000, "-")], None)]
#[case::named_again(&[(0, "1e6"), (2_000, "20"), (3_000, "-"), (3_100, "20")], Some(20.0))]
#[case::flapping(&[(0, "1e6"), (600, "-"), (700, "1e6"), (1_600, "-")], Some(1e6))]
#[case::no_number(&[(0, "?")], None)]
#[case::no_number_after_a_limit(&[(0, "1e6"), (2_000, "?")], Some(1e6))]
fn the_limit_follows_what_an_endpoint_says(
    #[case] answers: &[(u64, &str)],
    #[case] expected: Option<f64>,
) {
    let start = Instant::now();
    let mut core = core_with_one_desk(start);
    for (at, text) in answers.iter().filter(|(_, text)| !text.is_empty()) {
        answer(&mut core, start + ms(*at), text);
    }
    let now = start + ms(answers.last().unwrap().0);
    assert_eq!(limit(&core, now, "d1"), expected);
}

#[test]
fn changes_and_values_that_are_no_number_are_noticed_once() {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    for (at, text) in [(0, "-"), (1, "1e6"), (2, "1e6"), (3, "?"), (4, "?")] {
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
    let expected = [changed(Some(1e6)), invalid, changed(None)];
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
        limit(core, start + ms(at), "e1")
    };
    let answer = |core: &mut Dispatcher, at: u64, text: &str| {
        let now = start + ms(at);
        let (ticket, _) = send(core, now, &request("chat"));
        core.record_statement(now, ticket, &statement(text));
        core.attempt_ended(now, ticket, AttemptOutcome::Answered);
        limit(core, now, "e1")
    };
    assert_eq!(answer(&mut core, 0, "1e6"), Some(1e6));
    assert_eq!(report(&mut core, 2_000, "-"), Some(1e6));
    assert_eq!(report(&mut core, 2_100, "9e5"), Some(9e5));
    assert_eq!(answer(&mut core, 4_000, "-"), Some(9e5));
    assert_eq!(report(&mut core, 4_000, "-"), None);
}

/// Guards against a report that is overtaken by the restart of its engine.
#[test]
fn a_late_report_of_an_earlier_incarnation_names_no_limit() {
    let now = Instant::now();
    let mut core = core(now);
    let mut restarted = load(0);
    restarted.incarnation = 5;
    core.update_load(now, ip(1), restarted);
    let mut late = load(0);
    late.statement = statement("2");
    core.update_load(now, ip(1), late);
    assert_eq!(limit(&core, now, "e1"), None);
}

/// Guards against a log line for each answer of an endpoint whose reports name no limit.
#[test]
fn a_value_that_is_no_number_is_noticed_once_beside_reports_without_a_limit() {
    let now = Instant::now();
    let mut core = core(now);
    for n in 0..4 {
        let now = now + ms(100 * n);
        core.update_load(now, ip(1), load(0));
        let mut invalid = load(0);
        invalid.statement = statement("?");
        core.update_load(now, ip(1), invalid);
    }
    assert_eq!(limit_notices(&mut core).len(), 1);
}

#[test]
fn a_limit_ends_with_the_incarnation_that_named_it() {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    let (ticket, _) = send(&mut core, now, &request("look"));
    answer(&mut core, now, "1e6");
    let mut restarted = listed("d1", "desk", 11, "north");
    restarted.incarnation = 2;
    core.update_endpoint(now, restarted);
    assert_eq!(limit(&core, now, "d1"), None);
    // An answer of the earlier process that arrives late says nothing of this one.
    core.record_statement(now, ticket, &statement("1e6"));
    assert_eq!(limit(&core, now, "d1"), None);
}

/// Number of sent requests among `count` that are sent to the plain service at the same time.
fn sent_at_once(core: &mut Dispatcher, now: Instant, count: usize) -> usize {
    let sent = (0..count).filter(|_| {
        let ticket = core.admit(now, &request("look")).unwrap();
        let decision = decide(core, now, ticket);
        let is_sent = matches!(decision, Some(Decision::Send(_)));
        assert!(is_sent || refusal_code(decision) == Some(Code::LimitReached));
        if is_sent {
            core.attempt_ended(now, ticket, AttemptOutcome::Answered);
        }
        is_sent
    });
    sent.count()
}

/// Requests that one entry sends in 40 s to an endpoint that names a limit, one each 20 ms.
#[rstest]
#[case::one_entry("2.5", 1, 70)]
#[case::four_entries("2.5", 4, 17)]
#[case::sixteen_entries("2.5", 16, 4)]
#[case::less_than_one_a_second("0.5", 1, 14)]
#[case::zero("0", 1, 7)]
#[case::negative("-3", 1, 7)]
#[case::huge("1e300", 4, 2_000)]
#[case::no_number("?", 4, 2_000)]
fn an_entry_uses_its_part_of_a_limit(
    #[case] text: &str,
    #[case] entries: u32,
    #[case] expected: usize,
) {
    let start = Instant::now();
    let mut core = core_with_one_desk(start);
    core.set_entry_count(start, entries);
    answer(&mut core, start, text);
    let sent: usize = (1..=2_000)
        .map(|n| sent_at_once(&mut core, start + ms(20 * n), 1))
        .sum();
    // The first token has grown to some part when the limit is named.
    assert!(expected.abs_diff(sent) <= 1, "{sent} sent");
}

/// Requests that an entry sends at once after it was idle for a minute, with its part of a second of the
/// limit and of two more.
#[rstest]
#[case::one_entry("4", 1, 6)]
#[case::two_entries("4", 2, 3)]
#[case::turn_of_one_of_many("4", 16, 1)]
fn tokens_of_an_idle_entry_are_bounded(
    #[case] text: &str,
    #[case] entries: u32,
    #[case] expected: usize,
) {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    core.set_entry_count(now, entries);
    answer(&mut core, now, text);
    let sent = sent_at_once(&mut core, now + ms(60_000), 20);
    assert!(sent <= expected, "{sent} sent");
}

#[test]
fn more_entries_do_not_take_back_what_has_grown() {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    core.set_entry_count(now, 1);
    answer(&mut core, now, "4");
    let now = now + ms(10_000);
    // Each of three entries may send two at once.
    core.set_entry_count(now, 3);
    assert_eq!(sent_at_once(&mut core, now, 20), 2);
    assert_eq!(sent_at_once(&mut core, now + ms(900), 20), 0);
    // Alone, it gains 2.8 a second.
    core.set_entry_count(now + ms(900), 1);
    assert_eq!(sent_at_once(&mut core, now + ms(1_500), 20), 2);
}

#[test]
fn a_request_that_finds_no_room_goes_to_another_endpoint_or_is_refused_at_once() {
    let now = Instant::now();
    let mut core = core(now);
    // Both endpoints name a limit, d1 a lower one.
    let mut named = 0;
    while named < 2 {
        let (ticket, assignment) = send(&mut core, now, &request("look"));
        let is_first = &*assignment.endpoint == "d1";
        core.record_statement(now, ticket, &statement(if is_first { "0.4" } else { "20" }));
        named = usize::from(limit(&core, now, "d1").is_some())
            + usize::from(limit(&core, now, "d2").is_some());
    }
    let now = now + ms(700);
    let mut endpoints = Vec::new();
    let refused = loop {
        let ticket = core.admit(now, &request("look")).unwrap();
        match decide(&mut core, now, ticket) {
            Some(Decision::Send(assignment)) => endpoints.push(assignment.endpoint.to_string()),
            decision => break decision,
        }
    };
    assert!(
        endpoints.iter().filter(|id| *id == "d2").count() >= 3,
        "{endpoints:?}"
    );
    assert!(
        endpoints.iter().filter(|id| *id == "d1").count() <= 1,
        "{endpoints:?}"
    );
    let Some(Decision::Refuse(refusal, inputs)) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(refusal.code, Code::LimitReached);
    assert!(refusal.retry_after.is_some());
    assert_eq!(inputs.eligible, 2);
}

#[test]
fn a_request_that_may_have_run_ends_with_an_unknown_outcome_when_limits_are_used_up() {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    core.update_endpoint(now, listed("d2", "desk", 12, "north"));
    let mut tickets = Vec::new();
    for _ in 0..2 {
        let (ticket, _) = send(&mut core, now, &request("look"));
        core.record_statement(now, ticket, &statement("0"));
        tickets.push(ticket);
    }
    let step = core.attempt_ended(now, tickets[0], AttemptOutcome::Broken);
    assert_eq!(step, NextStep::Wait);
    let decision = decide(&mut core, now, tickets[0]);
    assert_eq!(refusal_code(decision), Some(Code::OutcomeUnknown));
}
