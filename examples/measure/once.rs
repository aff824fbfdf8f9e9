//! Keyed operations with resends, deaths and lost answers: how often each one ran.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

use crate::Args;
use crate::common::{Caller, Outcome, ServiceCall, Site};
use crate::report::{Report, Target};

/// Operations of each of the two phases.
const OPERATIONS: u64 = 5_000;
/// Operations started in a second.
const RATE: u64 = 300;
/// Sends of one operation at most.
const SENDS_MAX: u32 = 8;
/// Wait of a caller before it sends again.
const RESEND: Duration = Duration::from_millis(250);
/// Time between two deaths.
const DEATHS: Duration = Duration::from_millis(900);
/// Each so-many-th write of the object API loses its answer.
const LOSE_EVERY: u64 = 40;
/// Share of answered operations that are sent once more, in thousandths.
const AGAIN_PERMILLE: u32 = 100;

/// Addresses of the entries, which change when one is replaced.
type Entries = Arc<Mutex<Vec<SocketAddr>>>;

/// What the callers of one phase saw.
#[derive(Default)]
struct Seen {
    answered: u64,
    unknown: u64,
    doubled: u64,
    false_not_run: u64,
    false_answer: u64,
    open: u64,
}

/// Measures at-most-once delivery.
pub async fn run(args: &Args) -> Report {
    let mut report = Report::new("once");
    let site = Site::builder().zones(3).entries(3).models(0).services(3);
    let mut site = site.seed(args.seed).start().await.expect("the site starts");
    let limit = Duration::from_secs(10);
    site.wait_ready(limit).await.expect("the site is ready");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let entries: Entries = Arc::new(Mutex::new(site.entry_addrs()));

    let before = site.objects.counters();
    site.objects
        .update_faults(|faults| faults.lose_answer_every = LOSE_EVERY);
    let sends = operations("calm", args.seed, &entries).await;
    let after = site.objects.counters();
    let calls = (after.calls() - after.watches) - (before.calls() - before.watches);
    let calm = judge(&site, sends);
    lines(&mut report, "lost store answers", &calm);
    let unknown = calm.unknown as f64;
    report.figure(
        "lost store answers: outcome unknown",
        unknown,
        "operations",
        Target::Exactly(0.0),
    );
    let each = calls as f64 / OPERATIONS as f64;
    report.figure(
        "object API calls for each operation",
        each,
        "calls",
        Target::AtMost(3.0),
    );

    let work = tokio::spawn({
        let entries = Arc::clone(&entries);
        let seed = args.seed + 1;
        async move { operations("deaths", seed, &entries).await }
    });
    deaths(&mut site, &entries, args.seed, &work).await;
    let sends = work.await.expect("the callers end");
    let rough = judge(&site, sends);
    lines(&mut report, "deaths", &rough);
    report.figure(
        "deaths: outcome unknown",
        rough.unknown as f64,
        "operations",
        Target::None,
    );
    site.stop().await;
    report
}

fn lines(report: &mut Report, phase: &str, seen: &Seen) {
    let none = Target::Exactly(0.0);
    let mut line = |name: &str, value: u64, target| {
        report.figure(
            format!("{phase}: {name}"),
            value as f64,
            "operations",
            target,
        );
    };
    line("operations", OPERATIONS, Target::None);
    line("answered", seen.answered, Target::None);
    line("doubled", seen.doubled, none);
    line("false not run", seen.false_not_run, none);
    line("answered and not run", seen.false_answer, none);
    line("without a final word", seen.open, Target::None);
}

/// Kills entries and agents in turn while the callers work, and starts them again.
async fn deaths<T>(
    site: &mut Site,
    entries: &Entries,
    seed: u64,
    work: &tokio::task::JoinHandle<T>,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut count = 0;
    while !work.is_finished() {
        tokio::time::sleep(DEATHS).await;
        count += 1;
        if count % 2 == 0 {
            let index = rng.random_range(0..site.entries.len());
            if let Some(entry) = site.take_entry(index) {
                entry.kill();
            }
            site.start_entry(index).await.expect("an entry starts");
            *entries.lock().unwrap_or_else(PoisonError::into_inner) = site.entry_addrs();
        } else {
            let index = rng.random_range(0..site.services.len());
            if let Some(agent) = site.services[index].agent.take() {
                agent.kill();
            }
            let started = site.start_service_agent(index).await;
            started.expect("an agent starts");
        }
    }
}

/// Starts operations at an even rate and returns what each one's caller saw.
async fn operations(
    phase: &'static str,
    seed: u64,
    entries: &Entries,
) -> Vec<(String, Vec<Outcome>)> {
    let caller = Caller::new();
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    for number in 0..OPERATIONS {
        let due = start + Duration::from_micros(number * 1_000_000 / RATE);
        tokio::time::sleep_until(due.into()).await;
        let entries = Arc::clone(entries);
        let caller = caller.clone();
        let key = format!("{phase}-{number}");
        let rng = SmallRng::seed_from_u64(seed.wrapping_mul(OPERATIONS) + number);
        tasks.spawn(async move {
            let outcomes = operation(&caller, &key, &entries, rng).await;
            (key, outcomes)
        });
    }
    tasks.join_all().await
}

/// Sends an operation until it is answered or known not to be settled, each time through an entry
/// chosen at random.
async fn operation(
    caller: &Caller,
    key: &str,
    entries: &Entries,
    mut rng: SmallRng,
) -> Vec<Outcome> {
    let call = ServiceCall::booking(key);
    let mut outcomes = Vec::new();
    for _ in 0..SENDS_MAX {
        let addr = {
            let addrs = entries.lock().unwrap_or_else(PoisonError::into_inner);
            addrs[rng.random_range(0..addrs.len())]
        };
        let outcome = caller.call(addr, &call).await;
        let answered = outcome.answer().is_some();
        outcomes.push(outcome);
        if answered && rng.random_range(0..1_000) >= AGAIN_PERMILLE {
            break;
        }
        if !answered {
            tokio::time::sleep(RESEND).await;
        }
    }
    outcomes
}

fn judge(site: &Site, sends: Vec<(String, Vec<Outcome>)>) -> Seen {
    let mut seen = Seen::default();
    for (key, outcomes) in sends {
        let runs = site.runs(&key);
        let answered = outcomes.iter().any(|outcome| outcome.answer().is_some());
        let is_not_run = |outcome: &Outcome| {
            outcome
                .refusal()
                .is_some_and(|refusal| refusal.run_state == "not run")
        };
        let unknown = outcomes
            .last()
            .and_then(Outcome::refusal)
            .is_some_and(|refusal| refusal.run_state == "unknown");
        seen.doubled += u64::from(runs > 1);
        seen.answered += u64::from(answered);
        seen.unknown += u64::from(unknown);
        seen.false_not_run += u64::from(runs > 0 && outcomes.iter().all(is_not_run));
        seen.false_answer += u64::from(answered && runs == 0);
        seen.open += u64::from(!answered && !unknown);
    }
    seen
}
