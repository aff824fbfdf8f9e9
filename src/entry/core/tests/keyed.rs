use std::time::Duration;

use rstest::rstest;

use super::fixture::{Fixture, request_meta};
use crate::codes::Code;
use crate::delivery::{StoreCall, StoreReply};
use crate::entry::core::EntryEvent;
use crate::types::{EntryAttemptOutcome, RequestId};
use crate::wire::{SettleReply, SettleState};

const TWO_HOSTS: &[(&str, &str)] = &[("h1", "a"), ("h2", "b")];

fn arrive_with_key(f: &mut Fixture) -> RequestId {
    let mut meta = request_meta("bookings", "small");
    meta.key = Some("k".into());
    f.arrive_with(meta)
}

fn settle_reply(state: SettleState) -> Option<SettleReply> {
    Some(SettleReply {
        agent_instance: 7,
        answer: (state == SettleState::Done).then(|| "{}".into()),
        state,
    })
}

#[test]
fn request_without_key_is_refused_in_a_keyed_class() {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    f.arrive("bookings", "small");
    assert_eq!(f.refusal_codes(), [Code::KeyMissing]);
}

#[test]
fn attempt_is_sent_after_the_claim_and_the_request_takes_two_store_calls() {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let req = arrive_with_key(&mut f);
    assert!(f.dispatched.is_empty());
    let (_, StoreCall::Put { value, .. }) = f.stored[0].clone() else {
        panic!("the claim is written first");
    };
    f.store_replied(StoreReply::Written { version: 5 });
    let dispatch = f.latest_dispatch(req).clone();
    assert!(
        value.contains(&*dispatch.attempt),
        "the claim names the attempt"
    );
    assert!(value.contains(&*dispatch.endpoint));
    f.end_attempt(req, EntryAttemptOutcome::Answered);
    assert_eq!(f.completed, [req]);
    assert!(!f.core.is_drained(), "the outcome is not recorded yet");
    f.store_replied(StoreReply::Written { version: 6 });
    assert!(f.core.is_drained());
    assert_eq!(f.stored.len(), 2);
}

#[test]
fn slot_is_released_however_the_request_ends() {
    let mut f = Fixture::new(&[("h1", "a")], 1);
    arrive_with_key(&mut f);
    f.store_replied(StoreReply::Refused);
    assert_eq!(f.refusal_codes(), [Code::StoreUnavailable]);
    let gone = arrive_with_key(&mut f);
    f.handle(EntryEvent::CallerGone { req: gone });
    f.store_replied(StoreReply::Written { version: 1 });
    f.store_replied(StoreReply::Written { version: 2 });
    assert!(f.dispatched.is_empty(), "its caller has gone");
    let req = arrive_with_key(&mut f);
    f.store_replied(StoreReply::Written { version: 3 });
    f.end_attempt(req, EntryAttemptOutcome::Answered);
    f.arrive_many(1);
    assert_eq!(f.dispatched.len(), 2);
}

#[rstest]
#[case::zone_out(|f: &mut Fixture, host: &str| {
    let zone = if host == "h1" { "a" } else { "b" };
    f.configure(2, &[zone]);
})]
#[case::leaving(|f: &mut Fixture, host: &str| {
    let mut hosts = f.hosts.clone();
    hosts.iter_mut().filter(|h| &*h.host == host).for_each(|h| h.leaving = true);
    f.handle(EntryEvent::HostsListed(hosts));
})]
fn claimed_attempt_moves_when_its_endpoint_becomes_unavailable(
    #[case] make_unavailable: fn(&mut Fixture, &str),
) {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let req = arrive_with_key(&mut f);
    let (_, StoreCall::Put { value, .. }) = f.stored[0].clone() else {
        panic!("the claim is written first");
    };
    let first = if value.contains("h1-0") { "h1" } else { "h2" };
    make_unavailable(&mut f, first);
    f.store_replied(StoreReply::Written { version: 5 });
    assert!(
        f.dispatched.is_empty(),
        "the new attempt must be claimed first"
    );
    f.store_replied(StoreReply::Written { version: 6 });
    assert_ne!(&*f.latest_dispatch(req).host, first);
}

#[rstest]
#[case::refused(EntryAttemptOutcome::Refused(Code::EndpointFull))]
#[case::not_sent(EntryAttemptOutcome::NotSent)]
fn attempt_that_did_not_run_is_claimed_again_before_a_retry(#[case] outcome: EntryAttemptOutcome) {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let req = arrive_with_key(&mut f);
    f.store_replied(StoreReply::Written { version: 5 });
    let first = f.latest_dispatch(req).clone();
    f.end_attempt(req, outcome);
    assert_eq!(
        f.dispatched.len(),
        1,
        "the claim must name the new attempt first"
    );
    f.store_replied(StoreReply::Written { version: 6 });
    assert_ne!(f.latest_dispatch(req).attempt, first.attempt);
}

#[rstest]
#[case::broken(EntryAttemptOutcome::Broken { delivered: 0 })]
#[case::timed_out(EntryAttemptOutcome::TimedOut)]
#[case::mismatch(EntryAttemptOutcome::Mismatch(Code::AnswerBroken))]
fn attempt_that_may_have_run_is_settled_and_never_retried(
    #[case] outcome: EntryAttemptOutcome,
    #[values(
        None,
        settle_reply(SettleState::Unknown),
        settle_reply(SettleState::Running)
    )]
    reply: Option<SettleReply>,
) {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let req = arrive_with_key(&mut f);
    f.store_replied(StoreReply::Written { version: 5 });
    f.end_attempt(req, outcome);
    assert_eq!(f.settles, [req]);
    let is_running = reply
        .as_ref()
        .is_some_and(|r| r.state == SettleState::Running);
    f.settle_replied(req, reply);
    let code = if is_running {
        Code::StillRunning
    } else {
        Code::OutcomeUnknown
    };
    assert_eq!(f.refusal_codes(), [code]);
    f.advance(Duration::from_secs(1));
    assert_eq!(f.dispatched.len(), 1);
}

#[test]
fn answer_found_by_settling_is_replayed() {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let req = arrive_with_key(&mut f);
    f.store_replied(StoreReply::Written { version: 5 });
    f.end_attempt(req, EntryAttemptOutcome::Broken { delivered: 0 });
    f.settle_replied(req, settle_reply(SettleState::Done));
    assert_eq!(f.replayed, [req]);
    assert!(f.refused.is_empty());
}

#[test]
fn outcome_is_recorded_when_the_caller_leaves_during_the_attempt() {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let req = arrive_with_key(&mut f);
    f.store_replied(StoreReply::Written { version: 5 });
    f.handle(EntryEvent::CallerGone { req });
    f.settle_replied(req, settle_reply(SettleState::Done));
    assert_eq!(
        f.stored.len(),
        2,
        "one call for the claim and one for the outcome"
    );
    f.store_replied(StoreReply::Written { version: 6 });
    assert!(f.core.is_drained());
}
