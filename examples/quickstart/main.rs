//! The whole path in one process: `cargo run --release --example quickstart`.
//!
//! Starts stand-ins, two entries and nine endpoints in three availability zones, pushes two
//! versions, takes a zone out and back, and serves requests and a booking meanwhile. Exits with 0
//! only when nothing was lost, mixed or doubled.

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

/// Model endpoints.
const MODELS: usize = 8;
/// Size of a version.
const WEIGHT_BYTES: u64 = 32 << 20;
/// Size of a chunk.
const CHUNK_BYTES: u32 = 512 << 10;
/// Rate of the origin's link.
const ORIGIN_BYTES_PER_S: u64 = 24 << 20;
/// Requests a second while versions and zones change.
const RATE: f64 = 40.0;
/// Time for which the load goes on after the first answer.
const LOAD_TIME: Duration = Duration::from_secs(22);
/// Limit for the first answer and for each version to be ready everywhere.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time for which the zone stays out.
const ZONE_OUT_TIME: Duration = Duration::from_secs(3);
/// Time that new targets take to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(3);
/// Zone that is taken out and back.
const ZONE: &str = "kozhikode-a";
/// Idempotency key of the booking.
const BOOKING: &str = "wheel-7-saturday";

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

    first_answer(&mut progress, &caller, &balancer).await?;
    let load = tokio::spawn(load(caller.clone(), Arc::clone(&balancer)));
    let first_ready = progress.wait(READY_LIMIT).await?;
    let booking = book(&caller, &balancer).await;

    zone_out_and_back(&site).await?;
    let copies_before = copies(&site);
    let second = site.publish("v2");
    println!("pushing v2");
    site.push_version("v2", &second)?;
    let second_ready = Progress::new(&site, "v2", second).wait(READY_LIMIT).await?;

    let tally = load.await?;
    let summary = Summary {
        ready: [first_ready, second_ready],
        copies: [copies_before, copies(&site) - copies_before],
        tally,
        booking,
        booking_runs: site.runs(BOOKING),
        doubled: site.duplicated_keys(),
        mixed: site
            .models
            .iter()
            .map(|m| m.engine.counters().mixed_version_requests)
            .sum(),
        bad_weights: site
            .models
            .iter()
            .map(|m| m.engine.counters().corrupt_weight_requests)
            .sum(),
        took: start.elapsed(),
    };
    site.stop().await;
    Ok(summary)
}

/// Waits until the first replica answers.
async fn first_answer(
    progress: &mut Progress<'_>,
    caller: &Caller,
    balancer: &Balancer,
) -> Result<(), BoxError> {
    let start = Instant::now();
    while start.elapsed() < READY_LIMIT {
        progress.show();
        if let Some(addr) = balancer.pick() {
            let outcome = caller.chat(addr, &Chat::new("is anybody there?")).await;
            if outcome.answer().is_some() {
                println!("first answer after {:.1} s", start.elapsed().as_secs_f64());
                return Ok(());
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err("no replica answers".into())
}

async fn load(caller: Caller, balancer: Arc<Balancer>) -> Tally {
    let load = Load {
        rate: RATE,
        duration: LOAD_TIME,
        make_request: Box::new(|number| LoadRequest::Chat(question(number))),
        seed: 1,
    };
    run_load(load, &caller, &balancer).await
}

fn question(number: u64) -> Chat {
    Chat {
        customer: format!("customer-{}", 1 + number % 10),
        ..Chat::new(format!("question {number} on glazes"))
    }
}

/// Books a seat, and sends the same booking again as a caller in doubt would.
async fn book(caller: &Caller, balancer: &Balancer) -> [Outcome; 2] {
    let call = ServiceCall::booking(BOOKING);
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
    println!("booking sent twice, same answer: {is_same}");
    [first, again]
}

async fn zone_out_and_back(site: &Site) -> Result<(), BoxError> {
    site.zone_out(ZONE)?;
    tokio::time::sleep(IN_FORCE).await;
    let before = zone_requests(site);
    tokio::time::sleep(ZONE_OUT_TIME).await;
    println!(
        "zone {ZONE} out: {} new requests in {ZONE_OUT_TIME:?}",
        zone_requests(site) - before
    );
    site.zone_in(ZONE)?;
    println!("zone {ZONE} back");
    Ok(())
}

/// Requests that the engines of the zone have taken.
fn zone_requests(site: &Site) -> u64 {
    site.models
        .iter()
        .filter(|seat| &*seat.settings.process.zone == ZONE)
        .map(|seat| seat.engine.counters().requests)
        .sum()
}

/// Copies of a version that origin and weight store have sent.
fn copies(site: &Site) -> f64 {
    let bytes = site.origin.counters().bytes + site.store.counters().bytes;
    bytes as f64 / site.weight_bytes() as f64
}
