//! Requests that crash what runs them.

use std::time::Instant;

use super::fixture::*;
use crate::codes::Code;
use crate::dispatch::*;

/// Sends the request, breaks it, and lets its endpoint be born again. False when it is refused.
fn crash(core: &mut Dispatcher, now: Instant, round: u64) -> bool {
    let Ok(ticket) = core.admit(now, &request("look")) else {
        return false;
    };
    let Some(Decision::Send(lease)) = next(core, now, ticket) else {
        return false;
    };
    core.attempt_ended(now, ticket, AttemptOutcome::Broken);
    core.finish(now, ticket);
    let host = if &*lease.endpoint == "d1" { 11 } else { 12 };
    let mut reborn = listed(&lease.endpoint, "desk", host, "north");
    reborn.incarnation = 10 + round;
    core.update_endpoint(now, reborn);
    true
}

#[test]
fn a_request_that_crashed_two_endpoints_is_not_run_again_anywhere() {
    let now = Instant::now();
    let mut first = core(now);
    let runs = (0..6)
        .filter(|round| crash(&mut first, now, *round))
        .count();
    assert_eq!(runs, 2);
    let refusal = first.admit(now, &request("look")).unwrap_err();
    assert_eq!(refusal.code, Code::Quarantined);

    let mut second = core(now);
    second.merge_crashes(now, &first.crashes(now));
    assert!(second.admit(now, &request("look")).is_err());
    let other = CallerRequest {
        fingerprint: 5,
        ..request("look")
    };
    assert!(second.admit(now, &other).is_ok());
}

#[test]
fn a_broken_answer_of_an_endpoint_that_lives_on_is_no_crash() {
    let now = Instant::now();
    let mut core = core(now);
    for round in 0..4 {
        // A pause after each failure, longer than the longest.
        let now = now + ms(3_000 * round);
        let (ticket, _) = send(&mut core, now, &request("chat"));
        core.attempt_ended(now, ticket, AttemptOutcome::Broken);
        core.finish(now, ticket);
    }
    assert!(core.crashes(now).is_empty());
}
