//! Decisions on single requests between the passes over all waiting ones.

use std::time::Instant;

use super::fixture::*;
use crate::dispatch::*;

/// A request whose fingerprint no other has.
fn numbered(route: &str, number: u64) -> CallerRequest {
    CallerRequest {
        fingerprint: 1_000 + number,
        ..request(route)
    }
}

/// Dispatcher of a single entry whose engines have no free place.
fn full_core(now: Instant) -> Dispatcher {
    let mut core = core(now);
    core.set_entry_count(now, 1);
    for host in 1..=3 {
        core.update_load(now, ip(host), load(24));
    }
    core
}

fn waiting(core: &mut Dispatcher, now: Instant, number: u64) -> TicketId {
    let ticket = core.admit(now, &numbered("chat", number)).unwrap();
    assert_eq!(core.dispatch_alone(now, ticket), None);
    ticket
}

fn sent(decisions: &[(TicketId, Decision)]) -> Vec<TicketId> {
    let sent = decisions
        .iter()
        .filter(|(_, decision)| matches!(decision, Decision::Send(_)));
    sent.map(|(ticket, _)| *ticket).collect()
}

#[test]
fn a_request_that_is_alone_is_sent_at_once() {
    let now = Instant::now();
    let mut core = core(now);
    let ticket = core.admit(now, &request("chat")).unwrap();
    assert!(matches!(
        core.dispatch_alone(now, ticket),
        Some(Decision::Send(_))
    ));
    assert!(!core.is_pass_wanted(now));
}

#[test]
fn an_arriving_request_does_not_take_a_place_that_an_older_one_could_have() {
    let now = Instant::now();
    let mut core = full_core(now);
    let older = waiting(&mut core, now, 1);
    core.dispatch_waiting(now);
    core.update_load(now + ms(1), ip(2), load(15));
    let now = now + ms(2);
    let newer = core.admit(now, &numbered("chat", 2)).unwrap();
    assert_eq!(core.dispatch_alone(now, newer), None);
    assert!(core.is_pass_wanted(now));
    assert_eq!(sent(&core.dispatch_waiting(now)).first(), Some(&older));
}

#[test]
fn an_arriving_request_is_sent_elsewhere_when_nothing_has_changed_for_the_others() {
    let now = Instant::now();
    let mut core = full_core(now);
    waiting(&mut core, now, 1);
    core.dispatch_waiting(now);
    let now = now + ms(2);
    assert!(!core.is_pass_wanted(now));
    let other = core.admit(now, &numbered("look", 2)).unwrap();
    assert!(matches!(
        core.dispatch_alone(now, other),
        Some(Decision::Send(_))
    ));
}

#[test]
fn a_pass_counts_for_a_short_time() {
    let now = Instant::now();
    let mut core = full_core(now);
    waiting(&mut core, now, 1);
    core.dispatch_waiting(now);
    let now = now + ms(20);
    assert!(!core.is_pass_wanted(now));
    let other = core.admit(now, &numbered("look", 2)).unwrap();
    assert_eq!(core.dispatch_alone(now, other), None);
    assert!(core.is_pass_wanted(now));
    assert_eq!(sent(&core.dispatch_waiting(now)), [other]);
}

#[test]
fn a_caller_that_leaves_while_waiting_wants_no_pass() {
    let now = Instant::now();
    let mut core = full_core(now);
    let first = waiting(&mut core, now, 1);
    core.dispatch_waiting(now);
    waiting(&mut core, now + ms(1), 2);
    core.finish(now + ms(2), first);
    assert!(!core.is_pass_wanted(now + ms(2)));
}

#[test]
fn only_the_expired_are_decided_on_when_nothing_has_changed() {
    let now = Instant::now();
    let mut core = full_core(now);
    let first = waiting(&mut core, now, 1);
    core.dispatch_waiting(now);
    waiting(&mut core, now + ms(10), 2);
    assert_eq!(core.next_deadline(), Some(now + ms(200)));
    core.dispatch_waiting(now + ms(190));
    let decided = core.dispatch_expired(now + ms(200));
    let decided: Vec<TicketId> = decided.iter().map(|(ticket, _)| *ticket).collect();
    assert_eq!(decided, [first]);
    assert_eq!(core.next_deadline(), Some(now + ms(210)));
}

#[test]
fn an_expired_request_does_not_take_a_place_that_one_before_it_could_have() {
    let now = Instant::now();
    let mut core = full_core(now);
    let returned = numbered("chat", 1);
    let refused = waiting(&mut core, now, 1);
    core.dispatch_waiting(now);
    assert!(refusal_code(core.dispatch_expired(now + ms(200)).pop().map(|p| p.1)).is_some());
    assert_eq!(core.recall(refused), None);
    let now = now + ms(300);
    for host in 1..=3 {
        core.update_load(now, ip(host), load(24));
    }
    let returning = core.admit(now, &returned).unwrap();
    assert_eq!(core.dispatch_alone(now, returning), None);
    let fresh = waiting(&mut core, now + ms(10), 2);
    core.update_load(now + ms(195), ip(2), load(15));
    let decided = core.dispatch_expired(now + ms(200));
    assert_eq!(sent(&decided).first(), Some(&fresh));
    assert!(decided.iter().any(|(ticket, _)| *ticket == returning));
}
