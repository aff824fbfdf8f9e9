//! Contract of the client for an engine's control calls, run against the fake engine.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use limpetloom::clients::{
    EndpointAdmin, HttpClient, HttpEndpoint, HttpTimeouts, HttpWeightSource, JobState,
    PlatformError, WeightSource,
};
use limpetloom_fakes::engine::{Engine, EngineConfig, EngineFaults, answer_tag};
use limpetloom_fakes::origin::{Origin, OriginConfig};
use rstest::rstest;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const CHUNK_BYTES: u32 = 1000;

fn timeouts() -> HttpTimeouts {
    HttpTimeouts {
        connect: Duration::from_millis(500),
        total: CALL_TIMEOUT,
    }
}

fn start(cfg: EngineConfig) -> (Engine, HttpEndpoint) {
    let engine = Engine::spawn(cfg).expect("the fake engine starts");
    let admin = HttpEndpoint::new(engine.addr(), HttpClient::new(timeouts()));
    (engine, admin)
}

fn serving() -> EngineConfig {
    EngineConfig {
        version: Some("v1".to_owned()),
        ..EngineConfig::default()
    }
}

/// Sends a streamed chat request and reads the whole answer; `None` if the connection broke.
async fn chat(engine: &Engine, id: &str, prompt: &str, tokens: u64) -> Option<(u16, String)> {
    let body = format!(
        r#"{{"messages":[{{"role":"user","content":"{prompt}"}}],"max_tokens":{tokens},"stream":true}}"#
    );
    let req = Request::post(format!("http://{}/v1/chat/completions", engine.addr()))
        .header("x-request-id", id)
        .body(Full::new(Bytes::from(body)))
        .expect("the request is valid");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let res: Response<_> = client.request(req).await.ok()?;
    let status = res.status().as_u16();
    let body = res.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Publishes a version of 4 chunks at the origin, and stages its manifest and first `chunks` chunks
/// at the engine.
async fn stage(admin: &HttpEndpoint, origin: &Origin, seed: u64, chunks: u32) -> String {
    let digest = origin.publish("lm", "v", seed, 3500, CHUNK_BYTES);
    let source = HttpWeightSource::new(origin.addr(), HttpClient::new(timeouts()));
    let manifest = source
        .manifest("lm", "v")
        .await
        .expect("the manifest is downloaded");
    admin
        .stage_manifest(&digest, manifest)
        .await
        .expect("the manifest is staged");
    for index in 0..chunks {
        let chunk = source
            .chunk("lm", "v", index)
            .await
            .expect("the chunk is downloaded");
        let staged = admin.stage_chunk(&digest, index, chunk).await;
        staged.expect("the chunk is staged");
    }
    digest
}

#[tokio::test]
async fn a_streamed_answer_is_complete_and_matches_its_prompt() {
    let (engine, admin) = start(serving());
    let (status, body) = chat(&engine, "r1", "hello", 5).await.unwrap();
    assert_eq!(status, 200);
    let tag = answer_tag("hello");
    for index in 0..5 {
        assert!(body.contains(&format!("{tag}:{index} ")));
    }
    assert!(body.ends_with("data: [DONE]\n\n"));
    assert_eq!(admin.cancel("r1").await, Ok(JobState::Done));
    assert_eq!(admin.cancel("r2").await, Ok(JobState::Unknown));
}

#[tokio::test]
async fn an_engine_refuses_requests_until_a_complete_version_is_loaded() {
    let (engine, admin) = start(EngineConfig::default());
    let origin = Origin::spawn(OriginConfig::default()).unwrap();
    assert_eq!(chat(&engine, "r1", "hello", 5).await.unwrap().0, 503);
    assert_eq!(admin.status().await.unwrap().version, None);
    let digest = stage(&admin, &origin, 1, 3).await;
    let incomplete = admin.load(&digest, 1, CALL_TIMEOUT).await;
    assert_eq!(incomplete, Err(PlatformError::Missing));
    let digest = stage(&admin, &origin, 1, 4).await;
    assert_eq!(
        admin.load(&digest, 1, CALL_TIMEOUT).await.as_deref(),
        Ok(digest.as_str())
    );
    assert_eq!(chat(&engine, "r2", "hello", 5).await.unwrap().0, 200);
    let counters = engine.counters();
    assert_eq!(
        (
            counters.corrupt_weight_requests,
            counters.mixed_version_requests
        ),
        (0, 0)
    );
}

#[rstest]
#[case::engine_checks(true, Err(PlatformError::Conflict { current: 0 }))]
#[case::engine_ignores(false, Ok(()))]
#[tokio::test]
async fn an_old_fencing_number_is_refused_if_the_engine_checks_it(
    #[case] checks_fence: bool,
    #[case] expected: Result<(), PlatformError>,
) {
    let (_engine, admin) = start(EngineConfig {
        checks_fencing: checks_fence,
        ..serving()
    });
    admin.load("v1", 7, CALL_TIMEOUT).await.unwrap();
    assert_eq!(admin.load("v1", 6, CALL_TIMEOUT).await.map(drop), expected);
}

#[tokio::test]
async fn requests_served_from_corrupt_weights_are_counted() {
    let (engine, admin) = start(EngineConfig::default());
    let origin = Origin::spawn(OriginConfig::default()).unwrap();
    origin.update_faults(|faults| faults.corrupt_every = 4);
    let digest = stage(&admin, &origin, 1, 4).await;
    admin.load(&digest, 1, CALL_TIMEOUT).await.unwrap();
    chat(&engine, "r1", "hello", 5).await.unwrap();
    assert_eq!(engine.counters().corrupt_weight_requests, 1);
}

#[tokio::test]
async fn a_paused_request_completes_after_its_resume() {
    let (engine, admin) = start(serving());
    engine.update_faults(|faults| faults.stalled = true);
    let (body, ()) = tokio::join!(chat(&engine, "r1", "hello", 5), async {
        while engine.in_flight() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(admin.pause("r1").await, Ok(JobState::Paused));
        engine.update_faults(|faults| faults.stalled = false);
        assert_eq!(admin.resume("r1").await, Ok(JobState::Running));
    });
    assert!(body.unwrap().1.ends_with("data: [DONE]\n\n"));
}

#[tokio::test]
async fn the_stream_of_a_cancelled_request_lacks_the_end_marker() {
    let (engine, admin) = start(serving());
    engine.update_faults(|faults| faults.stalled = true);
    let (body, ()) = tokio::join!(chat(&engine, "r1", "hello", 5), async {
        while engine.in_flight() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(admin.cancel("r1").await, Ok(JobState::Cancelled));
    });
    assert!(!body.unwrap().1.contains("[DONE]"));
    assert_eq!(engine.counters().cancelled, 1);
}

#[tokio::test]
async fn an_overloaded_cold_engine_crashes_and_restarts_as_a_new_instance() {
    let (engine, admin) = start(EngineConfig {
        cold_limit: 1,
        ..serving()
    });
    engine.update_faults(|faults| faults.stalled = true);
    let instance = admin.status().await.unwrap().instance;
    let (first, second) = tokio::join!(
        chat(&engine, "r1", "hello", 5),
        chat(&engine, "r2", "hello", 5)
    );
    assert_eq!((first, second), (None, None));
    assert_eq!(engine.counters().crashes, 1);
    assert!(admin.status().await.is_err());
    while admin.status().await.is_err() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_ne!(admin.status().await.unwrap().instance, instance);
}

#[tokio::test]
async fn the_limit_grows_with_each_completed_request_until_the_engine_turns_cold() {
    let (engine, _admin) = start(EngineConfig {
        cold_limit: 1,
        warm_limit: 3,
        warm_up_requests: 2,
        ..serving()
    });
    assert_eq!(engine.limit(), 1);
    chat(&engine, "r1", "hello", 2).await.unwrap();
    assert_eq!(engine.limit(), 2);
    chat(&engine, "r2", "hello", 2).await.unwrap();
    assert_eq!(engine.limit(), 3);
    engine.turn_cold();
    assert_eq!(engine.limit(), 1);
}

#[tokio::test]
async fn a_poison_request_crashes_the_engine_and_fails_concurrent_requests() {
    let (engine, _admin) = start(EngineConfig {
        poison: Some("crash me".to_owned()),
        ..serving()
    });
    let (harmless, poison) = tokio::join!(
        chat(&engine, "r1", "hello", 500),
        chat(&engine, "r2", "please crash me", 5)
    );
    assert_eq!((harmless, poison), (None, None));
    assert_eq!(engine.counters().poison_crashes, 1);
}

#[rstest]
#[case::wrong_request_id(
    EngineFaults { wrong_id_next: 1, ..EngineFaults::default() }, "\"r1\"", false
)]
#[case::switched_version(
    EngineFaults { switch_version_next: 1, ..EngineFaults::default() }, "\"swapped\"", true
)]
#[tokio::test]
async fn an_injected_fault_shows_in_the_next_answer(
    #[case] faults: EngineFaults,
    #[case] text: &str,
    #[case] is_contained: bool,
) {
    let (engine, _admin) = start(serving());
    engine.update_faults(|current| *current = faults);
    let (_, body) = chat(&engine, "r1", "hello", 5).await.unwrap();
    assert_eq!(body.contains(text), is_contained, "{body}");
}

#[tokio::test]
async fn an_answer_that_is_cut_breaks_its_connection() {
    let (engine, _admin) = start(serving());
    engine.update_faults(|faults| faults.cut_next = 1);
    assert_eq!(chat(&engine, "r1", "hello", 5).await, None);
}

#[tokio::test]
async fn a_repeated_prefix_is_found_in_the_cache() {
    let (engine, _admin) = start(serving());
    let prompt = "x".repeat(640);
    chat(&engine, "r1", &prompt, 1).await.unwrap();
    assert_eq!(engine.counters().blocks_hit, 0);
    chat(&engine, "r2", &format!("{prompt}tail"), 1)
        .await
        .unwrap();
    let counters = engine.counters();
    assert_eq!((counters.blocks, counters.blocks_hit), (21, 10));
}
