//! `routing`: measures time to the first token, goodput and prefix cache hits with a third of the
//! engines slow, for the adaptive policy and for simple policies.

use std::time::Duration;

use limpetloom::settings::RoutingPolicy;
use limpetloom_fakes::engine::EngineConfig;

use crate::Args;
use crate::report::{Report, Target};
use crate::traffic::{
    Bench, SLOW_FACTOR, configure_engine, count_in_time, engine_capacity, hit_share, site_builder,
};

/// Engines of the site.
const MODELS: usize = 9;
/// Entries of the site.
const ENTRIES: usize = 3;
/// Groups of requests whose prompts share a prefix.
const PROMPT_GROUPS: u64 = 32;
/// Duration of the load before the first measurement, which fills prefix caches and moving
/// averages.
const WARM_UP_DURATION: Duration = Duration::from_millis(1_500);
/// Duration of each measured load.
const LOAD_DURATION: Duration = Duration::from_millis(2_500);
/// Loads in percent of the engines' capacity.
const LOADS_PERCENT: [u32; 3] = [70, 90, 100];
/// Load at which policies are compared, in percent.
const COMPARED_LOAD_PERCENT: u32 = 90;

/// Policies by the name that the command line and the figures use.
const POLICIES: [(&str, RoutingPolicy); 4] = [
    ("adaptive", RoutingPolicy::Adaptive),
    ("random", RoutingPolicy::Random),
    ("round-robin", RoutingPolicy::RoundRobin),
    ("least-reported", RoutingPolicy::LeastReported),
];

/// Figures of one policy at the load at which policies are compared.
struct PolicyResult {
    p95_ms: f64,
    hit_share: f64,
}

/// Runs the measurement.
pub async fn run(args: &Args) -> Report {
    let mut report = Report::new("routing");
    report.record("routing.capacity", capacity(), "req/s", Target::None);
    if let Some(name) = &args.policy {
        let policy = POLICIES.iter().find(|(known, _)| known == name);
        let (name, policy) =
            policy.expect("--policy is adaptive, random, round-robin or least-reported");
        measure(
            &mut report,
            args.seed,
            name,
            *policy,
            ENTRIES,
            &LOADS_PERCENT,
        )
        .await;
        return report;
    }
    let [adaptive, random, round_robin, least_reported] = POLICIES;
    let adaptive_result = measure(
        &mut report,
        args.seed,
        adaptive.0,
        adaptive.1,
        ENTRIES,
        &LOADS_PERCENT,
    )
    .await;
    let single_result = measure(
        &mut report,
        args.seed,
        "single-entry",
        adaptive.1,
        1,
        &[COMPARED_LOAD_PERCENT],
    )
    .await;
    for (name, policy) in [random, least_reported] {
        measure(
            &mut report,
            args.seed,
            name,
            policy,
            ENTRIES,
            &[COMPARED_LOAD_PERCENT],
        )
        .await;
    }
    let round_robin_result = measure(
        &mut report,
        args.seed,
        round_robin.0,
        round_robin.1,
        ENTRIES,
        &[COMPARED_LOAD_PERCENT],
    )
    .await;
    report.record(
        "routing.p95_of_round_robin",
        adaptive_result.p95_ms / round_robin_result.p95_ms,
        "ratio",
        Target::AtMost(0.5),
    );
    report.record(
        "routing.hits_of_single_entry",
        adaptive_result.hit_share / single_result.hit_share,
        "ratio",
        Target::AtLeast(0.9),
    );
    report
}

/// Requests per second that all engines complete, a third of them slow.
fn capacity() -> f64 {
    let slow = MODELS / 3;
    let normal = MODELS - slow;
    normal as f64 * engine_capacity(1.0) + slow as f64 * engine_capacity(SLOW_FACTOR)
}

/// Measures one policy on a fresh site at each of the loads.
async fn measure(
    report: &mut Report,
    seed: u64,
    name: &str,
    policy: RoutingPolicy,
    entries: usize,
    loads: &[u32],
) -> PolicyResult {
    let configure_warm_engine = |_, cfg: &mut EngineConfig| {
        configure_engine(cfg);
        cfg.warm_up_requests = 0;
    };
    let builder = site_builder(MODELS, entries, seed, policy).engine(configure_warm_engine);
    let bench = Bench::start(builder).await;
    bench.slow_third();
    bench
        .load(0.6 * capacity(), WARM_UP_DURATION, PROMPT_GROUPS, seed)
        .await;
    let mut result = PolicyResult {
        p95_ms: f64::NAN,
        hit_share: f64::NAN,
    };
    for percent in loads {
        let blocks_before = bench.prompt_blocks();
        let rate = capacity() * f64::from(*percent) / 100.0;
        let tally = bench
            .load(
                rate,
                LOAD_DURATION,
                PROMPT_GROUPS,
                seed + u64::from(*percent),
            )
            .await;
        let hits = hit_share(blocks_before, bench.prompt_blocks());
        let mut record = |what: &str, value: f64, unit| {
            let name = format!("routing.{name}.{percent}.{what}");
            report.record(name, value, unit, Target::None);
        };
        for (what, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
            record(what, tally.first_token_ms(quantile), "ms");
        }
        let goodput = count_in_time(&tally) as f64 / LOAD_DURATION.as_secs_f64();
        record("goodput", goodput, "req/s");
        record("refused", tally.refusals() as f64, "count");
        record(
            "lost",
            (tally.lost.len() + tally.wrong.len()) as f64,
            "count",
        );
        record("prefix_hits", hits, "share");
        if *percent == COMPARED_LOAD_PERCENT {
            result = PolicyResult {
                p95_ms: tally.first_token_ms(0.95),
                hit_share: hits,
            };
        }
    }
    bench.site.stop().await;
    result
}
