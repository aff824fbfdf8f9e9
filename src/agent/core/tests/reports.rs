use rstest::rstest;

use super::{AGENT, AgentAction, AgentEvent, Bench, StoreContact, SyncReply, SyncRequest};

/// An entry that has `revision` of the reports of `instance` sends a heartbeat.
fn sync(bench: &mut Bench, instance: u64, revision: u64) -> SyncReply {
    let request = SyncRequest {
        entry: "e1".into(),
        zone: None,
        generation: 5,
        config: None,
        placement: None,
        placement_version: None,
        seen_instance: Some(instance),
        seen_revision: Some(revision),
        store: StoreContact {
            age_ms: 0,
            reachable: true,
            outages: Vec::new(),
            stamp_ms: None,
            echo_ms: None,
        },
        quarantine: Vec::new(),
    };
    let actions = bench.handle(AgentEvent::Synced(Box::new(request)));
    let reply = actions.into_iter().find_map(|action| match action {
        AgentAction::SyncReply(reply) => Some(*reply),
        _ => None,
    });
    reply.unwrap()
}

fn reported(reply: &SyncReply) -> Vec<&str> {
    reply
        .endpoints
        .iter()
        .map(|report| report.endpoint.as_str())
        .collect()
}

#[rstest]
#[case::nothing_seen(AGENT, 0, &["desk", "engine"])]
#[case::another_instance(AGENT + 1, 1_000, &["desk", "engine"])]
fn an_entry_that_knows_nothing_gets_every_report(
    #[case] instance: u64,
    #[case] revision: u64,
    #[case] expected: &[&str],
) {
    let mut bench = Bench::new();
    assert_eq!(reported(&sync(&mut bench, instance, revision)), expected);
}

#[test]
fn what_has_not_changed_is_left_out() {
    let mut bench = Bench::new();
    let revision = sync(&mut bench, AGENT, 0).revision.unwrap();
    let reply = sync(&mut bench, AGENT, revision);
    assert_eq!((reported(&reply), reply.revision), (vec![], Some(revision)));
}

#[test]
fn a_change_is_reported_until_the_entry_has_it() {
    let mut bench = Bench::new();
    let revision = sync(&mut bench, AGENT, 0).revision.unwrap();
    bench.probe("engine", 99, Some("v1"));
    let lost = sync(&mut bench, AGENT, revision);
    assert_eq!(reported(&lost), ["engine"]);
    let again = sync(&mut bench, AGENT, revision);
    assert_eq!(reported(&again), ["engine"]);
    let known = sync(&mut bench, AGENT, again.revision.unwrap());
    assert!(reported(&known).is_empty());
}
