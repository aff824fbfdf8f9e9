use std::time::Duration;

use rstest::rstest;

use super::fixture::{Fixture, meta};
use crate::codes::Code;
use crate::delivery::{StoreCall, StoreReply};
use crate::entry::core::EntryEvent;
use crate::types::{AttemptEnd, RequestId};
use crate::wire::{SettleReply, SettleState};

const TWO: &[(&str, &str)] = &[("h1", "a"), ("h2", "b")];

fn book(f: &mut Fixture) -> RequestId {
    let mut meta = meta("bookings", "small");
    meta.key = Some("k".into());
    f.arrive_with(meta)
}

fn settle(state: SettleState) -> Option<SettleReply> {
    Some(SettleReply {
        agent_instance: 7,
        answer: (state == SettleState::Done).then(|| "{}".into()),
        state,
    })
}

#[test]
fn a_key_is_needed() {
    let mut f = Fixture::new(TWO, 4);
    f.arrive("bookings", "small");
    assert_eq!(f.codes(), [Code::KeyMissing]);
}

#[test]
fn nothing_is_sent_before_the_claim_is_held_and_two_calls_suffice() {
    let mut f = Fixture::new(TWO, 4);
    let req = book(&mut f);
    assert!(f.dispatched.is_empty());
    let (_, StoreCall::Put { value, .. }) = f.stored[0].clone() else {
        panic!("the claim is written first");
    };
    f.store_replies(StoreReply::Written { version: 5 });
    let dispatch = f.latest(req).clone();
    assert!(
        value.contains(&*dispatch.attempt),
        "the claim names the attempt"
    );
    assert!(value.contains(&*dispatch.endpoint));
    f.end(req, AttemptEnd::Answered);
    assert_eq!(f.completed, [req]);
    assert!(!f.core.is_drained(), "the outcome is not recorded yet");
    f.store_replies(StoreReply::Written { version: 6 });
    assert!(f.core.is_drained());
    assert_eq!(f.stored.len(), 2);
}

#[test]
fn the_place_is_free_again_after_every_way_of_ending() {
    let mut f = Fixture::new(&[("h1", "a")], 1);
    book(&mut f);
    f.store_replies(StoreReply::Refused);
    assert_eq!(f.codes(), [Code::StoreUnavailable]);
    let gone = book(&mut f);
    f.event(EntryEvent::CallerGone { req: gone });
    f.store_replies(StoreReply::Written { version: 1 });
    f.store_replies(StoreReply::Written { version: 2 });
    assert!(f.dispatched.is_empty(), "nobody waits for it any more");
    let req = book(&mut f);
    f.store_replies(StoreReply::Written { version: 3 });
    f.end(req, AttemptEnd::Answered);
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
    f.event(EntryEvent::HostsListed(hosts));
})]
fn a_claimed_attempt_moves_when_its_endpoint_becomes_unfit(#[case] cause: fn(&mut Fixture, &str)) {
    let mut f = Fixture::new(TWO, 4);
    let req = book(&mut f);
    let (_, StoreCall::Put { value, .. }) = f.stored[0].clone() else {
        panic!("the claim is written first");
    };
    let first = if value.contains("h1-0") { "h1" } else { "h2" };
    cause(&mut f, first);
    f.store_replies(StoreReply::Written { version: 5 });
    assert!(f.dispatched.is_empty(), "it is claimed anew first");
    f.store_replies(StoreReply::Written { version: 6 });
    assert_ne!(&*f.latest(req).host, first);
}

#[rstest]
#[case::refused(AttemptEnd::Refused(Code::EndpointFull))]
#[case::not_sent(AttemptEnd::NotSent)]
fn an_attempt_that_has_not_run_is_claimed_anew(#[case] end: AttemptEnd) {
    let mut f = Fixture::new(TWO, 4);
    let req = book(&mut f);
    f.store_replies(StoreReply::Written { version: 5 });
    let first = f.latest(req).clone();
    f.end(req, end);
    assert_eq!(
        f.dispatched.len(),
        1,
        "not before the claim names the new attempt"
    );
    f.store_replies(StoreReply::Written { version: 6 });
    assert_ne!(f.latest(req).attempt, first.attempt);
}

#[rstest]
#[case::broken(AttemptEnd::Broken { delivered: 0 })]
#[case::timed_out(AttemptEnd::TimedOut)]
#[case::mismatch(AttemptEnd::Mismatch(Code::AnswerBroken))]
fn an_attempt_that_may_have_run_is_settled_and_never_sent_again(
    #[case] end: AttemptEnd,
    #[values(None, settle(SettleState::Unknown), settle(SettleState::Running))] reply: Option<
        SettleReply,
    >,
) {
    let mut f = Fixture::new(TWO, 4);
    let req = book(&mut f);
    f.store_replies(StoreReply::Written { version: 5 });
    f.end(req, end);
    assert_eq!(f.settles, [req]);
    let running = reply
        .as_ref()
        .is_some_and(|r| r.state == SettleState::Running);
    f.settled(req, reply);
    let code = if running {
        Code::StillRunning
    } else {
        Code::OutcomeUnknown
    };
    assert_eq!(f.codes(), [code]);
    f.pass(Duration::from_secs(1));
    assert_eq!(f.dispatched.len(), 1);
}

#[test]
fn a_settled_answer_is_replayed() {
    let mut f = Fixture::new(TWO, 4);
    let req = book(&mut f);
    f.store_replies(StoreReply::Written { version: 5 });
    f.end(req, AttemptEnd::Broken { delivered: 0 });
    f.settled(req, settle(SettleState::Done));
    assert_eq!(f.replayed, [req]);
    assert!(f.refused.is_empty());
}

#[test]
fn a_caller_that_goes_while_the_attempt_runs_leaves_a_recorded_outcome() {
    let mut f = Fixture::new(TWO, 4);
    let req = book(&mut f);
    f.store_replies(StoreReply::Written { version: 5 });
    f.event(EntryEvent::CallerGone { req });
    f.settled(req, settle(SettleState::Done));
    assert_eq!(f.stored.len(), 2, "claim and outcome");
    f.store_replies(StoreReply::Written { version: 6 });
    assert!(f.core.is_drained());
}
