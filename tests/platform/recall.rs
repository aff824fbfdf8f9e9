//! Requests that wait at an engine while its version ends.

use std::time::{Duration, Instant};

use limpetloom_fakes::site::SiteEngineFaults;
use rstest::rstest;
use serde_json::json;

use super::site::{Site, request, send};

/// Time after the naming of a version after which no request begins on an older one, by the settings.
const VERSION_TIME: Duration = Duration::from_millis(2_500);
/// Time for which the engine lets a request wait.
const QUEUE_TIME: Duration = Duration::from_millis(1_000);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Guards against requests that begin on a version after its end, because they wait at an engine for
/// longer than the entry allows when it sends them.
#[rstest]
#[case::first_attempts(158, false)]
#[case::continued_streams(159, true)]
#[tokio::test]
async fn no_request_that_waits_at_an_engine_begins_on_a_version_that_has_ended(
    #[case] network: u8,
    #[case] breaks_streams: bool,
) {
    let site = Site::start_serving(network, 2).await;
    // No engine gets the newer version.
    site.origin.set_online(false);
    let queueing = SiteEngineFaults {
        queue_time: Some(QUEUE_TIME),
        ..Default::default()
    };
    let breaking = SiteEngineFaults {
        break_after: breaks_streams.then_some(3),
        ..queueing.clone()
    };
    site.engines[0].set_faults(breaking);
    site.engines[1].set_faults(queueing);
    let version = json!({"model": "m0", "version": 2});
    site.store.put("versions", "m0", version);
    let named_at = Instant::now();

    let mut tasks = Vec::new();
    let mut ticks = tokio::time::interval(REQUEST_INTERVAL);
    while named_at.elapsed() < VERSION_TIME {
        ticks.tick().await;
        let req = request("POST", "/chat/x", &format!("req-{}", tasks.len()));
        tasks.push(tokio::spawn(send(site.caller_addr(), req)));
    }
    for task in tasks {
        // A request that was taken back may have run.
        let status = task.await.unwrap().unwrap().status.as_u16();
        assert!(matches!(status, 200 | 502 | 503), "{status}");
    }
    tokio::time::sleep(QUEUE_TIME).await;
    let runs = site.engines.iter().flat_map(|engine| engine.runs());
    let runs: Vec<_> = runs.filter(|run| run.begun_at >= named_at).collect();
    assert!(!runs.is_empty());
    let late = runs.iter().filter(|run| run.version == Some(1));
    let late = late.filter_map(|run| run.begun_at.checked_duration_since(named_at + VERSION_TIME));
    assert_eq!(late.collect::<Vec<_>>(), []);
}
