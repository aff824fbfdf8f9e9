use std::time::Duration;

use rstest::rstest;

use super::fixture::{Fixture, meta, report};
use crate::codes::Code;
use crate::entry::core::EntryEvent;
use crate::types::AttemptEnd;

#[test]
fn a_report_that_shows_idle_does_not_hide_own_work() {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    f.arrive_many(4);
    f.heard("h1", 4, 0);
    f.arrive_many(3);
    assert_eq!(f.dispatched.len(), 4);
}

#[test]
fn an_endpoint_that_turns_cold_without_a_word_gets_no_more_after_its_refusal() {
    let mut f = Fixture::new(&[("h1", "a")], 8);
    let first = f.arrive("answers", "small");
    f.event(EntryEvent::LoadReported {
        endpoint: "h1-0".into(),
        in_flight: 1,
        limit: 1,
    });
    f.end(first, AttemptEnd::Refused(Code::EndpointFull));
    f.arrive_many(3);
    assert_eq!(
        f.dispatched.len(),
        1,
        "the place is taken as far as is known"
    );
    f.heard("h1", 1, 0);
    assert_eq!(f.dispatched.len(), 2, "one place, one request");
    assert!(f.refused.is_empty());
}

#[test]
fn places_of_a_dead_entry_are_free_with_the_next_report() {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    f.heard("h1", 4, 4);
    f.arrive_many(2);
    assert_eq!(f.dispatched.len(), 0);
    f.heard("h1", 4, 0);
    assert_eq!(f.dispatched.len(), 2);
}

#[test]
fn all_endpoints_cold_at_once_get_one_request_each() {
    let mut f = Fixture::new(&[("h1", "a"), ("h2", "b"), ("h3", "c")], 1);
    f.arrive_many(100);
    let mut used = f.hosts_used();
    used.sort();
    assert_eq!(used, ["h1".into(), "h2".into(), "h3".into()]);
    assert!(!f.refused.is_empty(), "the rest is refused at arrival");
}

#[rstest]
#[case::caller_gone(true)]
#[case::late_end(false)]
fn an_end_after_the_end_changes_nothing(#[case] caller_gone: bool) {
    let mut f = Fixture::new(&[("h1", "a")], 1);
    let req = f.arrive("answers", "small");
    f.end(req, AttemptEnd::Answered);
    f.arrive_many(1);
    match caller_gone {
        true => f.event(EntryEvent::CallerGone { req }),
        false => f.end(req, AttemptEnd::Answered),
    }
    f.arrive_many(1);
    assert_eq!(f.dispatched.len(), 2, "the place was given back once");
    assert_eq!(f.completed, [req]);
}

#[test]
fn retries_stay_within_a_tenth_of_first_tries_when_every_attempt_is_refused() {
    let mut f = Fixture::new(&[("h1", "a"), ("h2", "b")], 4);
    let firsts = 1_000;
    for _ in 0..firsts {
        let req = f.arrive("answers", "small");
        for _ in 0..5 {
            let open = f.refused.iter().all(|(refused, _)| *refused != req);
            if open {
                f.end(req, AttemptEnd::Refused(Code::WrongInstance));
            }
            f.heard("h1", 4, 0);
            f.heard("h2", 4, 0);
        }
    }
    let retries = f.dispatched.len() - firsts;
    assert!(retries <= firsts / 10 + 5, "{retries}");
    assert!(f.codes().contains(&Code::RetriesSpent));
}

#[test]
fn a_burst_is_refused_at_arrival_and_the_rest_starts_in_time() {
    let mut f = Fixture::new(&[("h1", "a"), ("h2", "b")], 10);
    let service = Duration::from_millis(200);
    let step = Duration::from_millis(5);
    let (mut running, mut ended, mut refused_later) = (Vec::new(), 0, 0);
    // 100 requests a second are the capacity; 1,000 a second arrive from second 3 to second 5.
    for tick in 0..1_400 {
        let burst = (600..1_000).contains(&tick);
        let count = if burst { 5 } else { usize::from(tick % 3 == 0) };
        let waiting_refusals = f.refused.len();
        f.pass(step);
        refused_later += f.refused.len() - waiting_refusals;
        f.arrive_many(count);
        running.extend(f.dispatched.drain(..).map(|d| (f.now + service, d)));
        let (due, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(at, _)| *at <= f.now);
        running = rest;
        for (_, dispatch) in due {
            ended += 1;
            f.event(EntryEvent::AttemptEnded {
                req: dispatch.req,
                attempt: dispatch.attempt,
                outcome: AttemptEnd::Answered,
                answer: None,
            });
        }
        if tick % 200 == 0 {
            f.heard("h1", 10, 0);
            f.heard("h2", 10, 0);
        }
        if tick == 1_200 {
            f.refused.clear();
        }
    }
    assert!(f.refused.is_empty(), "no refusal a second after the burst");
    assert!(refused_later <= ended / 20, "{refused_later} of {ended}");
}

#[test]
fn a_small_customer_is_served_while_a_large_one_floods_the_queue() {
    let mut f = Fixture::new(&[("h1", "a")], 1);
    f.arrive("answers", "large");
    for _ in 0..30 {
        f.arrive("answers", "large");
    }
    let small = f.arrive("answers", "small");
    let running = f.dispatched[0].req;
    f.end(running, AttemptEnd::Answered);
    let running = f.dispatched[1].req;
    f.end(running, AttemptEnd::Answered);
    assert!(
        f.dispatched.iter().any(|d| d.req == small),
        "within two turns"
    );
}

#[test]
fn a_more_urgent_class_goes_first() {
    let mut f = Fixture::new(&[("h1", "a")], 1);
    let running = f.arrive("summaries", "small");
    f.arrive("summaries", "small");
    let urgent = f.arrive("answers", "small");
    f.end(running, AttemptEnd::Answered);
    assert_eq!(f.dispatched[1].req, urgent);
}

#[test]
fn a_prefix_goes_to_the_same_endpoint_while_it_has_room() {
    let hosts = [("h1", "a"), ("h2", "b"), ("h3", "c"), ("h4", "c")];
    let mut f = Fixture::new(&hosts, 8);
    let mut with_prefix = meta("answers", "small");
    with_prefix.prefix = Some("p".into());
    for _ in 0..20 {
        let req = f.arrive_with(with_prefix.clone());
        f.end(req, AttemptEnd::Answered);
    }
    let home = f.dispatched[0].host.clone();
    assert!(f.hosts_used().iter().all(|host| *host == home));
    for _ in 0..24 {
        f.arrive_with(with_prefix.clone());
    }
    let at_home = f.hosts_used()[20..].iter().filter(|h| **h == home).count();
    assert!((2..=8).contains(&at_home), "{at_home}: it spills over");
}

#[test]
fn a_slow_endpoint_is_avoided_while_others_have_room() {
    let mut f = Fixture::new(&[("h1", "a"), ("h2", "b"), ("h3", "c")], 8);
    for _ in 0..30 {
        let req = f.arrive("answers", "small");
        let slow = &*f.latest(req).host == "h1";
        f.now += Duration::from_millis(if slow { 400 } else { 30 });
        f.start(req);
        f.end(req, AttemptEnd::Answered);
    }
    f.dispatched.clear();
    f.arrive_many(16);
    assert!(f.hosts_used().iter().all(|host| &**host != "h1"));
    f.arrive_many(1);
    f.heard("h1", 8, 0);
    f.pass(Duration::from_secs(5));
    f.heard("h1", 8, 0);
    f.arrive_many(1);
    assert!(
        f.hosts_used().iter().any(|host| &**host == "h1"),
        "tried again"
    );
}

#[test]
fn an_endpoint_on_a_known_host_may_change_its_target() {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    let mut other = report("h1-0", 4, 0);
    other.target = Some("other".into());
    f.synced(super::fixture::reply("h1", vec![other]));
    f.arrive_many(1);
    assert_eq!(f.codes(), [Code::NoEndpoint]);
}
