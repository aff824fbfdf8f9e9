//! Contract of the entry's HTTP interface for callers: invalid input, correct run states in
//! refusals, and timeouts.

#![allow(clippy::unwrap_used)]

#[path = "../examples/common/mod.rs"]
mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Caller, Chat, ServiceCall, Site};
use limpetloom_fakes::engine::Engine;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest request body that the entry accepts in these tests, in bytes.
const REQUEST_BYTES: u64 = 4000;
const CHAT: &str = r#"{"model":"lm","messages":[{"content":"hi"}],"max_tokens":2}"#;
const HEAD: &str = "x-limpetloom-class: chat\r\nx-limpetloom-customer: customer-1\r\n";

/// A streamed answer too long for the test to read to its end.
const ENDLESS_CHAT: &str =
    r#"{"model":"lm","messages":[{"content":"hi"}],"max_tokens":10000000,"stream":true}"#;

/// Waits until the engine has cancelled `count` requests; false after `READY_TIMEOUT`.
async fn has_cancelled(engine: &Engine, count: u64) -> bool {
    let cancelled = async {
        while engine.counters().cancelled < count {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, cancelled).await.is_ok()
}

async fn site() -> (Site, SocketAddr) {
    let site = Site::builder()
        .zones(1)
        .entries(1)
        .models(1)
        .preloaded()
        .targets(|targets| {
            // Long enough that a valid request never misses its start deadline on a busy machine.
            let classes = targets.classes.iter_mut();
            classes.for_each(|class| class.first_token = READY_TIMEOUT);
        })
        .entry_settings(|_, settings| {
            settings.limits.request_bytes = REQUEST_BYTES;
            settings.limits.body_timeout = Duration::from_secs(1);
            settings.limits.write_timeout = Duration::from_secs(1);
        })
        .engine(|_, cfg| {
            cfg.token_interval = Duration::from_micros(100);
            cfg.token_interval_per_request = Duration::ZERO;
        })
        .start()
        .await
        .unwrap();
    site.wait_ready(READY_TIMEOUT).await.unwrap();
    let addr = site.entry_addrs()[0];
    (site, addr)
}

/// Sends bytes on a new connection and returns the status, code and run state of the response.
async fn send_raw(addr: SocketAddr, bytes: &str) -> (u16, Option<u16>, String) {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let mut text = String::new();
    // The entry may reset the connection after its response, which has been read by then.
    let _ = stream.read_to_string(&mut text).await;
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let (_, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    let body = serde_json::from_str::<serde_json::Value>(body).unwrap_or_default();
    let code = body["code"].as_u64().and_then(|code| code.try_into().ok());
    let run = body["run"].as_str().unwrap_or_default().to_owned();
    (status.unwrap_or_default(), code, run)
}

fn post(path: &str, headers: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n{headers}\
         content-length: {len}\r\n\r\n{body}"
    )
}

fn chat_with(headers: &str, body: &str) -> String {
    post("/v1/chat/completions", headers, body)
}

#[rstest]
#[case::no_class("x-limpetloom-customer: customer-1\r\n", CHAT, 400, 1003)]
#[case::unknown_class(
    "x-limpetloom-class: nope\r\nx-limpetloom-customer: customer-1\r\n",
    CHAT,
    400,
    1003
)]
#[case::no_customer("x-limpetloom-class: chat\r\n", CHAT, 403, 1004)]
#[case::unknown_customer(
    "x-limpetloom-class: chat\r\nx-limpetloom-customer: nope\r\n",
    CHAT,
    403,
    1004
)]
#[case::not_json(HEAD, "{\"model\":", 400, 1001)]
#[case::wrong_type(HEAD, r#"{"model":"lm","max_tokens":"many"}"#, 400, 1001)]
#[case::huge_number(HEAD, r#"{"model":"lm","max_tokens":99999999999999999999}"#, 400, 1001)]
#[case::other_model(HEAD, r#"{"model":"other","messages":[]}"#, 404, 1008)]
#[case::key_too_long(
    &format!("{HEAD}idempotency-key: {}\r\n", "k".repeat(129)), CHAT, 400, 1001
)]
#[case::patience_not_a_number(
    &format!("{HEAD}x-limpetloom-patience-ms: soon\r\n"), CHAT, 400, 1001
)]
#[case::too_large(HEAD, &" ".repeat(REQUEST_BYTES as usize + 1), 413, 1002)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_chat_request_is_refused_with_a_code_and_not_run(
    #[case] headers: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] code: u16,
) {
    let (site, addr) = site().await;
    let before = site.models[0].engine.counters().requests;
    let refused = send_raw(addr, &chat_with(headers, body)).await;
    assert_eq!(refused, (status, Some(code), "not run".to_owned()));
    assert_eq!(site.models[0].engine.counters().requests, before);
    let outcome = Caller::new().chat(addr, &Chat::new("still there?")).await;
    assert!(outcome.answer().is_some(), "{outcome:?}");
}

#[rstest]
#[case::no_key("/services/booking/hold", "", 400, 1005)]
#[case::unknown_service("/services/other/hold", "idempotency-key: k\r\n", 404, 1008)]
#[case::unknown_path("/elsewhere", "idempotency-key: k\r\n", 404, 1008)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_service_call_is_refused_with_a_code_and_not_run(
    #[case] path: &str,
    #[case] key: &str,
    #[case] status: u16,
    #[case] code: u16,
) {
    let (site, addr) = site().await;
    let head = "x-limpetloom-class: booking\r\nx-limpetloom-customer: customer-1\r\n";
    let refused = send_raw(addr, &post(path, &format!("{head}{key}"), "{}")).await;
    assert_eq!(refused, (status, Some(code), "not run".to_owned()));
    assert_eq!(site.services[0].service.counters().runs, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reusing_a_key_with_another_body_is_refused_and_keeps_the_first_answer() {
    let (site, addr) = site().await;
    let caller = Caller::new();
    let first = ServiceCall::booking("seat-1");
    let other = ServiceCall {
        body: "{\"seat\":\"another\"}".to_owned(),
        ..first.clone()
    };
    let run = |outcome: &common::Outcome| outcome.answer().map(|answer| answer.run_count);
    assert_eq!(run(&caller.call(addr, &first).await), Some(1));
    let outcome = caller.call(addr, &other).await;
    let refused = outcome.refusal().unwrap();
    assert_eq!((refused.status, refused.code), (422, 1006));
    assert_eq!(run(&caller.call(addr, &first).await), Some(1));
    assert_eq!(site.runs("seat-1"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_incomplete_body_times_out_and_is_not_run() {
    let (site, addr) = site().await;
    let before = site.models[0].engine.counters().requests;
    let half = chat_with(HEAD, CHAT);
    let refused = send_raw(addr, &half[..half.len() - 10]).await;
    assert_eq!(refused, (408, Some(1007), "not run".to_owned()));
    assert_eq!(site.models[0].engine.counters().requests, before);
}

#[rstest]
#[case::not_http("hello\r\n\r\n", 400)]
#[case::bad_length(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: e\r\ncontent-length: many\r\n\r\n",
    400
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_http_is_refused_and_the_entry_keeps_serving(
    #[case] bytes: &str,
    #[case] status: u16,
) {
    let (_site, addr) = site().await;
    assert_eq!(send_raw(addr, bytes).await.0, status);
    let outcome = Caller::new().chat(addr, &Chat::new("still there?")).await;
    assert!(outcome.answer().is_some(), "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_head_over_the_limit_is_refused() {
    let (site, addr) = site().await;
    let before = site.models[0].engine.counters().requests;
    let headers = format!("{HEAD}x-filler: {}\r\n", "x".repeat(64 << 10));
    let (status, _, _) = send_raw(addr, &chat_with(&headers, CHAT)).await;
    assert_eq!(status, 431);
    assert_eq!(site.models[0].engine.counters().requests, before);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_stops_reading_is_disconnected_and_its_request_cancelled() {
    let (site, addr) = site().await;
    let engine = &site.models[0].engine;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let mut stream = socket.connect(addr).await.unwrap();
    let request = chat_with(HEAD, ENDLESS_CHAT);
    stream.write_all(request.as_bytes()).await.unwrap();
    assert!(has_cancelled(engine, 1).await);
    assert_eq!(engine.in_flight(), 0);
    let outcome = Caller::new().chat(addr, &Chat::new("still there?")).await;
    assert!(outcome.answer().is_some(), "{outcome:?}");
}

/// More than a cold endpoint's limit, so that a slot that is not released makes the test fail.
const DISCONNECTING_CALLERS: u64 = 6;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_disconnect_mid_stream_release_their_slots() {
    let (site, addr) = site().await;
    let engine = &site.models[0].engine;
    for left in 1..=DISCONNECTING_CALLERS {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let request = chat_with(HEAD, ENDLESS_CHAT);
        stream.write_all(request.as_bytes()).await.unwrap();
        let answered = tokio::time::timeout(READY_TIMEOUT, stream.read_u8()).await;
        assert!(answered.is_ok_and(|read| read.is_ok()), "caller {left}");
        drop(stream);
        assert!(has_cancelled(engine, left).await, "caller {left}");
    }
    let outcome = Caller::new().chat(addr, &Chat::new("still there?")).await;
    assert!(outcome.answer().is_some(), "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unstreamed_answer_is_complete_and_names_its_version() {
    let (site, addr) = site().await;
    let chat = Chat {
        stream: false,
        ..Chat::new("hello")
    };
    let outcome = Caller::new().chat(addr, &chat).await;
    let answer = outcome.answer().unwrap();
    assert_eq!(Some(answer.version.clone()), site.wanted_version());
}

/// Regression: a request that ran at the end of a stop was cut without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_running_request_is_answered_before_a_stop_ends() {
    let mut site = Site::builder()
        .zones(1)
        .entries(1)
        .models(1)
        .preloaded()
        .entry_settings(|_, settings| settings.limits.stop_deadline = Duration::from_secs(2))
        .start()
        .await
        .unwrap();
    site.wait_ready(READY_TIMEOUT).await.unwrap();
    let addr = site.entry_addrs()[0];
    let long = ENDLESS_CHAT.replace("true", "false");
    let call = tokio::spawn(async move { send_raw(addr, &chat_with(HEAD, &long)).await });
    while site.models[0].engine.counters().requests == 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    site.take_entry(0).unwrap().stop().await;
    let answer = call.await.unwrap();
    assert_eq!(answer, (502, Some(3003), "unknown".to_owned()));
}
