//! Service while a new version is pushed, at 70% of the engines' capacity.

use std::error::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Args;
use crate::common::{Balancer, Caller, Chat, Load, LoadRequest, Site, Tally, run_load};
use crate::report::{Report, Target};

type BoxError = Box<dyn Error + Send + Sync>;

/// Model endpoints when none are given.
const MODELS: usize = 8;
/// Requests that a warm engine runs at once.
const FULL_BOUND: u32 = 8;
/// Tokens of an answer.
const TOKENS: u32 = 16;
/// Share of the capacity that is asked for.
const SHARE: f64 = 0.7;
/// Size of a version.
const WEIGHT_BYTES: u64 = 16 << 20;
/// Size of a chunk.
const CHUNK_BYTES: u32 = 128 << 10;
/// Time of the run without a push, and shortest time of the run with one.
const PHASE: Duration = Duration::from_secs(10);
/// Time within which the first version has to be ready.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Window in which a serving replica completes at least one request.
const WINDOW: Duration = Duration::from_millis(500);
/// Time between two samples of the push.
const POLL: Duration = Duration::from_millis(50);

/// Measures service during a push.
pub async fn run(args: &Args) -> Report {
    let mut report = Report::new("push");
    if let Err(e) = measure(args, &mut report).await {
        eprintln!("failed: {e}");
        report.figure("completed", 0.0, "runs", Target::Exactly(1.0));
    }
    report
}

async fn measure(args: &Args, report: &mut Report) -> Result<(), BoxError> {
    let models = args.hosts.unwrap_or(MODELS);
    let site = site(models, args.seed).await?;
    let balancer = Arc::new(site.balancer());
    tokio::time::sleep(Duration::from_secs(1)).await;
    eprintln!("warming up");
    let rate = capacity(models) * SHARE;
    load(rate / 2.0, PHASE / 2, &balancer).await;
    eprintln!("without a push");
    let without = load(rate, PHASE, &balancer).await;
    eprintln!("with a push");
    let digest = site.publish("v2");
    let running = tokio::spawn({
        let balancer = balancer.clone();
        async move { load(rate, PHASE + PHASE / 2, &balancer).await }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.push_version("v2", &digest)?;
    let (ready_after, serving) = watch(&site, &digest, models).await;
    let with = running.await?;
    figures(report, models, &without, &with, ready_after, serving);
    let bad: u64 = site
        .models
        .iter()
        .map(|m| m.engine.counters().corrupt_weight_requests)
        .sum();
    report.figure("bad_weights", bad as f64, "loads", Target::Exactly(0.0));
    site.stop().await;
    Ok(())
}

async fn site(models: usize, seed: u64) -> Result<Site, BoxError> {
    let site = Site::builder()
        .zones(3)
        .entries(2)
        .models(models)
        .seed(seed)
        .preloaded()
        .weights(WEIGHT_BYTES, CHUNK_BYTES)
        .engine(|_, cfg| {
            cfg.cold_limit = 2;
            cfg.warm_limit = FULL_BOUND;
            cfg.token_interval = token_time();
            cfg.token_interval_per_request = Duration::ZERO;
        })
        .start()
        .await?;
    site.wait_ready(START_LIMIT).await?;
    Ok(site)
}

fn token_time() -> Duration {
    Duration::from_millis(12)
}

/// Requests a second that warm engines complete.
fn capacity(models: usize) -> f64 {
    let answer = token_time() * TOKENS;
    models as f64 * f64::from(FULL_BOUND) / answer.as_secs_f64()
}

async fn load(rate: f64, duration: Duration, balancer: &Arc<Balancer>) -> Tally {
    let load = Load {
        rate,
        duration,
        make_request: Box::new(|number| {
            LoadRequest::Chat(Chat {
                customer: format!("customer-{}", 1 + number % 10),
                tokens: u64::from(TOKENS),
                ..Chat::new(format!("question {number} on glazes"))
            })
        }),
        seed: 1,
    };
    run_load(load, &Caller::new(), balancer).await
}

/// Follows the push; returns the time until it is ready everywhere, if it is, and the fewest
/// engines that completed work within a window.
async fn watch(site: &Site, digest: &str, models: usize) -> (Option<Duration>, usize) {
    let start = Instant::now();
    let mut ready_after = None;
    let mut fewest = models;
    let mut completed = completions(site);
    let mut window = Instant::now();
    while start.elapsed() < PHASE + Duration::from_secs(3) {
        tokio::time::sleep(POLL).await;
        if window.elapsed() >= WINDOW {
            let now = completions(site);
            let serving = now.iter().zip(&completed).filter(|(now, old)| now > old);
            fewest = fewest.min(serving.count());
            completed = now;
            window = Instant::now();
            eprintln!("{} of {models} on the new version", site.replicas(digest));
        }
        if ready_after.is_none() && site.replicas(digest) == models {
            ready_after = Some(start.elapsed());
        }
    }
    (ready_after, fewest)
}

fn completions(site: &Site) -> Vec<u64> {
    let counters = site.models.iter().map(|seat| seat.engine.counters());
    counters.map(|counters| counters.completed).collect()
}

fn figures(
    report: &mut Report,
    models: usize,
    without: &Tally,
    with: &Tally,
    ready_after: Option<Duration>,
    serving: usize,
) {
    const P95: f64 = 0.95;
    let ready = ready_after.map_or(f64::INFINITY, |after| after.as_secs_f64());
    let needed = (models as f64 * SHARE).ceil();
    let ratio = with.first_token_ms(P95) / without.first_token_ms(P95);
    let mixed = (without.wrong.len() + with.wrong.len()) as f64;
    let refused = with.refusals() as f64 / with.sent.max(1) as f64;
    report.figure(
        "ready_everywhere_after",
        ready,
        "s",
        Target::AtMost(PHASE.as_secs_f64()),
    );
    report.figure(
        "p95_first_token_without",
        without.first_token_ms(P95),
        "ms",
        Target::None,
    );
    report.figure(
        "p95_first_token_with",
        with.first_token_ms(P95),
        "ms",
        Target::None,
    );
    report.figure("p95_with_over_without", ratio, "ratio", Target::AtMost(1.2));
    report.figure("mixed_answers", mixed, "answers", Target::Exactly(0.0));
    report.figure(
        "lost_answers",
        with.lost.len() as f64,
        "answers",
        Target::Exactly(0.0),
    );
    report.figure("refused_share", refused, "ratio", Target::None);
    report.figure(
        "fewest_serving",
        serving as f64,
        "engines",
        Target::AtLeast(needed),
    );
}
