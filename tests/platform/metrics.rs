//! Metrics of the entry and the agents.

use std::time::Duration;

use limpetloom_fakes::site::SiteEngineFaults;

use super::site::Site;

/// Value of the first line that begins with the name and contains all of `labels`.
fn metric_value(text: &str, name: &str, labels: &[&str]) -> Option<f64> {
    let mut lines = text.lines().filter(|line| line.starts_with(name));
    let line = lines.find(|line| labels.iter().all(|label| line.contains(label)))?;
    line.rsplit_once(' ')?.1.parse().ok()
}

#[tokio::test]
async fn agent_metrics_count_reports_chunks_and_orders() {
    let site = Site::start_serving(144, 2).await;
    let text = site.agent_metrics(0).await;
    for operation in [
        "endpoint report",
        "origin chunk",
        "peer chunk",
        "stage",
        "order",
    ] {
        let label = format!("operation=\"{operation}\"");
        let labels = [&*label, "result=\"done\""];
        let count = metric_value(&text, "operations_seconds_count", &labels);
        assert!(count >= Some(1.0), "{operation}: {text}");
    }
}

#[tokio::test]
async fn entry_metrics_count_attempts_by_endpoint_and_result() {
    let site = Site::start_serving(145, 1).await;
    let labels = ["endpoint=\"engine-0\"", "result=\"answered\""];
    let text = site.entry_metrics().await;
    assert!(
        metric_value(&text, "attempts_total", &labels) >= Some(1.0),
        "{text}"
    );
    let labels = ["result=\"refused\"", "code=\"1010\""];
    site.call("nowhere").await;
    let text = site.entry_metrics().await;
    assert_eq!(
        metric_value(&text, "requests_total", &labels),
        Some(1.0),
        "{text}"
    );
}

/// Guards against callers that leave without a log line and a count.
#[tokio::test]
async fn a_caller_that_leaves_before_its_answer_starts_is_logged_and_counted() {
    let site = Site::start_serving(147, 1).await;
    site.engines[0].set_faults(SiteEngineFaults {
        silent_after: Some(0),
        ..Default::default()
    });
    let call = site.call_with_id("chat", "impatient");
    // Shorter than the time after which the entry gives up the attempt.
    let left = tokio::time::timeout(Duration::from_millis(200), call).await;
    assert!(left.is_err(), "the answer started");
    let is_departure = |line: &str| line.contains("\"event\":406") && line.contains("impatient");
    site.wait_until(|site| site.entry_log().lines().any(is_departure))
        .await;
    let log = site.entry_log();
    let line = log.lines().find(|line| is_departure(line)).unwrap();
    let fields: serde_json::Value = serde_json::from_str(line).unwrap();
    assert_eq!(
        (&fields["endpoint"], &fields["attempt"]),
        (&"engine-0".into(), &1.into()),
        "{line}"
    );
    let labels = ["endpoint=\"engine-0\"", "result=\"caller gone\""];
    let text = site.entry_metrics().await;
    let count = metric_value(&text, "attempts_total", &labels);
    assert_eq!(count, Some(1.0), "{text}");
}

#[tokio::test]
async fn explain_prints_where_a_request_would_go_and_why() {
    let site = Site::start_serving(148, 1).await;
    let text = site.explain("/chat/x", "customer-1").await;
    assert!(text.starts_with("sent to engine-0"), "{text}");
    let text = site.explain("/chat/x", "nobody").await;
    assert!(text.contains("1011"), "{text}");
    let text = site.explain("/nowhere/x", "customer-1").await;
    assert!(text.contains("1010"), "{text}");
}
