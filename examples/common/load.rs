//! Requests at a given rate, sent whatever the answers do.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

use super::caller::{Caller, Chat, ServiceCall};
use super::{Balancer, Outcome};

/// Greatest time in the histograms, in microseconds.
const MAX_US: u64 = 120_000_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// One request.
#[derive(Clone, Debug)]
pub enum Ask {
    /// A request to a model.
    Chat(Chat),
    /// A call of a plain service.
    Service(ServiceCall),
}

/// Requests to send.
pub struct Load {
    /// Requests a second, in a Poisson process.
    pub rate: f64,
    /// Time over which requests are sent.
    pub duration: Duration,
    /// Makes each request from its number.
    pub make: Box<dyn Fn(u64) -> Ask + Send + Sync>,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// What became of the requests.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Refusals by code.
    pub refused: BTreeMap<u16, u64>,
    /// Refusals that do not say `not run`.
    pub uncertain: u64,
    /// Descriptions of requests without a whole answer.
    pub lost: Vec<String>,
    /// Descriptions of wrong answers.
    pub wrong: Vec<String>,
    /// Tokens received.
    pub tokens: u64,
    /// Answers by version.
    pub versions: BTreeMap<String, u64>,
    /// Time from the planned arrival to the first token, in microseconds.
    pub first_us: Histogram<u64>,
    /// Time from sending to the first token, in microseconds.
    pub first_from_send_us: Histogram<u64>,
    /// Longest time between two tokens of each answer, in microseconds.
    pub gap_us: Histogram<u64>,
    /// Time from sending to a refusal, in microseconds.
    pub refusal_us: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            sent: 0,
            answered: 0,
            refused: BTreeMap::new(),
            uncertain: 0,
            lost: Vec::new(),
            wrong: Vec::new(),
            tokens: 0,
            versions: BTreeMap::new(),
            first_us: histogram(),
            first_from_send_us: histogram(),
            gap_us: histogram(),
            refusal_us: histogram(),
        }
    }
}

impl Tally {
    /// Counts the end of a request that was sent so much later than planned.
    pub fn add(&mut self, outcome: Outcome, delay: Duration) {
        self.sent += 1;
        match outcome {
            Outcome::Whole(answer) => {
                self.answered += 1;
                self.tokens += answer.tokens;
                record(&mut self.first_us, answer.first + delay);
                record(&mut self.first_from_send_us, answer.first);
                record(&mut self.gap_us, answer.longest_gap);
                *self.versions.entry(answer.version).or_default() += 1;
            }
            Outcome::Refused(refused) => {
                *self.refused.entry(refused.code).or_default() += 1;
                self.uncertain += u64::from(refused.run != "not run");
                record(&mut self.refusal_us, refused.took);
            }
            Outcome::Lost(what) => self.lost.push(what),
            Outcome::Wrong(what) => self.wrong.push(what),
        }
    }

    /// Adds the counts of another tally.
    pub fn merge(&mut self, other: Self) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.uncertain += other.uncertain;
        self.tokens += other.tokens;
        self.lost.extend(other.lost);
        self.wrong.extend(other.wrong);
        for (code, count) in other.refused {
            *self.refused.entry(code).or_default() += count;
        }
        for (version, count) in other.versions {
            *self.versions.entry(version).or_default() += count;
        }
        merge(&mut self.first_us, &other.first_us);
        merge(&mut self.first_from_send_us, &other.first_from_send_us);
        merge(&mut self.gap_us, &other.gap_us);
        merge(&mut self.refusal_us, &other.refusal_us);
    }

    /// All refusals.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Quantile of the time from the planned arrival to the first token, in milliseconds.
    pub fn first_ms(&self, quantile: f64) -> f64 {
        self.first_us.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Sends the requests through the balancer and waits for all of them to end.
pub async fn run_load(load: Load, caller: &Caller, balancer: &Arc<Balancer>) -> Tally {
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut requests = JoinSet::new();
    let mut tally = Tally::default();
    let mut number = 0;
    loop {
        due += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / load.rate);
        if due >= load.duration {
            break;
        }
        tokio::time::sleep_until((start + due).into()).await;
        let ask = (load.make)(number);
        number += 1;
        requests.spawn(one(start + due, ask, caller.clone(), Arc::clone(balancer)));
        while let Some(Ok((outcome, delay))) = requests.try_join_next() {
            tally.add(outcome, delay);
        }
    }
    while let Some(Ok((outcome, delay))) = requests.join_next().await {
        tally.add(outcome, delay);
    }
    tally
}

async fn one(
    planned: Instant,
    ask: Ask,
    caller: Caller,
    balancer: Arc<Balancer>,
) -> (Outcome, Duration) {
    let Some(addr) = balancer.pick() else {
        return (
            Outcome::Lost("no entry is ready".to_owned()),
            Duration::ZERO,
        );
    };
    let delay = planned.elapsed();
    let outcome = match ask {
        Ask::Chat(chat) => caller.chat(addr, &chat).await,
        Ask::Service(call) => caller.call(addr, &call).await,
    };
    (outcome, delay)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_US, DIGITS).expect("bounds of the histogram are valid")
}

fn record(histogram: &mut Histogram<u64>, value: Duration) {
    histogram.saturating_record(u64::try_from(value.as_micros()).unwrap_or(MAX_US));
}

fn merge(into: &mut Histogram<u64>, from: &Histogram<u64>) {
    into.add(from).expect("histograms have the same bounds");
}
