//! Start, stop, reload, and a store that goes away.

use std::time::Duration;

use hyper::StatusCode;
use tokio::task::JoinSet;

use super::site::{EVENTS, Site, request, send};

#[tokio::test]
async fn an_entry_takes_requests_once_it_knows_what_is_wanted() {
    let mut site = Site::start(130, 1);
    site.start_entry();
    site.until(|site| site.entry_log().contains("\"event\":100"))
        .await;
    let refused = loop {
        if let Some(answer) = send(site.front(), request("GET", "/look/x", "early")).await {
            break answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_ne!(site.ready().await, Some(StatusCode::OK));
    site.declare(1, &["key-1"]);
    site.until_ready().await;
    assert_eq!(site.call("look").await.status, StatusCode::OK);
}

#[tokio::test]
async fn a_stopping_entry_finishes_what_it_has_and_says_that_it_is_not_ready() {
    let mut site = Site::serving(131, 2).await;
    let mut calls = JoinSet::new();
    for n in 0..20 {
        let (front, name) = (site.front(), format!("last-{n}"));
        calls.spawn(async move { send(front, request("POST", "/chat/x", &name)).await });
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    site.signal_entry("-TERM").await;
    while let Some(answer) = calls.join_next().await {
        let answer = answer.unwrap().unwrap();
        assert!(answer.is_whole);
        assert_eq!(answer.events().len() as u64, EVENTS);
    }
    assert_ne!(site.ready().await, Some(StatusCode::OK));
    // The balancer sends callers here for a while; they are served and asked to go elsewhere.
    let late = site.call("look").await;
    assert_eq!(late.status, StatusCode::OK);
    assert_eq!(late.headers["connection"], "close");
    let ended = site.entry.as_mut().unwrap().wait().await.unwrap();
    assert!(ended.success());
    let log = site.entry_log();
    assert!(log.contains("\"event\":101") && log.contains("\"event\":102"));
}

#[tokio::test]
async fn settings_are_read_again_on_request() {
    let site = Site::serving(132, 1).await;
    site.signal_entry("-HUP").await;
    site.until(|site| site.entry_log().contains("\"event\":105"))
        .await;
    assert_eq!(site.call("look").await.status, StatusCode::OK);
}

#[tokio::test]
async fn an_entry_serves_while_the_store_is_away_and_catches_up() {
    let site = Site::serving(133, 1).await;
    site.store.set_online(false);
    site.until(|site| site.entry_log().contains("\"event\":201"))
        .await;
    assert_eq!(site.call("look").await.status, StatusCode::OK);
    assert_eq!(site.call("chat").await.status, StatusCode::OK);
    // What changes meanwhile, with the history gone, is seen once the store is back.
    site.declare(2, &["key-2"]);
    site.store.remove("servers", "desk-0");
    site.store.compact_history();
    site.store.set_online(true);
    site.until(|site| site.entry_log().contains("adopted: version 2"))
        .await;
    assert_eq!(site.call("look").await.status, StatusCode::UNAUTHORIZED);
}

#[tokio::test]
async fn an_older_desired_state_is_not_adopted() {
    let site = Site::serving(134, 1).await;
    site.declare(7, &["key-1"]);
    site.until(|site| site.entry_log().contains("adopted: version 7"))
        .await;
    site.declare(5, &["key-9"]);
    site.store
        .put("evacuations", "zone-z", serde_json::json!({}));
    site.until(|site| site.entry_log().contains("zone-z")).await;
    assert_eq!(site.call("look").await.status, StatusCode::OK);
}

#[tokio::test]
async fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let site = Site::serving(135, 1).await;
    site.store
        .put("evacuations", "zone-a", serde_json::json!({}));
    site.until(|site| site.entry_log().contains("changed: {\\\"zone-a\\\"}"))
        .await;
    let answer = site.call("look").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    site.store.remove("evacuations", "zone-a");
    site.until_answered("look").await;
}
