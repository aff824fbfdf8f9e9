//! Plays loads on the request core with a model of engines, in seconds and without a socket:
//! `cargo run --release --example patterns -- [--load NAME] [--seed N] [--plot FILE.svg]`.
//!
//! Each load is played with everything and without what answers its pattern.

#![allow(clippy::print_stdout)]

mod plot;
mod sim;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use limpetloom::dispatch::Mitigations;

use sim::{Pattern, Summary, Workload, simulate};

/// Play loads on the request core with a model of engines.
#[derive(Clone, Debug, FromArgs)]
struct Args {
    /// load to play: burst, hot-key, retry-abuse, departures, zone-loss, cold-return, push; all
    /// when left out
    #[argh(option)]
    load: Option<String>,
    /// seed of every random choice
    #[argh(option, default = "1")]
    seed: u64,
    /// file for a plot of answers on time by second, as SVG
    #[argh(option)]
    plot: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let wanted = |pattern: &Pattern| args.load.as_deref().is_none_or(|l| l == pattern.name());
    let patterns: Vec<Pattern> = Pattern::ALL.into_iter().filter(wanted).collect();
    if patterns.is_empty() {
        eprintln!("load {} does not exist", args.load.unwrap_or_default());
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
    let mut plays = Vec::new();
    for pattern in patterns {
        let load = Workload::for_pattern(pattern);
        let with = simulate(load, Mitigations::default(), args.seed);
        let without = simulate(load, pattern.without_mitigation(), args.seed);
        print_line(pattern, "yes", &with);
        print_line(pattern, "no", &without);
        plays.push((pattern, with, without));
    }
    match args.plot.map(|path| plot::draw(&path, &plays)) {
        Some(Err(err)) => {
            eprintln!("the plot can not be written: {err}");
            ExitCode::FAILURE
        }
        Some(Ok(())) | None => ExitCode::SUCCESS,
    }
}

fn print_line(pattern: Pattern, answered: &str, tally: &Summary) {
    println!(
        "{:<12} {:<8} {:>6} {:>8.3} {:>6.3} {:>8.3} {:>6.3} {:>7.3} {:>7.3} {:>11.3} {:>6}",
        pattern.name(),
        answered,
        tally.owed,
        tally.share(tally.on_time),
        tally.share(tally.late),
        tally.share(tally.refused),
        tally.share(tally.lost),
        tally.share(tally.refused_again),
        tally.value_share,
        tally.worst_class,
        tally.cold_rate_violations
    );
}
