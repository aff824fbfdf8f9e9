use std::time::Duration;

use rstest::rstest;

use super::fixture::{Fixture, endpoint_report, host_entry, sync_reply};
use crate::codes::Code;
use crate::entry::core::EntryEvent;
use crate::types::EntryAttemptOutcome;

const TWO_HOSTS: &[(&str, &str)] = &[("h1", "a"), ("h2", "b")];

/// Why host `h1` gets no new requests, although it may still run earlier ones.
#[derive(Clone, Copy, Debug)]
enum Cause {
    SilentButListed,
    ReplySaysLeaving,
    ListSaysLeaving,
    ZoneOut,
    ConnectionRefused,
    EndpointNotReported,
    AddressTakenOver,
}

impl Cause {
    fn apply(self, f: &mut Fixture) {
        match self {
            Self::SilentButListed => {
                f.handle(EntryEvent::SyncFailed { host: "h1".into() });
                for _ in 0..4 {
                    f.advance(Duration::from_secs(1));
                    f.heartbeat_replied("h2", 4, 0);
                }
            }
            Self::ReplySaysLeaving => {
                let mut leaving = sync_reply("h1", vec![endpoint_report("h1-0", 4, 0)]);
                leaving.leaving = true;
                f.sync_replied(leaving);
            }
            Self::ListSaysLeaving => {
                let mut hosts = f.hosts.clone();
                hosts[0].leaving = true;
                f.handle(EntryEvent::HostsListed(hosts));
            }
            Self::ZoneOut => f.configure(2, &["a"]),
            Self::ConnectionRefused => {
                let mut reqs = Vec::new();
                while f.hosts_used().iter().all(|host| &**host != "h1") {
                    reqs.push(f.arrive("answers", "small"));
                }
                let unsent = f.dispatched.iter().find(|d| &*d.host == "h1").unwrap().req;
                f.end_attempt(unsent, EntryAttemptOutcome::NotSent);
                assert_eq!(
                    &*f.latest_dispatch(unsent).host,
                    "h2",
                    "it is retried at the other host"
                );
                for req in reqs {
                    f.end_attempt(req, EntryAttemptOutcome::Answered);
                }
            }
            Self::EndpointNotReported => f.sync_replied(sync_reply("h1", vec![])),
            Self::AddressTakenOver => {
                let mut hosts = f.hosts.clone();
                hosts[0].control.set_port(9);
                f.handle(EntryEvent::HostsListed(hosts));
                let other_host = sync_reply("h9", vec![endpoint_report("h1-0", 4, 0)]);
                f.handle(EntryEvent::Synced {
                    host: "h1".into(),
                    reply: other_host,
                });
            }
        }
    }
}

#[rstest]
fn unavailable_host_gets_no_new_requests(
    #[values(
        Cause::SilentButListed,
        Cause::ReplySaysLeaving,
        Cause::ListSaysLeaving,
        Cause::ZoneOut,
        Cause::ConnectionRefused,
        Cause::EndpointNotReported,
        Cause::AddressTakenOver
    )]
    cause: Cause,
) {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    cause.apply(&mut f);
    f.dispatched.clear();
    f.arrive_many(4);
    assert_eq!(f.hosts_used().len(), 4);
    assert!(f.hosts_used().iter().all(|host| &**host == "h2"));
}

#[test]
fn live_host_missing_from_the_host_list_still_gets_requests() {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    f.handle(EntryEvent::HostsListed(vec![]));
    f.arrive_many(1);
    assert_eq!(f.dispatched.len(), 1);
    f.advance(Duration::from_secs(1));
    f.advance(Duration::from_secs(5));
    f.advance(Duration::from_millis(900));
    f.advance(Duration::from_millis(900));
    f.advance(Duration::from_millis(900));
    f.handle(EntryEvent::HostsListed(vec![]));
    f.arrive_many(1);
    assert_eq!(
        f.refusal_codes(),
        [Code::NoEndpoint],
        "its host is silent and not listed"
    );
}

#[test]
fn suspected_host_gets_no_new_requests_and_finishes_running_ones() {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    let running = f.arrive("answers", "small");
    for _ in 0..5 {
        f.advance(Duration::from_millis(900));
    }
    f.arrive_many(1);
    assert_eq!(f.refusal_codes(), [Code::NoEndpoint]);
    f.end_attempt(running, EntryAttemptOutcome::Answered);
    assert_eq!(f.completed, [running], "the running request is not cut");
    f.heartbeat_replied("h1", 4, 0);
    f.arrive_many(1);
    assert_eq!(f.dispatched.len(), 2, "one reply ends the suspicion");
}

#[test]
fn entry_suspects_no_agent_after_its_own_pause() {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    f.advance(Duration::from_millis(1_100));
    f.advance(Duration::from_secs(60));
    f.arrive_many(2);
    assert_eq!(f.dispatched.len(), 2);
}

#[test]
fn zone_taken_out_gets_no_requests_and_ramps_up_after_its_return() {
    let mut f = Fixture::new(&[("a1", "a"), ("a2", "a"), ("b1", "b")], 20);
    let running = f.arrive("answers", "small");
    f.configure(2, &["a"]);
    // Only a1 answers; the connection to a2 is stalled and returns neither a reply nor an error.
    f.heartbeat_replied("a1", 20, 0);
    f.dispatched.clear();
    f.arrive_many(10);
    assert!(f.hosts_used().iter().all(|host| &**host == "b1"));
    f.now += Duration::from_millis(500);
    f.configure(3, &[]);
    f.dispatched.clear();
    f.arrive_many(14);
    let on_returned_hosts = f.hosts_used().iter().filter(|h| &***h != "b1").count();
    assert_eq!(
        on_returned_hosts, 4,
        "a tenth of 20 slots on each of two hosts"
    );
    for _ in 0..11 {
        f.advance(Duration::from_secs(1));
        f.heartbeat_replied("a1", 20, 0);
        f.heartbeat_replied("a2", 20, 0);
        f.heartbeat_replied("b1", 20, 0);
    }
    f.arrive_many(60);
    assert_eq!(
        f.dispatched.len(),
        60 - 11,
        "all slots except those of the first 11 requests"
    );
    assert!(!f.refused.iter().any(|(req, _)| *req == running));
}

#[rstest]
#[case::in_order([2, 3])]
#[case::reversed([3, 2])]
fn highest_generation_applies_whatever_the_order_of_arrival(#[case] order: [u64; 2]) {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    for generation in order {
        let out: &[&str] = if generation == 2 { &["a"] } else { &[] };
        f.configure(generation, out);
    }
    f.arrive_many(1);
    assert_eq!(f.dispatched.len(), 1);
    assert_eq!(f.dispatched[0].generation, 3);
}

#[test]
fn requests_are_refused_with_zone_out_when_the_last_zone_is_taken_out() {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    f.configure(2, &["a"]);
    f.arrive_many(1);
    assert_eq!(f.refusal_codes(), [Code::ZoneOut]);
}

#[test]
fn stopping_entry_accepts_requests_during_the_grace_time_and_finishes_all() {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    let before = f.arrive("answers", "small");
    f.handle(EntryEvent::Stop);
    let during = f.arrive("answers", "small");
    f.advance(Duration::from_secs(3));
    f.arrive("answers", "small");
    assert_eq!(f.refusal_codes(), [Code::Stopping]);
    f.handle(EntryEvent::Stop);
    assert!(!f.core.is_drained());
    f.end_attempt(before, EntryAttemptOutcome::Answered);
    f.end_attempt(during, EntryAttemptOutcome::Answered);
    assert_eq!(f.completed, [before, during]);
    assert!(f.core.is_drained());
}

/// Regression: requests that waited or ran at the end of a stop were cut without an answer, and broken
/// ones were sent again until then.
#[test]
fn a_stopping_entry_answers_what_is_left() {
    let mut f = Fixture::new(&[("h1", "a"), ("h2", "a")], 1);
    f.core.cfg.stop_answer_time = Duration::from_millis(500);
    let running = [(); 2].map(|()| f.arrive("answers", "small"));
    let waiting = f.arrive("answers", "small");
    f.handle(EntryEvent::Stop);
    f.now += Duration::from_millis(499);
    f.handle(EntryEvent::Tick);
    assert!(f.refused.is_empty());
    let end = f.core.next_wakeup().unwrap();
    assert_eq!(end, f.now + Duration::from_millis(1));
    f.now = end;
    // It has no time to be sent again.
    f.end_attempt(running[0], EntryAttemptOutcome::Broken { delivered: 0 });
    f.handle(EntryEvent::Tick);
    let expected = [
        (running[0], Code::AnswerBroken),
        (waiting, Code::Stopping),
        (running[1], Code::AnswerBroken),
    ];
    assert_eq!(f.refused, expected);
    assert_eq!(f.dispatched.len(), 2);
    f.end_attempt(running[1], EntryAttemptOutcome::Answered);
    assert!(f.completed.is_empty());
    assert!(f.core.is_drained());
    f.arrive("answers", "small");
    assert_eq!(f.refusal_codes().last(), Some(&Code::Stopping));
}

#[test]
fn new_configuration_is_sent_to_all_members_at_once() {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    f.synced.clear();
    f.configure(2, &[]);
    assert_eq!(f.synced, ["h1", "h2"]);
}

#[test]
fn entry_contacts_more_agents_until_it_finds_a_target_that_no_member_serves() {
    let mut f = Fixture::new(&[], 4);
    let mut hosts: Vec<_> = (0..60_u16)
        .map(|n| host_entry(&format!("h{n}"), "a", 1_000 + 2 * n))
        .collect();
    for n in 0..9 {
        let mut entry = host_entry(&format!("entry{n}"), "a", 2_000);
        entry.role = crate::membership::HostRole::Entry;
        hosts.push(entry);
    }
    f.handle(EntryEvent::HostsListed(hosts));
    let members = f.synced.len();
    assert!(members < 30, "{members} of 60 in the subset");
    let mut answered = 0;
    while answered < f.synced.len() {
        let host = f.synced[answered].clone();
        let serves_target = answered >= members + 10;
        let mut endpoint = endpoint_report(&format!("{host}-0"), 4, 0);
        endpoint.target = Some(if serves_target { "chat" } else { "other" }.into());
        f.sync_replied(sync_reply(&host, vec![endpoint]));
        answered += 1;
    }
    f.arrive_many(1);
    assert_eq!(f.dispatched.len(), 1, "after {answered} replies");
    assert!(answered < 60, "the search ends when the target is found");
}

#[rstest]
#[case::partial_reply(7, Some(3), true)]
#[case::agent_without_revisions(7, None, false)]
#[case::agent_restarted(8, Some(3), false)]
fn endpoint_missing_from_a_reply_is_kept_if_the_reply_is_partial(
    #[case] instance: u64,
    #[case] revision: Option<u64>,
    #[case] is_kept: bool,
) {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    let mut empty = sync_reply("h1", Vec::new());
    empty.agent_instance = instance;
    empty.revision = revision;
    f.sync_replied(empty);
    f.arrive("answers", "small");
    assert_eq!(f.dispatched.len() == 1, is_kept, "{:?}", f.refusal_codes());
}

#[test]
fn full_endpoint_gets_requests_again_when_a_reply_confirms_its_report() {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    let req = f.arrive("answers", "small");
    f.end_attempt(req, EntryAttemptOutcome::Refused(Code::EndpointFull));
    let before = f.dispatched.len();
    f.advance(Duration::from_millis(100));
    let mut unchanged = sync_reply("h1", Vec::new());
    unchanged.revision = Some(3);
    f.sync_replied(unchanged);
    assert_eq!(f.dispatched.len(), before + 1, "{:?}", f.refusal_codes());
}
