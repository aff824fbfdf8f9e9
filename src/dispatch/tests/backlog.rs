//! Requests that can't be sent in time are refused at once.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::fixture::*;
use crate::codes::Code;
use crate::dispatch::*;
use crate::types::ChangeTime;

/// A dispatcher alone before three full engines, with two ranks that both arrive.
fn full_core(now: Instant, mitigations: Mitigations) -> Dispatcher {
    let mut core = core_with_mitigations(now, mitigations);
    core.set_entry_count(now, 1);
    let routes = [("chat", 0), ("bulk", 2)].map(|(name, priority)| Route {
        priority,
        ..route(name, "engines", Repeat::Resumable)
    });
    core.set_configuration(Arc::new(configuration(2, routes.into())));
    for _ in 0..15 {
        for name in ["chat", "bulk"] {
            let (ticket, _) = send(&mut core, now, &chat(name));
            core.finish(now, ticket);
        }
    }
    report(&mut core, now, 40);
    core
}

fn chat(route: &str) -> CallerRequest {
    CallerRequest {
        prompt_tokens: 1_000,
        ..request(route)
    }
}

fn report(core: &mut Dispatcher, now: Instant, running: u32) {
    for host in [1, 2, 3] {
        core.update_load(now, ip(host), load(running));
    }
}

/// Lets requests of a class arrive every 10 ms before full engines; returns the time and the last ticket.
fn flood(core: &mut Dispatcher, start: Instant, millis: u64) -> (Instant, TicketId) {
    let mut last = 0;
    for step in 0..millis / 10 {
        let now = start + ms(10) * step as u32;
        report(core, now, 40);
        last = core.admit(now, &chat("chat")).unwrap();
        core.dispatch_waiting(now);
    }
    (start + ms(millis), last)
}

// Load: requests of a rank arrive for longer than they may wait, and none is sent. Without the answer to it
// each of them is held for half of its goal before its refusal.
#[rstest]
#[case::with(true, true)]
#[case::without(false, false)]
fn a_request_behind_a_backlog_that_does_not_move_is_refused_at_once(
    #[case] backlog: bool,
    #[case] at_once: bool,
) {
    let start = Instant::now();
    let mitigations = Mitigations {
        backlog,
        ..Mitigations::default()
    };
    let mut core = full_core(start, mitigations);
    let (now, _) = flood(&mut core, start, 300);
    let ticket = core.admit(now, &chat("chat")).unwrap();
    let code = refusal_code(
        core.dispatch_alone(now, ticket)
            .or_else(|| decide(&mut core, now, ticket)),
    );
    assert_eq!(code, at_once.then_some(Code::DeadlineUnreachable));
}

// Guards against a class that is refused for good: the first one waits, and is sent when a place is free.
#[test]
fn the_first_of_a_backlog_waits_and_is_sent_when_a_place_is_free() {
    let start = Instant::now();
    let mut core = full_core(start, Mitigations::default());
    let (now, _) = flood(&mut core, start, 600);
    assert!(core.next_deadline().is_some(), "one waits");
    report(&mut core, now, 4);
    let sent = core.dispatch_waiting(now);
    assert!(sent.iter().any(|(_, d)| matches!(d, Decision::Send(_))));
    let ticket = core.admit(now, &chat("chat")).unwrap();
    let decision = core
        .dispatch_alone(now, ticket)
        .or_else(|| decide(&mut core, now, ticket));
    assert!(matches!(decision, Some(Decision::Send(_))), "{decision:?}");
}

// Guards against early refusals in a short burst, which the next load reports may end.
#[test]
fn requests_of_a_short_burst_wait() {
    let start = Instant::now();
    let mut core = full_core(start, Mitigations::default());
    let tickets: Vec<_> = (0..20)
        .map(|_| core.admit(start, &chat("chat")).unwrap())
        .collect();
    assert!(
        core.dispatch_waiting(start + ms(100)).is_empty(),
        "{tickets:?}"
    );
}

// Guards against early refusals where all have one priority: they are decided on as before.
#[test]
fn without_ranks_requests_wait_as_long_as_they_may() {
    let start = Instant::now();
    let mut core = core(start);
    core.set_entry_count(start, 1);
    let (now, last) = flood(&mut core, start, 600);
    assert_eq!(decide(&mut core, now - ms(10), last), None);
    assert!(refusal_code(decide(&mut core, now + ms(190), last)).is_some());
}

// Load: every engine still serves a version that has ended, and the next one is on its way to the hosts. Callers
// were held for half of their goal and came back before an engine had it.
#[rstest]
#[case::none_changes(false, true)]
#[case::one_is_changing(true, false)]
fn requests_are_refused_at_once_while_no_engine_has_the_version(
    #[case] is_switching: bool,
    #[case] at_once: bool,
) {
    let named_at = Instant::now();
    let mut core = core(named_at);
    core.set_wanted_version(named_at, MODEL, 2, ChangeTime::At(named_at));
    let now = named_at + ms(8_000);
    report(&mut core, now, 0);
    core.update_load(
        now,
        ip(2),
        EndpointLoad {
            is_switching,
            ..load(0)
        },
    );
    let ticket = core.admit(now, &chat("chat")).unwrap();
    match decide(&mut core, now, ticket) {
        Some(Decision::Refuse(refusal, _)) => {
            assert!(at_once);
            assert_eq!(refusal.code, Code::NoEndpoint);
            assert!(refusal.retry_after >= Some(Duration::from_millis(1_500)));
        }
        other => assert!(!at_once, "{other:?}"),
    }
}
