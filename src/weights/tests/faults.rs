//! Weight distribution under faults of hosts, origin and network.

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;

use super::fleet::{CHUNKS, Fleet, MAX_REQUEST_WAIT, NARROW_CHUNK_TIME, wanted};
use crate::telemetry::Event;

const SECOND: Duration = Duration::from_secs(1);

#[rstest]
#[case::one_region(16, 1)]
#[case::two_regions(16, 2)]
#[case::few_hosts(3, 1)]
#[case::one_host(1, 1)]
fn each_region_downloads_each_chunk_from_the_origin_once(
    #[case] hosts: usize,
    #[case] regions: usize,
) {
    let mut fleet = Fleet::new(hosts, regions);
    fleet.want_everywhere(&wanted("m", "v1"));
    assert!(fleet.run_until_held("v1").is_some());
    assert_eq!(fleet.origin_chunks, CHUNKS * regions as u32);
    assert_eq!(fleet.cross_region_chunks, 0);
}

#[rstest]
#[case::two_regions(16, 2)]
#[case::three_regions(27, 3)]
#[case::many_hosts(100, 3)]
fn regions_that_share_the_download_fetch_one_copy_from_the_origin(
    #[case] hosts: usize,
    #[case] regions: usize,
) {
    let mut fleet = Fleet::with_shared_origin_download(hosts, regions);
    fleet.want_everywhere(&wanted("m", "v1"));
    assert!(fleet.run_until_held("v1").is_some());
    assert_eq!(fleet.origin_chunks, CHUNKS);
    // One copy into each other region, plus some chunks that two hosts fetch at the same time.
    let expected = CHUNKS * (regions as u32 - 1);
    assert!(
        fleet.cross_region_chunks >= expected,
        "{}",
        fleet.cross_region_chunks
    );
    assert!(
        fleet.cross_region_chunks <= expected * 5 / 4,
        "{}",
        fleet.cross_region_chunks
    );
}

// Guards against hosts that count an outage of the origin as silence of the owners of its chunks: once it is
// back, they all took over the same ones, and it sent two copies and more over the link that all wait for.
#[rstest]
#[case::short(SECOND)]
#[case::long(6 * SECOND)]
fn an_origin_that_returns_sends_few_chunks_twice(#[case] outage: Duration) {
    let mut fleet = busy_origin_fleet();
    fleet.want_everywhere(&wanted("m", "v1"));
    fleet.run_for(SECOND / 2);
    fleet.origin_up = false;
    fleet.run_for(outage);
    fleet.origin_up = true;
    assert!(fleet.run_until_held("v1").is_some());
    let sent = fleet.origin_chunks;
    assert!(sent <= CHUNKS * 5 / 4, "{sent} for {CHUNKS}");
}

// Guards against a fleet that waits for owners on narrow links, one chunk after another, while the origin's link is
// idle: each new chunk began the wait for the next takeover anew.
#[test]
fn a_few_narrow_links_do_not_hold_up_the_other_hosts() {
    let mut fleet = busy_origin_fleet();
    let narrow = [3, 11, 17, 24];
    for host in narrow {
        fleet
            .link_chunk_time
            .insert(host, Duration::from_millis(1_400));
    }
    fleet.want_everywhere(&wanted("m", "v1"));
    // Engines begin nothing on the older version 8 s after the naming, and take 2 s to change.
    fleet.run_for(6 * SECOND);
    let others = (0..34).filter(|host| !narrow.contains(host));
    for host in others {
        assert_eq!(fleet.chunk_count(host, "v1"), CHUNKS as usize, "{host}");
    }
    let sent = fleet.origin_chunks;
    assert!(sent <= CHUNKS * 5 / 4, "{sent} for {CHUNKS}");
}

// Guards against takeovers that wait for as long as the origin took for a chunk when all drew on it: the chunks of
// hosts that were gone when it returned came seconds after all others.
#[test]
fn chunks_of_lost_hosts_follow_soon_after_an_outage_of_the_origin() {
    let mut fleet = busy_origin_fleet();
    fleet.origin_chunk_time = Duration::from_millis(100);
    fleet.want_everywhere(&wanted("m", "v1"));
    fleet.run_for(3 * SECOND);
    fleet.origin_up = false;
    let lost = [5, 12, 19, 26, 33];
    lost.into_iter().for_each(|host| fleet.kill(host));
    fleet.run_for(6 * SECOND);
    fleet.origin_up = true;
    // The takeover delay, and as much for the chunks to reach all hosts.
    let took = fleet.run_until_held("v1").unwrap();
    assert!(took <= 2 * fleet.takeover_delay, "{took:?}");
}

/// Hosts whose takeover delay is shorter than the time that the origin takes for a chunk of each owner.
fn busy_origin_fleet() -> Fleet {
    let mut fleet = Fleet::new(34, 3);
    fleet.share_origin_download = true;
    fleet.takeover_delay = SECOND / 2;
    fleet.announce_interval = Duration::from_millis(80);
    fleet.origin_chunk_time = Duration::from_millis(60);
    fleet.link_chunk_time = (0..34)
        .map(|host| (host, Duration::from_millis(35)))
        .collect();
    (0..34).for_each(|host| fleet.start(host));
    fleet
}

#[test]
fn dead_chunk_owners_do_not_block_regions_that_share_the_download() {
    let mut fleet = Fleet::with_shared_origin_download(16, 2);
    fleet.kill(1);
    fleet.kill(4);
    fleet.want_everywhere(&wanted("m", "v1"));
    assert!(fleet.run_until_held("v1").is_some());
}

#[test]
fn a_peer_is_not_used_again_after_a_corrupt_chunk() {
    let mut fleet = Fleet::new(16, 1);
    fleet.corrupting_host = Some(3);
    fleet.want_everywhere(&wanted("m", "v1"));
    assert!(fleet.run_until_held("v1").is_some());
    assert!(fleet.logged.contains(&Event::ChunkCorrupt));
    // A host may have requested three chunks before the first one arrived.
    let max = fleet
        .nodes
        .iter()
        .flatten()
        .map(|node| node.corrupt_chunks)
        .max();
    assert!(max <= Some(3), "{max:?}");
    fleet.run_for(60 * SECOND);
    assert_eq!(
        fleet.nodes.iter().flatten().map(|n| n.corrupt_chunks).max(),
        max
    );
}

#[rstest]
#[case::from_the_start(true, 0)]
#[case::after_the_other_hosts_hold_it(false, 15)]
fn a_changed_manifest_under_the_same_name_is_rejected(
    #[case] from_start: bool,
    #[case] hosts_ready_before: usize,
) {
    let mut fleet = Fleet::new(16, 1);
    if !from_start {
        fleet.want_everywhere(&wanted("m", "v1"));
        fleet.run_until_held("v1");
        fleet.kill(0);
    }
    fleet.origin_manifest_changed = true;
    fleet.start(0);
    fleet.want_at(0, &wanted("m", "v1"));
    if from_start {
        fleet.want_everywhere(&wanted("m", "v1"));
    }
    let held = fleet.run_until_held("v1").is_some();
    // Peers that hold the original version still serve it.
    assert_eq!(held, hosts_ready_before > 0);
    assert_eq!(fleet.logged.contains(&Event::ManifestMismatch), from_start);
}

#[test]
fn a_newer_version_stops_the_transfer_of_the_older_one() {
    let mut fleet = Fleet::new(16, 1);
    fleet.want_everywhere(&wanted("m", "v1"));
    fleet.run_for(Duration::from_millis(60));
    assert!(fleet.chunk_count(1, "v1") > 0);
    fleet.want_everywhere(&wanted("m", "v2"));
    assert_eq!(
        fleet.chunk_count(1, "v1"),
        0,
        "the older version's memory is freed"
    );
    let origin_chunks = fleet.origin_chunks;
    assert!(fleet.run_until_held("v2").is_some());
    assert_eq!(
        fleet.origin_chunks - origin_chunks,
        CHUNKS,
        "no more chunks of the older version are downloaded"
    );
}

#[test]
fn late_events_of_a_superseded_version_have_no_effect() {
    let mut fleet = Fleet::new(4, 1);
    fleet.want_everywhere(&wanted("m", "v1"));
    fleet.run_for(Duration::from_millis(60));
    fleet.want_everywhere(&wanted("m", "v2"));
    fleet.run_for(60 * SECOND);
    assert!(
        fleet
            .nodes
            .iter()
            .flatten()
            .all(|node| node.held.len() == 1)
    );
}

#[test]
fn a_rollback_uses_the_version_that_is_still_held() {
    let mut fleet = Fleet::new(8, 1);
    for version in ["v1", "v2"] {
        fleet.want_everywhere(&wanted("m", version));
        assert!(fleet.run_until_held(version).is_some());
    }
    let origin_chunks = fleet.origin_chunks;
    fleet.want_everywhere(&wanted("m", "v1"));
    assert!(fleet.run_until_held("v1").is_some());
    assert_eq!(fleet.origin_chunks, origin_chunks);
}

#[rstest]
#[case::early(50)]
#[case::midway(100)]
#[case::late(200)]
fn killed_hosts_do_not_block_the_others(#[case] after_ms: u64) {
    let mut fleet = Fleet::new(16, 1);
    fleet.want_everywhere(&wanted("m", "v1"));
    fleet.run_for(Duration::from_millis(after_ms));
    for host in [1, 5, 9, 13] {
        fleet.kill(host);
    }
    assert!(fleet.run_until_held("v1").is_some());
}

#[rstest]
#[case::early(50)]
#[case::midway(100)]
#[case::after_the_others(5000)]
fn a_host_that_restarts_with_empty_memory_fetches_the_version_again(#[case] after_ms: u64) {
    let mut fleet = Fleet::new(16, 1);
    fleet.want_everywhere(&wanted("m", "v1"));
    fleet.run_for(Duration::from_millis(after_ms));
    for host in [1, 5, 9, 13] {
        fleet.kill(host);
        fleet.start(host);
        fleet.want_at(host, &wanted("m", "v1"));
    }
    assert!(fleet.run_until_held("v1").is_some());
}

#[test]
fn a_stalled_host_does_not_delay_the_others() {
    let mut fleet = Fleet::new(16, 1);
    fleet.want_everywhere(&wanted("m", "v1"));
    fleet.run_for(Duration::from_millis(60));
    fleet.stalled_host = Some(2);
    let took = fleet.run_until_held("v1");
    assert!(took.is_some_and(|took| took < 20 * SECOND), "{took:?}");
}

#[rstest]
#[case::origin_up(true)]
#[case::origin_down(false)]
fn a_late_host_downloads_nothing_from_the_origin(#[case] origin_up: bool) {
    let mut fleet = Fleet::new(16, 1);
    fleet.kill(7);
    fleet.want_everywhere(&wanted("m", "v1"));
    assert!(fleet.run_until_held("v1").is_some());
    let origin_chunks = fleet.origin_chunks;
    fleet.origin_up = origin_up;
    fleet.start(7);
    fleet.want_at(7, &wanted("m", "v1"));
    assert!(fleet.run_until_held("v1").is_some());
    assert_eq!(fleet.origin_chunks, origin_chunks);
}

#[test]
fn old_announcements_do_not_send_a_late_host_to_the_origin() {
    let mut fleet = Fleet::new(16, 1);
    fleet.kill(7);
    fleet.want_everywhere(&wanted("m", "v1"));
    assert!(fleet.run_until_held("v1").is_some());
    let (origin_chunks, origin_manifests) = (fleet.origin_chunks, fleet.origin_manifests);
    fleet.start(7);
    fleet.want_at(7, &wanted("m", "v1"));
    fleet.deliver_old_announcements(7, "v1");
    assert!(fleet.run_until_held("v1").is_some());
    assert_eq!(
        (fleet.origin_chunks, fleet.origin_manifests),
        (origin_chunks, origin_manifests)
    );
}

#[test]
fn versions_of_two_models_are_both_fetched() {
    let mut fleet = Fleet::new(8, 1);
    fleet.want_everywhere(&wanted("m", "v1"));
    fleet.want_everywhere(&wanted("n", "w1"));
    assert!(fleet.run_until_held("v1").is_some());
    assert!(fleet.run_until_held("w1").is_some());
}

#[rstest]
#[case::one_region(1)]
#[case::two_regions(2)]
fn the_origin_may_fail_once_the_hosts_hold_one_copy(#[case] regions: usize) {
    let mut fleet = Fleet::new(16, regions);
    // Only the hosts of the first region fetch the version at first.
    for host in (0..16).step_by(regions) {
        fleet.want_at(host, &wanted("m", "v1"));
    }
    while fleet.chunks_in_fleet("v1") < CHUNKS as usize {
        fleet.run_for(Duration::from_millis(10));
    }
    fleet.origin_up = false;
    fleet.want_everywhere(&wanted("m", "v1"));
    assert!(fleet.run_until_held("v1").is_some());
    let expected = if regions > 1 { CHUNKS } else { 0 };
    assert_eq!(
        fleet.cross_region_chunks, expected,
        "each chunk is sent once between the regions"
    );
}

#[test]
fn a_region_partitioned_during_the_transfer_completes_it_afterwards() {
    let mut fleet = Fleet::new(16, 2);
    fleet.want_everywhere(&wanted("m", "v1"));
    fleet.run_for(Duration::from_millis(40));
    fleet.is_partitioned = true;
    fleet.run_for(30 * SECOND);
    assert_eq!(
        fleet.chunk_count(0, "v1"),
        CHUNKS as usize,
        "the region of the origin completes the transfer"
    );
    assert!(fleet.chunk_count(1, "v1") < CHUNKS as usize);
    fleet.is_partitioned = false;
    assert!(fleet.run_until_held("v1").is_some());
}

#[rstest]
#[case::no_room(0, false)]
#[case::room_for_one(1, true)]
fn chunk_memory_is_bounded(#[case] versions: u64, #[case] fits: bool) {
    let mut fleet = Fleet::new(4, 1);
    fleet.limit_memory(versions);
    (0..4).for_each(|host| fleet.start(host));
    for version in ["v1", "v2"] {
        fleet.want_everywhere(&wanted("m", version));
        assert_eq!(fleet.run_until_held(version).is_some(), fits);
        let kept = fleet
            .nodes
            .iter()
            .flatten()
            .map(|node| node.have.len())
            .max();
        assert!(kept <= Some(versions as usize), "{kept:?}");
    }
    assert_eq!(fleet.logged.contains(&Event::NoRoomForVersion), !fits);
}

#[test]
fn control_state_does_not_grow_with_the_number_of_hosts() {
    let mut small = Fleet::new(40, 1);
    let mut large = Fleet::new(160, 1);
    for fleet in [&mut small, &mut large] {
        fleet.want_everywhere(&wanted("m", "v1"));
        assert!(fleet.run_until_held("v1").is_some());
    }
    let max = |fleet: &Fleet| (0..40).map(|host| fleet.core_memory(host)).max();
    let bound = max(&small).map(|bytes| bytes * 3 / 2);
    assert!(max(&large) <= bound, "{:?} {bound:?}", max(&large));
}

#[test]
fn at_most_max_versions_are_kept() {
    let mut fleet = Fleet::new(4, 1);
    fleet.max_versions = 2;
    (0..4).for_each(|host| fleet.start(host));
    for version in ["v1", "v2", "v3"] {
        fleet.want_everywhere(&wanted("m", version));
        assert!(fleet.run_until_held(version).is_some());
    }
    assert_eq!(fleet.chunk_count(0, "v1"), 0);
    assert_eq!(fleet.chunk_count(0, "v2"), CHUNKS as usize);
    assert_eq!(fleet.chunk_count(0, "v3"), CHUNKS as usize);
}

/// Guards against chunks that fill a narrow link, so that requests and their cancellations reach
/// the engine there seconds late and it works for callers that have left.
#[rstest]
#[case::narrow_from_the_start(0)]
#[case::narrowed_during_the_transfer(60)]
fn chunks_leave_room_for_requests_on_a_narrow_link(#[case] narrow_after_ms: u64) {
    const NARROW: usize = 5;
    let mut fleet = Fleet::with_shared_origin_download(16, 2);
    fleet.want_everywhere(&wanted("m", "v1"));
    fleet.run_for(Duration::from_millis(narrow_after_ms));
    fleet.link_chunk_time = BTreeMap::from([(NARROW, NARROW_CHUNK_TIME)]);
    // The chunks that were requested before the link became narrow are still to come.
    fleet.run_for(3 * SECOND);
    let longest_wait = fleet.longest_link_wait(NARROW, 15 * SECOND);
    assert!(longest_wait <= MAX_REQUEST_WAIT, "{longest_wait:?}");
    assert!(fleet.logged.contains(&Event::DownloadsReduced));
    assert_eq!(fleet.chunk_count(NARROW, "v1"), CHUNKS as usize);
}
