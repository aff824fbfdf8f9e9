//! Metrics of the entry and the agents.

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
