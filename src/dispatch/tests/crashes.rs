//! Requests that crash the endpoints that run them.

use std::time::Instant;

use super::fixture::*;
use crate::codes::Code;
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
    second.merge_crashes(now, &first.crashes(now));
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
    let crashes: Vec<_> = (0..1_000)
        .map(|n| (u64::MAX - n, u64::MAX / 3 - n))
        .collect();
    for (round, crashes) in crashes.chunks(100).enumerate() {
        core.merge_crashes(now + ms(round as u64), crashes);
    }
    let crashes = core.crashes(now + ms(1_000));
    let heartbeat = EntryHeartbeat {
        entry_incarnation: 1,
        is_open: true,
        plan: None,
        crashes: crashes.clone(),
        part_crashes: Vec::new(),
    };
    let size = encode(&heartbeat).len();
    assert!(size < MAX_DATAGRAM / 3, "{size} bytes");
    // The newest ones are sent.
    assert!(
        crashes
            .iter()
            .all(|(fingerprint, _)| u64::MAX - fingerprint >= 900)
    );
    assert!(!crashes.is_empty());
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
