//! Every caller gets the whole answer to its own request, from one version, although an engine breaks off.

#![allow(clippy::unwrap_used)]

#[path = "../examples/common/mod.rs"]
mod common;

use std::time::Duration;

use common::{Caller, Chat, Outcome, Site};
use limpetloom_fakes::engine::{Engine, EngineFaults};
use rstest::rstest;

const READY_LIMIT: Duration = Duration::from_secs(60);
/// Requests at once.
const REQUESTS: usize = 4;

/// One entry and two engines of one zone that hold the version already.
async fn site() -> Site {
    let site = Site::builder()
        .zones(1)
        .entries(1)
        .models(2)
        .preloaded()
        .start()
        .await
        .unwrap();
    site.wait_ready(READY_LIMIT).await.unwrap();
    site
}

/// The engine that the entry has used so far, and so uses again.
fn used_engine(site: &Site) -> &Engine {
    let mut engines = site.models.iter().map(|seat| &seat.engine);
    engines
        .find(|engine| engine.counters().requests > 0)
        .unwrap()
}

/// Faults that an engine has still to show.
fn faults_left(engine: &Engine) -> u32 {
    let mut left = 0;
    engine.update_faults(|faults| {
        left = faults.cut_next
            + faults.wrong_id_next
            + faults.truncate_next
            + faults.switch_version_next;
    });
    left
}

#[rstest]
#[case::swapped_stream(EngineFaults { switch_version_next: 1, ..EngineFaults::default() }, true)]
#[case::crossed_stream(EngineFaults { wrong_id_next: 1, ..EngineFaults::default() }, true)]
#[case::cut_stream(EngineFaults { cut_next: 1, ..EngineFaults::default() }, true)]
#[case::swapped(EngineFaults { switch_version_next: 1, ..EngineFaults::default() }, false)]
#[case::crossed(EngineFaults { wrong_id_next: 1, ..EngineFaults::default() }, false)]
#[case::cut(EngineFaults { cut_next: 1, ..EngineFaults::default() }, false)]
#[case::truncated(EngineFaults { truncate_next: 1, ..EngineFaults::default() }, false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_caller_gets_the_whole_answer(#[case] fault: EngineFaults, #[case] stream: bool) {
    let site = site().await;
    let engine = used_engine(&site);
    engine.update_faults(|faults| *faults = fault);
    let caller = Caller::new();
    let entry = site.entry_addrs()[0];
    let requests = (0..REQUESTS).map(|number| {
        let mut chat = Chat::new(format!("question {number}"));
        chat.stream = stream;
        let caller = caller.clone();
        async move { caller.chat(entry, &chat).await }
    });
    for outcome in futures_util::future::join_all(requests).await {
        assert!(matches!(outcome, Outcome::Complete(_)), "{outcome:?}");
    }
    assert_eq!(faults_left(engine), 0, "the fault was never met");
}
