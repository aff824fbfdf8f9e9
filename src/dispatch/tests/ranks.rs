//! Requests of several priorities that compete for the same engines.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::fixture::*;
use crate::dispatch::*;

/// A dispatcher alone before the three engines, with an urgent route and one of bulk work that may start
/// twice as late.
fn ranked_core(now: Instant) -> Dispatcher {
    ranked_core_with(now, Mitigations::default())
}

fn ranked_core_with(now: Instant, mitigations: Mitigations) -> Dispatcher {
    let mut core = core_with_mitigations(now, mitigations);
    core.set_entry_count(now, 1);
    let urgent = Route {
        priority: 0,
        ..route("chat", "engines", Repeat::Resumable)
    };
    let bulk = Route {
        priority: 2,
        start_goal: ms(800),
        ..route("bulk", "engines", Repeat::Resumable)
    };
    core.set_configuration(Arc::new(configuration(2, vec![urgent, bulk])));
    core
}

fn bulk_request() -> CallerRequest {
    CallerRequest {
        prompt_tokens: 1_000,
        ..request("bulk")
    }
}

/// Lets both priorities arrive, so that the target has ranks.
fn warm_up(core: &mut Dispatcher, now: Instant) {
    for _ in 0..15 {
        for req in [request("chat"), bulk_request()] {
            let (ticket, _) = send(core, now, &req);
            core.finish(now, ticket);
        }
    }
}

fn report_running(core: &mut Dispatcher, now: Instant, running: u32) {
    for host in [1, 2, 3] {
        core.update_load(now, ip(host), load(running));
    }
}

/// Admits `count` requests, decides on all that wait and returns how many of these were sent.
fn flood(core: &mut Dispatcher, now: Instant, req: &CallerRequest, count: usize) -> usize {
    let tickets: Vec<_> = (0..count).map(|_| core.admit(now, req).unwrap()).collect();
    let decided = core.dispatch_waiting(now);
    let sent = decided.iter().filter(|(ticket, decision)| {
        tickets.contains(ticket) && matches!(decision, Decision::Send(_))
    });
    sent.count()
}

// Load: bulk work floods engines and fills them by its own longer goal, so urgent requests find none that
// starts them in time.
#[rstest]
#[case::with_ranks(true, 1)]
#[case::without(false, 0)]
fn a_flood_of_bulk_work_leaves_engines_that_start_urgent_requests_in_time(
    #[case] ranks: bool,
    #[case] expected: usize,
) {
    let now = Instant::now();
    let mitigations = Mitigations {
        ranks,
        ..Mitigations::default()
    };
    let mut core = ranked_core_with(now, mitigations);
    warm_up(&mut core, now);
    report_running(&mut core, now, 15);
    let bulk = flood(&mut core, now, &bulk_request(), 100);
    assert!(bulk > 0, "free places are used");
    let urgent = flood(&mut core, now, &request("chat"), 1);
    assert_eq!(urgent, expected, "beside {bulk} bulk requests");
}

// Load: both wait for the first place that becomes free.
#[test]
fn an_urgent_request_is_sent_before_bulk_work_that_waits_for_longer() {
    let now = Instant::now();
    let mut core = ranked_core(now);
    warm_up(&mut core, now);
    report_running(&mut core, now, 24);
    let bulk = core.admit(now, &bulk_request()).unwrap();
    let urgent = core.admit(now + ms(10), &request("chat")).unwrap();
    assert!(core.dispatch_waiting(now + ms(10)).is_empty());
    let later = now + ms(20);
    core.update_load(later, ip(2), load(16));
    let decided = core.dispatch_waiting(later);
    let first = decided.first().map(|(ticket, _)| *ticket);
    assert_eq!(first, Some(urgent), "{bulk} waits for longer");
}

#[test]
fn engines_are_asked_to_admit_urgent_requests_first() {
    let now = Instant::now();
    let mut core = ranked_core(now);
    warm_up(&mut core, now);
    let (_, urgent) = send(&mut core, now, &request("chat"));
    let (_, bulk) = send(&mut core, now, &bulk_request());
    assert!(urgent.priority.is_some());
    assert!(urgent.priority < bulk.priority);
}

// Guards against ranks where the configuration has none: everything is decided as without them.
#[test]
fn requests_of_one_priority_have_no_rank() {
    let now = Instant::now();
    let mut core = core(now);
    core.set_entry_count(now, 1);
    report_running(&mut core, now, 0);
    for _ in 0..20 {
        let (ticket, assignment) = send(&mut core, now, &request("chat"));
        assert_eq!(assignment.priority, None);
        core.finish(now, ticket);
    }
}

// Guards against ranks because of single requests that only test whether a route is in force.
#[test]
fn a_priority_without_traffic_is_no_rank() {
    let start = Instant::now();
    let mut core = ranked_core(start);
    let (ticket, _) = send(&mut core, start, &bulk_request());
    core.finish(start, ticket);
    for n in 0..100 {
        let now = start + Duration::from_millis(20) * n;
        let (ticket, _) = send(&mut core, now, &request("chat"));
        core.finish(now, ticket);
    }
    let now = start + ms(2_000);
    let (_, assignment) = send(&mut core, now, &request("chat"));
    assert_eq!(assignment.priority, None);
}

// Guards against bulk work that is never sent although the engines have room for it.
#[test]
fn bulk_work_uses_engines_that_urgent_requests_leave_idle() {
    let now = Instant::now();
    let mut core = ranked_core(now);
    warm_up(&mut core, now);
    report_running(&mut core, now, 4);
    // Beyond half of the places, the prompts of those sent at the same moment count.
    assert!(flood(&mut core, now, &bulk_request(), 24) >= 12);
}
