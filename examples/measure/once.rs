//! Measures at-most-once execution: how often keyed operations ran that callers resent while the
//! object API lost answers, and while entries and agents were killed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

use crate::Args;
use crate::common::{Caller, Outcome, ServiceCall, Site};
use crate::report::{Report, Target};

/// Operations in each of the two phases.
const OPERATIONS_PER_PHASE: u64 = 5_000;
/// Operations started per second.
const OPERATIONS_PER_S: u64 = 300;
/// Maximum number of sends of one operation.
const MAX_SENDS: u32 = 8;
/// Time that a caller waits before it resends an operation that was not answered.
const RESEND_DELAY: Duration = Duration::from_millis(250);
/// Time between two kills.
const KILL_INTERVAL: Duration = Duration::from_millis(900);
/// The object API loses the answer to every write whose number is a multiple of this.
const LOSE_ANSWER_EVERY: u64 = 40;
/// Share of answers after which the caller sends the operation again anyway, in thousandths.
const RESEND_ANSWERED_PERMILLE: u32 = 100;

/// Addresses of the entries, which change when an entry is restarted.
type Entries = Arc<Mutex<Vec<SocketAddr>>>;

/// Numbers of operations of one phase, by what their callers saw and how often they ran.
#[derive(Default)]
struct PhaseCounts {
    /// At least one send was answered.
    answered: u64,
    /// The last send was refused with an unknown outcome.
    unknown: u64,
    /// Ran more than once.
    ran_twice: u64,
    /// Ran although every send was refused as not run.
    false_not_run: u64,
    /// Answered although it never ran.
    answered_not_run: u64,
    /// Neither answered nor last refused with an unknown outcome.
    unresolved: u64,
}

/// Runs the measurement.
pub async fn run(args: &Args) -> Report {
    let mut report = Report::new("once");
    let site = Site::builder().zones(3).entries(3).models(0).services(3);
    let mut site = site.seed(args.seed).start().await.expect("the site starts");
    let limit = Duration::from_secs(10);
    site.wait_ready(limit)
        .await
        .expect("the site becomes ready");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let entries: Entries = Arc::new(Mutex::new(site.entry_addrs()));

    let before = site.objects.counters();
    site.objects
        .update_faults(|faults| faults.lose_answer_every = LOSE_ANSWER_EVERY);
    let sends = run_operations("calm", args.seed, &entries).await;
    let after = site.objects.counters();
    let calls = (after.calls() - after.watches) - (before.calls() - before.watches);
    let with_lost_answers = count_results(&site, sends);
    record_counts(&mut report, "lost store answers", &with_lost_answers);
    let unknown = with_lost_answers.unknown as f64;
    report.record(
        "lost store answers: outcome unknown",
        unknown,
        "operations",
        Target::Exactly(0.0),
    );
    let each = calls as f64 / OPERATIONS_PER_PHASE as f64;
    report.record(
        "object API calls for each operation",
        each,
        "calls",
        Target::AtMost(3.0),
    );

    let callers = tokio::spawn({
        let entries = Arc::clone(&entries);
        let seed = args.seed + 1;
        async move { run_operations("deaths", seed, &entries).await }
    });
    kill_processes(&mut site, &entries, args.seed, &callers).await;
    let sends = callers.await.expect("the callers end");
    let with_kills = count_results(&site, sends);
    record_counts(&mut report, "deaths", &with_kills);
    report.record(
        "deaths: outcome unknown",
        with_kills.unknown as f64,
        "operations",
        Target::None,
    );
    site.stop().await;
    report
}

fn record_counts(report: &mut Report, phase: &str, counts: &PhaseCounts) {
    let none = Target::Exactly(0.0);
    let mut record = |name: &str, value: u64, target| {
        report.record(
            format!("{phase}: {name}"),
            value as f64,
            "operations",
            target,
        );
    };
    record("operations", OPERATIONS_PER_PHASE, Target::None);
    record("answered", counts.answered, Target::None);
    record("doubled", counts.ran_twice, none);
    record("false not run", counts.false_not_run, none);
    record("answered and not run", counts.answered_not_run, none);
    record("without a final word", counts.unresolved, Target::None);
}

/// Kills an agent and an entry in turn, each chosen at random, and restarts it, until the callers
/// have finished.
async fn kill_processes<T>(
    site: &mut Site,
    entries: &Entries,
    seed: u64,
    callers: &tokio::task::JoinHandle<T>,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut count = 0;
    while !callers.is_finished() {
        tokio::time::sleep(KILL_INTERVAL).await;
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

/// Starts operations at an even rate; returns the key of each one and the outcomes of its sends.
async fn run_operations(
    phase: &'static str,
    seed: u64,
    entries: &Entries,
) -> Vec<(String, Vec<Outcome>)> {
    let caller = Caller::new();
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    for number in 0..OPERATIONS_PER_PHASE {
        let due = start + Duration::from_micros(number * 1_000_000 / OPERATIONS_PER_S);
        tokio::time::sleep_until(due.into()).await;
        let entries = Arc::clone(entries);
        let caller = caller.clone();
        let key = format!("{phase}-{number}");
        let rng = SmallRng::seed_from_u64(seed.wrapping_mul(OPERATIONS_PER_PHASE) + number);
        tasks.spawn(async move {
            let outcomes = run_operation(&caller, &key, &entries, rng).await;
            (key, outcomes)
        });
    }
    tasks.join_all().await
}

/// Sends an operation until it is answered, each time through an entry chosen at random. Some
/// answered operations are sent again, to check that they do not run again.
async fn run_operation(
    caller: &Caller,
    key: &str,
    entries: &Entries,
    mut rng: SmallRng,
) -> Vec<Outcome> {
    let call = ServiceCall::booking(key);
    let mut outcomes = Vec::new();
    for _ in 0..MAX_SENDS {
        let addr = {
            let addrs = entries.lock().unwrap_or_else(PoisonError::into_inner);
            addrs[rng.random_range(0..addrs.len())]
        };
        let outcome = caller.call(addr, &call).await;
        let answered = outcome.answer().is_some();
        outcomes.push(outcome);
        if answered && rng.random_range(0..1_000) >= RESEND_ANSWERED_PERMILLE {
            break;
        }
        if !answered {
            tokio::time::sleep(RESEND_DELAY).await;
        }
    }
    outcomes
}

fn count_results(site: &Site, sends: Vec<(String, Vec<Outcome>)>) -> PhaseCounts {
    let mut counts = PhaseCounts::default();
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
        counts.ran_twice += u64::from(runs > 1);
        counts.answered += u64::from(answered);
        counts.unknown += u64::from(unknown);
        counts.false_not_run += u64::from(runs > 0 && outcomes.iter().all(is_not_run));
        counts.answered_not_run += u64::from(answered && runs == 0);
        counts.unresolved += u64::from(!answered && !unknown);
    }
    counts
}
