//! Despite an engine fault, every caller gets the complete answer to its own request, from one
//! version.

#![allow(clippy::unwrap_used)]

#[path = "../examples/common/mod.rs"]
mod common;

use std::time::Duration;

use common::{Caller, Chat, Outcome, Site};
use limpetloom_fakes::engine::{Engine, EngineFaults};
use rstest::rstest;

const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of concurrent requests.
const REQUESTS: usize = 4;

/// Starts a site of one entry and two engines in one zone, with the version already loaded.
async fn site() -> Site {
    let site = Site::builder()
        .zones(1)
        .entries(1)
        .models(2)
        .preloaded()
        .start()
        .await
        .unwrap();
    site.wait_ready(READY_TIMEOUT).await.unwrap();
    site
}

/// The engine that has served the requests so far; the entry sends it the next ones too.
fn used_engine(site: &Site) -> &Engine {
    let mut engines = site.models.iter().map(|host| &host.engine);
    engines
        .find(|engine| engine.counters().requests > 0)
        .unwrap()
}

/// Number of injected faults that the engine has not yet triggered.
fn pending_faults(engine: &Engine) -> u32 {
    let mut pending = 0;
    engine.update_faults(|faults| {
        pending = faults.cut_next
            + faults.wrong_id_next
            + faults.truncate_next
            + faults.switch_version_next;
    });
    pending
}

#[rstest]
#[case::switched_version_stream(
    EngineFaults { switch_version_next: 1, ..EngineFaults::default() }, true
)]
#[case::wrong_request_id_stream(EngineFaults { wrong_id_next: 1, ..EngineFaults::default() }, true)]
#[case::cut_stream(EngineFaults { cut_next: 1, ..EngineFaults::default() }, true)]
#[case::switched_version(EngineFaults { switch_version_next: 1, ..EngineFaults::default() }, false)]
#[case::wrong_request_id(EngineFaults { wrong_id_next: 1, ..EngineFaults::default() }, false)]
#[case::cut(EngineFaults { cut_next: 1, ..EngineFaults::default() }, false)]
#[case::truncated(EngineFaults { truncate_next: 1, ..EngineFaults::default() }, false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_caller_gets_the_complete_answer(#[case] fault: EngineFaults, #[case] stream: bool) {
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
    assert_eq!(
        pending_faults(engine),
        0,
        "the injected fault was not triggered"
    );
}
