use rstest::rstest;

use super::{
    AGENT_INSTANCE, AgentAction, AgentEvent, Fixture, StoreContact, SyncReply, SyncRequest,
};

/// Heartbeat of an entry whose latest report is `revision` of agent incarnation `instance`.
fn sync(fixture: &mut Fixture, instance: u64, revision: u64) -> SyncReply {
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
    let actions = fixture.handle(AgentEvent::Synced(Box::new(request)));
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
#[case::no_revision(AGENT_INSTANCE, 0, &["desk", "engine"])]
#[case::another_instance(AGENT_INSTANCE + 1, 1_000, &["desk", "engine"])]
fn entry_without_a_valid_revision_gets_every_report(
    #[case] instance: u64,
    #[case] revision: u64,
    #[case] expected: &[&str],
) {
    let mut fixture = Fixture::new();
    assert_eq!(reported(&sync(&mut fixture, instance, revision)), expected);
}

#[test]
fn unchanged_endpoints_are_omitted() {
    let mut fixture = Fixture::new();
    let revision = sync(&mut fixture, AGENT_INSTANCE, 0).revision.unwrap();
    let reply = sync(&mut fixture, AGENT_INSTANCE, revision);
    assert_eq!((reported(&reply), reply.revision), (vec![], Some(revision)));
}

#[test]
fn change_is_reported_until_the_entry_confirms_it() {
    let mut fixture = Fixture::new();
    let revision = sync(&mut fixture, AGENT_INSTANCE, 0).revision.unwrap();
    fixture.probe("engine", 99, Some("v1"));
    let first = sync(&mut fixture, AGENT_INSTANCE, revision);
    assert_eq!(reported(&first), ["engine"]);
    let again = sync(&mut fixture, AGENT_INSTANCE, revision);
    assert_eq!(reported(&again), ["engine"]);
    let confirmed = sync(&mut fixture, AGENT_INSTANCE, again.revision.unwrap());
    assert!(reported(&confirmed).is_empty());
}
