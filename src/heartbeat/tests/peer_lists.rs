//! The list of agents on its way to each agent.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::plan;
use crate::heartbeat::*;
use crate::timer::StallDetector;
use crate::types::StorePosition;

/// Largest payload of a datagram in one Ethernet frame, in bytes.
const FRAME_BYTES: usize = 1_472;

pub(super) fn list(agents: u32) -> PeerList {
    let mut list = PeerList::default();
    for n in 0..agents {
        let zone = format!("zone-with-a-long-name-{}", n % 5).into();
        let region = format!("region-with-a-long-name-{}", n % 5).into();
        let addr = SocketAddrV4::new((0x0a01_0000 + n).into(), 7_700);
        list.add(&zone, &region, &[addr]);
    }
    list
}

pub(super) fn position(revision: u64) -> StorePosition {
    StorePosition { era: 1, revision }
}

fn with_plan(now: Instant, revision: u64, list: &PeerList) -> PlanState {
    let mut state = PlanState::default();
    apply(&mut state, now, revision, list);
    state
}

pub(super) fn apply(state: &mut PlanState, now: Instant, revision: u64, list: &PeerList) {
    let plan = Plan {
        peers: list.digest(),
        ..plan(revision, 2, 0)
    };
    state.apply_plan(now, plan, &mut StallDetector::new(now));
}

/// Regression: the list of about 1,300 agents and more exceeded the datagram size and was dropped.
#[rstest]
#[case::none(0)]
#[case::few(27)]
#[case::one_full_part(128)]
#[case::hundreds(1_200)]
#[case::thousands(5_000)]
fn a_list_of_any_size_arrives_in_parts_that_fit(#[case] agents: u32) {
    let now = Instant::now();
    let list = list(agents);
    let mut state = with_plan(now, 5, &list);
    assert!(state.wants_peer_list(now));
    let mut parts = list.parts(position(5));
    // Datagrams overtake each other, and some come twice.
    parts.reverse();
    let last = parts.pop().unwrap();
    for part in &parts {
        let message = EntryMessage::PeerList(part.clone());
        let datagram = encode(&message).unwrap();
        assert!(datagram.len() <= FRAME_BYTES, "{} bytes", datagram.len());
        assert_eq!(decode(&datagram), Ok(message));
        assert!(!state.apply_peer_list(part.clone()));
        assert!(!state.apply_peer_list(part.clone()));
    }
    assert!(state.apply_peer_list(last));
    assert_eq!(state.peers(), Some(&list));
    assert!(!state.wants_peer_list(now + Duration::from_secs(1)));
}

#[test]
fn a_lost_part_is_asked_for_again() {
    let now = Instant::now();
    let list = list(300);
    let mut state = with_plan(now, 5, &list);
    assert!(state.wants_peer_list(now));
    let parts = list.parts(position(5));
    assert!(!state.apply_peer_list(parts[0].clone()));
    assert!(!state.apply_peer_list(parts[2].clone()));
    assert!(!state.wants_peer_list(now + Duration::from_millis(200)));
    assert!(state.wants_peer_list(now + Duration::from_millis(300)));
    assert!(state.apply_peer_list(parts[1].clone()));
}

#[test]
fn a_changed_list_is_asked_for_once_and_an_older_one_is_ignored() {
    let now = Instant::now();
    let (old, new) = (list(3), list(4));
    let mut state = with_plan(now, 5, &old);
    assert!(state.wants_peer_list(now));
    assert!(state.apply_peer_list(old.parts(position(5)).remove(0)));
    let later = now + Duration::from_secs(1);
    assert!(!state.wants_peer_list(later));
    apply(&mut state, later, 6, &new);
    assert!(state.wants_peer_list(later));
    assert!(state.apply_peer_list(new.parts(position(6)).remove(0)));
    assert!(!state.apply_peer_list(old.parts(position(5)).remove(0)));
    assert_eq!(state.peers(), Some(&new));
}

/// An entry may have a newer list than the one that its heartbeat named.
#[test]
fn a_newer_list_than_the_one_asked_for_is_taken() {
    let now = Instant::now();
    let (old, new) = (list(3), list(4));
    let mut state = with_plan(now, 5, &old);
    assert!(state.apply_peer_list(new.parts(position(6)).remove(0)));
    assert!(!state.wants_peer_list(now));
}
