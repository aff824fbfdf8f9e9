//! Faults of endpoints, of callers and of the store's entries.

use hyper::StatusCode;
use limpetloom_fakes::site::SiteEngineFaults;
use rstest::rstest;
use serde_json::json;

use super::site::{EVENTS, Site, request, send};

fn whole() -> Vec<u64> {
    (1..=EVENTS).collect()
}

#[tokio::test]
async fn requests_reach_the_endpoint_as_they_were_sent() {
    let site = Site::serving(101, 2).await;
    let answer = site.call_as("hold", "booking-7").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.headers.contains_key("server-stamp"));
    let runs: Vec<_> = site.desk.iter().flat_map(|desk| desk.runs()).collect();
    let run = runs
        .iter()
        .find(|run| run.request_id == "booking-7")
        .unwrap();
    assert_eq!(run.path, "/hold/x?y=1");
    assert_eq!(&run.body[..], b"body of booking-7");
    assert_eq!(run.headers["tenant"], "studio");
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
    assert_eq!((answer.events(), answer.is_whole), (whole(), true));
}

#[rstest]
#[case::broken(102, SiteEngineFaults { break_after: Some(4), ..Default::default() })]
#[case::silent(103, SiteEngineFaults { silent_after: Some(4), ..Default::default() })]
#[case::never_begun(104, SiteEngineFaults { lose_answers: true, ..Default::default() })]
#[case::foreign(105, SiteEngineFaults { wrong_request_ids: true, ..Default::default() })]
#[case::unsigned(106, SiteEngineFaults { unsigned: true, ..Default::default() })]
#[case::full(107, SiteEngineFaults { shed_requests: true, ..Default::default() })]
#[tokio::test]
async fn a_stream_goes_on_at_another_engine(#[case] network: u8, #[case] faults: SiteEngineFaults) {
    let site = Site::serving(network, 2).await;
    site.engines[0].set_faults(faults);
    for n in 0..4 {
        let answer = site.call_as("chat", &format!("stream-{n}")).await;
        assert_eq!((answer.events(), answer.is_whole), (whole(), true), "{n}");
        assert_eq!(answer.headers["request-id"], *format!("stream-{n}"));
    }
}

#[tokio::test]
async fn a_stream_that_nobody_can_finish_does_not_look_whole() {
    let site = Site::serving(108, 2).await;
    for engine in &site.engines {
        engine.set_faults(SiteEngineFaults {
            break_after: Some(4),
            ..Default::default()
        });
    }
    let answer = site.call("chat").await;
    assert!(!answer.is_whole);
    // What came is in order and without gaps.
    let events = answer.events();
    assert_eq!(events, (1..=events.len() as u64).collect::<Vec<_>>());
}

#[rstest]
#[case::lost(109, SiteEngineFaults { lose_answers: true, ..Default::default() })]
#[case::foreign(110, SiteEngineFaults { wrong_request_ids: true, ..Default::default() })]
#[tokio::test]
async fn a_booking_whose_answer_is_lost_runs_once_and_is_not_called_unrun(
    #[case] network: u8,
    #[case] faults: SiteEngineFaults,
) {
    let site = Site::serving(network, 1).await;
    site.desk
        .iter()
        .for_each(|desk| desk.set_faults(faults.clone()));
    let answer = site.call_as("hold", "booking-1").await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    let runs = site.desk.iter().flat_map(|desk| desk.runs());
    assert_eq!(runs.filter(|run| run.request_id == "booking-1").count(), 1);
}

#[tokio::test]
async fn a_booking_that_nobody_takes_is_refused_with_a_time_to_come_back() {
    let site = Site::serving(111, 1).await;
    site.desk.iter().for_each(|desk| {
        desk.set_faults(SiteEngineFaults {
            shed_requests: true,
            ..Default::default()
        });
    });
    let answer = site.call("hold").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let wait: f64 = answer.headers["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(wait > 0.0);
    let runs: usize = site.desk.iter().map(|desk| desk.runs().len()).sum();
    assert_eq!(runs, 0);
}

#[rstest]
#[case::no_such_route("/nowhere/x", "6000", "Token key-1", 404, 1010)]
#[case::wrong_key("/look/x", "6000", "Token key-9", 401, 1011)]
#[case::malformed_deadline("/look/x", "soon", "Token key-1", 400, 1001)]
#[tokio::test]
async fn a_request_that_can_not_be_served_gets_a_numbered_refusal(
    #[case] path: &str,
    #[case] deadline: &str,
    #[case] key: &str,
    #[case] status: u16,
    #[case] code: u64,
) {
    let site = Site::serving(112 + (code % 7) as u8, 1).await;
    let mut req = request("GET", path, "odd");
    req.headers_mut()
        .insert("deadline-ms", deadline.parse().unwrap());
    req.headers_mut()
        .insert("authorization", key.parse().unwrap());
    let answer = send(site.front(), req).await.unwrap();
    assert_eq!(answer.status.as_u16(), status);
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(
        (body["code"].as_u64(), &body["run"]),
        (Some(code), &json!("not run"))
    );
    // The log is written behind the answer.
    site.until(|site| site.entry_log().contains(&format!("\"code\":{code}")))
        .await;
}

#[tokio::test]
async fn foreign_entries_of_the_list_name_no_endpoint_and_the_others_hold() {
    let site = Site::serving(120, 1).await;
    let put = |name: &str, spec| site.store.put("servers", name, spec);
    put("torn", json!("not an object"));
    put(
        "no-address",
        json!({"service": "desk", "zone": "zone-a", "state": "ready"}),
    );
    let mut odd = site.desk[0].server_spec("desk", "zone-a");
    odd["state"] = json!("melting");
    put("odd-state", odd);
    let mut elsewhere = site.desk[0].server_spec("desk", "zone-a");
    elsewhere["slots"] = json!("sixteen");
    put("odd-type", elsewhere);
    site.until(|site| site.entry_log().matches("\"event\":506").count() >= 4)
        .await;
    for _ in 0..8 {
        assert_eq!(site.call("look").await.status, StatusCode::OK);
    }
}
