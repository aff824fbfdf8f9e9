//! Open-loop load: requests are sent at a given rate, however fast they are answered.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

use super::caller::{Caller, Chat, ServiceCall};
use super::{Balancer, Outcome};

/// Highest value that the histograms record, in microseconds.
const MAX_US: u64 = 120_000_000;
/// Number of significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A request of a load.
#[derive(Clone, Debug)]
pub enum LoadRequest {
    /// A request to a model.
    Chat(Chat),
    /// A call of a plain service.
    Service(ServiceCall),
}

/// Description of the requests to send.
pub struct Load {
    /// Mean requests per second of the Poisson process.
    pub rate: f64,
    /// Time over which requests are sent.
    pub duration: Duration,
    /// Creates the request with the given number, counted from 0.
    pub make_request: Box<dyn Fn(u64) -> LoadRequest + Send + Sync>,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// Counts and times of the requests, by outcome.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Refusals by code.
    pub refused: BTreeMap<u16, u64>,
    /// Refusals whose state is not `not run`.
    pub possibly_run: u64,
    /// Errors of the requests without a complete answer.
    pub lost: Vec<String>,
    /// Errors of the wrong answers.
    pub wrong: Vec<String>,
    /// Tokens received.
    pub tokens: u64,
    /// Answers by version.
    pub versions: BTreeMap<String, u64>,
    /// Time from the planned arrival to the first token, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Time from sending to the first token, in microseconds.
    pub first_token_from_send_us: Histogram<u64>,
    /// Longest time between two consecutive tokens of each answer, in microseconds.
    pub token_gap_us: Histogram<u64>,
    /// Time from sending to a refusal, in microseconds.
    pub refusal_us: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            sent: 0,
            answered: 0,
            refused: BTreeMap::new(),
            possibly_run: 0,
            lost: Vec::new(),
            wrong: Vec::new(),
            tokens: 0,
            versions: BTreeMap::new(),
            first_token_us: histogram(),
            first_token_from_send_us: histogram(),
            token_gap_us: histogram(),
            refusal_us: histogram(),
        }
    }
}

impl Tally {
    /// Counts the outcome of a request that was sent `delay` after its planned arrival.
    pub fn add(&mut self, outcome: Outcome, delay: Duration) {
        self.sent += 1;
        match outcome {
            Outcome::Complete(answer) => {
                self.answered += 1;
                self.tokens += answer.tokens;
                record(&mut self.first_token_us, answer.first_token + delay);
                record(&mut self.first_token_from_send_us, answer.first_token);
                record(&mut self.token_gap_us, answer.longest_gap);
                *self.versions.entry(answer.version).or_default() += 1;
            }
            Outcome::Refused(refused) => {
                *self.refused.entry(refused.code).or_default() += 1;
                self.possibly_run += u64::from(refused.run_state != "not run");
                record(&mut self.refusal_us, refused.took);
            }
            Outcome::Lost(error) => self.lost.push(error),
            Outcome::Wrong(error) => self.wrong.push(error),
        }
    }

    /// Adds the counts of another tally.
    pub fn merge(&mut self, other: Self) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.possibly_run += other.possibly_run;
        self.tokens += other.tokens;
        self.lost.extend(other.lost);
        self.wrong.extend(other.wrong);
        for (code, count) in other.refused {
            *self.refused.entry(code).or_default() += count;
        }
        for (version, count) in other.versions {
            *self.versions.entry(version).or_default() += count;
        }
        merge(&mut self.first_token_us, &other.first_token_us);
        merge(
            &mut self.first_token_from_send_us,
            &other.first_token_from_send_us,
        );
        merge(&mut self.token_gap_us, &other.token_gap_us);
        merge(&mut self.refusal_us, &other.refusal_us);
    }

    /// Returns the number of refusals of all codes.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Returns a quantile of the time from the planned arrival to the first token, in milliseconds.
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        self.first_token_us.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Sends the requests through the balancer and waits until all of them have an outcome.
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
        let request = (load.make_request)(number);
        number += 1;
        requests.spawn(send_request(
            start + due,
            request,
            caller.clone(),
            Arc::clone(balancer),
        ));
        while let Some(Ok((outcome, delay))) = requests.try_join_next() {
            tally.add(outcome, delay);
        }
    }
    while let Some(Ok((outcome, delay))) = requests.join_next().await {
        tally.add(outcome, delay);
    }
    tally
}

/// Sends one request. Returns its outcome and how much later than `planned` it was sent.
async fn send_request(
    planned: Instant,
    request: LoadRequest,
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
    let outcome = match request {
        LoadRequest::Chat(chat) => caller.chat(addr, &chat).await,
        LoadRequest::Service(call) => caller.call(addr, &call).await,
    };
    (outcome, delay)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS).expect("bounds of the histogram are valid")
}

fn record(histogram: &mut Histogram<u64>, value: Duration) {
    histogram.saturating_record(u64::try_from(value.as_micros()).unwrap_or(MAX_US));
}

fn merge(into: &mut Histogram<u64>, from: &Histogram<u64>) {
    into.add(from).expect("histograms have the same bounds");
}
