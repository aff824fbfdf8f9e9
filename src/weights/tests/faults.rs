//! The cases of weight distribution under faults.

use std::time::Duration;

use rstest::rstest;

use super::world::{CHUNKS, World, wanted};
use crate::telemetry::Event;

const SECOND: Duration = Duration::from_secs(1);

#[rstest]
#[case::one_region(16, 1)]
#[case::two_regions(16, 2)]
#[case::few_hosts(3, 1)]
#[case::one_host(1, 1)]
fn each_region_draws_each_chunk_once(#[case] hosts: usize, #[case] regions: usize) {
    let mut world = World::new(hosts, regions);
    world.want(&wanted("m", "v1"));
    assert!(world.run_until_held("v1").is_some());
    assert_eq!(world.drawn, CHUNKS * regions as u32);
    assert_eq!(world.crossed, 0);
}

#[rstest]
#[case::two_regions(16, 2)]
#[case::three_regions(27, 3)]
#[case::many_hosts(100, 3)]
fn regions_that_share_a_draw_take_one_copy_from_the_origin(
    #[case] hosts: usize,
    #[case] regions: usize,
) {
    let mut world = World::with_one_draw(hosts, regions);
    world.want(&wanted("m", "v1"));
    assert!(world.run_until_held("v1").is_some());
    assert_eq!(world.drawn, CHUNKS);
    // One copy into each other region, and a little for chunks that two hosts fetch at once.
    let crossed = CHUNKS * (regions as u32 - 1);
    assert!(world.crossed >= crossed, "{}", world.crossed);
    assert!(world.crossed <= crossed * 5 / 4, "{}", world.crossed);
}

#[test]
fn owners_that_are_dead_do_not_keep_chunks_from_regions_that_share_a_draw() {
    let mut world = World::with_one_draw(16, 2);
    world.kill(1);
    world.kill(4);
    world.want(&wanted("m", "v1"));
    assert!(world.run_until_held("v1").is_some());
}

#[test]
fn a_corrupting_peer_is_asked_no_more_after_its_first_corrupt_chunk() {
    let mut world = World::new(16, 1);
    world.corrupt = Some(3);
    world.want(&wanted("m", "v1"));
    assert!(world.run_until_held("v1").is_some());
    assert!(world.logged.contains(&Event::ChunkCorrupt));
    // A host may have asked for three chunks at once before the first one arrived.
    let most = world
        .nodes
        .iter()
        .flatten()
        .map(|node| node.corrupt_seen)
        .max();
    assert!(most <= Some(3), "{most:?}");
    world.run_for(60 * SECOND);
    assert_eq!(
        world.nodes.iter().flatten().map(|n| n.corrupt_seen).max(),
        most
    );
}

#[rstest]
#[case::from_the_start(true, 0)]
#[case::after_one_host_has_it(false, 15)]
fn a_version_changed_under_its_name_is_never_taken(
    #[case] from_start: bool,
    #[case] ready_before: usize,
) {
    let mut world = World::new(16, 1);
    if !from_start {
        world.want(&wanted("m", "v1"));
        world.run_until_held("v1");
        world.kill(0);
    }
    world.origin_changed = true;
    world.start(0);
    world.want_at(0, &wanted("m", "v1"));
    if from_start {
        world.want(&wanted("m", "v1"));
    }
    let held = world.run_until_held("v1").is_some();
    // Peers that hold the true version still give it.
    assert_eq!(held, ready_before > 0);
    assert_eq!(world.logged.contains(&Event::ManifestMismatch), from_start);
}

#[test]
fn a_newer_target_ends_work_on_the_older_one_at_once() {
    let mut world = World::new(16, 1);
    world.want(&wanted("m", "v1"));
    world.run_for(Duration::from_millis(60));
    assert!(world.has(1, "v1") > 0);
    world.want(&wanted("m", "v2"));
    assert_eq!(world.has(1, "v1"), 0, "the older version's memory is free");
    let drawn = world.drawn;
    assert!(world.run_until_held("v2").is_some());
    assert_eq!(
        world.drawn - drawn,
        CHUNKS,
        "nothing more is drawn for the older one"
    );
}

#[test]
fn late_events_of_a_superseded_version_have_no_effect() {
    let mut world = World::new(4, 1);
    world.want(&wanted("m", "v1"));
    world.run_for(Duration::from_millis(60));
    world.want(&wanted("m", "v2"));
    world.run_for(60 * SECOND);
    assert!(
        world
            .nodes
            .iter()
            .flatten()
            .all(|node| node.held.len() == 1)
    );
}

#[test]
fn a_roll_back_uses_the_version_that_is_still_held() {
    let mut world = World::new(8, 1);
    for version in ["v1", "v2"] {
        world.want(&wanted("m", version));
        assert!(world.run_until_held(version).is_some());
    }
    let drawn = world.drawn;
    world.want(&wanted("m", "v1"));
    assert!(world.run_until_held("v1").is_some());
    assert_eq!(world.drawn, drawn);
}

#[rstest]
#[case::early(50)]
#[case::midway(100)]
#[case::late(200)]
fn hosts_that_die_do_not_stop_the_others(#[case] after_ms: u64) {
    let mut world = World::new(16, 1);
    world.want(&wanted("m", "v1"));
    world.run_for(Duration::from_millis(after_ms));
    for host in [1, 5, 9, 13] {
        world.kill(host);
    }
    assert!(world.run_until_held("v1").is_some());
}

#[rstest]
#[case::early(50)]
#[case::midway(100)]
#[case::after_the_others(5000)]
fn a_host_that_restarts_with_empty_memory_catches_up(#[case] after_ms: u64) {
    let mut world = World::new(16, 1);
    world.want(&wanted("m", "v1"));
    world.run_for(Duration::from_millis(after_ms));
    for host in [1, 5, 9, 13] {
        world.kill(host);
        world.start(host);
        world.want_at(host, &wanted("m", "v1"));
    }
    assert!(world.run_until_held("v1").is_some());
}

#[test]
fn a_stalled_link_does_not_hold_up_the_others() {
    let mut world = World::new(16, 1);
    world.want(&wanted("m", "v1"));
    world.run_for(Duration::from_millis(60));
    world.stalled = Some(2);
    let took = world.run_until_held("v1");
    assert!(took.is_some_and(|took| took < 20 * SECOND), "{took:?}");
}

#[rstest]
#[case::origin_up(true)]
#[case::origin_down(false)]
fn a_late_joiner_draws_nothing_from_the_origin(#[case] origin_up: bool) {
    let mut world = World::new(16, 1);
    world.kill(7);
    world.want(&wanted("m", "v1"));
    assert!(world.run_until_held("v1").is_some());
    let drawn = world.drawn;
    world.origin_up = origin_up;
    world.start(7);
    world.want_at(7, &wanted("m", "v1"));
    assert!(world.run_until_held("v1").is_some());
    assert_eq!(world.drawn, drawn);
}

#[test]
fn announcements_from_before_it_started_do_not_send_a_late_joiner_to_the_origin() {
    let mut world = World::new(16, 1);
    world.kill(7);
    world.want(&wanted("m", "v1"));
    assert!(world.run_until_held("v1").is_some());
    let (drawn, manifests) = (world.drawn, world.manifests);
    world.start(7);
    world.want_at(7, &wanted("m", "v1"));
    world.deliver_old_announcements(7, "v1");
    assert!(world.run_until_held("v1").is_some());
    assert_eq!((world.drawn, world.manifests), (drawn, manifests));
}

#[test]
fn two_versions_that_two_models_want_both_arrive() {
    let mut world = World::new(8, 1);
    world.want(&wanted("m", "v1"));
    world.want(&wanted("n", "w1"));
    assert!(world.run_until_held("v1").is_some());
    assert!(world.run_until_held("w1").is_some());
}

#[rstest]
#[case::one_region(1)]
#[case::two_regions(2)]
fn the_origin_may_go_once_one_copy_is_in_the_fleet(#[case] regions: usize) {
    let mut world = World::new(16, regions);
    // The first region has the copy, the second has nothing yet.
    for host in (0..16).step_by(regions) {
        world.want_at(host, &wanted("m", "v1"));
    }
    while world.covered("v1") < CHUNKS as usize {
        world.run_for(Duration::from_millis(10));
    }
    world.origin_up = false;
    world.want(&wanted("m", "v1"));
    assert!(world.run_until_held("v1").is_some());
    let link = if regions > 1 { CHUNKS } else { 0 };
    assert_eq!(world.crossed, link, "each chunk crosses the link once");
}

#[test]
fn a_region_that_was_cut_off_in_mid_transfer_catches_up() {
    let mut world = World::new(16, 2);
    world.want(&wanted("m", "v1"));
    world.run_for(Duration::from_millis(60));
    world.cut = true;
    world.run_for(30 * SECOND);
    assert_eq!(
        world.has(0, "v1"),
        CHUNKS as usize,
        "the origin's region goes on"
    );
    assert!(world.has(1, "v1") < CHUNKS as usize);
    world.cut = false;
    assert!(world.run_until_held("v1").is_some());
}

#[rstest]
#[case::no_room(0, false)]
#[case::room_for_one(1, true)]
fn memory_for_chunks_is_bounded(#[case] versions: u64, #[case] fits: bool) {
    let mut world = World::new(4, 1);
    world.bound_memory(versions);
    (0..4).for_each(|host| world.start(host));
    for version in ["v1", "v2"] {
        world.want(&wanted("m", version));
        assert_eq!(world.run_until_held(version).is_some(), fits);
        let kept = world
            .nodes
            .iter()
            .flatten()
            .map(|node| node.have.len())
            .max();
        assert!(kept <= Some(versions as usize), "{kept:?}");
    }
    assert_eq!(world.logged.contains(&Event::NoRoomForVersion), !fits);
}

#[test]
fn state_does_not_grow_with_the_fleet() {
    let mut small = World::new(40, 1);
    let mut large = World::new(160, 1);
    for world in [&mut small, &mut large] {
        world.want(&wanted("m", "v1"));
        assert!(world.run_until_held("v1").is_some());
    }
    let most = |world: &World| (0..40).map(|host| world.memory(host)).max();
    let bound = most(&small).map(|bytes| bytes * 3 / 2);
    assert!(most(&large) <= bound, "{:?} {bound:?}", most(&large));
}

#[test]
fn only_so_many_versions_are_kept() {
    let mut world = World::new(4, 1);
    world.versions = 2;
    (0..4).for_each(|host| world.start(host));
    for version in ["v1", "v2", "v3"] {
        world.want(&wanted("m", version));
        assert!(world.run_until_held(version).is_some());
    }
    assert_eq!(world.has(0, "v1"), 0);
    assert_eq!(world.has(0, "v2"), CHUNKS as usize);
    assert_eq!(world.has(0, "v3"), CHUNKS as usize);
}
