//! `burst`: measures goodput, refusals and power during 5 s of load at ten times the capacity, and
//! the recovery at normal load.

use std::time::{Duration, Instant};

use limpetloom::settings::RoutingPolicy;

use crate::Args;
use crate::report::{Report, Target};
use crate::traffic::{Bench, FIRST_TOKEN_TARGET, count_in_time, engine_capacity, site_builder};

/// Number of engines of the site.
const MODELS: usize = 3;
/// Number of entries of the site.
const ENTRIES: usize = 2;
/// Number of groups of requests; the prompts of a group share a prefix.
const PROMPT_GROUPS: u64 = 12;
/// Load before and after the burst, as a share of the engines' capacity.
const NORMAL_LOAD: f64 = 0.7;
/// Load of the burst, as a multiple of the engines' capacity.
const BURST_LOAD: f64 = 10.0;
/// Duration of the normal load before the burst, in which the engines warm up.
const WARM_UP_DURATION: Duration = Duration::from_secs(8);
/// Duration of the burst.
const BURST_DURATION: Duration = Duration::from_secs(5);
/// Time after the burst that the site has to recover. Refusals and latencies in it are not checked,
/// lost answers are.
const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Duration of the load after the recovery, in which no request may be refused.
const AFTER_DURATION: Duration = Duration::from_secs(4);
/// Interval at which the power draw is sampled.
const POWER_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Power cap of the site, as a multiple of the engines' draw with full batches.
const POWER_CAP_SHARE: f64 = 1.05;

/// Runs the measurement.
pub async fn run(args: &Args) -> Report {
    let capacity = MODELS as f64 * engine_capacity(1.0);
    let cap = power_cap();
    let builder = site_builder(MODELS, ENTRIES, args.seed, RoutingPolicy::Adaptive)
        .targets(move |targets| targets.site_power = cap);
    let bench = Bench::start(builder).await;
    let before = bench
        .load(
            NORMAL_LOAD * capacity,
            WARM_UP_DURATION,
            PROMPT_GROUPS,
            args.seed,
        )
        .await;
    let requests_before = bench.engine_requests();
    let (burst, peak_mw) = tokio::join!(
        bench.load(
            BURST_LOAD * capacity,
            BURST_DURATION,
            PROMPT_GROUPS,
            args.seed + 1
        ),
        peak_power(&bench, BURST_DURATION)
    );
    let requests = bench.engine_requests() - requests_before;
    let recovering = bench
        .load(
            NORMAL_LOAD * capacity,
            RECOVERY_TIME,
            PROMPT_GROUPS,
            args.seed + 2,
        )
        .await;
    let after = bench
        .load(
            NORMAL_LOAD * capacity,
            AFTER_DURATION,
            PROMPT_GROUPS,
            args.seed + 3,
        )
        .await;

    let mut report = Report::new("burst");
    let goodput = count_in_time(&burst) as f64 / BURST_DURATION.as_secs_f64() / capacity;
    let admitted_in_time = count_in_time(&burst) as f64 / burst.answered.max(1) as f64;
    let retries = requests.saturating_sub(burst.answered) as f64 / burst.answered.max(1) as f64;
    let lost = burst.lost.len() + burst.wrong.len() + recovering.lost.len() + after.lost.len();
    let refusal_ms = burst.refusal_us.value_at_quantile(0.99) as f64 / 1e3;
    report.record("burst.capacity", capacity, "req/s", Target::None);
    report.record(
        "burst.p95_before",
        before.first_token_ms(0.95),
        "ms",
        Target::None,
    );
    report.record("burst.goodput", goodput, "share", Target::AtLeast(0.95));
    report.record(
        "burst.admitted_in_time",
        admitted_in_time,
        "share",
        Target::AtLeast(0.95),
    );
    report.record("burst.refusal_p99", refusal_ms, "ms", Target::AtMost(50.0));
    report.record("burst.retries", retries, "share", Target::AtMost(0.1));
    report.record("burst.lost", lost as f64, "count", Target::Exactly(0.0));
    let cold_overloads = bench.cold_overloads() as f64;
    report.record(
        "burst.cold_breaches",
        cold_overloads,
        "count",
        Target::Exactly(0.0),
    );
    report.record(
        "burst.power_of_cap",
        peak_mw as f64 / cap as f64,
        "share",
        Target::AtMost(1.0),
    );
    report.record(
        "burst.refused_after",
        after.refusals() as f64,
        "count",
        Target::Exactly(0.0),
    );
    report.record(
        "burst.p95_after",
        after.first_token_ms(0.95),
        "ms",
        Target::AtMost(FIRST_TOKEN_TARGET.as_millis() as f64),
    );
    bench.site.stop().await;
    report
}

/// Power cap in milliwatts, a little above the draw of all engines with full batches.
fn power_cap() -> u64 {
    let mut cfg = limpetloom_fakes::engine::EngineConfig::default();
    crate::traffic::configure_engine(&mut cfg);
    let tokens = engine_capacity(1.0) * crate::traffic::TOKENS as f64;
    let full = cfg.idle_mw as f64 + tokens * cfg.token_mj as f64;
    (full * MODELS as f64 * POWER_CAP_SHARE) as u64
}

/// Highest sampled power draw of all engines together, in milliwatts.
async fn peak_power(bench: &Bench, duration: Duration) -> u64 {
    let start = Instant::now();
    let mut peak = 0;
    while start.elapsed() < duration {
        let power = bench
            .site
            .models
            .iter()
            .map(|model| model.engine.power_mw());
        peak = peak.max(power.sum());
        tokio::time::sleep(POWER_SAMPLE_INTERVAL).await;
    }
    peak
}
