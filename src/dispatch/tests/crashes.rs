//! Requests that crash the endpoints that run them.

use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::codes::Code;
use crate::delivery::{Suspect, SuspectCrash};
use crate::dispatch::*;
use crate::heartbeat::{EntryHeartbeat, MAX_DATAGRAM, encode};

/// Sends the request, breaks its attempt, and restarts the endpoint. Returns false when it is
/// refused.
fn crash(core: &mut Dispatcher, now: Instant, round: u64) -> bool {
    let Ok(ticket) = core.admit(now, &request("look")) else {
        return false;
    };
    let Some(Decision::Send(assignment)) = decide(core, now, ticket) else {
        return false;
    };
    core.attempt_ended(now, ticket, AttemptOutcome::Broken);
    core.finish(now, ticket);
    let host = if &*assignment.endpoint == "d1" {
        11
    } else {
        12
    };
    let mut restarted = listed(&assignment.endpoint, "desk", host, "north");
    restarted.incarnation = 10 + round;
    core.update_endpoint(now, restarted);
    true
}

#[test]
fn a_request_that_crashed_two_endpoints_is_quarantined_by_all_entries() {
    let now = Instant::now();
    let mut first = core(now);
    let runs = (0..6)
        .filter(|round| crash(&mut first, now, *round))
        .count();
    assert_eq!(runs, 2);
    let refusal = first.admit(now, &request("look")).unwrap_err();
    assert_eq!(refusal.code, Code::Quarantined);

    let mut second = core(now);
    let crashes = first.crashes(now);
    second.merge_crashes(now, &crashes);
    assert!(second.admit(now, &request("look")).is_err());
    let other = CallerRequest {
        fingerprint: 5,
        ..request("look")
    };
    assert!(second.admit(now, &other).is_ok());
}

/// Guards against heartbeats that grow with the number of crashed requests until agents can't read
/// them, and take the entry for gone.
#[test]
fn crashes_of_many_requests_leave_room_in_a_heartbeat() {
    let now = Instant::now();
    let mut core = core(now);
    for round in 0..10 {
        let crashes: Vec<_> = (0..100).map(|n| crash_of(100 * round + n)).collect();
        core.merge_crashes(now + ms(round), &crashes);
    }
    let crashes = core.crashes(now + ms(1_000));
    let heartbeat = EntryHeartbeat {
        entry_incarnation: 1,
        is_open: true,
        interval_ms: 400,
        wants_load: false,
        plan: None,
        crashes: crashes.clone(),
    };
    let size = encode(&heartbeat).unwrap().len();
    assert!(size < MAX_DATAGRAM / 3, "{size} bytes");
    // The newest ones are sent.
    assert!(crashes.iter().all(|crash| match crash.suspect {
        Suspect::Request(digest) => u64::MAX - digest >= 900,
        Suspect::Part(_) => false,
    }));
    assert!(!crashes.is_empty());
}

/// Crash of an endpoint under request number `n`.
fn crash_of(n: u64) -> SuspectCrash {
    SuspectCrash {
        suspect: Suspect::Request(u64::MAX - n),
        instance: u64::MAX / 3 - n,
        is_cleared: false,
        age_ms: 0,
        answered_ms: None,
    }
}

#[test]
fn a_broken_attempt_without_a_restart_is_no_crash() {
    let now = Instant::now();
    let mut core = core(now);
    for round in 0..4 {
        // Longer than the longest pause after a failure.
        let now = now + ms(3_000 * round);
        let (ticket, _) = send(&mut core, now, &request("chat"));
        core.attempt_ended(now, ticket, AttemptOutcome::Broken);
        core.finish(now, ticket);
    }
    assert!(core.crashes(now).is_empty());
}

/// How the end of a plain endpoint, which has no agent, is seen after an attempt broke there.
#[rstest]
#[case::gone_from_the_list(4_500, true)]
#[case::gone_from_the_list_long_after(6_500, false)]
fn the_end_of_an_endpoint_without_agent_counts_when_its_lease_expires(
    #[case] millis_until_seen: u64,
    #[case] counts: bool,
) {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, assignment) = send(&mut core, now, &request("look"));
    core.attempt_ended(now, ticket, AttemptOutcome::Broken);
    core.finish(now, ticket);
    let now = now + ms(millis_until_seen);
    core.remove_endpoint(now, &assignment.endpoint, false);
    assert_eq!(core.crashes(now).len(), usize::from(counts));
}

/// Guards against crashes that count only when the endpoint refuses a connection or is back soon.
#[test]
fn copies_of_a_request_are_refused_once_agents_have_seen_two_crashes() {
    let now = Instant::now();
    let mut core = core(now);
    let mut runs = 0;
    for round in 0..4 {
        let now = now + ms(3_100 * round);
        (1..=3).for_each(|host| {
            core.record_sight(now, ip(host), 50, EndpointSight::Alive(1 + round));
        });
        let Ok(ticket) = core.admit(now, &request("chat")) else {
            continue;
        };
        let Some(Decision::Send(assignment)) = decide(&mut core, now, ticket) else {
            panic!("no engine is free");
        };
        runs += 1;
        core.attempt_ended(now, ticket, AttemptOutcome::Broken);
        core.finish(now, ticket);
        let host = assignment.endpoint[1..].parse().unwrap();
        core.record_sight(now + ms(50), ip(host), 50, EndpointSight::Down);
    }
    assert_eq!(runs, 2);
    // Another request with the same prompt is served.
    let other = CallerRequest {
        fingerprint: 5,
        ..request("chat")
    };
    assert!(core.admit(now, &other).is_ok());
}
