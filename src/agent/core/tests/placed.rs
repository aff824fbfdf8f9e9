use std::time::Duration;

use rstest::rstest;

use super::{
    AgentAction, AgentEvent, Bench, StoreContact, SyncRequest, VersionedDocument, targets,
};
use crate::agent::core::gate::ORDER_LIFE;
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

/// An entry passes version `fence` of the placement on.
pub(super) fn place(bench: &mut Bench, fence: u64, placement: &Placement) -> Vec<AgentAction> {
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
    bench.handle(AgentEvent::Synced(Box::new(request)))
}

fn fetches(actions: &[AgentAction]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, AgentAction::Fetch { .. }))
}

fn load(actions: &[AgentAction]) -> Option<(&str, u64)> {
    actions.iter().find_map(|action| match action {
        AgentAction::Load { version, fence, .. } => Some((&**version, *fence)),
        _ => None,
    })
}

/// The placement knows version `v1`, and the targets name `v2`.
fn pushed() -> Bench {
    let mut bench = Bench::new();
    place(&mut bench, 10, &placement("v1", None));
    bench.sync(6, Some(targets("v2")));
    bench
}

#[test]
fn a_push_is_fetched_ahead_and_switched_when_the_placement_says_so() {
    let mut bench = pushed();
    assert!(fetches(&place(
        &mut bench,
        11,
        &placement("v1", Some("v2"))
    )));
    let held = bench.handle(AgentEvent::VersionHeld {
        version: "v2".into(),
    });
    assert_eq!(load(&held), None);
    let switched = place(&mut bench, 12, &placement("v2", None));
    assert_eq!(load(&switched), Some(("v2", 12)));
}

#[test]
fn a_switch_waits_for_the_last_chunk() {
    let mut bench = pushed();
    let early = place(&mut bench, 11, &placement("v2", None));
    assert!(fetches(&early));
    assert_eq!(load(&early), None);
    let held = bench.handle(AgentEvent::VersionHeld {
        version: "v2".into(),
    });
    assert_eq!(load(&held), Some(("v2", 11)));
}

#[rstest]
#[case::older(9)]
#[case::same(12)]
fn a_placement_that_is_not_newer_gives_no_order(#[case] fence: u64) {
    let mut bench = pushed();
    place(&mut bench, 12, &placement("v1", None));
    bench.handle(AgentEvent::VersionHeld {
        version: "v2".into(),
    });
    assert_eq!(
        load(&place(&mut bench, fence, &placement("v2", None))),
        None
    );
}

#[test]
fn an_endpoint_without_a_place_gets_no_order() {
    let mut bench = Bench::new();
    place(&mut bench, 10, &Placement::default());
    bench.sync(6, Some(targets("v2")));
    let held = bench.handle(AgentEvent::VersionHeld {
        version: "v2".into(),
    });
    assert!(!fetches(&held) && load(&held).is_none());
}

/// An agent that has just started beside an engine that ignores fencing numbers.
fn unfenced() -> Bench {
    let mut bench = Bench::with_fencing(false);
    place(&mut bench, 10, &placement("v1", None));
    bench.sync(6, Some(targets("v2")));
    bench
}

fn probed(bench: &mut Bench, after: Duration) -> Vec<AgentAction> {
    bench.now += after;
    bench.probe("engine", 11, Some("v1"))
}

#[test]
fn an_order_waits_out_those_of_the_predecessor_where_fencing_is_ignored() {
    let mut bench = unfenced();
    place(&mut bench, 11, &placement("v2", None));
    let held = bench.handle(AgentEvent::VersionHeld {
        version: "v2".into(),
    });
    assert_eq!(load(&held), None);
    assert_eq!(load(&probed(&mut bench, ORDER_LIFE / 2)), None);
    assert_eq!(load(&probed(&mut bench, ORDER_LIFE)), Some(("v2", 11)));
}

#[rstest]
#[case::lost(None, false)]
#[case::answered(Some("v2"), true)]
fn an_order_waits_until_a_lost_one_can_not_take_effect(
    #[case] answer: Option<&str>,
    #[case] follows_at_once: bool,
) {
    let mut bench = unfenced();
    place(&mut bench, 11, &placement("v2", None));
    bench.handle(AgentEvent::VersionHeld {
        version: "v2".into(),
    });
    probed(&mut bench, ORDER_LIFE);
    let version = answer.map(Into::into);
    bench.handle(AgentEvent::Loaded {
        endpoint: "engine".into(),
        version,
        fence: 11,
    });
    bench.sync(7, Some(targets("v3")));
    place(&mut bench, 12, &placement("v3", None));
    bench.handle(AgentEvent::VersionHeld {
        version: "v3".into(),
    });
    let soon = load(&probed(&mut bench, ORDER_LIFE / 2)).is_some();
    assert_eq!(soon, follows_at_once);
    let late = load(&probed(&mut bench, ORDER_LIFE)).is_some();
    assert_eq!(late, !follows_at_once);
}
