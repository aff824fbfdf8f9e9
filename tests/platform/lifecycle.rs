//! Start, stop and reload of an entry, and outages of the metadata store.

use std::time::Duration;

use hyper::StatusCode;
use limpetloom_fakes::site::SiteEngineFaults;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::site::{STREAM_EVENTS, Site, request, send};

#[tokio::test]
async fn an_entry_accepts_requests_once_it_has_a_configuration() {
    let mut site = Site::start(130, 1);
    site.start_entry();
    site.wait_until(|site| site.entry_log().contains("\"event\":100"))
        .await;
    let refused = loop {
        if let Some(answer) = send(site.caller_addr(), request("GET", "/read/x", "early")).await {
            break answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_ne!(site.readiness().await, Some(StatusCode::OK));
    site.declare(1, &["key-1"]);
    site.wait_until_ready().await;
    assert_eq!(site.call("read").await.status, StatusCode::OK);
}

#[tokio::test]
async fn a_stopping_entry_finishes_its_streams_and_is_not_ready() {
    let mut site = Site::start_serving(131, 2).await;
    let mut calls = JoinSet::new();
    for n in 0..20 {
        let (addr, id) = (site.caller_addr(), format!("last-{n}"));
        calls.spawn(async move { send(addr, request("POST", "/chat/x", &id)).await });
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    site.signal_entry("-TERM").await;
    while let Some(answer) = calls.join_next().await {
        let answer = answer.unwrap().unwrap();
        assert!(answer.is_whole);
        assert_eq!(answer.events().len() as u64, STREAM_EVENTS);
    }
    assert_ne!(site.readiness().await, Some(StatusCode::OK));
    // The load balancer still sends callers for a while; they are served and told to reconnect.
    let late = site.call("read").await;
    assert_eq!(late.status, StatusCode::OK);
    assert_eq!(late.headers["connection"], "close");
    let ended = site.entry.as_mut().unwrap().wait().await.unwrap();
    assert!(ended.success());
    let log = site.entry_log();
    assert!(log.contains("\"event\":101") && log.contains("\"event\":102"));
}

#[tokio::test]
async fn settings_are_reloaded_on_sighup() {
    let site = Site::start_serving(132, 1).await;
    site.signal_entry("-HUP").await;
    site.wait_until(|site| site.entry_log().contains("\"event\":105"))
        .await;
    assert_eq!(site.call("read").await.status, StatusCode::OK);
}

#[tokio::test]
async fn an_entry_serves_during_a_store_outage_and_applies_missed_changes_after_it() {
    let site = Site::start_serving(133, 1).await;
    site.store.set_online(false);
    site.wait_until(|site| site.entry_log().contains("\"event\":201"))
        .await;
    assert_eq!(site.call("read").await.status, StatusCode::OK);
    assert_eq!(site.call("chat").await.status, StatusCode::OK);
    // The store no longer has the history of these changes, so the entry has to list again.
    site.declare(2, &["key-2"]);
    site.store.remove("servers", "plain-0");
    site.store.compact_history();
    site.store.set_online(true);
    site.wait_until(|site| site.entry_log().contains("adopted: version 2"))
        .await;
    assert_eq!(site.call("read").await.status, StatusCode::UNAUTHORIZED);
}

#[tokio::test]
async fn an_older_configuration_is_not_adopted() {
    let site = Site::start_serving(134, 1).await;
    site.declare(7, &["key-1"]);
    site.wait_until(|site| site.entry_log().contains("adopted: version 7"))
        .await;
    site.declare(5, &["key-9"]);
    site.store
        .put("evacuations", "zone-z", serde_json::json!({}));
    site.wait_until(|site| site.entry_log().contains("zone-z"))
        .await;
    assert_eq!(site.call("read").await.status, StatusCode::OK);
}

#[tokio::test]
async fn an_evacuated_zone_gets_no_requests_until_the_evacuation_ends() {
    let site = Site::start_serving(135, 1).await;
    site.store
        .put("evacuations", "zone-a", serde_json::json!({}));
    site.wait_until(|site| site.entry_log().contains("changed: {\\\"zone-a\\\"}"))
        .await;
    let answer = site.call("read").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    site.store.remove("evacuations", "zone-a");
    site.wait_until_answered("read").await;
}

/// Time after SIGTERM at which a request with a deadline of 6 s can't use all of it any more.
const LATE: Duration = Duration::from_millis(2_500);

/// Regression: a late request that must run once was passed on, and cut at the end of the grace.
#[tokio::test]
async fn a_late_request_that_may_outlast_the_grace_is_refused_as_not_run() {
    let site = Site::start_serving(91, 1).await;
    site.signal_entry("-TERM").await;
    tokio::time::sleep(LATE).await;
    let refused = site.call("write").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let body = String::from_utf8_lossy(&refused.body).into_owned();
    assert!(body.contains("2015") && body.contains("not run"), "{body}");
    assert_eq!(refused.headers["connection"], "close");
    let wait: f64 = refused.headers["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(wait <= 0.5, "{wait}");
    assert!(site.plain_endpoints.iter().all(|e| e.runs().is_empty()));
    // One that may be repeated, and usually ends soon, is served.
    assert_eq!(site.call("read").await.status, StatusCode::OK);
}

/// Regression: a request in flight at the end of the grace was cut without an answer.
#[tokio::test]
async fn a_request_that_outlasts_the_grace_is_answered_before_its_connection_closes() {
    let mut site = Site::start_serving(92, 1).await;
    site.declare_edited(2, &["key-1"], |config| {
        for route in config["routes"].as_array_mut().unwrap() {
            route["timeoutMs"] = 20_000.into();
        }
    });
    site.wait_until(|site| site.entry_log().contains("adopted: version 2"))
        .await;
    for endpoint in &site.plain_endpoints {
        endpoint.set_faults(SiteEngineFaults {
            silent_before_head: Duration::from_secs(20),
            ..SiteEngineFaults::default()
        });
    }
    let addr = site.caller_addr();
    let mut req = request("POST", "/write/x", "long");
    req.headers_mut()
        .insert("deadline-ms", "20000".parse().unwrap());
    let call = tokio::spawn(async move { send(addr, req).await });
    site.wait_until(|site| site.plain_endpoints.iter().any(|e| !e.runs().is_empty()))
        .await;
    site.signal_entry("-TERM").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    // A second signal does not end the grace sooner.
    site.signal_entry("-TERM").await;
    let answer = call.await.unwrap().expect("an answer");
    assert!(answer.is_whole);
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    let ended = site.entry.as_mut().unwrap().wait().await.unwrap();
    assert!(ended.success());
    let runs = site.plain_endpoints.iter().map(|e| e.runs().len());
    assert_eq!(runs.sum::<usize>(), 1);
}

/// A request whose body has not arrived by the end of the grace is refused, as it has not run.
#[tokio::test]
async fn a_request_whose_body_is_still_arriving_at_the_stop_is_refused_as_not_run() {
    let mut site = Site::start_serving(93, 1).await;
    site.declare_edited(2, &["key-1"], |config| {
        config["limits"]["headerMs"] = 20_000.into();
    });
    site.wait_until(|site| site.entry_log().contains("adopted: version 2"))
        .await;
    let mut caller = TcpStream::connect(site.caller_addr()).await.unwrap();
    let part = "POST /write/x HTTP/1.1\r\nhost: site.example\r\nrequest-id: part\r\n\
                authorization: Token key-1\r\ncontent-length: 4\r\n\r\nbo";
    caller.write_all(part.as_bytes()).await.unwrap();
    site.signal_entry("-TERM").await;
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("2015"), "{answer}");
    let ended = site.entry.as_mut().unwrap().wait().await.unwrap();
    assert!(ended.success());
}

/// Signals that come in series and overlap neither end the grace sooner nor leave a request unanswered.
#[tokio::test]
async fn a_stop_in_the_midst_of_reloads_answers_what_runs() {
    let mut site = Site::start_serving(94, 1).await;
    for endpoint in &site.plain_endpoints {
        endpoint.set_faults(SiteEngineFaults {
            silent_before_head: Duration::from_secs(4),
            ..SiteEngineFaults::default()
        });
    }
    let addr = site.caller_addr();
    let call =
        tokio::spawn(async move { send(addr, request("POST", "/write/x", "signals")).await });
    site.wait_until(|site| site.plain_endpoints.iter().any(|e| !e.runs().is_empty()))
        .await;
    for signal in ["-HUP", "-HUP", "-TERM", "-HUP", "-TERM", "-HUP", "-TERM"] {
        site.signal_entry(signal).await;
    }
    let answer = call.await.unwrap().expect("an answer");
    assert_eq!((answer.status, answer.is_whole), (StatusCode::OK, true));
    let ended = site.entry.as_mut().unwrap().wait().await.unwrap();
    assert!(ended.success());
}
