//! Entries that learn of a configuration late.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::{Request, StatusCode};
use limpetloom_fakes::site::Withheld;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::site::{Answer, Site, request, send};

/// Requests that wait at an entry which stands still; fewer than its listener queues.
const WAITING_REQUESTS: usize = 100;

/// What only the newest configuration allows.
#[derive(Clone, Copy, Debug)]
enum Added {
    /// A key of the customer.
    Key,
    /// A route.
    Route,
}

impl Added {
    /// Declares version 2 with the addition.
    fn declare(self, site: &Site) {
        match self {
            Self::Key => site.declare(2, &["key-1", "key-2"]),
            Self::Route => site.declare_edited(2, &["key-1"], |config| {
                let routes = config["routes"].as_array_mut().unwrap();
                let mut added = routes.iter().find(|r| r["name"] == "read").unwrap().clone();
                added["name"] = json!("added");
                added["pathPrefix"] = json!("/added/");
                routes.push(added);
            }),
        }
    }

    fn request(self, id: &str) -> Request<Full<Bytes>> {
        match self {
            Self::Key => {
                let mut req = request("GET", "/read/x?y=1", id);
                let key = HeaderValue::from_static("Token key-2");
                req.headers_mut().insert(AUTHORIZATION, key);
                req
            }
            Self::Route => request("GET", "/added/x?y=1", id),
        }
    }
}

fn assert_refused_as_not_run(answer: &Answer) {
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{body}");
    assert_eq!(body["run"], "not run", "{body}");
    assert!(answer.headers.contains_key("retry-after"), "{body}");
}

// Guards against a refusal by an older configuration while the news of the newer one is on its way: the
// store answers calls, but its answer to the watch is late.
#[rstest]
#[case::key(154, Added::Key)]
#[case::route(155, Added::Route)]
#[tokio::test]
async fn a_request_that_the_newest_configuration_allows_is_served_while_the_watch_is_late(
    #[case] network: u8,
    #[case] added: Added,
) {
    let site = Site::start_serving(network, 1).await;
    site.store.withhold("config", Withheld::Watches);
    added.declare(&site);
    let answer = send(site.caller_addr(), added.request("late-1"))
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}

// Guards against callers with an invalid key that are told to come back.
#[tokio::test]
async fn a_key_that_no_configuration_has_is_denied_while_the_watch_is_late() {
    let site = Site::start_serving(193, 1).await;
    site.store.withhold("config", Withheld::Watches);
    site.declare(2, &["key-1", "key-3"]);
    let answer = send(site.caller_addr(), Added::Key.request("late-1"))
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{answer:?}");
}

// Guards against a refusal as final by a configuration that may be outdated: the store answers nothing
// about configurations. What the known one allows is served as before.
#[rstest]
#[case::key(156, Added::Key)]
#[case::route(157, Added::Route)]
#[tokio::test]
async fn a_request_that_the_configuration_does_not_allow_is_not_run_while_the_store_is_silent(
    #[case] network: u8,
    #[case] added: Added,
) {
    let site = Site::start_serving(network, 1).await;
    site.store.withhold("config", Withheld::Everything);
    added.declare(&site);
    let answer = send(site.caller_addr(), added.request("late-1"))
        .await
        .unwrap();
    assert_refused_as_not_run(&answer);
    assert_eq!(site.call("read").await.status, StatusCode::OK);
}

// Guards against a refusal by an older configuration while the newer one waits behind requests in the
// entry itself.
#[tokio::test]
async fn no_request_with_a_declared_key_is_denied_by_an_entry_that_stood_still() {
    let site = Site::start_serving(192, 1).await;
    site.signal_entry("-STOP").await;
    Added::Key.declare(&site);
    let mut calls = JoinSet::new();
    for n in 0..WAITING_REQUESTS {
        // The whole request is in the entry's socket before the entry goes on.
        let mut stream = TcpStream::connect(site.caller_addr()).await.unwrap();
        let req = format!(
            "GET /read/x HTTP/1.1\r\nhost: site.example\r\nrequest-id: waiting-{n}\r\n\
             deadline-ms: 6000\r\nauthorization: Token key-2\r\nconnection: close\r\n\r\n"
        );
        stream.write_all(req.as_bytes()).await.unwrap();
        calls.spawn(async move {
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.unwrap();
            answer
        });
    }
    site.signal_entry("-CONT").await;
    let answers = calls.join_all().await;
    let denied = answers
        .iter()
        .filter(|answer| answer.starts_with("HTTP/1.1 401"));
    assert_eq!(denied.count(), 0, "of {}", answers.len());
}
