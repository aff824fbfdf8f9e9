use std::time::Duration;

use rstest::rstest;

use super::fixture::{Fixture, endpoint_report, sync_reply};
use crate::delivery::{StoreCall, StoreReply};
use crate::entry::core::{EntryEvent, PLACEMENT_KEY, StoreCallId};
use crate::placement::Placement;
use crate::wire::VersionedDocument;

const TWO_HOSTS: &[(&str, &str)] = &[("h1", "a"), ("h2", "b")];
const SECOND: Duration = Duration::from_secs(1);

/// Proposals written so far: call id, placement, and the version that it replaces.
fn proposals(f: &Fixture) -> Vec<(StoreCallId, Placement, u64)> {
    let puts = f.stored.iter().filter_map(|(call_id, call)| match call {
        StoreCall::Put {
            key,
            value,
            if_version,
        } if &**key == PLACEMENT_KEY => {
            Some((*call_id, Placement::from_json(value).unwrap(), *if_version))
        }
        _ => None,
    });
    puts.collect()
}

/// Advances the clock until the next proposal and returns it.
fn next_proposal(f: &mut Fixture) -> (StoreCallId, Placement, u64) {
    let before = proposals(f).len();
    for _ in 0..8 {
        f.advance(SECOND / 4);
        f.heartbeat_replied("h1", 4, 0);
        f.heartbeat_replied("h2", 4, 0);
    }
    let all = proposals(f);
    assert!(all.len() > before, "nothing was proposed");
    all[before].clone()
}

fn publish(f: &mut Fixture, version: u64, placement: &Placement) {
    let doc = VersionedDocument {
        generation: version,
        body: placement.to_json(),
    };
    f.handle(EntryEvent::PlacementRead(doc));
}

#[test]
fn proposal_assigns_a_version_to_every_known_endpoint() {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let (_, placement, if_version) = next_proposal(&mut f);
    assert_eq!(if_version, 0);
    let versions: Vec<_> = placement
        .endpoints
        .iter()
        .map(|(id, a)| (&**id, &*a.version))
        .collect();
    assert_eq!(versions, [("h1-0", "v1"), ("h2-0", "v1")]);
}

#[rstest]
#[case::conflict(StoreReply::Conflict)]
#[case::refused(StoreReply::Refused)]
#[case::lost(StoreReply::Lost)]
fn proposal_is_recomputed_from_the_current_placement_after_a_failed_write(
    #[case] reply: StoreReply,
) {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let (call_id, first, _) = next_proposal(&mut f);
    f.handle(EntryEvent::StoreReplied { call_id, reply });
    let mut other = first.clone();
    other.endpoints.remove("h2-0");
    publish(&mut f, 9, &other);
    let (_, second, if_version) = next_proposal(&mut f);
    assert_eq!((second, if_version), (first, 9));
}

#[test]
fn proposal_keeps_unknown_endpoints_of_listed_hosts() {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let (_, mut placement, _) = next_proposal(&mut f);
    let mut unknown = placement.endpoints["h1-0"].clone();
    unknown.host = "h2".into();
    placement.endpoints.insert("h2-7".into(), unknown.clone());
    unknown.host = "gone".into();
    placement.endpoints.insert("gone-0".into(), unknown);
    publish(&mut f, 9, &placement);
    let (_, next, _) = next_proposal(&mut f);
    let ids: Vec<&str> = next.endpoints.keys().map(|id| &**id).collect();
    assert_eq!(ids, ["h1-0", "h2-0", "h2-7"]);
}

#[test]
fn only_agents_whose_part_changed_get_a_heartbeat_at_once() {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let (_, placement, _) = next_proposal(&mut f);
    publish(&mut f, 9, &placement);
    for host in ["h1", "h2"] {
        let mut reply = sync_reply(host, vec![endpoint_report(&format!("{host}-0"), 4, 0)]);
        reply.placement_version = Some(9);
        f.sync_replied(reply);
    }
    f.synced.clear();
    let mut changed = placement.clone();
    changed.endpoints.get_mut("h2-0").unwrap().next = Some("v2".into());
    publish(&mut f, 10, &changed);
    assert_eq!(f.synced, ["h2"]);
}

#[test]
fn older_placement_is_ignored() {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let (_, placement, _) = next_proposal(&mut f);
    publish(&mut f, 9, &placement);
    let mut older = placement;
    older.endpoints.clear();
    publish(&mut f, 8, &older);
    assert_eq!(f.core.dump(f.now)["placement"], 9);
}

#[test]
fn stopping_entry_proposes_nothing() {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    f.handle(EntryEvent::Stop);
    for _ in 0..8 {
        f.advance(SECOND / 4);
    }
    assert!(proposals(&f).is_empty());
}

#[test]
fn endpoint_assigned_another_version_gets_no_requests() {
    let mut f = Fixture::new(TWO_HOSTS, 4);
    let (_, mut placement, _) = next_proposal(&mut f);
    placement.endpoints.get_mut("h1-0").unwrap().version = "v2".into();
    publish(&mut f, 9, &placement);
    f.arrive_many(4);
    assert!(
        f.hosts_used().iter().all(|host| &**host == "h2"),
        "{:?}",
        f.hosts_used()
    );
    assert_eq!(f.hosts_used().len(), 4);
}
