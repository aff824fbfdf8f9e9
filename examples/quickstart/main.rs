//! A complete site in one process: `cargo run --release --example quickstart`.
//!
//! Starts fakes of the platform, two entries and nine endpoints in three availability zones. Rolls
//! out two versions, takes a zone out of service and brings it back, and meanwhile sends chat
//! requests and a booking. Exits with 0 only if no request was lost, no answer was wrong, mixed two
//! versions or was computed with corrupt weights, and the booking took effect exactly once.

#![allow(clippy::print_stdout)]

#[path = "../common/mod.rs"]
mod common;
mod progress;
mod summary;

use std::error::Error;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{
    Balancer, Caller, Chat, Load, LoadRequest, Outcome, ServiceCall, Site, Tally, run_load,
};
use progress::Progress;
use summary::Summary;

/// Number of model endpoints.
const MODELS: usize = 8;
/// Size of the weights of a version.
const WEIGHT_BYTES: u64 = 32 << 20;
/// Size of a chunk of the weights.
const CHUNK_BYTES: u32 = 512 << 10;
/// Bandwidth of the origin's link.
const ORIGIN_BYTES_PER_S: u64 = 24 << 20;
/// Mean number of chat requests per second.
const REQUESTS_PER_S: f64 = 40.0;
/// Time during which chat requests are sent, starting after the first answer.
const LOAD_DURATION: Duration = Duration::from_secs(22);
/// Timeout for the first answer, and for each version to be active on every engine.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time during which requests to the zone out of service are counted.
const ZONE_OUT_TIME: Duration = Duration::from_secs(3);
/// Time to wait until all entries and agents have applied new targets.
const TARGETS_APPLY_TIME: Duration = Duration::from_secs(3);
/// Zone that is taken out of service and brought back.
const ZONE: &str = "kozhikode-a";
/// Idempotency key of the booking.
const BOOKING_KEY: &str = "wheel-7-saturday";

type BoxError = Box<dyn Error + Send + Sync>;

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(summary) => summary.finish(),
        Err(e) => {
            println!("failed: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<Summary, BoxError> {
    let start = Instant::now();
    println!("starting 3 zones, 2 entries, {MODELS} model endpoints, 1 booking endpoint");
    let site = Site::builder()
        .zones(3)
        .entries(2)
        .models(MODELS)
        .services(1)
        .weights(WEIGHT_BYTES, CHUNK_BYTES)
        .origin_link(ORIGIN_BYTES_PER_S)
        .start()
        .await?;
    let balancer = Arc::new(site.balancer());
    let caller = Caller::new();
    let mut progress = Progress::new(&site, "v1", site.wanted_version().unwrap_or_default());

    wait_for_first_answer(&mut progress, &caller, &balancer).await?;
    let load = tokio::spawn(send_load(caller.clone(), Arc::clone(&balancer)));
    let first_ready = progress.wait_until_ready(READY_TIMEOUT).await?;
    let booking = send_booking_twice(&caller, &balancer).await;

    take_zone_out_and_back(&site).await?;
    let copies_before = copies_sent(&site);
    let second = site.publish("v2");
    println!("rolling out v2");
    site.push_version("v2", &second)?;
    let second_ready = Progress::new(&site, "v2", second)
        .wait_until_ready(READY_TIMEOUT)
        .await?;

    let tally = load.await?;
    let summary = Summary {
        ready_after: [first_ready, second_ready],
        weight_copies: [copies_before, copies_sent(&site) - copies_before],
        tally,
        booking,
        booking_runs: site.runs(BOOKING_KEY),
        duplicated_keys: site.duplicated_keys(),
        mixed_version_requests: site
            .models
            .iter()
            .map(|m| m.engine.counters().mixed_version_requests)
            .sum(),
        corrupt_weight_requests: site
            .models
            .iter()
            .map(|m| m.engine.counters().corrupt_weight_requests)
            .sum(),
        elapsed: start.elapsed(),
    };
    site.stop().await;
    Ok(summary)
}

/// Sends requests until one is answered.
async fn wait_for_first_answer(
    progress: &mut Progress<'_>,
    caller: &Caller,
    balancer: &Balancer,
) -> Result<(), BoxError> {
    let start = Instant::now();
    while start.elapsed() < READY_TIMEOUT {
        progress.print_changes();
        if let Some(addr) = balancer.pick() {
            let outcome = caller.chat(addr, &Chat::new("is anybody there?")).await;
            if outcome.answer().is_some() {
                println!("first answer after {:.1} s", start.elapsed().as_secs_f64());
                return Ok(());
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err("no endpoint answered before the timeout".into())
}

async fn send_load(caller: Caller, balancer: Arc<Balancer>) -> Tally {
    let load = Load {
        rate: REQUESTS_PER_S,
        duration: LOAD_DURATION,
        make_request: Box::new(|number| LoadRequest::Chat(chat_request(number))),
        seed: 1,
    };
    run_load(load, &caller, &balancer).await
}

fn chat_request(number: u64) -> Chat {
    Chat {
        customer: format!("customer-{}", 1 + number % 10),
        ..Chat::new(format!("question {number} on glazes"))
    }
}

/// Sends a booking and then repeats it, as a caller does that did not get the answer.
async fn send_booking_twice(caller: &Caller, balancer: &Balancer) -> [Outcome; 2] {
    let call = ServiceCall::booking(BOOKING_KEY);
    let mut outcomes = Vec::new();
    for _ in 0..2 {
        let outcome = match balancer.pick() {
            Some(addr) => caller.call(addr, &call).await,
            None => Outcome::Lost("no entry is ready".to_owned()),
        };
        outcomes.push(outcome);
    }
    let [first, again] = outcomes.try_into().expect("two calls were made");
    let is_same = match (first.answer(), again.answer()) {
        (Some(first), Some(again)) => first.run_count == again.run_count,
        _ => false,
    };
    println!("booking sent twice, both answers from the same run: {is_same}");
    [first, again]
}

async fn take_zone_out_and_back(site: &Site) -> Result<(), BoxError> {
    site.zone_out(ZONE)?;
    tokio::time::sleep(TARGETS_APPLY_TIME).await;
    let before = zone_requests(site);
    tokio::time::sleep(ZONE_OUT_TIME).await;
    println!(
        "zone {ZONE} out of service: {} new requests in {ZONE_OUT_TIME:?}",
        zone_requests(site) - before
    );
    site.zone_in(ZONE)?;
    println!("zone {ZONE} back in service");
    Ok(())
}

/// Returns the number of requests that the engines of [`ZONE`] have received.
fn zone_requests(site: &Site) -> u64 {
    site.models
        .iter()
        .filter(|model| &*model.settings.process.zone == ZONE)
        .map(|model| model.engine.counters().requests)
        .sum()
}

/// Returns how many copies of a version the origin and the weight store have sent.
fn copies_sent(site: &Site) -> f64 {
    let bytes = site.origin.counters().bytes + site.store.counters().bytes;
    bytes as f64 / site.weight_bytes() as f64
}
