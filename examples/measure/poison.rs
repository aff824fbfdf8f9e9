//! Requests that crash engines, resent through every entry beside innocent ones.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::Args;
use crate::common::{Caller, Chat, Outcome, Site};
use crate::report::{Report, Target};

/// Engines of the site.
const ENGINES: usize = 8;
/// Text that crashes an engine.
const POISON: &str = "crash-me";
/// Requests that crash engines.
const POISONS: u64 = 2;
/// Rounds of resends through every entry.
const ROUNDS: u64 = 3;
/// Innocent requests beside each send.
const INNOCENTS: u64 = 12;
/// Sends of an innocent request at most.
const SENDS_MAX: u32 = 40;
/// Wait of a caller before it sends again.
const RESEND: Duration = Duration::from_millis(250);
/// Longest run.
const BOUND: Duration = Duration::from_secs(40);

/// Measures quarantine.
pub async fn run(args: &Args) -> Report {
    let mut report = Report::new("poison");
    let site = Site::builder()
        .zones(3)
        .entries(3)
        .models(ENGINES)
        .services(0)
        .preloaded();
    let site = site.seed(args.seed).engine(|_, cfg| {
        cfg.poison = Some(POISON.to_owned());
        cfg.keeps_version_on_crash = true;
        cfg.restart_time = Duration::from_millis(500);
    });
    let site = site.start().await.expect("the site starts");
    let limit = Duration::from_secs(15);
    site.wait_ready(limit).await.expect("the site is ready");
    let start = Instant::now();
    let entries = site.entry_addrs();
    let mut innocents = JoinSet::new();
    let mut refused = 0_u64;
    for round in 0..ROUNDS {
        for (index, entry) in entries.iter().enumerate() {
            for number in 0..INNOCENTS {
                let name = format!("innocent {round} {index} {number}");
                innocents.spawn(innocent(entries.clone(), name, start));
            }
            refused += poisons(*entry).await;
        }
    }
    let answered = innocents.join_all().await;
    let lost = answered.iter().filter(|answered| !**answered).count();
    let crashes: u64 = site
        .models
        .iter()
        .map(|seat| seat.engine.counters().crashes)
        .sum();
    let sends = POISONS * ROUNDS * entries.len() as u64;
    let bound = 2.0 * POISONS as f64;
    report.figure(
        "sends of harmful requests",
        sends as f64,
        "requests",
        Target::None,
    );
    report.figure(
        "harmful requests refused as quarantined",
        refused as f64,
        "requests",
        Target::None,
    );
    report.figure(
        "engines down",
        crashes as f64,
        "crashes",
        Target::AtMost(bound),
    );
    report.figure(
        "innocent requests",
        answered.len() as f64,
        "requests",
        Target::None,
    );
    report.figure(
        "innocent requests not answered",
        lost as f64,
        "requests",
        Target::Exactly(0.0),
    );
    site.stop().await;
    report
}

/// Sends each harmful request once, at the same time; returns how many were refused for good.
async fn poisons(entry: SocketAddr) -> u64 {
    let mut sends = JoinSet::new();
    for number in 0..POISONS {
        let chat = Chat::new(format!("{POISON} {number}"));
        sends.spawn(async move { Caller::new().chat(entry, &chat).await });
    }
    let outcomes = sends.join_all().await;
    let codes = outcomes.iter().filter_map(Outcome::refusal);
    codes
        .filter(|refusal| [2010, 3005].contains(&refusal.code))
        .count() as u64
}

/// Sends a request until it is answered.
async fn innocent(entries: Vec<SocketAddr>, prompt: String, start: Instant) -> bool {
    let caller = Caller::new();
    let chat = Chat::new(prompt);
    for send in 0..SENDS_MAX {
        let entry = entries[send as usize % entries.len()];
        if caller.chat(entry, &chat).await.answer().is_some() {
            return true;
        }
        if start.elapsed() > BOUND {
            return false;
        }
        tokio::time::sleep(RESEND).await;
    }
    false
}
