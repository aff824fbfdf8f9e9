//! Measures the quarantine of requests that crash engines: they are resent through every entry
//! while harmless requests run, which must all be answered.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::Args;
use crate::common::{Caller, Chat, Outcome, Site};
use crate::report::{Report, Target};

/// Engines of the site.
const ENGINES: usize = 8;
/// Prompt text that crashes an engine.
const CRASH_TEXT: &str = "crash-me";
/// Number of different requests that crash engines.
const POISON_REQUESTS: u64 = 2;
/// How often each of them is sent through every entry.
const ROUNDS: u64 = 3;
/// Harmless requests that are started before each send of the poison requests.
const HARMLESS_PER_SEND: u64 = 12;
/// Maximum number of sends of a harmless request.
const MAX_SENDS: u32 = 40;
/// Time that a caller waits before it sends a request again.
const RESEND_DELAY: Duration = Duration::from_millis(250);
/// Time after the start at which a harmless request is abandoned.
const TIME_LIMIT: Duration = Duration::from_secs(40);

/// Runs the measurement.
pub async fn run(args: &Args) -> Report {
    let mut report = Report::new("poison");
    let site = Site::builder()
        .zones(3)
        .entries(3)
        .models(ENGINES)
        .services(0)
        .preloaded();
    let site = site.seed(args.seed).engine(|_, cfg| {
        cfg.poison = Some(CRASH_TEXT.to_owned());
        cfg.keeps_version_on_crash = true;
        cfg.restart_time = Duration::from_millis(500);
    });
    let site = site.start().await.expect("the site starts");
    let limit = Duration::from_secs(15);
    site.wait_ready(limit)
        .await
        .expect("the site becomes ready");
    let start = Instant::now();
    let entries = site.entry_addrs();
    let mut harmless = JoinSet::new();
    let mut refused = 0_u64;
    for round in 0..ROUNDS {
        for (index, entry) in entries.iter().enumerate() {
            for number in 0..HARMLESS_PER_SEND {
                let name = format!("innocent {round} {index} {number}");
                harmless.spawn(send_until_answered(entries.clone(), name, start));
            }
            refused += send_poison_requests(*entry).await;
        }
    }
    let answered = harmless.join_all().await;
    let not_answered = answered.iter().filter(|answered| !**answered).count();
    let crashes: u64 = site
        .models
        .iter()
        .map(|model| model.engine.counters().crashes)
        .sum();
    let sends = POISON_REQUESTS * ROUNDS * entries.len() as u64;
    let max_crashes = 2.0 * POISON_REQUESTS as f64;
    report.record(
        "sends of harmful requests",
        sends as f64,
        "requests",
        Target::None,
    );
    report.record(
        "harmful requests refused as quarantined",
        refused as f64,
        "requests",
        Target::None,
    );
    report.record(
        "engines down",
        crashes as f64,
        "crashes",
        Target::AtMost(max_crashes),
    );
    report.record(
        "innocent requests",
        answered.len() as f64,
        "requests",
        Target::None,
    );
    report.record(
        "innocent requests not answered",
        not_answered as f64,
        "requests",
        Target::Exactly(0.0),
    );
    site.stop().await;
    report
}

/// Sends every poison request once, all at the same time; returns how many were refused with the
/// code `Quarantined` or `RequestHarmful`.
async fn send_poison_requests(entry: SocketAddr) -> u64 {
    let mut sends = JoinSet::new();
    for number in 0..POISON_REQUESTS {
        let chat = Chat::new(format!("{CRASH_TEXT} {number}"));
        sends.spawn(async move { Caller::new().chat(entry, &chat).await });
    }
    let outcomes = sends.join_all().await;
    let refusals = outcomes.iter().filter_map(Outcome::refusal);
    refusals
        .filter(|refusal| [2010, 3005].contains(&refusal.code))
        .count() as u64
}

/// Sends a harmless request through the entries in turn until it is answered; returns false if it
/// is abandoned.
async fn send_until_answered(entries: Vec<SocketAddr>, prompt: String, start: Instant) -> bool {
    let caller = Caller::new();
    let chat = Chat::new(prompt);
    for send in 0..MAX_SENDS {
        let entry = entries[send as usize % entries.len()];
        if caller.chat(entry, &chat).await.answer().is_some() {
            return true;
        }
        if start.elapsed() > TIME_LIMIT {
            return false;
        }
        tokio::time::sleep(RESEND_DELAY).await;
    }
    false
}
