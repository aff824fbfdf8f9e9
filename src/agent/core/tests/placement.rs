use std::time::Duration;

use rstest::rstest;

use super::{
    AgentAction, AgentEvent, Fixture, StoreContact, SyncRequest, VersionedDocument, targets,
};
use crate::agent::core::gate::LOAD_ORDER_TTL;
use crate::placement::{Assignment, Placement};

fn placement(version: &str, next: Option<&str>) -> Placement {
    let assignment = Assignment {
        host: "h1".into(),
        model: "clay".into(),
        version: version.into(),
        next: next.map(Into::into),
    };
    Placement {
        generation: 6,
        endpoints: [("engine".into(), assignment)].into(),
        ..Placement::default()
    }
}

/// An entry forwards version `fence` of the placement.
pub(super) fn send_placement(
    fixture: &mut Fixture,
    fence: u64,
    placement: &Placement,
) -> Vec<AgentAction> {
    let request = SyncRequest {
        seen_instance: None,
        seen_revision: None,
        entry: "e1".into(),
        zone: None,
        generation: 6,
        config: None,
        placement: Some(VersionedDocument {
            generation: fence,
            body: placement.to_json(),
        }),
        placement_version: Some(fence),
        store: StoreContact {
            age_ms: 0,
            reachable: true,
            outages: Vec::new(),
            stamp_ms: None,
            echo_ms: None,
        },
        quarantine: Vec::new(),
    };
    fixture.handle(AgentEvent::Synced(Box::new(request)))
}

fn has_fetch(actions: &[AgentAction]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, AgentAction::Fetch { .. }))
}

fn find_load(actions: &[AgentAction]) -> Option<(&str, u64)> {
    actions.iter().find_map(|action| match action {
        AgentAction::Load { version, fence, .. } => Some((&**version, *fence)),
        _ => None,
    })
}

/// The placement assigns version `v1`, and the targets already name `v2`.
fn with_new_target() -> Fixture {
    let mut fixture = Fixture::new();
    send_placement(&mut fixture, 10, &placement("v1", None));
    fixture.sync(6, Some(targets("v2")));
    fixture
}

#[test]
fn next_version_is_fetched_early_and_loaded_when_assigned() {
    let mut fixture = with_new_target();
    assert!(has_fetch(&send_placement(
        &mut fixture,
        11,
        &placement("v1", Some("v2"))
    )));
    let held = fixture.handle(AgentEvent::VersionHeld {
        version: "v2".into(),
    });
    assert_eq!(find_load(&held), None);
    let switched = send_placement(&mut fixture, 12, &placement("v2", None));
    assert_eq!(find_load(&switched), Some(("v2", 12)));
}

#[test]
fn load_waits_until_the_version_is_held() {
    let mut fixture = with_new_target();
    let early = send_placement(&mut fixture, 11, &placement("v2", None));
    assert!(has_fetch(&early));
    assert_eq!(find_load(&early), None);
    let held = fixture.handle(AgentEvent::VersionHeld {
        version: "v2".into(),
    });
    assert_eq!(find_load(&held), Some(("v2", 11)));
}

#[rstest]
#[case::older(9)]
#[case::same(12)]
fn placement_that_is_not_newer_causes_no_load(#[case] fence: u64) {
    let mut fixture = with_new_target();
    send_placement(&mut fixture, 12, &placement("v1", None));
    fixture.handle(AgentEvent::VersionHeld {
        version: "v2".into(),
    });
    assert_eq!(
        find_load(&send_placement(&mut fixture, fence, &placement("v2", None))),
        None
    );
}

#[test]
fn endpoint_without_assignment_gets_no_order() {
    let mut fixture = Fixture::new();
    send_placement(&mut fixture, 10, &Placement::default());
    fixture.sync(6, Some(targets("v2")));
    let held = fixture.handle(AgentEvent::VersionHeld {
        version: "v2".into(),
    });
    assert!(!has_fetch(&held) && find_load(&held).is_none());
}

/// An agent that has just started, with an engine that ignores fencing numbers.
fn without_fencing() -> Fixture {
    let mut fixture = Fixture::with_fencing(false);
    send_placement(&mut fixture, 10, &placement("v1", None));
    fixture.sync(6, Some(targets("v2")));
    fixture
}

fn probe_after(fixture: &mut Fixture, after: Duration) -> Vec<AgentAction> {
    fixture.now += after;
    fixture.probe("engine", 11, Some("v1"))
}

#[test]
fn first_load_waits_for_orders_of_an_earlier_agent_without_fencing() {
    let mut fixture = without_fencing();
    send_placement(&mut fixture, 11, &placement("v2", None));
    let held = fixture.handle(AgentEvent::VersionHeld {
        version: "v2".into(),
    });
    assert_eq!(find_load(&held), None);
    assert_eq!(
        find_load(&probe_after(&mut fixture, LOAD_ORDER_TTL / 2)),
        None
    );
    assert_eq!(
        find_load(&probe_after(&mut fixture, LOAD_ORDER_TTL)),
        Some(("v2", 11))
    );
}

#[rstest]
#[case::failed(None, false)]
#[case::confirmed(Some("v2"), true)]
fn next_load_waits_until_a_failed_one_has_expired(
    #[case] answer: Option<&str>,
    #[case] follows_at_once: bool,
) {
    let mut fixture = without_fencing();
    send_placement(&mut fixture, 11, &placement("v2", None));
    fixture.handle(AgentEvent::VersionHeld {
        version: "v2".into(),
    });
    probe_after(&mut fixture, LOAD_ORDER_TTL);
    let version = answer.map(Into::into);
    fixture.handle(AgentEvent::Loaded {
        endpoint: "engine".into(),
        version,
        fence: 11,
    });
    fixture.sync(7, Some(targets("v3")));
    send_placement(&mut fixture, 12, &placement("v3", None));
    fixture.handle(AgentEvent::VersionHeld {
        version: "v3".into(),
    });
    let soon = find_load(&probe_after(&mut fixture, LOAD_ORDER_TTL / 2)).is_some();
    assert_eq!(soon, follows_at_once);
    let late = find_load(&probe_after(&mut fixture, LOAD_ORDER_TTL)).is_some();
    assert_eq!(late, !follows_at_once);
}
