use rstest::rstest;

use super::fixture::{Fixture, meta, reply, report};
use crate::codes::{Code, RunState};
use crate::types::AttemptEnd;

const TWO: &[(&str, &str)] = &[("h1", "a"), ("h2", "b")];

#[rstest]
#[case::class("nothing", "small", "chat", Code::UnknownClass)]
#[case::customer("answers", "nobody", "chat", Code::UnknownCustomer)]
#[case::target("answers", "small", "other", Code::UnknownTarget)]
fn a_request_that_names_the_unknown_is_refused(
    #[case] class: &str,
    #[case] customer: &str,
    #[case] target: &str,
    #[case] code: Code,
) {
    let mut f = Fixture::new(TWO, 4);
    let mut meta = meta(class, customer);
    meta.target = target.into();
    f.arrive_with(meta);
    assert_eq!(f.codes(), [code]);
}

#[rstest]
#[case::refused(AttemptEnd::Refused(Code::EndpointLeaving))]
#[case::refused_by_zone(AttemptEnd::Refused(Code::ZoneOut))]
#[case::not_sent(AttemptEnd::NotSent)]
#[case::broken_before_the_first_token(AttemptEnd::Broken { delivered: 0 })]
#[case::mismatch(AttemptEnd::Mismatch(Code::WrongVersion))]
#[case::timed_out(AttemptEnd::TimedOut)]
fn a_repeatable_request_is_tried_at_another_endpoint(#[case] end: AttemptEnd) {
    let mut f = Fixture::new(TWO, 4);
    let req = f.arrive("answers", "small");
    let first = f.latest(req).clone();
    f.end(req, end);
    assert_ne!(f.latest(req).host, first.host);
    assert_ne!(f.latest(req).attempt, first.attempt);
    f.end(req, AttemptEnd::Answered);
    assert_eq!(f.completed, [req]);
}

#[test]
fn an_end_of_an_earlier_attempt_is_ignored() {
    let mut f = Fixture::new(TWO, 4);
    let req = f.arrive("answers", "small");
    let first = f.latest(req).attempt.clone();
    f.end(req, AttemptEnd::NotSent);
    f.event(crate::entry::core::EntryEvent::AttemptEnded {
        req,
        attempt: first,
        outcome: AttemptEnd::Answered,
        answer: None,
    });
    assert!(f.completed.is_empty());
}

#[test]
fn a_broken_answer_goes_on_from_the_next_token_on_the_same_version() {
    let mut f = Fixture::new(TWO, 4);
    let req = f.arrive("answers", "small");
    let first = f.latest(req).clone();
    f.start(req);
    f.end(req, AttemptEnd::Broken { delivered: 12 });
    let second = f.latest(req).clone();
    assert_eq!((second.resume_from, &second.version), (12, &first.version));
    assert_ne!(second.endpoint, first.endpoint);
    f.end(req, AttemptEnd::Refused(Code::EndpointFull));
    let third = f.latest(req).clone();
    assert_eq!(
        third.resume_from, 12,
        "a refusal does not start the answer anew"
    );
    f.end(req, AttemptEnd::TimedOut);
    assert_eq!(f.latest(req).resume_from, 12);
}

#[test]
fn a_broken_answer_does_not_go_on_with_another_version() {
    let mut f = Fixture::new(TWO, 4);
    let req = f.arrive("answers", "small");
    f.start(req);
    for host in ["h1", "h2"] {
        let mut newer = report(&format!("{host}-0"), 4, 0);
        newer.version = Some("v2".into());
        f.synced(reply(host, vec![newer]));
    }
    f.end(req, AttemptEnd::Broken { delivered: 12 });
    assert_eq!(f.codes(), [Code::AnswerBroken]);
}

#[test]
fn what_may_have_run_is_never_refused_as_not_run() {
    let mut f = Fixture::new(TWO, 4);
    let req = f.arrive("answers", "small");
    f.end(req, AttemptEnd::Broken { delivered: 0 });
    f.end(req, AttemptEnd::Refused(Code::EndpointLeaving));
    while f.refused.is_empty() {
        f.end(req, AttemptEnd::NotSent);
        f.heard("h1", 4, 0);
        f.heard("h2", 4, 0);
    }
    assert_eq!(f.codes()[0].run_state(), RunState::Unknown);
}

#[test]
fn an_isolated_entry_refuses_new_and_waiting_work_and_ends_what_runs() {
    let mut f = Fixture::new(&[("h1", "a")], 1);
    let running = f.arrive("answers", "small");
    let mut patient = meta("answers", "small");
    patient.patience = Some(std::time::Duration::from_secs(60));
    f.arrive_with(patient);
    f.now += std::time::Duration::from_secs(6);
    f.heard("h1", 1, 1);
    f.arrive("answers", "small");
    assert_eq!(f.codes(), [Code::Isolated, Code::Isolated]);
    f.end(running, AttemptEnd::Answered);
    assert_eq!(f.completed, [running]);
}
