use rstest::rstest;

use super::fixture::{Fixture, endpoint_report, request_meta, sync_reply};
use crate::codes::{Code, RunState};
use crate::types::EntryAttemptOutcome;

const TWO_HOSTS: &[(&str, &str)] = &[("h1", "a"), ("h2", "b")];

#[rstest]
#[case::class("nothing", "small", "chat", Code::UnknownClass)]
#[case::customer("answers", "nobody", "chat", Code::UnknownCustomer)]
#[case::target("answers", "small", "other", Code::UnknownTarget)]
fn request_with_unknown_class_customer_or_target_is_refused(
    #[case] class: &str,
    #[case] customer: &str,
    #[case] target: &str,
    #[case] code: Code,
) {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let mut meta = request_meta(class, customer);
    meta.target = target.into();
    f.arrive_with(meta);
    assert_eq!(f.refusal_codes(), [code]);
}

#[rstest]
#[case::refused(EntryAttemptOutcome::Refused(Code::EndpointLeaving))]
#[case::refused_by_zone(EntryAttemptOutcome::Refused(Code::ZoneOut))]
#[case::not_sent(EntryAttemptOutcome::NotSent)]
#[case::broken_before_the_first_token(EntryAttemptOutcome::Broken { delivered: 0 })]
#[case::mismatch(EntryAttemptOutcome::Mismatch(Code::WrongVersion))]
#[case::timed_out(EntryAttemptOutcome::TimedOut)]
fn failed_repeatable_request_is_retried_at_another_endpoint(#[case] outcome: EntryAttemptOutcome) {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let req = f.arrive("answers", "small");
    let first = f.latest_dispatch(req).clone();
    f.end_attempt(req, outcome);
    assert_ne!(f.latest_dispatch(req).host, first.host);
    assert_ne!(f.latest_dispatch(req).attempt, first.attempt);
    f.end_attempt(req, EntryAttemptOutcome::Answered);
    assert_eq!(f.completed, [req]);
}

#[test]
fn outcome_of_an_earlier_attempt_is_ignored() {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let req = f.arrive("answers", "small");
    let first = f.latest_dispatch(req).attempt.clone();
    f.end_attempt(req, EntryAttemptOutcome::NotSent);
    f.handle(crate::entry::core::EntryEvent::AttemptEnded {
        req,
        attempt: first,
        outcome: EntryAttemptOutcome::Answered,
        answer: None,
    });
    assert!(f.completed.is_empty());
}

#[test]
fn broken_answer_continues_at_the_next_token_on_the_same_version() {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let req = f.arrive("answers", "small");
    let first = f.latest_dispatch(req).clone();
    f.start_answer(req);
    f.end_attempt(req, EntryAttemptOutcome::Broken { delivered: 12 });
    let second = f.latest_dispatch(req).clone();
    assert_eq!((second.resume_from, &second.version), (12, &first.version));
    assert_ne!(second.endpoint, first.endpoint);
    f.end_attempt(req, EntryAttemptOutcome::Refused(Code::EndpointFull));
    let third = f.latest_dispatch(req).clone();
    assert_eq!(
        third.resume_from, 12,
        "a refusal does not restart the answer"
    );
    f.end_attempt(req, EntryAttemptOutcome::TimedOut);
    assert_eq!(f.latest_dispatch(req).resume_from, 12);
}

#[test]
fn broken_answer_does_not_continue_on_another_version() {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let req = f.arrive("answers", "small");
    f.start_answer(req);
    for host in ["h1", "h2"] {
        let mut newer = endpoint_report(&format!("{host}-0"), 4, 0);
        newer.version = Some("v2".into());
        f.sync_replied(sync_reply(host, vec![newer]));
    }
    f.end_attempt(req, EntryAttemptOutcome::Broken { delivered: 12 });
    assert_eq!(f.refusal_codes(), [Code::AnswerBroken]);
}

#[test]
fn request_that_may_have_run_is_never_refused_as_not_run() {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let req = f.arrive("answers", "small");
    f.end_attempt(req, EntryAttemptOutcome::Broken { delivered: 0 });
    f.end_attempt(req, EntryAttemptOutcome::Refused(Code::EndpointLeaving));
    while f.refused.is_empty() {
        f.end_attempt(req, EntryAttemptOutcome::NotSent);
        f.heartbeat_replied("h1", 4, 0);
        f.heartbeat_replied("h2", 4, 0);
    }
    assert_eq!(f.refusal_codes()[0].run_state(), RunState::Unknown);
}

#[test]
fn isolated_entry_refuses_new_and_queued_requests_and_finishes_running_ones() {
    let mut f = Fixture::new(&[("h1", "a")], 1);
    let running = f.arrive("answers", "small");
    let mut queued = request_meta("answers", "small");
    queued.start_budget = Some(std::time::Duration::from_secs(60));
    f.arrive_with(queued);
    f.now += std::time::Duration::from_secs(6);
    f.heartbeat_replied("h1", 1, 1);
    f.arrive("answers", "small");
    assert_eq!(f.refusal_codes(), [Code::Isolated, Code::Isolated]);
    f.end_attempt(running, EntryAttemptOutcome::Answered);
    assert_eq!(f.completed, [running]);
}
