use std::time::Duration;

use rstest::rstest;

use super::fixture::{Fixture, host, reply, report};
use crate::codes::Code;
use crate::entry::core::EntryEvent;
use crate::types::AttemptEnd;

const TWO: &[(&str, &str)] = &[("h1", "a"), ("h2", "b")];

/// What makes host `h1` unfit for new work while it may still run old work.
#[derive(Clone, Copy, Debug)]
enum Cause {
    ListedAfterDeath,
    OwnWord,
    ListSaysLeaving,
    ZoneOut,
    ConnectionRefused,
    NoLongerReported,
    AddressTakenOver,
}

impl Cause {
    fn induce(self, f: &mut Fixture) {
        match self {
            Self::ListedAfterDeath => {
                f.event(EntryEvent::SyncFailed { host: "h1".into() });
                for _ in 0..4 {
                    f.pass(Duration::from_secs(1));
                    f.heard("h2", 4, 0);
                }
            }
            Self::OwnWord => {
                let mut leaving = reply("h1", vec![report("h1-0", 4, 0)]);
                leaving.leaving = true;
                f.synced(leaving);
            }
            Self::ListSaysLeaving => {
                let mut hosts = f.hosts.clone();
                hosts[0].leaving = true;
                f.event(EntryEvent::HostsListed(hosts));
            }
            Self::ZoneOut => f.configure(2, &["a"]),
            Self::ConnectionRefused => {
                let mut reqs = Vec::new();
                while f.hosts_used().iter().all(|host| &**host != "h1") {
                    reqs.push(f.arrive("answers", "small"));
                }
                let lost = f.dispatched.iter().find(|d| &*d.host == "h1").unwrap().req;
                f.end(lost, AttemptEnd::NotSent);
                assert_eq!(&*f.latest(lost).host, "h2", "it is tried elsewhere");
                for req in reqs {
                    f.end(req, AttemptEnd::Answered);
                }
            }
            Self::NoLongerReported => f.synced(reply("h1", vec![])),
            Self::AddressTakenOver => {
                let mut hosts = f.hosts.clone();
                hosts[0].control.set_port(9);
                f.event(EntryEvent::HostsListed(hosts));
                let stranger = reply("h9", vec![report("h1-0", 4, 0)]);
                f.event(EntryEvent::Synced {
                    host: "h1".into(),
                    reply: stranger,
                });
            }
        }
    }
}

#[rstest]
fn an_unfit_host_gets_no_new_work(
    #[values(
        Cause::ListedAfterDeath,
        Cause::OwnWord,
        Cause::ListSaysLeaving,
        Cause::ZoneOut,
        Cause::ConnectionRefused,
        Cause::NoLongerReported,
        Cause::AddressTakenOver
    )]
    cause: Cause,
) {
    let mut f = Fixture::new(TWO, 4);
    cause.induce(&mut f);
    f.dispatched.clear();
    f.arrive_many(4);
    assert_eq!(f.hosts_used().len(), 4);
    assert!(f.hosts_used().iter().all(|host| &**host == "h2"));
}

#[test]
fn a_host_dropped_from_the_list_while_alive_keeps_its_work() {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    f.event(EntryEvent::HostsListed(vec![]));
    f.arrive_many(1);
    assert_eq!(f.dispatched.len(), 1);
    f.pass(Duration::from_secs(1));
    f.pass(Duration::from_secs(5));
    f.pass(Duration::from_millis(900));
    f.pass(Duration::from_millis(900));
    f.pass(Duration::from_millis(900));
    f.event(EntryEvent::HostsListed(vec![]));
    f.arrive_many(1);
    assert_eq!(f.codes(), [Code::NoEndpoint], "silent and unlisted");
}

#[test]
fn silence_is_not_death() {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    let running = f.arrive("answers", "small");
    for _ in 0..5 {
        f.pass(Duration::from_millis(900));
    }
    f.arrive_many(1);
    assert_eq!(f.codes(), [Code::NoEndpoint]);
    f.end(running, AttemptEnd::Answered);
    assert_eq!(f.completed, [running], "what runs there goes on");
    f.heard("h1", 4, 0);
    f.arrive_many(1);
    assert_eq!(f.dispatched.len(), 2, "one answer ends the suspicion");
}

#[test]
fn a_paused_entry_suspects_nobody_for_its_own_pause() {
    let mut f = Fixture::new(TWO, 4);
    f.pass(Duration::from_millis(1_100));
    f.pass(Duration::from_secs(60));
    f.arrive_many(2);
    assert_eq!(f.dispatched.len(), 2);
}

#[test]
fn a_zone_taken_out_with_half_its_links_stalled_gets_no_work_and_returns_slowly() {
    let mut f = Fixture::new(&[("a1", "a"), ("a2", "a"), ("b1", "b")], 20);
    let running = f.arrive("answers", "small");
    f.configure(2, &["a"]);
    // Only a1 hears of it; the link to a2 is stalled and gives neither answer nor error.
    f.heard("a1", 20, 0);
    f.dispatched.clear();
    f.arrive_many(10);
    assert!(f.hosts_used().iter().all(|host| &**host == "b1"));
    f.now += Duration::from_millis(500);
    f.configure(3, &[]);
    f.dispatched.clear();
    f.arrive_many(14);
    let back = f.hosts_used().iter().filter(|h| &***h != "b1").count();
    assert_eq!(back, 4, "a tenth of 20 places on each of two hosts");
    for _ in 0..11 {
        f.pass(Duration::from_secs(1));
        f.heard("a1", 20, 0);
        f.heard("a2", 20, 0);
        f.heard("b1", 20, 0);
    }
    f.arrive_many(60);
    assert_eq!(
        f.dispatched.len(),
        60 - 11,
        "all places that the first 11 left"
    );
    assert!(!f.refused.iter().any(|(req, _)| *req == running));
}

#[rstest]
#[case::in_order([2, 3])]
#[case::rival_overtaken([3, 2])]
fn out_and_back_by_two_operators_ends_with_the_higher_generation(#[case] order: [u64; 2]) {
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
fn the_last_zone_taken_out_is_refused_at_once_as_such() {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    f.configure(2, &["a"]);
    f.arrive_many(1);
    assert_eq!(f.codes(), [Code::ZoneOut]);
}

#[test]
fn a_stop_cuts_nothing_and_serves_until_the_balancer_has_followed() {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    let before = f.arrive("answers", "small");
    f.event(EntryEvent::Stop);
    let during = f.arrive("answers", "small");
    f.pass(Duration::from_secs(3));
    f.arrive("answers", "small");
    assert_eq!(f.codes(), [Code::Stopping]);
    f.event(EntryEvent::Stop);
    assert!(!f.core.is_drained());
    f.end(before, AttemptEnd::Answered);
    f.end(during, AttemptEnd::Answered);
    assert_eq!(f.completed, [before, during]);
    assert!(f.core.is_drained());
}

#[test]
fn every_member_hears_of_a_change_at_once() {
    let mut f = Fixture::new(TWO, 4);
    f.synced.clear();
    f.configure(2, &[]);
    assert_eq!(f.synced, ["h1", "h2"]);
}

#[test]
fn a_target_that_no_member_serves_is_looked_for() {
    let mut f = Fixture::new(&[], 4);
    let mut hosts: Vec<_> = (0..60_u16)
        .map(|n| host(&format!("h{n}"), "a", 1_000 + 2 * n))
        .collect();
    for n in 0..9 {
        let mut entry = host(&format!("entry{n}"), "a", 2_000);
        entry.role = crate::membership::HostRole::Entry;
        hosts.push(entry);
    }
    f.event(EntryEvent::HostsListed(hosts));
    let members = f.synced.len();
    assert!(members < 30, "{members} of 60 in the subset");
    let mut answered = 0;
    while answered < f.synced.len() {
        let host = f.synced[answered].clone();
        let rare = answered >= members + 10;
        let mut endpoint = report(&format!("{host}-0"), 4, 0);
        endpoint.target = Some(if rare { "chat" } else { "other" }.into());
        f.synced(reply(&host, vec![endpoint]));
        answered += 1;
    }
    f.arrive_many(1);
    assert_eq!(f.dispatched.len(), 1, "after {answered} were asked");
    assert!(answered < 60, "the search ends when the target is found");
}

#[rstest]
#[case::left_out(7, Some(3), true)]
#[case::agent_without_revisions(7, None, false)]
#[case::agent_restarted(8, Some(3), false)]
fn an_endpoint_that_a_reply_leaves_out(
    #[case] instance: u64,
    #[case] revision: Option<u64>,
    #[case] still_serves: bool,
) {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    let mut silent = reply("h1", Vec::new());
    silent.agent_instance = instance;
    silent.revision = revision;
    f.synced(silent);
    f.arrive("answers", "small");
    assert_eq!(f.dispatched.len() == 1, still_serves, "{:?}", f.codes());
}

#[test]
fn an_endpoint_that_was_full_is_open_again_when_its_report_is_confirmed() {
    let mut f = Fixture::new(&[("h1", "a")], 4);
    let req = f.arrive("answers", "small");
    f.end(req, AttemptEnd::Refused(Code::EndpointFull));
    let before = f.dispatched.len();
    f.pass(Duration::from_millis(100));
    let mut unchanged = reply("h1", Vec::new());
    unchanged.revision = Some(3);
    f.synced(unchanged);
    assert_eq!(f.dispatched.len(), before + 1, "{:?}", f.codes());
}
