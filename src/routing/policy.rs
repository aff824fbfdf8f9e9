//! Policies that choose among the endpoints that may run a request.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;

pub use crate::settings::RoutingPolicy as Policy;
use crate::types::EndpointId;
use crate::wire::EndpointState;

use super::Endpoint;
use super::affinity::homes;

/// An endpoint whose first token takes this many times the usual is slow.
const SLOW_FACTOR: f64 = 2.0;
/// First-token time below which no endpoint is called slow, in seconds.
const SLOW_FLOOR: f64 = 0.02;
/// Load above the mean, as a factor, up to which a prefix stays with its home.
const HOME_BOUND: f64 = 1.25;

/// What a request wants of its endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Criteria<'a> {
    /// Digest of the prompt's leading part.
    pub prefix: Option<&'a str>,
    /// Time until an endpoint that is not slow is likely to have a free place.
    pub expected_wait: Duration,
}

/// An endpoint that may run the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// Share of its places that are open to new work.
    pub open_share: f64,
}

/// Chooses endpoints by a policy.
#[derive(Debug)]
pub struct Chooser {
    policy: Policy,
    turn: usize,
}

impl Chooser {
    /// A chooser for a policy.
    pub fn new(policy: Policy) -> Self {
        Self { policy, turn: 0 }
    }

    /// Chooses an endpoint; `None` when the request had better wait.
    pub fn choose(
        &mut self,
        now: Instant,
        choices: &[Candidate],
        want: Criteria,
        rng: &mut SmallRng,
    ) -> Option<EndpointId> {
        if choices.is_empty() {
            return None;
        }
        let chosen = match self.policy {
            Policy::Adaptive => return adaptive(now, choices, want, rng),
            Policy::Random => &choices[rng.random_range(0..choices.len())],
            Policy::RoundRobin => self.next(choices),
            Policy::LeastReported => least_reported(choices)?,
        };
        Some(chosen.endpoint.id.clone())
    }

    fn next<'a, 'b>(&mut self, choices: &'b [Candidate<'a>]) -> &'b Candidate<'a> {
        self.turn = self.turn.wrapping_add(1);
        &choices[self.turn % choices.len()]
    }
}

fn least_reported<'a, 'b>(choices: &'b [Candidate<'a>]) -> Option<&'b Candidate<'a>> {
    choices.iter().min_by(|a, b| {
        let load = |choice: &Candidate| {
            f64::from(choice.endpoint.reported) / f64::from(choice.endpoint.limit.max(1))
        };
        load(a).total_cmp(&load(b))
    })
}

fn adaptive(
    now: Instant,
    choices: &[Candidate],
    want: Criteria,
    rng: &mut SmallRng,
) -> Option<EndpointId> {
    let usual = usual_first_token(now, choices);
    let (quick, slow): (Vec<&Candidate>, Vec<&Candidate>) = choices
        .iter()
        .partition(|choice| !is_slow(now, choice.endpoint, usual));
    let home = want.prefix.and_then(|prefix| at_home(&quick, prefix));
    home.or_else(|| two_choices(&quick, rng))
        .or_else(|| {
            let worth_it = |choice: &&Candidate| {
                let extra = choice.endpoint.first_token(now).unwrap_or(usual) - usual;
                quick.is_empty() || want.expected_wait.as_secs_f64() >= extra
            };
            let slow: Vec<&Candidate> = slow.into_iter().filter(worth_it).collect();
            two_choices(&slow, rng)
        })
        .map(|endpoint| endpoint.id.clone())
}

/// First-token time in seconds of the better half of the endpoints.
pub fn usual_first_token(now: Instant, choices: &[Candidate]) -> f64 {
    let mut known: Vec<f64> = choices
        .iter()
        .filter_map(|choice| choice.endpoint.first_token(now))
        .collect();
    if known.is_empty() {
        return 0.0;
    }
    known.sort_unstable_by(f64::total_cmp);
    known[known.len() / 4]
}

fn is_slow(now: Instant, endpoint: &Endpoint, usual: f64) -> bool {
    match endpoint.first_token(now) {
        Some(seconds) => seconds > SLOW_FLOOR.max(usual * SLOW_FACTOR),
        None => endpoint.state == EndpointState::Cold,
    }
}

/// The home of a prefix, while it has room and is not far busier than the others.
fn at_home<'a>(choices: &[&Candidate<'a>], prefix: &str) -> Option<&'a Endpoint> {
    let endpoints: Vec<&Endpoint> = choices.iter().map(|choice| choice.endpoint).collect();
    let mean = endpoints
        .iter()
        .map(|endpoint| endpoint.load())
        .sum::<f64>()
        / endpoints.len().max(1) as f64;
    homes(&endpoints, prefix)
        .into_iter()
        .find(|index| {
            let Candidate {
                endpoint,
                open_share,
            } = choices[*index];
            let bound = mean * HOME_BOUND + 1.0 / f64::from(endpoint.limit.max(1));
            endpoint.has_room(*open_share) && endpoint.load() <= bound
        })
        .map(|index| choices[index].endpoint)
}

/// The better of two random endpoints with room.
fn two_choices<'a>(choices: &[&Candidate<'a>], rng: &mut SmallRng) -> Option<&'a Endpoint> {
    let open: Vec<&'a Endpoint> = choices
        .iter()
        .filter(|choice| choice.endpoint.has_room(choice.open_share))
        .map(|choice| choice.endpoint)
        .collect();
    if open.is_empty() {
        return None;
    }
    let first = open[rng.random_range(0..open.len())];
    let second = open[rng.random_range(0..open.len())];
    Some(match cost(first) <= cost(second) {
        true => first,
        false => second,
    })
}

/// Prompts take turns at an engine, so those that wait for their first token count before load.
fn cost(endpoint: &Endpoint) -> (u32, f64) {
    (endpoint.pending(), endpoint.load())
}
