//! Runs with a fault.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::Args;
use crate::report::{Report, Target};

use super::fleet::{Fleet, Shape};
use super::{BOUND, T, bad_figures, copies, ratio, ready_figures, shape};

/// T of a run in which one host needs ten times as long as the others.
const T_SLOW: Duration = Duration::from_secs(6);
/// Number of the host that corrupts chunks.
const CORRUPTING: usize = 1;
/// Number of the host with a tenth of the rate.
const SLOW: usize = 2;
/// Ratio to the limit within which hosts without a fault of their own have to be ready.
const OTHERS_BOUND: f64 = 1.5;

/// Runs the named fault.
pub async fn run(fault: &str, args: &Args, hosts: usize, report: &mut Report) {
    match fault {
        "corrupt" => broken(args, hosts, report, [true, false, false]).await,
        "restart" => broken(args, hosts, report, [false, true, false]).await,
        "slow" => broken(args, hosts, report, [false, false, true]).await,
        "all" => broken(args, hosts, report, [true, true, true]).await,
        "newer" => newer(args, hosts, report, None).await,
        "newer-slow" => newer(args, hosts, report, Some(SLOW)).await,
        "late" => late(args, hosts, report).await,
        "origin-down" => origin_down(args, hosts, report).await,
        "region-cut" => region_cut(args, hosts, report).await,
        _ => report.record("unknown_fault", f64::NAN, "-", Target::None),
    }
}

/// A corrupting peer, a quarter of the hosts restarted in mid-transfer, and a slow link.
async fn broken(
    args: &Args,
    hosts: usize,
    report: &mut Report,
    [corrupt, restart, slow]: [bool; 3],
) {
    let copies = copies(args.seed);
    let shape = Shape {
        slow: slow.then_some(SLOW),
        corrupts: corrupt.then_some(CORRUPTING),
        ..shape(args, hosts, if slow { T_SLOW } else { T })
    };
    let mut fleet = Fleet::new(shape, &copies);
    fleet.start_all();
    let start = Instant::now();
    fleet.want(&copies[0]);
    let restarted: Vec<usize> = match restart {
        true => (0..hosts).filter(|host| host % 4 == 3).collect(),
        false => Vec::new(),
    };
    tokio::time::sleep(fleet.shape.t / 4).await;
    for host in &restarted {
        fleet.kill(*host);
    }
    tokio::time::sleep(fleet.shape.t / 40).await;
    for host in &restarted {
        fleet.start(*host);
        fleet.want_at(*host, &copies[0]);
    }
    let done = fleet.wait(&copies[0].digest, hosts, start + BOUND).await;
    let faulty = |host: &usize| restarted.contains(host) || (slow && *host == SLOW);
    let others: Vec<_> = done
        .iter()
        .filter(|(host, _)| !faulty(host))
        .copied()
        .collect();
    let count = (0..hosts).filter(|host| !faulty(host)).count();
    ready_figures(report, &fleet, &others, start, count, OTHERS_BOUND);
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
        ratio(&fleet, last),
        "ratio",
        Target::None,
    );
    let corrupted = fleet.seen.corrupted.load(Ordering::Relaxed);
    report.record("chunks_corrupted", corrupted as f64, "chunks", Target::None);
    bad_figures(report, &fleet, &copies[0]);
}

/// A newer version is wanted halfway through an older one.
async fn newer(args: &Args, hosts: usize, report: &mut Report, slow: Option<usize>) {
    let copies = copies(args.seed);
    let t = if slow.is_some() { T_SLOW } else { T };
    let shape = Shape {
        slow,
        ..shape(args, hosts, t)
    };
    let others = hosts - usize::from(slow.is_some());

    let mut idle = Fleet::new(shape.clone(), &copies);
    idle.start_all();
    let start = Instant::now();
    idle.want(&copies[1]);
    let done = idle
        .wait(&copies[1].digest, others, start + BOUND / 2)
        .await;
    let from_idle = last(&done, others, start);
    drop(idle);

    let mut fleet = Fleet::new(shape, &copies);
    fleet.start_all();
    fleet.want(&copies[0]);
    tokio::time::sleep(fleet.shape.t / 4).await;
    let start = Instant::now();
    fleet.want(&copies[1]);
    let done = fleet
        .wait(&copies[1].digest, others, start + BOUND / 2)
        .await;
    let halfway = last(&done, others, start);
    report.record(
        "idle_time_over_limit",
        ratio(&fleet, from_idle),
        "ratio",
        Target::None,
    );
    report.record(
        "newer_time_over_limit",
        ratio(&fleet, halfway),
        "ratio",
        Target::None,
    );
    let over = halfway.as_secs_f64() / from_idle.as_secs_f64();
    report.record("newer_over_idle", over, "ratio", Target::AtMost(1.1));
    bad_figures(report, &fleet, &copies[1]);
}

fn last(done: &[(usize, Instant)], hosts: usize, start: Instant) -> Duration {
    let last = done.iter().map(|(_, at)| *at - start).max();
    last.filter(|_| done.len() >= hosts)
        .unwrap_or(Duration::MAX)
}

/// One host joins when all others have finished.
async fn late(args: &Args, hosts: usize, report: &mut Report) {
    let copies = copies(args.seed);
    let mut fleet = Fleet::new(shape(args, hosts, T), &copies);
    for host in 1..hosts {
        fleet.start(host);
    }
    let start = Instant::now();
    fleet.want(&copies[0]);
    fleet
        .wait(&copies[0].digest, hosts - 1, start + BOUND / 2)
        .await;
    let before = fleet.net.origin.bytes();
    let joined = Instant::now();
    fleet.start(0);
    fleet.want_at(0, &copies[0]);
    let done = fleet.wait(&copies[0].digest, 1, joined + BOUND / 2).await;
    ready_figures(report, &fleet, &done, joined, 1, OTHERS_BOUND);
    let drawn = fleet.net.origin.bytes() - before;
    report.record(
        "late_origin_bytes",
        drawn as f64,
        "bytes",
        Target::Exactly(0.0),
    );
    bad_figures(report, &fleet, &copies[0]);
}

/// The origin stops once a copy is in the fleet.
async fn origin_down(args: &Args, hosts: usize, report: &mut Report) {
    let copies = copies(args.seed);
    let mut fleet = Fleet::new(shape(args, hosts, T), &copies);
    fleet.start_all();
    let start = Instant::now();
    fleet.want(&copies[0]);
    while !fleet.covers(&copies[0]) && start.elapsed() < fleet.shape.t {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.stop_origin();
    let done = fleet.wait(&copies[0].digest, hosts, start + BOUND).await;
    ready_figures(report, &fleet, &done, start, hosts, OTHERS_BOUND);
    bad_figures(report, &fleet, &copies[0]);
}

/// The link between regions is cut for a quarter of T in mid-transfer.
async fn region_cut(args: &Args, hosts: usize, report: &mut Report) {
    let copies = copies(args.seed);
    let shape = Shape {
        regions: args.regions.max(2),
        ..shape(args, hosts, T)
    };
    let mut fleet = Fleet::new(shape, &copies);
    fleet.start_all();
    let start = Instant::now();
    fleet.want(&copies[0]);
    tokio::time::sleep(fleet.shape.t / 8).await;
    fleet.net.between.set_cut(true);
    tokio::time::sleep(fleet.shape.t / 4).await;
    fleet.net.between.set_cut(false);
    let done = fleet.wait(&copies[0].digest, hosts, start + BOUND).await;
    // The cut alone takes half of the limit.
    ready_figures(report, &fleet, &done, start, hosts, OTHERS_BOUND + 0.5);
    bad_figures(report, &fleet, &copies[0]);
}
