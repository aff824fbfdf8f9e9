//! Simulates load patterns on the dispatcher with a model of engines, within seconds and without
//! sockets: `cargo run --release --example patterns -- [--load NAME] [--seed N] [--plot FILE.svg]`.
//!
//! Each pattern is simulated with all mitigations and without the one for this pattern.

#![allow(clippy::print_stdout)]

mod plot;
mod sim;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use limpetloom::dispatch::Mitigations;

use sim::{Pattern, Summary, Workload, simulate};

/// Simulate load patterns on the dispatcher with a model of engines.
#[derive(Clone, Debug, FromArgs)]
struct Args {
    /// load pattern to simulate: burst, hot-key, retry-abuse, departures, zone-loss, cold-return,
    /// push; default: all
    #[argh(option)]
    load: Option<String>,
    /// seed of all random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// SVG file for a plot of the answers on time by second
    #[argh(option)]
    plot: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let wanted = |pattern: &Pattern| {
        args.load
            .as_deref()
            .is_none_or(|name| name == pattern.name())
    };
    let patterns: Vec<Pattern> = Pattern::ALL.into_iter().filter(wanted).collect();
    if patterns.is_empty() {
        eprintln!(
            "load pattern {:?} does not exist",
            args.load.unwrap_or_default()
        );
        return ExitCode::FAILURE;
    }
    println!(
        "{:<12} {:<8} {:>6} {:>8} {:>6} {:>8} {:>6} {:>7} {:>7} {:>11} {:>6}",
        "load",
        "answered",
        "owed",
        "on time",
        "late",
        "refused",
        "lost",
        "twice",
        "worth",
        "worst class",
        "cold"
    );
    let mut results = Vec::new();
    for pattern in patterns {
        let workload = Workload::for_pattern(pattern);
        let with = simulate(workload, Mitigations::default(), args.seed);
        let without = simulate(workload, pattern.without_mitigation(), args.seed);
        print_line(pattern, "yes", &with);
        print_line(pattern, "no", &without);
        results.push((pattern, with, without));
    }
    match args.plot.map(|path| plot::draw(&path, &results)) {
        Some(Err(err)) => {
            eprintln!("failed to write the plot: {err}");
            ExitCode::FAILURE
        }
        Some(Ok(())) | None => ExitCode::SUCCESS,
    }
}

fn print_line(pattern: Pattern, mitigated: &str, summary: &Summary) {
    println!(
        "{:<12} {:<8} {:>6} {:>8.3} {:>6.3} {:>8.3} {:>6.3} {:>7.3} {:>7.3} {:>11.3} {:>6}",
        pattern.name(),
        mitigated,
        summary.expected_answers,
        summary.share(summary.on_time),
        summary.share(summary.late),
        summary.share(summary.refused),
        summary.share(summary.lost),
        summary.share(summary.refused_again),
        summary.value_share,
        summary.worst_class_value_share,
        summary.cold_rate_violations
    );
}
