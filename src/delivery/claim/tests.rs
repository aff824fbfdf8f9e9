use std::time::{Duration, SystemTime};

use rstest::rstest;

use super::*;
use crate::wire::{SettleReply, SettleState};

const AGENT: u64 = 7;

fn request(body: &str) -> KeyedRequest {
    KeyedRequest {
        customer: "studio".into(),
        class: "booking".into(),
        key: "k 1".into(),
        body: body.into(),
        issued: None,
    }
}

fn chosen(attempt: &str) -> ChosenAttempt {
    ChosenAttempt {
        attempt: attempt.into(),
        endpoint: "desk".into(),
        host: "h1".into(),
        agent_instance: AGENT,
    }
}

/// One object with conditional updates.
#[derive(Default)]
struct Store {
    version: Generation,
    value: Option<Arc<str>>,
}

impl Store {
    fn call(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Get { .. } => match &self.value {
                Some(value) => StoreReply::Found {
                    version: self.version,
                    value: value.clone(),
                },
                None => StoreReply::Missing,
            },
            StoreCall::Put {
                value, if_version, ..
            } => {
                let current = self.value.as_ref().map_or(0, |_| self.version);
                if *if_version != current {
                    return StoreReply::Conflict;
                }
                self.version += 1;
                self.value = Some(value.clone());
                StoreReply::Written {
                    version: self.version,
                }
            }
            StoreCall::Delete { .. } => unreachable!("a claim deletes nothing"),
        }
    }
}

/// Runs a claim against a store.
struct Driver {
    claim: Claim,
    pending: Vec<ClaimStep>,
}

impl Driver {
    fn begin(attempt: &str, body: &str) -> Self {
        let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000);
        let begun = Claim::begin(request(body), chosen(attempt), now);
        let (claim, pending) = begun.expect("the key is fresh");
        Self { claim, pending }
    }

    /// Answers the pending store calls, each with the next of `faults` if there is one, and returns
    /// the other steps in short form.
    fn run(&mut self, store: &mut Store, faults: &mut Vec<&str>) -> String {
        let mut steps_seen = Vec::new();
        while !self.pending.is_empty() {
            match self.pending.remove(0) {
                ClaimStep::Store(call) => {
                    let reply = reply(store, &call, faults);
                    let steps = self.claim.handle_store_reply(reply);
                    self.pending.extend(steps);
                }
                step => steps_seen.push(brief(&step)),
            }
        }
        steps_seen.join(", ")
    }

    fn receive_settle_reply(&mut self, instance: u64, state: SettleState) {
        self.pending = self.claim.handle_settle_reply(Some(SettleReply {
            agent_instance: instance,
            state,
            answer: (state == SettleState::Done).then(|| "paid".into()),
        }));
    }
}

fn reply(store: &mut Store, call: &StoreCall, faults: &mut Vec<&str>) -> StoreReply {
    match faults.pop() {
        Some("refused") => StoreReply::Refused,
        Some("lost before") => StoreReply::Lost,
        Some("lost after") => {
            store.call(call);
            StoreReply::Lost
        }
        _ => store.call(call),
    }
}

fn brief(step: &ClaimStep) -> String {
    match step {
        ClaimStep::Dispatch => "dispatch".into(),
        ClaimStep::Settle { attempt, .. } => format!("settle {attempt}"),
        ClaimStep::NotRun(code) => format!("not run {}", code.number()),
        ClaimStep::Replay(answer) => format!("replay {answer}"),
        ClaimStep::Refuse(refusal) => format!("refuse {}", refusal.code.number()),
        ClaimStep::Complete => "complete".into(),
        ClaimStep::Store(_) => "store".into(),
    }
}

#[rstest]
#[case::no_fault(&[], "dispatch")]
#[case::write_reply_lost(&["lost after"], "dispatch")]
#[case::write_lost(&["lost before"], "dispatch")]
#[case::two_write_replies_lost(&["lost after", "lost after"], "dispatch")]
#[case::read_refused_once(&["lost after", "refused"], "dispatch")]
#[case::write_refused(&["refused"], "refuse 2009")]
#[case::store_unreachable(&["lost before"; 9], "refuse 2009")]
#[case::store_unreachable_after_write(&["lost after", "lost before", "lost before", "lost before", "lost before", "lost before", "lost before"], "refuse 2009")]
fn claim_is_held_or_refused_under_store_faults(#[case] faults: &[&str], #[case] expected: &str) {
    let mut store = Store::default();
    let mut faults: Vec<&str> = faults.iter().rev().copied().collect();
    let mut driver = Driver::begin("a1", "body");
    assert_eq!(driver.run(&mut store, &mut faults), expected);
}

#[test]
fn request_without_faults_takes_two_store_calls() {
    let mut store = Store::default();
    let mut driver = Driver::begin("a1", "body");
    driver.run(&mut store, &mut vec![]);
    driver.pending = driver
        .claim
        .handle_attempt_end(&EntryAttemptOutcome::Answered, Some("paid".into()));
    assert_eq!(driver.run(&mut store, &mut vec![]), "complete");
    assert!(driver.claim.is_finished());
    assert_eq!(driver.claim.calls(), 2);
    let mut resend = Driver::begin("a2", "body");
    assert_eq!(resend.run(&mut store, &mut vec![]), "replay paid");
    assert_eq!(resend.claim.calls(), 2);
}

#[rstest]
#[case::fenced(AGENT, SettleState::Fenced, "dispatch")]
#[case::running(AGENT, SettleState::Running, "refuse 3002")]
#[case::done(AGENT, SettleState::Done, "replay paid")]
#[case::unknown(AGENT, SettleState::Unknown, "refuse 3001")]
#[case::agent_restarted(AGENT + 1, SettleState::Fenced, "refuse 3001")]
fn resend_requests_the_outcome_of_the_first_attempt(
    #[case] instance: u64,
    #[case] state: SettleState,
    #[case] expected: &str,
) {
    let mut store = Store::default();
    let mut first = Driver::begin("a1", "body");
    first.run(&mut store, &mut vec![]);
    let mut resend = Driver::begin("a2", "body");
    assert_eq!(resend.run(&mut store, &mut vec![]), "settle a1");
    resend.receive_settle_reply(instance, state);
    assert_eq!(resend.run(&mut store, &mut vec![]), expected);
}

#[test]
fn unreachable_agent_leaves_the_outcome_unknown() {
    let mut store = Store::default();
    Driver::begin("a1", "body").run(&mut store, &mut vec![]);
    let mut resend = Driver::begin("a2", "body");
    resend.run(&mut store, &mut vec![]);
    resend.pending = resend.claim.handle_settle_reply(None);
    assert_eq!(resend.run(&mut store, &mut vec![]), "refuse 3001");
}

#[test]
fn only_one_of_two_concurrent_resends_is_dispatched() {
    let mut store = Store::default();
    Driver::begin("a1", "body").run(&mut store, &mut vec![]);
    let mut first = Driver::begin("a2", "body");
    let mut second = Driver::begin("a3", "body");
    first.run(&mut store, &mut vec![]);
    second.run(&mut store, &mut vec![]);
    first.receive_settle_reply(AGENT, SettleState::Fenced);
    second.receive_settle_reply(AGENT, SettleState::Fenced);
    assert_eq!(first.run(&mut store, &mut vec![]), "dispatch");
    assert_eq!(second.run(&mut store, &mut vec![]), "settle a2");
}

#[test]
fn same_key_with_another_body_is_refused() {
    let mut store = Store::default();
    Driver::begin("a1", "body").run(&mut store, &mut vec![]);
    let mut other = Driver::begin("a2", "other body");
    assert_eq!(other.run(&mut store, &mut vec![]), "refuse 1006");
}

#[rstest]
#[case::refused_not_run(EntryAttemptOutcome::Refused(Code::EndpointFull), "not run 2017")]
#[case::fenced(EntryAttemptOutcome::Refused(Code::Fenced), "not run 2016")]
#[case::not_sent(EntryAttemptOutcome::NotSent, "not run 2004")]
#[case::agent_lost_the_outcome(EntryAttemptOutcome::Refused(Code::OutcomeUnknown), "refuse 3001")]
#[case::key_already_running(EntryAttemptOutcome::Refused(Code::StillRunning), "refuse 3002")]
#[case::broken(EntryAttemptOutcome::Broken { delivered: 0 }, "settle a1")]
#[case::timed_out(EntryAttemptOutcome::TimedOut, "settle a1")]
#[case::mismatch(EntryAttemptOutcome::Mismatch(Code::WrongVersion), "settle a1")]
fn attempt_end_decides_the_next_step(#[case] end: EntryAttemptOutcome, #[case] expected: &str) {
    let mut store = Store::default();
    let mut driver = Driver::begin("a1", "body");
    driver.run(&mut store, &mut vec![]);
    driver.pending = driver.claim.handle_attempt_end(&end, None);
    assert_eq!(driver.run(&mut store, &mut vec![]), expected);
}

#[rstest]
#[case::fenced(0, AGENT, SettleState::Fenced, "not run 2004")]
#[case::running(0, AGENT, SettleState::Running, "refuse 3002")]
#[case::done(0, AGENT, SettleState::Done, "replay paid")]
#[case::done_after_partial_delivery(3, AGENT, SettleState::Done, "refuse 3003")]
#[case::unknown(0, AGENT, SettleState::Unknown, "refuse 3001")]
#[case::agent_restarted(0, AGENT + 1, SettleState::Fenced, "refuse 3001")]
fn broken_attempt_is_settled(
    #[case] delivered: u64,
    #[case] instance: u64,
    #[case] state: SettleState,
    #[case] expected: &str,
) {
    let mut store = Store::default();
    let mut driver = Driver::begin("a1", "body");
    driver.run(&mut store, &mut vec![]);
    driver
        .claim
        .handle_attempt_end(&EntryAttemptOutcome::Broken { delivered }, None);
    driver.receive_settle_reply(instance, state);
    assert_eq!(driver.run(&mut store, &mut vec![]), expected);
}

#[test]
fn attempt_that_has_not_run_is_retried_or_abandoned() {
    let mut store = Store::default();
    let mut driver = Driver::begin("a1", "body");
    driver.run(&mut store, &mut vec![]);
    driver
        .claim
        .handle_attempt_end(&EntryAttemptOutcome::NotSent, None);
    driver.pending = driver.claim.retry(chosen("a2"));
    assert_eq!(driver.run(&mut store, &mut vec![]), "dispatch");
    driver
        .claim
        .handle_attempt_end(&EntryAttemptOutcome::NotSent, None);
    driver.pending = driver.claim.abandon(Refusal::new(Code::RetriesSpent));
    assert_eq!(driver.run(&mut store, &mut vec![]), "refuse 2011");
    let mut resend = Driver::begin("a3", "body");
    assert_eq!(resend.run(&mut store, &mut vec![]), "dispatch");
}

#[test]
fn holder_that_was_superseded_cannot_claim_again() {
    let mut store = Store::default();
    let mut superseded = Driver::begin("a1", "body");
    superseded.run(&mut store, &mut vec![]);
    let mut resend = Driver::begin("a2", "body");
    resend.run(&mut store, &mut vec![]);
    resend.receive_settle_reply(AGENT, SettleState::Fenced);
    resend.run(&mut store, &mut vec![]);
    superseded
        .claim
        .handle_attempt_end(&EntryAttemptOutcome::Refused(Code::Fenced), None);
    superseded.pending = superseded.claim.retry(chosen("a3"));
    assert_eq!(superseded.run(&mut store, &mut vec![]), "settle a2");
}

#[test]
fn key_with_unknown_outcome_is_not_run_again() {
    let mut store = Store::default();
    let mut driver = Driver::begin("a1", "body");
    driver.run(&mut store, &mut vec![]);
    let end = EntryAttemptOutcome::Refused(Code::OutcomeUnknown);
    driver.pending = driver.claim.handle_attempt_end(&end, None);
    driver.run(&mut store, &mut vec![]);
    let mut resend = Driver::begin("a2", "body");
    assert_eq!(resend.run(&mut store, &mut vec![]), "refuse 3001");
}

#[rstest]
#[case::no_issue_time(None, false)]
#[case::fresh(Some(10), false)]
#[case::at_the_retention_limit(Some(24 * 3_600), false)]
#[case::past_the_retention_limit(Some(24 * 3_600 + 1), true)]
#[case::clock_slightly_ahead(Some(-30), false)]
#[case::far_in_the_future(Some(-3_600), true)]
fn old_and_future_keys_are_expired(#[case] age_seconds: Option<i64>, #[case] expired: bool) {
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000);
    let issued = age_seconds.map(|age| match u64::try_from(age) {
        Ok(age) => now - Duration::from_secs(age),
        Err(_) => now + Duration::from_secs(age.unsigned_abs()),
    });
    let request = KeyedRequest {
        issued,
        ..request("body")
    };
    let code = Claim::begin(request, chosen("a1"), now)
        .err()
        .map(|refusal| refusal.code);
    assert_eq!(code, expired.then_some(Code::KeyExpired));
}

#[test]
fn store_keys_of_different_requests_differ() {
    let mut a = request("body");
    a.customer = "x/y".into();
    a.class = "z".into();
    let mut b = request("body");
    b.customer = "x".into();
    b.class = "y/z".into();
    assert_ne!(a.store_key(), b.store_key());
    assert_eq!(&*request("body").store_key(), "claims/studio/booking/k%201");
}
