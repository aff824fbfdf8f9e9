use rstest::rstest;

use super::fixture::{Fixture, endpoint_report, request_meta, sync_reply};
use crate::codes::Code;
use crate::types::EntryAttemptOutcome;
use crate::wire::QuarantineRecord;

const THREE_HOSTS: &[(&str, &str)] = &[("h1", "a"), ("h2", "b"), ("h3", "c")];

fn quarantine_entry(fingerprint: &str, crashed: &[u64]) -> QuarantineRecord {
    QuarantineRecord {
        fingerprint: fingerprint.into(),
        crashes: crashed.len() as u32,
        age_ms: Some(0),
        crashed: crashed.to_vec(),
        cleared: Vec::new(),
    }
}

fn report_crashes(f: &mut Fixture, crashed: &[u64]) {
    let mut reply = sync_reply("h1", vec![endpoint_report("h1-0", 4, 0)]);
    reply.quarantine = vec![quarantine_entry("f", crashed)];
    f.sync_replied(reply);
}

#[test]
fn request_is_harmful_after_two_endpoint_failures_and_all_members_get_it() {
    let mut f = Fixture::new(THREE_HOSTS, 4);
    for (host, instance) in [("h1", 11), ("h2", 12), ("h3", 13)] {
        let mut report = endpoint_report(&format!("{host}-0"), 4, 0);
        report.instance = instance;
        f.sync_replied(sync_reply(host, vec![report]));
    }
    let req = f.arrive("answers", "small");
    f.end_attempt(req, EntryAttemptOutcome::Refused(Code::AnswerBroken));
    assert!(
        f.latest_dispatch(req).suspect,
        "the second attempt runs alone"
    );
    assert!(
        f.synced.len() >= 2,
        "agents get the suspected request at once"
    );
    for host in ["h1", "h2", "h3"] {
        f.heartbeat_replied(host, 4, 0);
    }
    f.synced.clear();
    f.end_attempt(req, EntryAttemptOutcome::Refused(Code::AnswerBroken));
    assert_eq!(f.dispatched.len(), 2);
    assert!(
        f.synced.len() >= 2,
        "agents get the quarantined request at once"
    );
    assert_eq!(
        f.refusal_codes(),
        [Code::RequestHarmful],
        "the caller is answered at once"
    );
    f.arrive("answers", "small");
    assert_eq!(f.refusal_codes()[1], Code::Quarantined);
}

#[rstest]
#[case::clear(&[], Some(false))]
#[case::suspect(&[1], Some(true))]
#[case::quarantined(&[1, 2], None)]
fn quarantine_sent_by_an_agent_applies_at_the_entry(
    #[case] crashed: &[u64],
    #[case] suspect: Option<bool>,
) {
    let mut f = Fixture::new(THREE_HOSTS, 4);
    report_crashes(&mut f, crashed);
    f.arrive("answers", "small");
    assert_eq!(f.dispatched.first().map(|d| d.suspect), suspect);
    assert_eq!(
        f.refusal_codes().first().copied(),
        suspect.is_none().then_some(Code::Quarantined)
    );
}

#[test]
fn crash_is_sent_to_all_members_at_once() {
    let mut f = Fixture::new(THREE_HOSTS, 4);
    f.synced.clear();
    report_crashes(&mut f, &[1]);
    assert_eq!(f.synced, ["h1", "h2", "h3"]);
}

#[test]
fn broken_connection_does_not_make_a_request_suspect() {
    let mut f = Fixture::new(THREE_HOSTS, 4);
    let req = f.arrive("answers", "small");
    f.end_attempt(req, EntryAttemptOutcome::Broken { delivered: 0 });
    assert!(!f.latest_dispatch(req).suspect);
}

#[test]
fn suspect_request_is_answered_when_its_next_attempt_succeeds() {
    let mut f = Fixture::new(THREE_HOSTS, 4);
    let req = f.arrive_with(request_meta("answers", "small"));
    f.end_attempt(req, EntryAttemptOutcome::Refused(Code::AnswerBroken));
    f.end_attempt(req, EntryAttemptOutcome::Answered);
    assert_eq!(f.completed, [req]);
}
