//! Measures the product's distribution with faults.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::Args;
use crate::report::{Report, Target};

use super::fleet::{Fleet, FleetConfig};
use super::{
    LINK_PERIOD, TIME_LIMIT, create_versions, fleet_config, limit_ratio, record_corruption,
    record_ready,
};

/// Link period of a run in which one host takes ten times as long as the others; shorter, so that
/// this host finishes before the time limit.
const SLOW_HOST_LINK_PERIOD: Duration = Duration::from_secs(6);
/// Number of the host that corrupts chunks.
const CORRUPTING_HOST: usize = 1;
/// Number of the host whose link has a tenth of the rate.
const SLOW_HOST: usize = 2;
/// Maximum time until hosts without a fault of their own are ready, as a ratio to the physical
/// limit.
const MAX_TIME_RATIO: f64 = 1.5;

/// Runs the measurement with the named fault.
pub async fn run(fault: &str, args: &Args, hosts: usize, report: &mut Report) {
    match fault {
        "corrupt" => run_with_faulty_hosts(args, hosts, report, [true, false, false]).await,
        "restart" => run_with_faulty_hosts(args, hosts, report, [false, true, false]).await,
        "slow" => run_with_faulty_hosts(args, hosts, report, [false, false, true]).await,
        "all" => run_with_faulty_hosts(args, hosts, report, [true, true, true]).await,
        "newer" => run_newer_version(args, hosts, report, None).await,
        "newer-slow" => run_newer_version(args, hosts, report, Some(SLOW_HOST)).await,
        "late" => run_late_host(args, hosts, report).await,
        "origin-down" => run_origin_down(args, hosts, report).await,
        "region-cut" => run_region_cut(args, hosts, report).await,
        _ => report.record("unknown_fault", f64::NAN, "-", Target::None),
    }
}

/// Runs with any of three faults: a host that corrupts chunks, a quarter of the hosts restarted
/// during the transfer, and a host with a slow link.
async fn run_with_faulty_hosts(
    args: &Args,
    hosts: usize,
    report: &mut Report,
    [corrupt, restart, slow]: [bool; 3],
) {
    let versions = create_versions(args.seed);
    let config = FleetConfig {
        slow_host: slow.then_some(SLOW_HOST),
        corrupting_host: corrupt.then_some(CORRUPTING_HOST),
        ..fleet_config(
            args,
            hosts,
            if slow {
                SLOW_HOST_LINK_PERIOD
            } else {
                LINK_PERIOD
            },
        )
    };
    let mut fleet = Fleet::new(config, &versions);
    fleet.start_all();
    let start = Instant::now();
    fleet.fetch_everywhere(&versions[0]);
    let restarted: Vec<usize> = match restart {
        true => (0..hosts).filter(|host| host % 4 == 3).collect(),
        false => Vec::new(),
    };
    tokio::time::sleep(fleet.config.link_period / 4).await;
    for host in &restarted {
        fleet.kill(*host);
    }
    tokio::time::sleep(fleet.config.link_period / 40).await;
    for host in &restarted {
        fleet.start(*host);
        fleet.fetch_at(*host, &versions[0]);
    }
    let done = fleet
        .wait_until_held(&versions[0].digest, hosts, start + TIME_LIMIT)
        .await;
    let faulty = |host: &usize| restarted.contains(host) || (slow && *host == SLOW_HOST);
    let others: Vec<_> = done
        .iter()
        .filter(|(host, _)| !faulty(host))
        .copied()
        .collect();
    let count = (0..hosts).filter(|host| !faulty(host)).count();
    record_ready(report, &fleet, &others, start, count, MAX_TIME_RATIO);
    report.record(
        "all_ready",
        done.len() as f64,
        "hosts",
        Target::Exactly(hosts as f64),
    );
    let last = done
        .iter()
        .map(|(_, at)| *at - start)
        .max()
        .unwrap_or_default();
    report.record(
        "all_time_over_limit",
        limit_ratio(&fleet, last),
        "ratio",
        Target::None,
    );
    let corrupted = fleet.counters.corrupted.load(Ordering::Relaxed);
    report.record("chunks_corrupted", corrupted as f64, "chunks", Target::None);
    record_corruption(report, &fleet, &versions[0]);
}

/// Hosts are told to fetch a newer version halfway through an older one. The time is compared with
/// that of an idle fleet; a slow host is left out of both.
async fn run_newer_version(
    args: &Args,
    hosts: usize,
    report: &mut Report,
    slow_host: Option<usize>,
) {
    let versions = create_versions(args.seed);
    let link_period = if slow_host.is_some() {
        SLOW_HOST_LINK_PERIOD
    } else {
        LINK_PERIOD
    };
    let config = FleetConfig {
        slow_host,
        ..fleet_config(args, hosts, link_period)
    };
    let others = hosts - usize::from(slow_host.is_some());

    let mut idle = Fleet::new(config.clone(), &versions);
    idle.start_all();
    let start = Instant::now();
    idle.fetch_everywhere(&versions[1]);
    let done = idle
        .wait_until_held(&versions[1].digest, others, start + TIME_LIMIT / 2)
        .await;
    let idle_time = time_until_all(&done, others, start);
    drop(idle);

    let mut fleet = Fleet::new(config, &versions);
    fleet.start_all();
    fleet.fetch_everywhere(&versions[0]);
    tokio::time::sleep(fleet.config.link_period / 4).await;
    let start = Instant::now();
    fleet.fetch_everywhere(&versions[1]);
    let done = fleet
        .wait_until_held(&versions[1].digest, others, start + TIME_LIMIT / 2)
        .await;
    let newer_time = time_until_all(&done, others, start);
    report.record(
        "idle_time_over_limit",
        limit_ratio(&fleet, idle_time),
        "ratio",
        Target::None,
    );
    report.record(
        "newer_time_over_limit",
        limit_ratio(&fleet, newer_time),
        "ratio",
        Target::None,
    );
    let time_ratio = newer_time.as_secs_f64() / idle_time.as_secs_f64();
    report.record("newer_over_idle", time_ratio, "ratio", Target::AtMost(1.1));
    record_corruption(report, &fleet, &versions[1]);
}

/// Time until the last of the hosts was ready; `Duration::MAX` if some were not.
fn time_until_all(done: &[(usize, Instant)], hosts: usize, start: Instant) -> Duration {
    let last = done.iter().map(|(_, at)| *at - start).max();
    last.filter(|_| done.len() >= hosts)
        .unwrap_or(Duration::MAX)
}

/// One host joins after all others have finished.
async fn run_late_host(args: &Args, hosts: usize, report: &mut Report) {
    let versions = create_versions(args.seed);
    let mut fleet = Fleet::new(fleet_config(args, hosts, LINK_PERIOD), &versions);
    for host in 1..hosts {
        fleet.start(host);
    }
    let start = Instant::now();
    fleet.fetch_everywhere(&versions[0]);
    fleet
        .wait_until_held(&versions[0].digest, hosts - 1, start + TIME_LIMIT / 2)
        .await;
    let before = fleet.net.origin.bytes();
    let joined = Instant::now();
    fleet.start(0);
    fleet.fetch_at(0, &versions[0]);
    let done = fleet
        .wait_until_held(&versions[0].digest, 1, joined + TIME_LIMIT / 2)
        .await;
    record_ready(report, &fleet, &done, joined, 1, MAX_TIME_RATIO);
    let origin_bytes = fleet.net.origin.bytes() - before;
    report.record(
        "late_origin_bytes",
        origin_bytes as f64,
        "bytes",
        Target::Exactly(0.0),
    );
    record_corruption(report, &fleet, &versions[0]);
}

/// The origin stops once every chunk is held by some host.
async fn run_origin_down(args: &Args, hosts: usize, report: &mut Report) {
    let versions = create_versions(args.seed);
    let mut fleet = Fleet::new(fleet_config(args, hosts, LINK_PERIOD), &versions);
    fleet.start_all();
    let start = Instant::now();
    fleet.fetch_everywhere(&versions[0]);
    while !fleet.holds_every_chunk(&versions[0]) && start.elapsed() < fleet.config.link_period {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.stop_origin();
    let done = fleet
        .wait_until_held(&versions[0].digest, hosts, start + TIME_LIMIT)
        .await;
    record_ready(report, &fleet, &done, start, hosts, MAX_TIME_RATIO);
    record_corruption(report, &fleet, &versions[0]);
}

/// The link between regions is cut for a quarter of a link period during the transfer.
async fn run_region_cut(args: &Args, hosts: usize, report: &mut Report) {
    let versions = create_versions(args.seed);
    let config = FleetConfig {
        regions: args.regions.max(2),
        ..fleet_config(args, hosts, LINK_PERIOD)
    };
    let mut fleet = Fleet::new(config, &versions);
    fleet.start_all();
    let start = Instant::now();
    fleet.fetch_everywhere(&versions[0]);
    tokio::time::sleep(fleet.config.link_period / 8).await;
    fleet.net.between_regions.set_cut(true);
    tokio::time::sleep(fleet.config.link_period / 4).await;
    fleet.net.between_regions.set_cut(false);
    let done = fleet
        .wait_until_held(&versions[0].digest, hosts, start + TIME_LIMIT)
        .await;
    // The cut alone lasts half of the physical limit.
    record_ready(report, &fleet, &done, start, hosts, MAX_TIME_RATIO + 0.5);
    record_corruption(report, &fleet, &versions[0]);
}
