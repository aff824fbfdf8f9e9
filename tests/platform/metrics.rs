//! What the processes count.

use super::site::Site;

/// Value of the first line with this name whose labels hold all of `labels`.
fn value(text: &str, name: &str, labels: &[&str]) -> Option<f64> {
    let mut lines = text.lines().filter(|line| line.starts_with(name));
    let line = lines.find(|line| labels.iter().all(|label| line.contains(label)))?;
    line.rsplit_once(' ')?.1.parse().ok()
}

#[tokio::test]
async fn an_agent_counts_reports_chunks_and_orders() {
    let site = Site::serving(144, 2).await;
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
        let count = value(&text, "operations_seconds_count", &labels);
        assert!(count >= Some(1.0), "{operation}: {text}");
    }
}

#[tokio::test]
async fn an_entry_counts_attempts_by_endpoint_and_end() {
    let site = Site::serving(145, 1).await;
    let labels = ["endpoint=\"engine-0\"", "result=\"answered\""];
    let text = site.entry_metrics().await;
    assert!(
        value(&text, "attempts_total", &labels) >= Some(1.0),
        "{text}"
    );
    let labels = ["result=\"refused\"", "code=\"1010\""];
    site.call("nowhere").await;
    let text = site.entry_metrics().await;
    assert_eq!(value(&text, "requests_total", &labels), Some(1.0), "{text}");
}
