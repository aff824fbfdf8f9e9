use std::time::Duration;

use rstest::rstest;

use super::fixture::{Fixture, endpoint_report, request_meta};
use crate::codes::Code;
use crate::entry::core::EntryEvent;
use crate::types::EntryAttemptOutcome;

#[test]
fn own_requests_count_although_the_report_shows_an_idle_endpoint() {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    f.arrive_many(4);
    f.heartbeat_replied("h1", 4, 0);
    f.arrive_many(3);
    assert_eq!(f.dispatched.len(), 4);
}

#[test]
fn endpoint_that_lowered_its_limit_gets_no_more_requests_after_its_refusal() {
    let mut f = Fixture::new(&[("h1", "a")], 8);
    let first = f.arrive("answers", "small");
    f.handle(EntryEvent::LoadReported {
        endpoint: "h1-0".into(),
        in_flight: 1,
        limit: 1,
    });
    f.end_attempt(first, EntryAttemptOutcome::Refused(Code::EndpointFull));
    f.arrive_many(3);
    assert_eq!(
        f.dispatched.len(),
        1,
        "the entry assumes that the slot is still taken"
    );
    f.heartbeat_replied("h1", 1, 0);
    assert_eq!(f.dispatched.len(), 2, "one slot, one request");
    assert!(f.refused.is_empty());
}

#[test]
fn slots_of_a_dead_entry_are_free_after_the_next_report() {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    f.heartbeat_replied("h1", 4, 4);
    f.arrive_many(2);
    assert_eq!(f.dispatched.len(), 0);
    f.heartbeat_replied("h1", 4, 0);
    assert_eq!(f.dispatched.len(), 2);
}

#[test]
fn cold_endpoints_get_one_request_each() {
    let mut f = Fixture::new(&[("h1", "a"), ("h2", "b"), ("h3", "c")], 1);
    f.arrive_many(100);
    let mut used = f.hosts_used();
    used.sort();
    assert_eq!(used, ["h1".into(), "h2".into(), "h3".into()]);
    assert!(!f.refused.is_empty(), "the excess is refused at arrival");
}

#[rstest]
#[case::caller_gone(true)]
#[case::late_outcome(false)]
fn event_after_the_end_of_a_request_changes_nothing(#[case] caller_gone: bool) {
    let mut f = Fixture::new(&[("h1", "a")], 1);
    let req = f.arrive("answers", "small");
    f.end_attempt(req, EntryAttemptOutcome::Answered);
    f.arrive_many(1);
    match caller_gone {
        true => f.handle(EntryEvent::CallerGone { req }),
        false => f.end_attempt(req, EntryAttemptOutcome::Answered),
    }
    f.arrive_many(1);
    assert_eq!(f.dispatched.len(), 2, "the slot was released only once");
    assert_eq!(f.completed, [req]);
}

#[test]
fn retries_stay_within_a_tenth_of_requests_when_every_attempt_is_refused() {
    let mut f = Fixture::new(&[("h1", "a"), ("h2", "b")], 4);
    let requests = 1_000;
    for _ in 0..requests {
        let req = f.arrive("answers", "small");
        for _ in 0..5 {
            let is_open = f.refused.iter().all(|(refused, _)| *refused != req);
            if is_open {
                f.end_attempt(req, EntryAttemptOutcome::Refused(Code::WrongInstance));
            }
            f.heartbeat_replied("h1", 4, 0);
            f.heartbeat_replied("h2", 4, 0);
        }
    }
    let retries = f.dispatched.len() - requests;
    assert!(retries <= requests / 10 + 5, "{retries}");
    assert!(f.refusal_codes().contains(&Code::RetriesSpent));
}

#[test]
fn excess_of_a_burst_is_refused_at_arrival_and_the_rest_starts_in_time() {
    let mut f = Fixture::new(&[("h1", "a"), ("h2", "b")], 10);
    let service_time = Duration::from_millis(200);
    let step = Duration::from_millis(5);
    let (mut running, mut ended, mut refused_in_queue) = (Vec::new(), 0, 0);
    // The capacity is 100 requests a second; 1,000 a second arrive from second 3 to second 5.
    for tick in 0..1_400 {
        let is_burst = (600..1_000).contains(&tick);
        let count = if is_burst {
            5
        } else {
            usize::from(tick % 3 == 0)
        };
        let refused_before = f.refused.len();
        f.advance(step);
        refused_in_queue += f.refused.len() - refused_before;
        f.arrive_many(count);
        running.extend(f.dispatched.drain(..).map(|d| (f.now + service_time, d)));
        let (due, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(at, _)| *at <= f.now);
        running = rest;
        for (_, dispatch) in due {
            ended += 1;
            f.handle(EntryEvent::AttemptEnded {
                req: dispatch.req,
                attempt: dispatch.attempt,
                outcome: EntryAttemptOutcome::Answered,
                answer: None,
            });
        }
        if tick % 200 == 0 {
            f.heartbeat_replied("h1", 10, 0);
            f.heartbeat_replied("h2", 10, 0);
        }
        if tick == 1_200 {
            f.refused.clear();
        }
    }
    assert!(
        f.refused.is_empty(),
        "no request is refused later than a second after the burst"
    );
    assert!(
        refused_in_queue <= ended / 20,
        "{refused_in_queue} of {ended}"
    );
}

#[test]
fn small_customer_is_served_while_a_large_one_floods_the_queue() {
    let mut f = Fixture::new(&[("h1", "a")], 1);
    f.arrive("answers", "large");
    for _ in 0..30 {
        f.arrive("answers", "large");
    }
    let small = f.arrive("answers", "small");
    let running = f.dispatched[0].req;
    f.end_attempt(running, EntryAttemptOutcome::Answered);
    let running = f.dispatched[1].req;
    f.end_attempt(running, EntryAttemptOutcome::Answered);
    assert!(
        f.dispatched.iter().any(|d| d.req == small),
        "it starts within two completions"
    );
}

#[test]
fn class_of_higher_priority_goes_first() {
    let mut f = Fixture::new(&[("h1", "a")], 1);
    let running = f.arrive("summaries", "small");
    f.arrive("summaries", "small");
    let urgent = f.arrive("answers", "small");
    f.end_attempt(running, EntryAttemptOutcome::Answered);
    assert_eq!(f.dispatched[1].req, urgent);
}

#[test]
fn requests_with_the_same_prefix_go_to_one_endpoint_while_it_has_free_slots() {
    let hosts = [("h1", "a"), ("h2", "b"), ("h3", "c"), ("h4", "c")];
    let mut f = Fixture::new(&hosts, 8);
    let mut with_prefix = request_meta("answers", "small");
    with_prefix.prefix = Some("p".into());
    for _ in 0..20 {
        let req = f.arrive_with(with_prefix.clone());
        f.end_attempt(req, EntryAttemptOutcome::Answered);
    }
    let first_host = f.dispatched[0].host.clone();
    assert!(f.hosts_used().iter().all(|host| *host == first_host));
    for _ in 0..24 {
        f.arrive_with(with_prefix.clone());
    }
    let on_first_host = f.hosts_used()[20..]
        .iter()
        .filter(|h| **h == first_host)
        .count();
    assert!(
        (2..=8).contains(&on_first_host),
        "{on_first_host}: the others go to other endpoints"
    );
}

#[test]
fn slow_endpoint_is_avoided_while_others_have_free_slots() {
    let mut f = Fixture::new(&[("h1", "a"), ("h2", "b"), ("h3", "c")], 8);
    for _ in 0..30 {
        let req = f.arrive("answers", "small");
        let is_slow = &*f.latest_dispatch(req).host == "h1";
        f.now += Duration::from_millis(if is_slow { 400 } else { 30 });
        f.start_answer(req);
        f.end_attempt(req, EntryAttemptOutcome::Answered);
    }
    f.dispatched.clear();
    f.arrive_many(16);
    assert!(f.hosts_used().iter().all(|host| &**host != "h1"));
    f.arrive_many(1);
    f.heartbeat_replied("h1", 8, 0);
    f.advance(Duration::from_secs(5));
    f.heartbeat_replied("h1", 8, 0);
    f.arrive_many(1);
    assert!(
        f.hosts_used().iter().any(|host| &**host == "h1"),
        "the slow endpoint is tried again"
    );
}

#[test]
fn endpoint_that_changed_its_target_gets_no_requests_for_the_old_one() {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    let mut other = endpoint_report("h1-0", 4, 0);
    other.target = Some("other".into());
    f.sync_replied(super::fixture::sync_reply("h1", vec![other]));
    f.arrive_many(1);
    assert_eq!(f.refusal_codes(), [Code::NoEndpoint]);
}
