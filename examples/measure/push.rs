//! Measures latency, lost answers and serving engines while a new version is pushed, at 70% of the
//! engines' capacity.

use std::error::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Args;
use crate::common::{Balancer, Caller, Chat, Load, LoadRequest, Site, Tally, run_load};
use crate::report::{Report, Target};

type BoxError = Box<dyn Error + Send + Sync>;

/// Model endpoints if the command line gives no number.
const MODELS: usize = 8;
/// Requests that a warm engine runs at once.
const WARM_LIMIT: u32 = 8;
/// Tokens in an answer.
const TOKENS: u32 = 16;
/// Load as a share of the engines' capacity.
const LOAD_SHARE: f64 = 0.7;
/// Size of a version, in bytes.
const WEIGHT_BYTES: u64 = 16 << 20;
/// Size of a chunk, in bytes.
const CHUNK_BYTES: u32 = 128 << 10;
/// Duration of the load without a push, and time within which the push has to be ready everywhere.
/// The load with a push takes half as long again.
const PHASE_DURATION: Duration = Duration::from_secs(10);
/// Time within which the site has to be ready.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Window in which an engine that serves completes at least one request.
const SERVING_WINDOW: Duration = Duration::from_millis(500);
/// Interval at which the state of the push is read.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the measurement.
pub async fn run(args: &Args) -> Report {
    let mut report = Report::new("push");
    if let Err(e) = measure(args, &mut report).await {
        eprintln!("push failed: {e}");
        report.record("completed", 0.0, "runs", Target::Exactly(1.0));
    }
    report
}

async fn measure(args: &Args, report: &mut Report) -> Result<(), BoxError> {
    let models = args.hosts.unwrap_or(MODELS);
    let site = start_site(models, args.seed).await?;
    let balancer = Arc::new(site.balancer());
    tokio::time::sleep(Duration::from_secs(1)).await;
    eprintln!("warming up");
    let rate = capacity(models) * LOAD_SHARE;
    run_phase(rate / 2.0, PHASE_DURATION / 2, &balancer).await;
    eprintln!("without a push");
    let without = run_phase(rate, PHASE_DURATION, &balancer).await;
    eprintln!("with a push");
    let digest = site.publish("v2");
    let load_task = tokio::spawn({
        let balancer = balancer.clone();
        async move { run_phase(rate, PHASE_DURATION + PHASE_DURATION / 2, &balancer).await }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.push_version("v2", &digest)?;
    let (ready_after, fewest_serving) = observe_push(&site, &digest, models).await;
    let with = load_task.await?;
    record_figures(report, models, &without, &with, ready_after, fewest_serving);
    let corrupt: u64 = site
        .models
        .iter()
        .map(|model| model.engine.counters().corrupt_weight_requests)
        .sum();
    report.record("bad_weights", corrupt as f64, "loads", Target::Exactly(0.0));
    site.stop().await;
    Ok(())
}

async fn start_site(models: usize, seed: u64) -> Result<Site, BoxError> {
    let site = Site::builder()
        .zones(3)
        .entries(2)
        .models(models)
        .seed(seed)
        .preloaded()
        .weights(WEIGHT_BYTES, CHUNK_BYTES)
        .engine(|_, cfg| {
            cfg.cold_limit = 2;
            cfg.warm_limit = WARM_LIMIT;
            cfg.token_interval = token_interval();
            cfg.token_interval_per_request = Duration::ZERO;
        })
        .start()
        .await?;
    site.wait_ready(START_LIMIT).await?;
    Ok(site)
}

fn token_interval() -> Duration {
    Duration::from_millis(12)
}

/// Requests per second that all engines complete when they are warm.
fn capacity(models: usize) -> f64 {
    let answer = token_interval() * TOKENS;
    models as f64 * f64::from(WARM_LIMIT) / answer.as_secs_f64()
}

async fn run_phase(rate: f64, duration: Duration, balancer: &Arc<Balancer>) -> Tally {
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

/// Observes the push; returns the time until the version is active on every engine, `None` if that
/// does not happen, and the smallest number of engines that completed a request within a window.
async fn observe_push(site: &Site, digest: &str, models: usize) -> (Option<Duration>, usize) {
    let start = Instant::now();
    let mut ready_after = None;
    let mut fewest = models;
    let mut completed = completed_requests(site);
    let mut window_start = Instant::now();
    while start.elapsed() < PHASE_DURATION + Duration::from_secs(3) {
        tokio::time::sleep(POLL_INTERVAL).await;
        if window_start.elapsed() >= SERVING_WINDOW {
            let now = completed_requests(site);
            let serving = now.iter().zip(&completed).filter(|(now, old)| now > old);
            fewest = fewest.min(serving.count());
            completed = now;
            window_start = Instant::now();
            eprintln!("{} of {models} on the new version", site.replicas(digest));
        }
        if ready_after.is_none() && site.replicas(digest) == models {
            ready_after = Some(start.elapsed());
        }
    }
    (ready_after, fewest)
}

/// Number of requests that each engine has completed so far.
fn completed_requests(site: &Site) -> Vec<u64> {
    let counters = site.models.iter().map(|model| model.engine.counters());
    counters.map(|counters| counters.completed).collect()
}

fn record_figures(
    report: &mut Report,
    models: usize,
    without: &Tally,
    with: &Tally,
    ready_after: Option<Duration>,
    fewest_serving: usize,
) {
    const P95: f64 = 0.95;
    let ready = ready_after.map_or(f64::INFINITY, |after| after.as_secs_f64());
    let needed = (models as f64 * LOAD_SHARE).ceil();
    let ratio = with.first_token_ms(P95) / without.first_token_ms(P95);
    let wrong = (without.wrong.len() + with.wrong.len()) as f64;
    let refused = with.refusals() as f64 / with.sent.max(1) as f64;
    report.record(
        "ready_everywhere_after",
        ready,
        "s",
        Target::AtMost(PHASE_DURATION.as_secs_f64()),
    );
    report.record(
        "p95_first_token_without",
        without.first_token_ms(P95),
        "ms",
        Target::None,
    );
    report.record(
        "p95_first_token_with",
        with.first_token_ms(P95),
        "ms",
        Target::None,
    );
    report.record("p95_with_over_without", ratio, "ratio", Target::AtMost(1.2));
    report.record("mixed_answers", wrong, "answers", Target::Exactly(0.0));
    report.record(
        "lost_answers",
        with.lost.len() as f64,
        "answers",
        Target::Exactly(0.0),
    );
    report.record("refused_share", refused, "ratio", Target::None);
    report.record(
        "fewest_serving",
        fewest_serving as f64,
        "engines",
        Target::AtLeast(needed),
    );
}
