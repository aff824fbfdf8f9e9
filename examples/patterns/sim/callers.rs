//! Callers: request sizes, timeouts and retry behaviour.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Name; also the first segment of the request path.
    pub name: &'static str,
    /// Relative frequency; only the ratio to the other classes matters.
    pub share: f64,
    /// Mean and maximum prompt length in tokens.
    pub prompt: (f64, f64),
    /// Mean and maximum answer length in streamed events.
    pub events: (f64, f64),
    /// Longest time to the first event of an answer that is on time.
    pub start_goal: Duration,
    /// Value of an answer that is on time, and of one that is late.
    pub value: (f64, f64),
}

/// The streamed request classes, with the parameters that operators declare.
pub fn classes() -> [Class; 3] {
    let class = |name, share, prompt, events, start_goal_ms, value| Class {
        name,
        share,
        prompt,
        events,
        start_goal: Duration::from_millis(start_goal_ms),
        value,
    };
    [
        class(
            "plan",
            99.0,
            (1_330.0, 3_880.0),
            (24.0, 60.0),
            400,
            (2.5, 0.62),
        ),
        class(
            "help",
            70.8,
            (827.0, 3_330.0),
            (24.0, 60.0),
            400,
            (2.1, 0.53),
        ),
        class(
            "brief",
            83.0,
            (647.0, 2_640.0),
            (11.6, 60.0),
            300,
            (1.3, 0.33),
        ),
    ]
}

/// Time from their arrival for which callers wait for the whole answer.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(6_000);

/// A caller with the state and outcome of its request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Class of its request.
    pub class: Class,
    /// Index of its zone.
    pub zone: usize,
    /// Fraction of its remaining time that it sends as the timeout; differs between callers.
    pub timeout_factor: f64,
    /// Time of its arrival, since the start of the simulation.
    pub arrived_at: Duration,
    /// Prompt length in tokens.
    pub prompt: f64,
    /// Number of events in the whole answer.
    pub events: u32,
    /// Refusals that it will still follow with a retry.
    pub retries_left: u32,
    /// True when it retries without delay instead of after the delay that the refusal states.
    pub is_abusive: bool,
    /// Time after its arrival at which it disconnects unless its answer has started.
    pub departs_after: Option<Duration>,
    /// Index of the entry that admitted the request, and its ticket there.
    pub ticket: Option<(usize, u64)>,
    /// Index of the engine that the current attempt was sent to.
    pub engine: Option<usize>,
    /// Time at which the last delivered attempt was sent, and the number of requests that were at
    /// its engine when it arrived.
    pub last_send: Option<(Duration, u32)>,
    /// Number of attempts so far, over all entries; identifies the current one.
    pub attempt: u32,
    /// Number of events received, over all attempts.
    pub events_received: u32,
    /// Arrival time of the first event.
    pub first_event: Option<Duration>,
    /// Arrival time of the last event so far.
    pub last_event: Duration,
    /// Longest time between two consecutive events.
    pub max_gap: Duration,
    /// Number of refusals so far.
    pub refusals: u32,
    /// Outcome of the request; `None` while it is in progress.
    pub outcome: Option<RequestOutcome>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The whole answer arrived.
    Answered,
    /// It was refused and its caller did not retry again.
    Refused,
    /// It ended without an answer.
    Lost,
    /// Its caller disconnected before the answer started.
    Departed,
}

impl Caller {
    /// Creates a caller with a random class, sizes and timeout.
    pub fn random(rng: &mut SmallRng, zone: usize, arrived_at: Duration) -> Self {
        let classes = classes();
        let total: f64 = classes.iter().map(|class| class.share).sum();
        let mut remaining = rng.random_range(0.0..total);
        let class = classes.into_iter().find(|class| {
            remaining -= class.share;
            remaining < 0.0
        });
        let class = class.unwrap_or(classes[0]);
        let (mean, max) = class.events;
        Self {
            prompt: sample_length(rng, class.prompt.0, class.prompt.1),
            events: sample_length(rng, mean, max).round().max(1.0) as u32,
            class,
            zone,
            timeout_factor: rng.random_range(0.85..1.0),
            arrived_at,
            retries_left: 1,
            is_abusive: false,
            departs_after: None,
            ticket: None,
            engine: None,
            last_send: None,
            attempt: 0,
            events_received: 0,
            first_event: None,
            last_event: arrived_at,
            max_gap: Duration::ZERO,
            refusals: 0,
            outcome: None,
        }
    }
}

/// Samples a long-tailed length with the given mean, clamped to 1..=`max`.
fn sample_length(rng: &mut SmallRng, mean: f64, max: f64) -> f64 {
    /// Standard deviation of the logarithm; the 90th percentile is about three times the median.
    const SIGMA: f64 = 0.85;
    let mu = mean.ln() - SIGMA * SIGMA / 2.0;
    let length = LogNormal::new(mu, SIGMA).map_or(mean, |lengths| lengths.sample(rng));
    length.clamp(1.0, max)
}
