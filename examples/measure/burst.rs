//! `burst`: ten times the capacity for 5 s, then normal load.

use std::time::{Duration, Instant};

use limpetloom::settings::RoutingPolicy;

use crate::Args;
use crate::report::{Report, Target};
use crate::traffic::{Bench, FIRST_TOKEN, engine_capacity, in_time, site};

/// Engines of the site.
const MODELS: usize = 3;
/// Entries of the site.
const ENTRIES: usize = 2;
/// Groups of requests that share the beginning of their prompts.
const GROUPS: u64 = 12;
/// Load before and after the burst, as a share of the capacity.
const NORMAL: f64 = 0.7;
/// Load of the burst, as a multiple of the capacity.
const BURST: f64 = 10.0;
const WARM_UP: Duration = Duration::from_secs(8);
const BURST_SPAN: Duration = Duration::from_secs(5);
/// Time after the burst within which service has to be normal again.
const RECOVERY: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_secs(4);
/// Interval at which the draw is looked at.
const POWER_SAMPLE: Duration = Duration::from_millis(20);
/// Share of the engines' greatest draw that the site may use.
const POWER_SHARE: f64 = 1.05;

/// Runs the measurement.
pub async fn run(args: &Args) -> Report {
    let capacity = MODELS as f64 * engine_capacity(1.0);
    let cap = power_cap();
    let builder = site(MODELS, ENTRIES, args.seed, RoutingPolicy::Adaptive)
        .targets(move |targets| targets.site_power = cap);
    let bench = Bench::start(builder).await;
    let calm = bench
        .load(NORMAL * capacity, WARM_UP, GROUPS, args.seed)
        .await;
    let taken_before = bench.taken();
    let (burst, peak_mw) = tokio::join!(
        bench.load(BURST * capacity, BURST_SPAN, GROUPS, args.seed + 1),
        peak_power(&bench, BURST_SPAN)
    );
    let taken = bench.taken() - taken_before;
    let recovering = bench
        .load(NORMAL * capacity, RECOVERY, GROUPS, args.seed + 2)
        .await;
    let after = bench
        .load(NORMAL * capacity, AFTER, GROUPS, args.seed + 3)
        .await;

    let mut report = Report::new("burst");
    let goodput = in_time(&burst) as f64 / BURST_SPAN.as_secs_f64() / capacity;
    let admitted_in_time = in_time(&burst) as f64 / burst.answered.max(1) as f64;
    let retries = taken.saturating_sub(burst.answered) as f64 / burst.answered.max(1) as f64;
    let lost = burst.lost.len() + burst.wrong.len() + recovering.lost.len() + after.lost.len();
    let refusal_ms = burst.refusal_us.value_at_quantile(0.99) as f64 / 1e3;
    report.figure("burst.capacity", capacity, "req/s", Target::None);
    report.figure(
        "burst.p95_before",
        calm.first_token_ms(0.95),
        "ms",
        Target::None,
    );
    report.figure("burst.goodput", goodput, "share", Target::AtLeast(0.95));
    report.figure(
        "burst.admitted_in_time",
        admitted_in_time,
        "share",
        Target::AtLeast(0.95),
    );
    report.figure("burst.refusal_p99", refusal_ms, "ms", Target::AtMost(50.0));
    report.figure("burst.retries", retries, "share", Target::AtMost(0.1));
    report.figure("burst.lost", lost as f64, "count", Target::Exactly(0.0));
    let overloads = bench.overloads() as f64;
    report.figure(
        "burst.cold_breaches",
        overloads,
        "count",
        Target::Exactly(0.0),
    );
    report.figure(
        "burst.power_of_cap",
        peak_mw as f64 / cap as f64,
        "share",
        Target::AtMost(1.0),
    );
    report.figure(
        "burst.refused_after",
        after.refusals() as f64,
        "count",
        Target::Exactly(0.0),
    );
    report.figure(
        "burst.p95_after",
        after.first_token_ms(0.95),
        "ms",
        Target::AtMost(FIRST_TOKEN.as_millis() as f64),
    );
    bench.site.stop().await;
    report
}

/// Cap in milliwatts that the engines' full batches just fit under.
fn power_cap() -> u64 {
    let mut cfg = limpetloom_fakes::engine::EngineConfig::default();
    crate::traffic::engine(&mut cfg);
    let tokens = engine_capacity(1.0) * crate::traffic::TOKENS as f64;
    let full = cfg.idle_mw as f64 + tokens * cfg.token_mj as f64;
    (full * MODELS as f64 * POWER_SHARE) as u64
}

/// Greatest draw of all engines together, in milliwatts.
async fn peak_power(bench: &Bench, span: Duration) -> u64 {
    let start = Instant::now();
    let mut peak = 0;
    while start.elapsed() < span {
        let draw = bench.site.models.iter().map(|seat| seat.engine.power_mw());
        peak = peak.max(draw.sum());
        tokio::time::sleep(POWER_SAMPLE).await;
    }
    peak
}
