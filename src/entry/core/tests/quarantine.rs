use rstest::rstest;

use super::fixture::{Fixture, meta, reply, report};
use crate::codes::Code;
use crate::types::AttemptEnd;
use crate::wire::QuarantineEntry;

const THREE: &[(&str, &str)] = &[("h1", "a"), ("h2", "b"), ("h3", "c")];

fn entry(fingerprint: &str, crashed: &[u64]) -> QuarantineEntry {
    QuarantineEntry {
        fingerprint: fingerprint.into(),
        crashes: crashed.len() as u32,
        age_ms: Some(0),
        crashed: crashed.to_vec(),
        cleared: Vec::new(),
    }
}

fn told(f: &mut Fixture, crashed: &[u64]) {
    let mut told = reply("h1", vec![report("h1-0", 4, 0)]);
    told.quarantine = vec![entry("f", crashed)];
    f.synced(told);
}

#[test]
fn a_request_breaks_two_endpoints_at_most_and_is_then_known_everywhere() {
    let mut f = Fixture::new(THREE, 4);
    for (host, instance) in [("h1", 11), ("h2", 12), ("h3", 13)] {
        let mut own = report(&format!("{host}-0"), 4, 0);
        own.instance = instance;
        f.synced(reply(host, vec![own]));
    }
    let req = f.arrive("answers", "small");
    f.end(req, AttemptEnd::Refused(Code::AnswerBroken));
    assert!(f.latest(req).suspect, "the second attempt runs alone");
    assert!(
        f.synced.len() >= 2,
        "agents are told of the suspicion at once"
    );
    for host in ["h1", "h2", "h3"] {
        f.heard(host, 4, 0);
    }
    f.synced.clear();
    f.end(req, AttemptEnd::Refused(Code::AnswerBroken));
    assert_eq!(f.dispatched.len(), 2);
    assert!(f.synced.len() >= 2, "agents are told at once");
    assert_eq!(
        f.codes(),
        [Code::RequestHarmful],
        "the caller is answered at once"
    );
    f.arrive("answers", "small");
    assert_eq!(f.codes()[1], Code::Quarantined);
}

#[rstest]
#[case::clear(&[], Some(false))]
#[case::suspect(&[1], Some(true))]
#[case::quarantined(&[1, 2], None)]
fn what_an_agent_knows_holds_at_the_entry(#[case] crashed: &[u64], #[case] suspect: Option<bool>) {
    let mut f = Fixture::new(THREE, 4);
    told(&mut f, crashed);
    f.arrive("answers", "small");
    assert_eq!(f.dispatched.first().map(|d| d.suspect), suspect);
    assert_eq!(
        f.codes().first().copied(),
        suspect.is_none().then_some(Code::Quarantined)
    );
}

#[test]
fn news_of_a_crash_goes_to_every_member_at_once() {
    let mut f = Fixture::new(THREE, 4);
    f.synced.clear();
    told(&mut f, &[1]);
    assert_eq!(f.synced, ["h1", "h2", "h3"]);
}

#[test]
fn a_host_that_dies_makes_no_suspects() {
    let mut f = Fixture::new(THREE, 4);
    let req = f.arrive("answers", "small");
    f.end(req, AttemptEnd::Broken { delivered: 0 });
    assert!(!f.latest(req).suspect);
}

#[test]
fn an_innocent_that_shared_the_batch_is_answered() {
    let mut f = Fixture::new(THREE, 4);
    let req = f.arrive_with(meta("answers", "small"));
    f.end(req, AttemptEnd::Refused(Code::AnswerBroken));
    f.end(req, AttemptEnd::Answered);
    assert_eq!(f.completed, [req]);
}
