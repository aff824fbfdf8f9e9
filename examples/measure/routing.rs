//! `routing`: time to the first token and goodput with a third of the engines slow, beside simple
//! policies.

use std::time::Duration;

use limpetloom::settings::RoutingPolicy;
use limpetloom_fakes::engine::EngineConfig;

use crate::Args;
use crate::report::{Report, Target};
use crate::traffic::{Bench, SLOW_FACTOR, engine, engine_capacity, hit_share, in_time, site};

/// Engines of the site.
const MODELS: usize = 9;
/// Entries of the site.
const ENTRIES: usize = 3;
/// Groups of requests that share the beginning of their prompts.
const GROUPS: u64 = 32;
/// Time for which engines warm up and averages form.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Time of one load.
const SPAN: Duration = Duration::from_millis(2_500);
/// Loads in percent of the capacity.
const LOADS: [u32; 3] = [70, 90, 100];
/// Load at which policies are compared, in percent.
const COMPARED: u32 = 90;

const POLICIES: [(&str, RoutingPolicy); 4] = [
    ("adaptive", RoutingPolicy::Adaptive),
    ("random", RoutingPolicy::Random),
    ("round-robin", RoutingPolicy::RoundRobin),
    ("least-reported", RoutingPolicy::LeastReported),
];

/// What one policy gave at the load of the comparison.
struct Compared {
    p95_ms: f64,
    hit_share: f64,
}

/// Runs the measurement.
pub async fn run(args: &Args) -> Report {
    let mut report = Report::new("routing");
    report.figure("routing.capacity", capacity(), "req/s", Target::None);
    if let Some(name) = &args.policy {
        let policy = POLICIES.iter().find(|(known, _)| known == name);
        let (name, policy) = policy.expect("a policy of the list");
        measure(&mut report, args.seed, name, *policy, ENTRIES, &LOADS).await;
        return report;
    }
    let [own, random, turns, reported] = POLICIES;
    let ours = measure(&mut report, args.seed, own.0, own.1, ENTRIES, &LOADS).await;
    let single = measure(
        &mut report,
        args.seed,
        "single-entry",
        own.1,
        1,
        &[COMPARED],
    )
    .await;
    for (name, policy) in [random, reported] {
        measure(&mut report, args.seed, name, policy, ENTRIES, &[COMPARED]).await;
    }
    let base = measure(
        &mut report,
        args.seed,
        turns.0,
        turns.1,
        ENTRIES,
        &[COMPARED],
    )
    .await;
    report.figure(
        "routing.p95_of_round_robin",
        ours.p95_ms / base.p95_ms,
        "ratio",
        Target::AtMost(0.5),
    );
    report.figure(
        "routing.hits_of_single_entry",
        ours.hit_share / single.hit_share,
        "ratio",
        Target::AtLeast(0.9),
    );
    report
}

fn capacity() -> f64 {
    let slow = MODELS / 3;
    let quick = MODELS - slow;
    quick as f64 * engine_capacity(1.0) + slow as f64 * engine_capacity(SLOW_FACTOR)
}

async fn measure(
    report: &mut Report,
    seed: u64,
    name: &str,
    policy: RoutingPolicy,
    entries: usize,
    loads: &[u32],
) -> Compared {
    let warm = |_, cfg: &mut EngineConfig| {
        engine(cfg);
        cfg.warm_up_requests = 0;
    };
    let builder = site(MODELS, entries, seed, policy).engine(warm);
    let bench = Bench::start(builder).await;
    bench.slow_third();
    bench.load(0.6 * capacity(), WARM_UP, GROUPS, seed).await;
    let mut compared = Compared {
        p95_ms: f64::NAN,
        hit_share: f64::NAN,
    };
    for percent in loads {
        let before = bench.blocks();
        let rate = capacity() * f64::from(*percent) / 100.0;
        let tally = bench
            .load(rate, SPAN, GROUPS, seed + u64::from(*percent))
            .await;
        let hits = hit_share(before, bench.blocks());
        let mut figure = |what: &str, value: f64, unit| {
            let name = format!("routing.{name}.{percent}.{what}");
            report.figure(name, value, unit, Target::None);
        };
        for (what, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
            figure(what, tally.first_token_ms(quantile), "ms");
        }
        let goodput = in_time(&tally) as f64 / SPAN.as_secs_f64();
        figure("goodput", goodput, "req/s");
        figure("refused", tally.refusals() as f64, "count");
        figure(
            "lost",
            (tally.lost.len() + tally.wrong.len()) as f64,
            "count",
        );
        figure("prefix_hits", hits, "share");
        if *percent == COMPARED {
            compared = Compared {
                p95_ms: tally.first_token_ms(0.95),
                hit_share: hits,
            };
        }
    }
    bench.site.stop().await;
    compared
}
