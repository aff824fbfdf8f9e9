//! Performance measurements over loopback sockets: `cargo run --release --example measure -- NAME`.
//!
//! Each measurement prints one line for each figure: `name value unit target ok|short`. The exit
//! status is a failure if any figure misses its target.

#![allow(clippy::print_stdout)]

mod burst;
mod chunks;
#[path = "../common/mod.rs"]
mod common;
mod config;
mod control;
mod fairness;
mod once;
mod overhead;
mod page;
mod poison;
mod push;
mod relay;
mod report;
mod routing;
mod traffic;
mod weights;
mod zones;

use std::process::ExitCode;

use argh::FromArgs;

use report::Report;

/// Measure limpetloom against fake endpoints and fake platform services.
#[derive(Clone, Debug, FromArgs)]
pub struct Args {
    /// measurement to run
    #[argh(positional)]
    pub name: String,
    /// seed of the random number generators
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print the figures as JSON instead of lines
    #[argh(switch)]
    pub json: bool,
    /// routing: measure only this policy: adaptive, random, round-robin or least-reported
    #[argh(option)]
    pub policy: Option<String>,
    /// weights, control, push: number of hosts
    #[argh(option)]
    pub hosts: Option<usize>,
    /// weights: number of regions
    #[argh(option, default = "1")]
    pub regions: usize,
    /// weights: distribution plan: origin, tree or swarm
    #[argh(option, default = "String::from(\"swarm\")")]
    pub plan: String,
    /// weights: fault to inject: corrupt, restart, slow, all, newer, newer-slow, late, origin-down
    /// or region-cut
    #[argh(option)]
    pub fault: Option<String>,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    match runtime.block_on(run(&args)) {
        Some(report) => report.finish(args.json),
        None => {
            println!("unknown measurement {:?}", args.name);
            ExitCode::from(2)
        }
    }
}

/// Runs the named measurement; `None` if there is no measurement of that name.
async fn run(args: &Args) -> Option<Report> {
    match args.name.as_str() {
        "once" => Some(once::run(args).await),
        "poison" => Some(poison::run(args).await),
        "overhead" => Some(overhead::run(args).await),
        "burst" => Some(burst::run(args).await),
        "fairness" => Some(fairness::run(args).await),
        "zones" => Some(zones::run(args).await),
        "routing" => Some(routing::run(args).await),
        "report" => Some(page::run()),
        "config" => Some(config::run(args).await),
        "control" => Some(control::run(args).await),
        "weights" => Some(weights::run(args).await),
        "push" => Some(push::run(args).await),
        "chunks" => Some(chunks::run(args).await),
        "nothing" => Some(Report::new("nothing")),
        _ => None,
    }
}
