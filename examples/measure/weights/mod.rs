//! Measures the time until all hosts hold a version, as a ratio to the physical limit, for the
//! product's swarm and for simple baseline plans.
//!
//! In one link period, a host's link carries two copies of a version in each direction and the
//! origin's link carries four. No plan can therefore finish before half a link period, which is the
//! limit that times are compared with. Traffic of the origin and between regions is given as a
//! number of copies.

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

use fleet::{Fleet, FleetConfig, ORIGIN_COPIES};
use model::WeightVersion;

/// Number of chunks of a version.
const CHUNKS: usize = 512;
/// Size of a chunk, in bytes.
const CHUNK_BYTES: usize = 16 << 10;
/// Number of hosts if the command line gives none.
const DEFAULT_HOSTS: usize = 16;
/// Maximum duration of a run.
const TIME_LIMIT: Duration = Duration::from_secs(42);
/// Link period of runs in which every host has the same rate.
const LINK_PERIOD: Duration = Duration::from_secs(16);

/// Runs the measurement.
pub async fn run(args: &Args) -> Report {
    let mut report = Report::new("weights");
    let hosts = args.hosts.unwrap_or(DEFAULT_HOSTS);
    match (args.plan.as_str(), args.fault.as_deref()) {
        ("swarm", None) => run_swarm(args, hosts, &mut report).await,
        ("swarm", Some(fault)) => faults::run(fault, args, hosts, &mut report).await,
        (plan, _) => run_baseline(plan, args, hosts, &mut report).await,
    }
    report
}

/// Creates a version and its successor.
fn create_versions(seed: u64) -> Arc<Vec<WeightVersion>> {
    let version = |name, seed| WeightVersion::new(name, CHUNKS, CHUNK_BYTES, seed);
    Arc::new(vec![version("v1", seed), version("v2", seed + 1)])
}

/// Configuration of a fleet without faults.
fn fleet_config(args: &Args, hosts: usize, link_period: Duration) -> FleetConfig {
    FleetConfig {
        hosts,
        regions: args.regions.max(1),
        link_period,
        seed: args.seed,
        slow_host: None,
        corrupting_host: None,
    }
}

/// Measures the product's distribution without faults.
async fn run_swarm(args: &Args, hosts: usize, report: &mut Report) {
    let versions = create_versions(args.seed);
    let mut fleet = Fleet::new(fleet_config(args, hosts, LINK_PERIOD), &versions);
    fleet.start_all();
    let start = Instant::now();
    fleet.fetch_everywhere(&versions[0]);
    let done = fleet
        .wait_until_held(&versions[0].digest, hosts, start + TIME_LIMIT)
        .await;
    record_ready(report, &fleet, &done, start, hosts, 1.25);
    record_transfers(report, &fleet, &versions[0]);
    record_corruption(report, &fleet, &versions[0]);
    record_state(report, &fleet, versions[0].size).await;
}

/// Measures a baseline plan: `tree`, or downloads from the origin for any other name.
async fn run_baseline(plan: &str, args: &Args, hosts: usize, report: &mut Report) {
    let versions = create_versions(args.seed);
    let tree = plan == "tree";
    // Without a tree, the origin's link takes hosts/4 link periods, which have to fit into the
    // limit.
    let max_link_period = TIME_LIMIT.mul_f64(ORIGIN_COPIES * 0.8 / hosts as f64);
    let link_period = if tree {
        LINK_PERIOD
    } else {
        LINK_PERIOD.min(max_link_period)
    };
    let fleet = Fleet::new(fleet_config(args, hosts, link_period), &versions);
    let elapsed = plans::run(&fleet.net, &versions[0], tree).await;
    let ratio = elapsed.as_secs_f64() / (link_period / 2).as_secs_f64();
    report.record(
        format!("{plan}_time_over_limit"),
        ratio,
        "ratio",
        Target::None,
    );
    record_transfers_with_target(report, &fleet, &versions[0], Target::None);
}

/// Records the number of hosts that hold the version and the time until the last one did, as a
/// ratio to the physical limit; infinite if some host does not.
fn record_ready(
    report: &mut Report,
    fleet: &Fleet,
    done: &[(usize, Instant)],
    start: Instant,
    hosts: usize,
    max_time_ratio: f64,
) {
    let last = done.iter().map(|(_, at)| *at - start).max();
    let ratio = match last {
        Some(last) if done.len() == hosts => limit_ratio(fleet, last),
        _ => f64::INFINITY,
    };
    let count = Target::Exactly(hosts as f64);
    report.record("hosts_ready", done.len() as f64, "hosts", count);
    report.record(
        "time_over_limit",
        ratio,
        "ratio",
        Target::AtMost(max_time_ratio),
    );
}

/// Ratio of a time to the physical limit.
fn limit_ratio(fleet: &Fleet, elapsed: Duration) -> f64 {
    elapsed.as_secs_f64() / (fleet.config.link_period / 2).as_secs_f64()
}

/// Records how many copies the origin and the link between regions sent, with the product's target.
fn record_transfers(report: &mut Report, fleet: &Fleet, version: &WeightVersion) {
    record_transfers_with_target(report, fleet, version, Target::AtMost(1.1));
}

fn record_transfers_with_target(
    report: &mut Report,
    fleet: &Fleet,
    version: &WeightVersion,
    target: Target,
) {
    let copies = |bytes: u64| bytes as f64 / version.size as f64;
    let regions = fleet.config.regions as f64;
    let origin = copies(fleet.net.origin.bytes()) / regions;
    report.record("origin_copies_a_region", origin, "copies", target);
    if fleet.config.regions > 1 {
        let between_regions = copies(fleet.net.between_regions.bytes()) / (regions - 1.0);
        report.record("region_link_copies", between_regions, "copies", target);
    }
}

/// Records how many chunks hosts lack or hold corrupted, and how many corrupt ones they forwarded.
fn record_corruption(report: &mut Report, fleet: &Fleet, version: &WeightVersion) {
    let mut bad_chunks = 0;
    for host in 0..fleet.config.hosts {
        bad_chunks += fleet.bad_chunks(host, version);
    }
    let forwarded = fleet
        .counters
        .bad_forwarded
        .load(std::sync::atomic::Ordering::Relaxed);
    report.record(
        "bad_chunks_held",
        bad_chunks as f64,
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

/// Records, per host, the state that is kept for control, the announcements and the peers.
async fn record_state(report: &mut Report, fleet: &Fleet, version_bytes: usize) {
    let hosts = fleet.config.hosts as f64;
    let (mut control, mut announced, mut peers) = (0, 0, 0);
    for host in 0..fleet.config.hosts {
        let state = fleet.state(host).await;
        control += state.control_bytes;
        announced += state.announcement_bytes;
        peers += state.peers;
    }
    let share = announced as f64 / hosts / version_bytes as f64;
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
