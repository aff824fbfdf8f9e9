//! Requests that crash the engines that begin to answer them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use limpetloom_fakes::site::SiteEngineFaults;

use super::site::{Answer, Site, request, send};

/// Prompt part that crashes engines.
const HARMFUL_PART: &str = "bad0";
/// Body of a request that crashes engines.
const HARMFUL_BODY: &str = "harmful";
/// Time from a crash to the next process of engines that take long: longer than entries keep a
/// broken attempt.
const LONG_RESTART: Duration = Duration::from_millis(3_300);
/// Number of harmful requests sent: each alone crashes up to two engines when it is not refused.
const HARMFUL_REQUESTS: u64 = 8;
/// Crashes after which the part must be known.
const MAX_CRASHES: u64 = 5;
/// Time within which all entries must know of crashes.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// Longest time until sound requests are answered: an engine's restart and the pause after it.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);

/// A chat request with a prompt of the given parts and one of its own.
fn prompt_request(parts: &str, id: &str) -> Request<Full<Bytes>> {
    let mut req = request("POST", "/chat/x", id);
    let prefix = format!("{parts},0{}:20", id.len());
    req.headers_mut()
        .insert("prompt-prefix", prefix.parse().unwrap());
    req
}

/// Sends sound requests with the parts until one is answered in full.
async fn wait_until_parts_answered(entry: SocketAddr, parts: &str) {
    let start = tokio::time::Instant::now();
    loop {
        let req = prompt_request(parts, "sound");
        let answer = send(entry, req).await;
        if answer.is_some_and(|answer| answer.status == StatusCode::OK && answer.is_whole) {
            return;
        }
        assert!(
            start.elapsed() < ANSWER_LIMIT,
            "no sound request with the parts {parts} is answered"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn refusal_code(answer: &Answer) -> Option<u64> {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    body["code"].as_u64()
}

/// A deployment whose engines the harmful part or body crashes.
async fn start_with_crashing_engines(network: u8, restart_time: Option<Duration>) -> Site {
    let site = Site::start_serving(network, 4).await;
    for engine in &site.engines {
        engine.set_faults(SiteEngineFaults {
            crash_on_part: Some(HARMFUL_PART.into()),
            crash_on_body: Some(HARMFUL_BODY.into()),
            restart_time,
            ..Default::default()
        });
    }
    site
}

/// A copy of the request that crashes engines; each has an id of its own.
fn harmful_copy(id: &str) -> Request<Full<Bytes>> {
    request("POST", "/chat/x", id).map(|_| Full::new(HARMFUL_BODY.into()))
}

/// Guards against blame that falls on whole requests only, so that requests of which no two are
/// alike crash engine after engine with a part that they share.
#[tokio::test]
async fn requests_that_share_a_crashing_prompt_part_are_refused_after_a_few_crashes() {
    let site = start_with_crashing_engines(148, None).await;
    let shared_parts = ["a0:100,b0:40", "a0:100,b1:40", "a0:100,b2:40"];
    let mut last = None;
    for n in 0..HARMFUL_REQUESTS {
        let shared = shared_parts[n as usize % shared_parts.len()];
        wait_until_parts_answered(site.caller_addr(), shared).await;
        let parts = format!("{shared},{HARMFUL_PART}:30,c{n}:10");
        let req = prompt_request(&parts, &format!("harmful-{n}"));
        last = send(site.caller_addr(), req).await;
    }
    let crashes: u64 = site.engines.iter().map(|engine| engine.crashes()).sum();
    assert!(crashes <= MAX_CRASHES, "{crashes} engines crashed");
    let last = last.unwrap();
    assert_eq!(last.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refusal_code(&last), Some(2_010));
    for shared in shared_parts {
        wait_until_parts_answered(site.caller_addr(), shared).await;
    }
}

/// Guards against blame that stays with the entry whose attempts broke.
#[tokio::test]
async fn an_entry_that_saw_no_crash_refuses_a_crashing_prompt_part() {
    let site = start_with_crashing_engines(149, None).await;
    let (_other_process, other) = site.start_other_entry();
    wait_until_parts_answered(other, "a0:100").await;
    for n in 0..4 {
        wait_until_parts_answered(site.caller_addr(), "a0:100").await;
        let req = prompt_request(
            &format!("a0:100,{HARMFUL_PART}:30"),
            &format!("harmful-{n}"),
        );
        send(site.caller_addr(), req).await;
    }
    tokio::time::sleep(SPREAD_TIME).await;
    let req = prompt_request(&format!("b0:100,{HARMFUL_PART}:30"), "harmful-other");
    let answer = send(other, req).await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refusal_code(&answer), Some(2_010));
    wait_until_parts_answered(other, "a0:100").await;
}

/// Guards against crashes that count only when the endpoint refuses a connection or returns soon:
/// copies of one request then crash engine after engine.
#[tokio::test]
async fn copies_of_a_crashing_request_are_refused_although_engines_return_late() {
    let site = start_with_crashing_engines(170, Some(LONG_RESTART)).await;
    let (_other_process, other) = site.start_other_entry();
    wait_until_parts_answered(other, "a0:100").await;
    // Each of its attempts crashes an engine.
    send(site.caller_addr(), harmful_copy("first")).await;
    tokio::time::sleep(SPREAD_TIME).await;
    for (entry, id) in [(site.caller_addr(), "second"), (other, "third")] {
        let answer = send(entry, harmful_copy(id)).await.unwrap();
        assert_eq!(refusal_code(&answer), Some(2_010), "{id}");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    let crashes: u64 = site.engines.iter().map(|engine| engine.crashes()).sum();
    assert_eq!(crashes, 2);
    wait_until_parts_answered(site.caller_addr(), "a0:100").await;
}
