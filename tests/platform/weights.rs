//! Distribution of weights from the origin to every engine.

use std::time::Duration;

use limpetloom_fakes::site::piece;
use rstest::rstest;
use serde_json::json;

use super::site::{CHUNKS_PER_VERSION, Site};

/// True when every engine has all chunks of the version, uncorrupted, in its staging area.
fn is_staged_everywhere(site: &Site, version: u64) -> bool {
    site.engines.iter().all(|engine| {
        let staged = engine.staged();
        (0..CHUNKS_PER_VERSION).all(|index| {
            staged.get(&index).map(|bytes| bytes.to_vec()) == Some(piece(version, index))
        })
    })
}

#[tokio::test]
async fn empty_engines_get_the_weights_with_fewer_than_two_downloads_from_the_origin() {
    let site = Site::start_serving(140, 4).await;
    assert!(is_staged_everywhere(&site, 1));
    let sent = site.origin.pieces_sent();
    assert!(
        sent < 2 * CHUNKS_PER_VERSION,
        "the origin sent {sent} chunks of a version of {CHUNKS_PER_VERSION} for 4 engines"
    );
}

#[tokio::test]
async fn a_wanted_version_reaches_every_engine() {
    let site = Site::start_serving(141, 2).await;
    let version = json!({"model": "m0", "version": 2});
    site.store.put("versions", "m0", version);
    site.wait_until(|site| site.engines.iter().all(|e| e.version() == Some(2)))
        .await;
    assert!(is_staged_everywhere(&site, 2));
    site.wait_until_answered("chat").await;
}

#[tokio::test]
async fn corrupt_chunks_are_rewritten_before_a_restarted_engine_loads_them() {
    let site = Site::start_serving(142, 2).await;
    let orders = site.engines[0].orders();
    site.engines[0].corrupt_staged_piece(3);
    site.engines[0].restart();
    site.wait_until(|site| site.engines[0].orders() > orders)
        .await;
    assert!(is_staged_everywhere(&site, 1));
    assert_eq!(site.engines[0].version(), Some(1));
}

#[tokio::test]
async fn a_restarted_agent_uses_the_staged_chunks_instead_of_the_origin() {
    let mut site = Site::start_serving(143, 2).await;
    let sent = site.origin.pieces_sent();
    site.restart_agent(0).await;
    site.engines[0].restart();
    site.wait_until(|site| site.engines[0].version() == Some(1))
        .await;
    assert_eq!(site.origin.pieces_sent(), sent);
}

// Guards against a fleet that starts no request until its engines have a new version, because the
// store's history did not reach back to the start of the watch and the naming time was lost.
#[rstest]
#[case::waited_longer_than_the_history(144, false)]
#[case::history_dropped_early(145, true)]
#[tokio::test]
async fn a_version_that_a_watch_could_not_deliver_leaves_time_to_older_ones(
    #[case] network: u8,
    #[case] drops_history: bool,
) {
    let site = Site::start_serving(network, 1).await;
    // Longer than a watch for versions by the settings, shorter than one without a limit.
    let history_time = Duration::from_millis(1_500);
    site.store.set_history_time(history_time);
    tokio::time::sleep(history_time * 2).await;
    let version = json!({"model": "m0", "version": 2});
    if drops_history {
        site.store.put("other", "any", json!({}));
        site.store.compact_history();
    }
    site.store.put("versions", "m0", version);
    site.wait_until(|site| !site.entry_events(207).is_empty())
        .await;
    let dated = site.entry_events(207);
    assert_eq!(dated[0]["version"], 2);
    // A process that has run all the while knows the time when the watch delivers the version.
    assert_eq!(dated[0]["exact"], !drops_history);
    assert!(
        dated[0]["older_until_ms"].as_i64() > Some(0),
        "{:?}",
        dated[0]
    );
}

// Guards against requests on a version after its deadline because every entry stood still while the
// next one was named, and took it for new when it went on.
#[tokio::test]
async fn a_version_named_while_the_entry_stood_still_is_not_taken_for_new() {
    const PAUSE: Duration = Duration::from_secs(1);
    let site = Site::start_serving(146, 1).await;
    site.signal_entry("-STOP").await;
    site.store
        .put("versions", "m0", json!({"model": "m0", "version": 2}));
    tokio::time::sleep(PAUSE).await;
    site.signal_entry("-CONT").await;
    site.wait_until(|site| !site.entry_events(207).is_empty())
        .await;
    let dated = &site.entry_events(207)[0];
    let age = Duration::from_millis(dated["age_ms"].as_u64().unwrap());
    assert!(age >= PAUSE, "{dated}");
}

// Guards against requests on a version after its deadline because the newer one, known to be overdue,
// is listed or written again and taken for new.
#[rstest]
#[case::listed_again(190, true)]
#[case::written_again(191, false)]
#[tokio::test]
async fn a_version_known_from_before_does_not_become_new(
    #[case] network: u8,
    #[case] is_listed: bool,
) {
    let mut site = Site::start(network, 1);
    let version = json!({"model": "m0", "version": 1});
    site.store.put("versions", "m0", version.clone());
    site.declare(1, &["key-1"]);
    site.start_agents();
    site.start_entry();
    site.wait_until_ready().await;
    site.wait_until_answered("chat").await;
    if is_listed {
        site.store.put("other", "any", json!({}));
        site.store.compact_history();
    }
    site.store.put("versions", "m0", version);
    // A change that comes after it.
    site.store
        .put("versions", "m1", json!({"model": "m1", "version": 3}));
    site.wait_until(|site| site.entry_log().contains("declared: m1 3"))
        .await;
    let dated = site.entry_events(207);
    let ages: Vec<_> = dated
        .iter()
        .filter(|line| line["model"] == "m0")
        .map(|line| line["age_ms"].as_i64())
        .collect();
    assert_eq!(ages, [Some(-1)]);
}
