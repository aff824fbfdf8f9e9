//! A metadata store that returns as an older copy.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::{Value, json};

use super::site::{Answer, Site, WAIT_LIMIT};

/// Changes that the store loses besides the ones a test is about.
const UNRELATED_CHANGES: usize = 20;
/// Longer than endpoints whose lease is gone stay in use.
const AFTER_LEASE_GRACE: Duration = Duration::from_millis(2_500);

/// Advances the revision without a change of a kind that entries watch.
fn write_unrelated(site: &Site) {
    for n in 0..UNRELATED_CHANGES {
        site.store.put("other", "any", json!({ "n": n }));
    }
}

fn name_version(site: &Site, version: u64) {
    let spec = json!({"model": "m0", "version": version});
    site.store.put("versions", "m0", spec);
}

async fn wait_until_served(site: &Site, version: u64) {
    site.wait_until(|site| site.engines.iter().all(|e| e.version() == Some(version)))
        .await;
}

// Guards against agents that take no plan of an entry which started after the step back, until the
// revision has grown past the old one.
#[tokio::test]
async fn a_version_named_after_the_step_back_reaches_the_engines_by_a_restarted_entry() {
    let mut site = Site::start_serving(150, 1).await;
    write_unrelated(&site);
    name_version(&site, 2);
    wait_until_served(&site, 2).await;
    site.store.roll_back(UNRELATED_CHANGES + 1);
    name_version(&site, 2);
    site.restart_entry().await;
    name_version(&site, 3);
    wait_until_served(&site, 3).await;
    site.wait_until_answered("chat").await;
}

// Guards against endpoints that are dropped, and counted as crashed, since the store lost their
// leases.
#[tokio::test]
async fn endpoints_whose_leases_the_store_lost_stay_in_use_until_they_are_listed_again() {
    let site = Site::start_serving(151, 1).await;
    // The store returns empty; only the operator's object is written again at once.
    site.store.roll_back(usize::MAX);
    site.declare(1, &["key-1"]);
    site.wait_until(|site| site.entry_log().contains("plain-1 gone"))
        .await;
    for _ in 0..4 {
        assert_eq!(site.call("read").await.status, StatusCode::OK);
    }
    site.list_servers();
    tokio::time::sleep(AFTER_LEASE_GRACE).await;
    assert_eq!(site.call("read").await.status, StatusCode::OK);
}

// Guards against a watch that continues from a revision of the older era, when the store has given
// out that revision again and so does not answer with status 410.
#[tokio::test]
async fn a_change_with_a_revision_that_is_given_out_again_is_not_missed() {
    let site = Site::start_serving(152, 1).await;
    let spec = site.plain_endpoints[0].server_spec("plain", "zone-a");
    write_unrelated(&site);
    site.store.put("servers", "plain-8", spec.clone());
    site.wait_until(|site| site.entry_log().contains("plain-8 of plain"))
        .await;
    // The entry waits for 200 ms before it watches the servers again.
    site.store.roll_back(UNRELATED_CHANGES + 1);
    site.store.put("servers", "plain-9", spec);
    write_unrelated(&site);
    write_unrelated(&site);
    site.wait_until(|site| site.entry_log().contains("plain-9 of plain"))
        .await;
}

/// The first answer by which the entry knows that its configuration is the newest; those before say that
/// the request has not run.
async fn confirmed_answer(site: &Site) -> Answer {
    let start = tokio::time::Instant::now();
    loop {
        let answer = site.call("read").await;
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        if body["name"] != "StateOutdated" {
            return answer;
        }
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(body["run"], "not run");
        assert!(start.elapsed() < WAIT_LIMIT, "nothing is confirmed");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

// Guards against a revoked key that is accepted again since the store returned with the older
// configuration.
#[tokio::test]
async fn a_revoked_key_stays_revoked_and_evacuations_follow_the_store() {
    let site = Site::start_serving(153, 1).await;
    site.store.put("evacuations", "zone-y", json!({}));
    site.wait_until(|site| site.entry_log().contains("zone-y"))
        .await;
    site.declare(2, &["key-2"]);
    site.store.remove("evacuations", "zone-y");
    site.wait_until(|site| site.entry_log().contains("adopted: version 2"))
        .await;
    site.wait_until(|site| site.entry_events(205).len() >= 3)
        .await;
    let evacuations = site.entry_events(205).len();
    site.store.roll_back(2);
    site.wait_until(|site| site.entry_events(205).len() > evacuations)
        .await;
    let last = site.entry_events(205).pop().unwrap();
    assert!(last.to_string().contains("zone-y"), "{last}");
    assert_eq!(
        confirmed_answer(&site).await.status,
        StatusCode::UNAUTHORIZED
    );
    site.declare(2, &["key-2"]);
    site.store.remove("evacuations", "zone-y");
    site.wait_until(|site| site.entry_events(205).len() >= evacuations + 2)
        .await;
    assert_eq!(
        confirmed_answer(&site).await.status,
        StatusCode::UNAUTHORIZED
    );
}
