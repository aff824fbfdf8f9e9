//! Faults of endpoints, invalid requests of callers, and invalid objects in the store.

use hyper::StatusCode;
use limpetloom_fakes::site::SiteEngineFaults;
use rstest::rstest;
use serde_json::json;

use super::site::{STREAM_EVENTS, Site, request, send};

/// Numbers of the events of a complete stream.
fn all_events() -> Vec<u64> {
    (1..=STREAM_EVENTS).collect()
}

#[tokio::test]
async fn requests_reach_the_endpoint_with_the_callers_body_and_the_entrys_headers() {
    let site = Site::start_serving(101, 2).await;
    let answer = site.call_with_id("write", "write-7").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.headers.contains_key("server-stamp"));
    let runs: Vec<_> = site
        .plain_endpoints
        .iter()
        .flat_map(|endpoint| endpoint.runs())
        .collect();
    let run = runs.iter().find(|run| run.request_id == "write-7").unwrap();
    assert_eq!(run.path, "/write/x?y=1");
    assert_eq!(&run.body[..], b"body of write-7");
    assert_eq!(run.headers["tenant"], "customer-1");
    assert_eq!(run.headers["host"], "site.example");
    assert!(!run.headers.contains_key("authorization"));
    assert!(run.headers.contains_key("expect-instance"));
    let left: u64 = run.headers["deadline-ms"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(left <= 6_000, "{left}");

    let answer = site.call("chat").await;
    assert_eq!((answer.events(), answer.is_whole), (all_events(), true));
}

#[rstest]
#[case::broken(102, SiteEngineFaults { break_after: Some(4), ..Default::default() })]
#[case::silent(103, SiteEngineFaults { silent_after: Some(4), ..Default::default() })]
#[case::no_answer(104, SiteEngineFaults { lose_answers: true, ..Default::default() })]
#[case::other_request(105, SiteEngineFaults { wrong_request_ids: true, ..Default::default() })]
#[case::without_stamp(106, SiteEngineFaults { unsigned: true, ..Default::default() })]
#[case::rejecting(107, SiteEngineFaults { shed_requests: true, ..Default::default() })]
#[tokio::test]
async fn a_stream_completes_when_one_of_two_engines_is_faulty(
    #[case] network: u8,
    #[case] faults: SiteEngineFaults,
) {
    let site = Site::start_serving(network, 2).await;
    site.engines[0].set_faults(faults);
    for n in 0..4 {
        let answer = site.call_with_id("chat", &format!("stream-{n}")).await;
        assert_eq!(
            (answer.events(), answer.is_whole),
            (all_events(), true),
            "{n}"
        );
        assert_eq!(answer.headers["request-id"], *format!("stream-{n}"));
    }
}

#[tokio::test]
async fn a_stream_that_breaks_at_every_engine_is_not_completed() {
    let site = Site::start_serving(108, 2).await;
    for engine in &site.engines {
        engine.set_faults(SiteEngineFaults {
            break_after: Some(4),
            ..Default::default()
        });
    }
    let answer = site.call("chat").await;
    assert!(!answer.is_whole);
    // The received events are in order and without gaps.
    let events = answer.events();
    assert_eq!(events, (1..=events.len() as u64).collect::<Vec<_>>());
}

#[rstest]
#[case::lost(109, SiteEngineFaults { lose_answers: true, ..Default::default() })]
#[case::other_request(110, SiteEngineFaults { wrong_request_ids: true, ..Default::default() })]
#[tokio::test]
async fn a_non_idempotent_request_with_a_lost_answer_runs_once_and_is_not_reported_as_not_run(
    #[case] network: u8,
    #[case] faults: SiteEngineFaults,
) {
    let site = Site::start_serving(network, 1).await;
    site.plain_endpoints
        .iter()
        .for_each(|endpoint| endpoint.set_faults(faults.clone()));
    let answer = site.call_with_id("write", "write-1").await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    let runs = site
        .plain_endpoints
        .iter()
        .flat_map(|endpoint| endpoint.runs());
    assert_eq!(runs.filter(|run| run.request_id == "write-1").count(), 1);
}

#[tokio::test]
async fn a_request_that_every_endpoint_rejects_is_refused_with_retry_after() {
    let site = Site::start_serving(111, 1).await;
    site.plain_endpoints.iter().for_each(|endpoint| {
        endpoint.set_faults(SiteEngineFaults {
            shed_requests: true,
            ..Default::default()
        });
    });
    let answer = site.call("write").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let wait: f64 = answer.headers["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(wait > 0.0);
    let runs: usize = site
        .plain_endpoints
        .iter()
        .map(|endpoint| endpoint.runs().len())
        .sum();
    assert_eq!(runs, 0);
}

#[rstest]
#[case::no_such_route("/nowhere/x", "6000", "Token key-1", 404, 1010)]
#[case::wrong_key("/read/x", "6000", "Token key-9", 401, 1011)]
#[case::malformed_deadline("/read/x", "soon", "Token key-1", 400, 1001)]
#[tokio::test]
async fn an_invalid_request_is_refused_with_a_numbered_code(
    #[case] path: &str,
    #[case] deadline: &str,
    #[case] key: &str,
    #[case] status: u16,
    #[case] code: u64,
) {
    let site = Site::start_serving(112 + (code % 7) as u8, 1).await;
    let mut req = request("GET", path, "invalid");
    req.headers_mut()
        .insert("deadline-ms", deadline.parse().unwrap());
    req.headers_mut()
        .insert("authorization", key.parse().unwrap());
    let answer = send(site.caller_addr(), req).await.unwrap();
    assert_eq!(answer.status.as_u16(), status);
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(
        (body["code"].as_u64(), &body["run"]),
        (Some(code), &json!("not run"))
    );
    // The log line is written after the answer is sent.
    site.wait_until(|site| site.entry_log().contains(&format!("\"code\":{code}")))
        .await;
}

#[tokio::test]
async fn invalid_servers_are_ignored_and_valid_ones_still_serve() {
    let site = Site::start_serving(120, 1).await;
    let put = |name: &str, spec| site.store.put("servers", name, spec);
    put("not-an-object", json!("not an object"));
    put(
        "no-address",
        json!({"service": "plain", "zone": "zone-a", "state": "ready"}),
    );
    let mut unknown_state = site.plain_endpoints[0].server_spec("plain", "zone-a");
    unknown_state["state"] = json!("melting");
    put("unknown-state", unknown_state);
    let mut wrong_type = site.plain_endpoints[0].server_spec("plain", "zone-a");
    wrong_type["slots"] = json!("sixteen");
    put("wrong-type", wrong_type);
    site.wait_until(|site| site.entry_log().matches("\"event\":506").count() >= 4)
        .await;
    for _ in 0..8 {
        assert_eq!(site.call("read").await.status, StatusCode::OK);
    }
}
