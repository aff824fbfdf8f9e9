use std::time::{Duration, SystemTime};

use rstest::rstest;

use super::*;
use crate::wire::{SettleReply, SettleState};

const AGENT: u64 = 7;

fn operation(body: &str) -> KeyedRequest {
    KeyedRequest {
        customer: "studio".into(),
        class: "booking".into(),
        key: "k 1".into(),
        body: body.into(),
        issued: None,
    }
}

fn choice(attempt: &str) -> ChosenAttempt {
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

/// A claim driven against a store; `faults` name what happens to the next store calls.
struct Drive {
    claim: Claim,
    pending: Vec<ClaimStep>,
}

impl Drive {
    fn begin(attempt: &str, body: &str) -> Self {
        let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000);
        let begun = Claim::begin(operation(body), choice(attempt), now);
        let (claim, pending) = begun.expect("the key is fresh");
        Self { claim, pending }
    }

    /// Answers store calls until another step comes; returns those steps in short.
    fn run(&mut self, store: &mut Store, faults: &mut Vec<&str>) -> String {
        let mut told = Vec::new();
        while !self.pending.is_empty() {
            match self.pending.remove(0) {
                ClaimStep::Store(call) => {
                    let reply = reply(store, &call, faults);
                    let steps = self.claim.handle_store_reply(reply);
                    self.pending.extend(steps);
                }
                step => told.push(brief(&step)),
            }
        }
        told.join(", ")
    }

    fn settled(&mut self, instance: u64, state: SettleState) {
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
#[case::write_took_effect(&["lost after"], "dispatch")]
#[case::write_did_not(&["lost before"], "dispatch")]
#[case::both_answers_lost(&["lost after", "lost after"], "dispatch")]
#[case::read_back_refused_once(&["lost after", "refused"], "dispatch")]
#[case::store_refuses(&["refused"], "refuse 2009")]
#[case::store_gone(&["lost before"; 9], "refuse 2009")]
#[case::store_gone_after_write(&["lost after", "lost before", "lost before", "lost before", "lost before", "lost before", "lost before"], "refuse 2009")]
fn claim_under_store_faults(#[case] faults: &[&str], #[case] expected: &str) {
    let mut store = Store::default();
    let mut faults: Vec<&str> = faults.iter().rev().copied().collect();
    let mut drive = Drive::begin("a1", "body");
    assert_eq!(drive.run(&mut store, &mut faults), expected);
}

#[test]
fn normal_case_takes_two_calls() {
    let mut store = Store::default();
    let mut drive = Drive::begin("a1", "body");
    drive.run(&mut store, &mut vec![]);
    drive.pending = drive
        .claim
        .handle_attempt_end(&EntryAttemptOutcome::Answered, Some("paid".into()));
    assert_eq!(drive.run(&mut store, &mut vec![]), "complete");
    assert!(drive.claim.is_finished());
    assert_eq!(drive.claim.calls(), 2);
    let mut resend = Drive::begin("a2", "body");
    assert_eq!(resend.run(&mut store, &mut vec![]), "replay paid");
    assert_eq!(resend.claim.calls(), 2);
}

#[rstest]
#[case::fenced(AGENT, SettleState::Fenced, "dispatch")]
#[case::running(AGENT, SettleState::Running, "refuse 3002")]
#[case::done(AGENT, SettleState::Done, "replay paid")]
#[case::unknown(AGENT, SettleState::Unknown, "refuse 3001")]
#[case::agent_restarted(AGENT + 1, SettleState::Fenced, "refuse 3001")]
fn resend_asks_the_named_agent(
    #[case] instance: u64,
    #[case] state: SettleState,
    #[case] expected: &str,
) {
    let mut store = Store::default();
    let mut first = Drive::begin("a1", "body");
    first.run(&mut store, &mut vec![]);
    let mut resend = Drive::begin("a2", "body");
    assert_eq!(resend.run(&mut store, &mut vec![]), "settle a1");
    resend.settled(instance, state);
    assert_eq!(resend.run(&mut store, &mut vec![]), expected);
}

#[test]
fn unreached_agent_leaves_the_outcome_unknown() {
    let mut store = Store::default();
    Drive::begin("a1", "body").run(&mut store, &mut vec![]);
    let mut resend = Drive::begin("a2", "body");
    resend.run(&mut store, &mut vec![]);
    resend.pending = resend.claim.handle_settle_reply(None);
    assert_eq!(resend.run(&mut store, &mut vec![]), "refuse 3001");
}

#[test]
fn two_resends_race_and_one_wins() {
    let mut store = Store::default();
    Drive::begin("a1", "body").run(&mut store, &mut vec![]);
    let mut b = Drive::begin("a2", "body");
    let mut c = Drive::begin("a3", "body");
    b.run(&mut store, &mut vec![]);
    c.run(&mut store, &mut vec![]);
    b.settled(AGENT, SettleState::Fenced);
    c.settled(AGENT, SettleState::Fenced);
    assert_eq!(b.run(&mut store, &mut vec![]), "dispatch");
    assert_eq!(c.run(&mut store, &mut vec![]), "settle a2");
}

#[test]
fn same_key_with_another_body_is_refused() {
    let mut store = Store::default();
    Drive::begin("a1", "body").run(&mut store, &mut vec![]);
    let mut other = Drive::begin("a2", "other body");
    assert_eq!(other.run(&mut store, &mut vec![]), "refuse 1006");
}

#[rstest]
#[case::refused_not_run(EntryAttemptOutcome::Refused(Code::EndpointFull), "not run 2017")]
#[case::fenced(EntryAttemptOutcome::Refused(Code::Fenced), "not run 2016")]
#[case::not_sent(EntryAttemptOutcome::NotSent, "not run 2004")]
#[case::agent_lost_it(EntryAttemptOutcome::Refused(Code::OutcomeUnknown), "refuse 3001")]
#[case::key_runs_already(EntryAttemptOutcome::Refused(Code::StillRunning), "refuse 3002")]
#[case::broken(EntryAttemptOutcome::Broken { delivered: 0 }, "settle a1")]
#[case::timed_out(EntryAttemptOutcome::TimedOut, "settle a1")]
#[case::mismatch(EntryAttemptOutcome::Mismatch(Code::WrongVersion), "settle a1")]
fn end_of_the_attempt(#[case] end: EntryAttemptOutcome, #[case] expected: &str) {
    let mut store = Store::default();
    let mut drive = Drive::begin("a1", "body");
    drive.run(&mut store, &mut vec![]);
    drive.pending = drive.claim.handle_attempt_end(&end, None);
    assert_eq!(drive.run(&mut store, &mut vec![]), expected);
}

#[rstest]
#[case::fenced(0, AGENT, SettleState::Fenced, "not run 2004")]
#[case::running(0, AGENT, SettleState::Running, "refuse 3002")]
#[case::done(0, AGENT, SettleState::Done, "replay paid")]
#[case::done_after_a_part(3, AGENT, SettleState::Done, "refuse 3003")]
#[case::lost(0, AGENT, SettleState::Unknown, "refuse 3001")]
#[case::restarted(0, AGENT + 1, SettleState::Fenced, "refuse 3001")]
fn broken_attempt_is_settled(
    #[case] delivered: u64,
    #[case] instance: u64,
    #[case] state: SettleState,
    #[case] expected: &str,
) {
    let mut store = Store::default();
    let mut drive = Drive::begin("a1", "body");
    drive.run(&mut store, &mut vec![]);
    drive
        .claim
        .handle_attempt_end(&EntryAttemptOutcome::Broken { delivered }, None);
    drive.settled(instance, state);
    assert_eq!(drive.run(&mut store, &mut vec![]), expected);
}

#[test]
fn attempt_that_has_not_run_is_claimed_anew_or_given_up() {
    let mut store = Store::default();
    let mut drive = Drive::begin("a1", "body");
    drive.run(&mut store, &mut vec![]);
    drive
        .claim
        .handle_attempt_end(&EntryAttemptOutcome::NotSent, None);
    drive.pending = drive.claim.retry(choice("a2"));
    assert_eq!(drive.run(&mut store, &mut vec![]), "dispatch");
    drive
        .claim
        .handle_attempt_end(&EntryAttemptOutcome::NotSent, None);
    drive.pending = drive.claim.abandon(Refusal::new(Code::RetriesSpent));
    assert_eq!(drive.run(&mut store, &mut vec![]), "refuse 2011");
    let mut resend = Drive::begin("a3", "body");
    assert_eq!(resend.run(&mut store, &mut vec![]), "dispatch");
}

#[test]
fn superseded_holder_finds_the_new_claim() {
    let mut store = Store::default();
    let mut paused = Drive::begin("a1", "body");
    paused.run(&mut store, &mut vec![]);
    let mut resend = Drive::begin("a2", "body");
    resend.run(&mut store, &mut vec![]);
    resend.settled(AGENT, SettleState::Fenced);
    resend.run(&mut store, &mut vec![]);
    paused
        .claim
        .handle_attempt_end(&EntryAttemptOutcome::Refused(Code::Fenced), None);
    paused.pending = paused.claim.retry(choice("a3"));
    assert_eq!(paused.run(&mut store, &mut vec![]), "settle a2");
}

#[test]
fn outcome_unknown_is_never_run_again() {
    let mut store = Store::default();
    let mut drive = Drive::begin("a1", "body");
    drive.run(&mut store, &mut vec![]);
    let end = EntryAttemptOutcome::Refused(Code::OutcomeUnknown);
    drive.pending = drive.claim.handle_attempt_end(&end, None);
    drive.run(&mut store, &mut vec![]);
    let mut resend = Drive::begin("a2", "body");
    assert_eq!(resend.run(&mut store, &mut vec![]), "refuse 3001");
}

#[rstest]
#[case::no_time(None, false)]
#[case::fresh(Some(10), false)]
#[case::at_the_horizon(Some(24 * 3_600), false)]
#[case::past_the_horizon(Some(24 * 3_600 + 1), true)]
#[case::clock_ahead(Some(-30), false)]
#[case::far_in_the_future(Some(-3_600), true)]
fn key_horizon(#[case] age_seconds: Option<i64>, #[case] refused: bool) {
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000);
    let issued = age_seconds.map(|age| match u64::try_from(age) {
        Ok(age) => now - Duration::from_secs(age),
        Err(_) => now + Duration::from_secs(age.unsigned_abs()),
    });
    let operation = KeyedRequest {
        issued,
        ..operation("body")
    };
    let code = Claim::begin(operation, choice("a1"), now)
        .err()
        .map(|refusal| refusal.code);
    assert_eq!(code, refused.then_some(Code::KeyExpired));
}

#[test]
fn parts_of_the_store_key_do_not_run_together() {
    let mut a = operation("body");
    a.customer = "x/y".into();
    a.class = "z".into();
    let mut b = operation("body");
    b.customer = "x".into();
    b.class = "y/z".into();
    assert_ne!(a.store_key(), b.store_key());
    assert_eq!(
        &*operation("body").store_key(),
        "claims/studio/booking/k%201"
    );
}
