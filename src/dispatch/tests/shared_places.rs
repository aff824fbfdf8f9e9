//! What several entries together leave unstarted at an engine: each decides without the others.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::fixture::*;
use crate::dispatch::*;

/// Entries with the engines e1, e2 and e3.
fn entries(now: Instant, number: u32) -> Vec<Dispatcher> {
    let cores = (0..number).map(|seed| {
        let mut core = core_with_seed(now, u64::from(seed));
        core.set_entry_count(now, number);
        core
    });
    cores.collect()
}

/// Lets a request arrive at each entry; returns the names of the engines that are sent one.
fn arrive(cores: &mut [Dispatcher], now: Instant) -> Vec<String> {
    let mut sent = Vec::new();
    for core in cores {
        let ticket = core.admit(now, &request("chat")).unwrap();
        if let Some(Decision::Send(assignment)) = decide(core, now, ticket) {
            sent.push(assignment.endpoint.to_string());
        }
    }
    sent
}

/// Regression: 16 entries filled the same free place of an engine, and it held a queue that it began
/// after the callers had left.
#[rstest]
#[case::one_entry(1, 15)]
#[case::five_entries(5, 15)]
#[case::sixteen_entries(16, 15)]
#[case::sixteen_entries_and_four_free_places(16, 12)]
fn entries_together_fill_the_free_places_of_an_engine_once(
    #[case] number: u32,
    #[case] running: u32,
) {
    let now = Instant::now();
    let mut cores = entries(now, number);
    let mut sent = 0;
    let rounds = 40;
    for round in 0..rounds {
        // Each round begins with engines whose load is known and on which nothing waits.
        let now = now + Duration::from_secs(10) * round;
        for core in &mut cores {
            for host in 1..=3 {
                core.update_load(now, ip(host), load(running));
            }
        }
        let mut tickets = Vec::new();
        for core in &mut cores {
            for _ in 0..12 / number + 2 {
                let ticket = core.admit(now, &request("chat")).unwrap();
                if let Some(Decision::Send(_)) = decide(core, now, ticket) {
                    sent += 1;
                }
                tickets.push(ticket);
            }
            for ticket in tickets.drain(..) {
                core.finish(now, ticket);
            }
        }
    }
    // Two and a half requests that wait at an engine still start in time.
    let free = f64::from(16 - running) + 2.5;
    let each = f64::from(sent) / f64::from(rounds * 3);
    assert!(
        each <= free * 1.25,
        "{each:.1} sent to each engine with {free} places"
    );
    assert!(
        each >= free * 0.5,
        "{each:.1} sent to each engine with {free} places"
    );
}

/// Regression: an engine counted as empty once its last load report was 1.5 s old.
#[rstest]
#[case::five_entries(5)]
#[case::sixteen_entries(16)]
fn a_silent_engine_gets_no_more_than_its_free_places(#[case] number: u32) {
    let start = Instant::now();
    let mut cores = entries(start, number);
    for core in &mut cores {
        core.update_load(start, ip(1), load(15));
    }
    let mut sent = 0;
    for step in 0..30_u32 {
        let now = start + ms(100) * step;
        for core in &mut cores {
            for host in [2, 3] {
                core.update_load(now, ip(host), load(15));
            }
        }
        let to_silent = arrive(&mut cores, now)
            .into_iter()
            .filter(|e| e == "e1")
            .count();
        assert!(to_silent == 0 || step < 15, "{to_silent} after {step}00 ms");
        sent += to_silent;
    }
    assert!(sent <= 9, "{sent} sent to an engine with one free place");
}

#[test]
fn engines_are_used_when_all_of_them_are_silent() {
    let now = Instant::now();
    let mut core = core(now);
    for host in 1..=3 {
        core.update_load(now, ip(host), load(4));
    }
    send(&mut core, now + Duration::from_secs(5), &request("chat"));
}

#[test]
fn an_engine_that_answers_is_used_without_load_reports() {
    let start = Instant::now();
    let mut core = core(start);
    for host in 1..=3 {
        core.update_load(start, ip(host), load(if host == 1 { 0 } else { 14 }));
    }
    let (ticket, assignment) = send(&mut core, start, &request("chat"));
    assert_eq!(&*assignment.endpoint, "e1");
    let begun = start + ms(1_400);
    core.attempt_started(begun, ticket, Some(1));
    let now = start + ms(2_000);
    for host in [2, 3] {
        core.update_load(now, ip(host), load(30));
    }
    let (_, assignment) = send(&mut core, now, &request("chat"));
    assert_eq!(&*assignment.endpoint, "e1");
}

/// Regression: a request whose answer is no stream counted as waiting until its end, beside the load report
/// that counted it as running, and engines and plain services with free places refused requests.
#[rstest]
#[case::engines_of_one_entry("summary", 1, 950, 3, 100)]
#[case::engines_of_five_entries("summary", 5, 950, 3, 100)]
#[case::engines_of_sixteen_entries("summary", 16, 950, 3, 100)]
#[case::plain_services_of_four_entries("look", 4, 330, 5, 80)]
#[case::plain_services_of_sixteen_entries("look", 16, 330, 5, 80)]
fn whole_answers_use_the_places_that_load_reports_show_as_free(
    #[case] route_name: &str,
    #[case] number: u32,
    #[case] answer_ms: u64,
    #[case] pause_steps: u32,
    #[case] expected: u32,
) {
    let start = Instant::now();
    let mut core = entries(start, number).remove(0);
    let summary = Route {
        is_stream: false,
        ..route("summary", "engines", Repeat::Safe)
    };
    let routes = routes().into_iter().chain([summary]).collect();
    core.set_configuration(Arc::new(configuration(2, routes)));
    let mut open: Vec<(Instant, TicketId, Assignment)> = Vec::new();
    let mut sent = 0;
    for step in 0..400_u32 {
        let now = start + ms(10) * step;
        open.retain(|(since, ticket, _)| {
            let has_ended = now >= *since + ms(answer_ms);
            if has_ended {
                core.attempt_ended(now, *ticket, AttemptOutcome::Answered);
            }
            !has_ended
        });
        for host in [1, 2, 3, 11, 12] {
            let running = open.iter().filter(|o| o.2.addr == addr(host)).count();
            core.update_load(now, ip(host), load(running as u32));
        }
        if step % pause_steps == 0 {
            let req = CallerRequest {
                prompt_tokens: if route_name == "look" { 0 } else { 1_000 },
                fingerprint: u64::from(step),
                ..request(route_name)
            };
            core.admit(now, &req).unwrap();
        }
        for (ticket, decision) in core.dispatch_waiting(now) {
            if let Decision::Send(assignment) = decision {
                sent += 1;
                open.push((now, ticket, assignment));
            }
        }
    }
    assert!(sent >= expected, "{sent} requests sent");
}

/// Requests of a burst of 30 at one entry of `number` that are sent to three idle engines. Reports arrive each
/// 10 ms, the first events 230 ms after their requests.
fn sent_of_a_burst(number: u32) -> usize {
    let start = Instant::now();
    let mut core = core(start);
    core.set_entry_count(start, number);
    for _ in 0..30 {
        core.admit(start, &request("chat")).unwrap();
    }
    let mut sent: Vec<(Instant, TicketId, String)> = Vec::new();
    for at_ms in (0..500).step_by(10) {
        let now = start + ms(at_ms);
        for (at, ticket, _) in &sent {
            if now == *at + ms(230) {
                core.attempt_started(now, *ticket, Some(1));
            }
        }
        for (host, name) in [(1, "e1"), (2, "e2"), (3, "e3")] {
            let there = sent.iter().filter(|(.., id)| id == name);
            core.update_load(now, ip(host), load(there.count() as u32));
        }
        for (ticket, decision) in core.dispatch_waiting(now) {
            if let Decision::Send(assignment) = decision {
                sent.push((now, ticket, assignment.endpoint.to_string()));
            }
        }
    }
    sent.len()
}

/// Regression: an entry that alone took all callers refused most of a burst at idle engines, since their
/// places were kept free for entries that sent nothing.
#[rstest]
#[case::five_entries(5)]
#[case::sixteen_entries(16)]
fn an_entry_that_alone_has_requests_uses_the_places_of_the_others(#[case] number: u32) {
    let (alone, among) = (sent_of_a_burst(1), sent_of_a_burst(number));
    assert!(among * 3 >= alone * 2, "{among} sent, alone {alone}");
}
