use std::time::Duration;

use rstest::rstest;

use super::fixture::{Fixture, reply, report};
use crate::delivery::{StoreCall, StoreReply};
use crate::entry::core::{EntryEvent, PLACEMENT_KEY, StoreCallId};
use crate::placement::Placement;
use crate::wire::ConfigDoc;

const TWO: &[(&str, &str)] = &[("h1", "a"), ("h2", "b")];
const SECOND: Duration = Duration::from_secs(1);

/// Proposals written so far, with the version that each replaces.
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

fn proposed(f: &mut Fixture) -> (StoreCallId, Placement, u64) {
    let before = proposals(f).len();
    for _ in 0..8 {
        f.pass(SECOND / 4);
        f.heard("h1", 4, 0);
        f.heard("h2", 4, 0);
    }
    let all = proposals(f);
    assert!(all.len() > before, "nothing was proposed");
    all[before].clone()
}

fn show(f: &mut Fixture, version: u64, placement: &Placement) {
    let doc = ConfigDoc {
        generation: version,
        body: placement.to_json(),
    };
    f.event(EntryEvent::PlacementRead(doc));
}

#[test]
fn every_known_endpoint_is_placed() {
    let mut f = Fixture::new(TWO, 4);
    let (_, placement, if_version) = proposed(&mut f);
    assert_eq!(if_version, 0);
    let versions: Vec<_> = placement
        .endpoints
        .iter()
        .map(|(id, a)| (&**id, &*a.version))
        .collect();
    assert_eq!(versions, [("h1-0", "v1"), ("h2-0", "v1")]);
}

#[rstest]
#[case::rival_won(StoreReply::Conflict)]
#[case::refused(StoreReply::Refused)]
#[case::lost(StoreReply::Lost)]
fn a_write_that_failed_is_computed_anew(#[case] end: StoreReply) {
    let mut f = Fixture::new(TWO, 4);
    let (call_id, first, _) = proposed(&mut f);
    f.event(EntryEvent::StoreReplied {
        call_id,
        reply: end,
    });
    let mut rival = first.clone();
    rival.endpoints.remove("h2-0");
    show(&mut f, 9, &rival);
    let (_, second, if_version) = proposed(&mut f);
    assert_eq!((second, if_version), (first, 9));
}

#[test]
fn endpoints_of_others_keep_their_place_while_listed() {
    let mut f = Fixture::new(TWO, 4);
    let (_, mut placement, _) = proposed(&mut f);
    let mut unknown = placement.endpoints["h1-0"].clone();
    unknown.host = "h2".into();
    placement.endpoints.insert("h2-7".into(), unknown.clone());
    unknown.host = "gone".into();
    placement.endpoints.insert("gone-0".into(), unknown);
    show(&mut f, 9, &placement);
    let (_, next, _) = proposed(&mut f);
    let ids: Vec<&str> = next.endpoints.keys().map(|id| &**id).collect();
    assert_eq!(ids, ["h1-0", "h2-0", "h2-7"]);
}

#[test]
fn an_agent_is_told_at_once_when_its_part_changed_and_only_then() {
    let mut f = Fixture::new(TWO, 4);
    let (_, placement, _) = proposed(&mut f);
    show(&mut f, 9, &placement);
    for host in ["h1", "h2"] {
        let mut told = reply(host, vec![report(&format!("{host}-0"), 4, 0)]);
        told.placement_version = Some(9);
        f.synced(told);
    }
    f.synced.clear();
    let mut changed = placement.clone();
    changed.endpoints.get_mut("h2-0").unwrap().next = Some("v2".into());
    show(&mut f, 10, &changed);
    assert_eq!(f.synced, ["h2"]);
}

#[test]
fn an_older_placement_changes_nothing() {
    let mut f = Fixture::new(TWO, 4);
    let (_, placement, _) = proposed(&mut f);
    show(&mut f, 9, &placement);
    let mut older = placement;
    older.endpoints.clear();
    show(&mut f, 8, &older);
    assert_eq!(f.core.dump(f.now)["placement"], 9);
}

#[test]
fn a_stopping_entry_proposes_nothing() {
    let mut f = Fixture::new(TWO, 4);
    f.event(EntryEvent::Stop);
    for _ in 0..8 {
        f.pass(SECOND / 4);
    }
    assert!(proposals(&f).is_empty());
}

#[test]
fn an_endpoint_that_is_told_to_switch_gets_no_work_from_then_on() {
    let mut f = Fixture::new(TWO, 4);
    let (_, mut placement, _) = proposed(&mut f);
    placement.endpoints.get_mut("h1-0").unwrap().version = "v2".into();
    show(&mut f, 9, &placement);
    f.arrive_many(4);
    assert!(
        f.hosts_used().iter().all(|host| &**host == "h2"),
        "{:?}",
        f.hosts_used()
    );
    assert_eq!(f.hosts_used().len(), 4);
}
