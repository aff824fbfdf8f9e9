//! Time to N ready hosts over the physical limit, for the product and for simple plans.
//!
//! A host's link carries two copies in T each way and the origin's four, so that no plan ends
//! before T/2. Every figure is a ratio to that limit or a count of copies.

mod faults;
mod fleet;
mod host;
mod model;
mod net;
mod plans;

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Args;
use crate::report::{Report, Target};

use fleet::{Fleet, ORIGIN_COPIES, Shape};
use model::Copy;

/// Chunks of a copy.
const CHUNKS: usize = 512;
/// Bytes of a chunk.
const CHUNK_BYTES: usize = 16 << 10;
/// Hosts when none are given.
const HOSTS: usize = 16;
/// Longest run.
const BOUND: Duration = Duration::from_secs(42);
/// T of a run without faults.
const T: Duration = Duration::from_secs(16);

/// Measures time to N ready.
pub async fn run(args: &Args) -> Report {
    let mut report = Report::new("weights");
    let hosts = args.hosts.unwrap_or(HOSTS);
    match (args.plan.as_str(), args.fault.as_deref()) {
        ("swarm", None) => healthy(args, hosts, &mut report).await,
        ("swarm", Some(fault)) => faults::run(fault, args, hosts, &mut report).await,
        (plan, _) => baseline(plan, args, hosts, &mut report).await,
    }
    report
}

/// A copy and its successor.
fn copies(seed: u64) -> Arc<Vec<Copy>> {
    let copy = |name, seed| Copy::new(name, CHUNKS, CHUNK_BYTES, seed);
    Arc::new(vec![copy("v1", seed), copy("v2", seed + 1)])
}

fn shape(args: &Args, hosts: usize, t: Duration) -> Shape {
    Shape {
        hosts,
        regions: args.regions.max(1),
        t,
        seed: args.seed,
        slow: None,
        corrupts: None,
    }
}

async fn healthy(args: &Args, hosts: usize, report: &mut Report) {
    let copies = copies(args.seed);
    let mut fleet = Fleet::new(shape(args, hosts, T), &copies);
    fleet.start_all();
    let start = Instant::now();
    fleet.want(&copies[0]);
    let done = fleet.wait(&copies[0].digest, hosts, start + BOUND).await;
    ready_figures(report, &fleet, &done, start, hosts, 1.25);
    copies_figures(report, &fleet, &copies[0]);
    bad_figures(report, &fleet, &copies[0]);
    state_figures(report, &fleet, copies[0].size).await;
}

async fn baseline(plan: &str, args: &Args, hosts: usize, report: &mut Report) {
    let copies = copies(args.seed);
    let tree = plan == "tree";
    // The origin's link alone takes N/4 T, which has to fit into the bound.
    let most = BOUND.mul_f64(ORIGIN_COPIES * 0.8 / hosts as f64);
    let t = if tree { T } else { T.min(most) };
    let fleet = Fleet::new(shape(args, hosts, t), &copies);
    let took = plans::run(&fleet.net, &copies[0], tree).await;
    let ratio = took.as_secs_f64() / (t / 2).as_secs_f64();
    report.record(
        format!("{plan}_time_over_limit"),
        ratio,
        "ratio",
        Target::None,
    );
    copies_figures_of(report, &fleet, &copies[0], Target::None);
}

fn ready_figures(
    report: &mut Report,
    fleet: &Fleet,
    done: &[(usize, Instant)],
    start: Instant,
    hosts: usize,
    bound: f64,
) {
    let last = done.iter().map(|(_, at)| *at - start).max();
    let ratio = match last {
        Some(last) if done.len() == hosts => ratio(fleet, last),
        _ => f64::INFINITY,
    };
    let count = Target::Exactly(hosts as f64);
    report.record("hosts_ready", done.len() as f64, "hosts", count);
    report.record("time_over_limit", ratio, "ratio", Target::AtMost(bound));
}

fn ratio(fleet: &Fleet, took: Duration) -> f64 {
    took.as_secs_f64() / (fleet.shape.t / 2).as_secs_f64()
}

fn copies_figures(report: &mut Report, fleet: &Fleet, copy: &Copy) {
    copies_figures_of(report, fleet, copy, Target::AtMost(1.1));
}

fn copies_figures_of(report: &mut Report, fleet: &Fleet, copy: &Copy, target: Target) {
    let copies = |bytes: u64| bytes as f64 / copy.size as f64;
    let regions = fleet.shape.regions as f64;
    let origin = copies(fleet.net.origin.bytes()) / regions;
    report.record("origin_copies_a_region", origin, "copies", target);
    if fleet.shape.regions > 1 {
        let between = copies(fleet.net.between.bytes()) / (regions - 1.0);
        report.record("region_link_copies", between, "copies", target);
    }
}

fn bad_figures(report: &mut Report, fleet: &Fleet, copy: &Copy) {
    let mut wrong = 0;
    for host in 0..fleet.shape.hosts {
        wrong += fleet.bad_chunks(host, copy);
    }
    let forwarded = fleet
        .seen
        .bad_forwarded
        .load(std::sync::atomic::Ordering::Relaxed);
    report.record(
        "bad_chunks_held",
        wrong as f64,
        "chunks",
        Target::Exactly(0.0),
    );
    report.record(
        "bad_chunks_forwarded",
        forwarded as f64,
        "chunks",
        Target::Exactly(0.0),
    );
}

async fn state_figures(report: &mut Report, fleet: &Fleet, copy_bytes: usize) {
    let hosts = fleet.shape.hosts as f64;
    let (mut control, mut announced, mut peers) = (0, 0, 0);
    for host in 0..fleet.shape.hosts {
        let state = fleet.state(host).await;
        control += state.control_bytes;
        announced += state.announcement_bytes;
        peers += state.peers;
    }
    let share = announced as f64 / hosts / copy_bytes as f64;
    report.record(
        "control_state",
        control as f64 / hosts,
        "bytes/host",
        Target::None,
    );
    report.record(
        "announced",
        announced as f64 / hosts,
        "bytes/host",
        Target::None,
    );
    report.record("announced_share", share, "copies", Target::None);
    report.record("peers", peers as f64 / hosts, "peers/host", Target::None);
}
