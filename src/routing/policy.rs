//! Routing policies that choose among the endpoints that may run a request.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;

pub use crate::settings::RoutingPolicy as Policy;
use crate::types::EndpointId;
use crate::wire::EndpointState;

use super::Endpoint;
use super::affinity::homes;

/// Factor on the usual first-token time above which an endpoint is slow.
const SLOW_FACTOR: f64 = 2.0;
/// First-token time in seconds up to which no endpoint is slow.
const MIN_SLOW_FIRST_TOKEN_S: f64 = 0.02;
/// Factor on the mean load up to which a prefix stays at an endpoint that it has affinity to.
const MAX_HOME_LOAD_FACTOR: f64 = 1.25;

/// Properties of a request that influence the choice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Criteria<'a> {
    /// Digest of the prompt's prefix.
    pub prefix: Option<&'a str>,
    /// Expected wait until an endpoint that is not slow has a free slot.
    pub expected_wait: Duration,
}

/// An endpoint that may run the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// Share of its slots that are open to new requests.
    pub open_share: f64,
}

/// Chooses endpoints by a policy.
#[derive(Debug)]
pub struct Chooser {
    policy: Policy,
    /// Counter of the round-robin policy.
    turn: usize,
}

impl Chooser {
    /// Creates a chooser for a policy.
    pub fn new(policy: Policy) -> Self {
        Self { policy, turn: 0 }
    }

    /// Chooses an endpoint; `None` when the request should wait.
    pub fn choose(
        &mut self,
        now: Instant,
        candidates: &[Candidate],
        criteria: Criteria,
        rng: &mut SmallRng,
    ) -> Option<EndpointId> {
        if candidates.is_empty() {
            return None;
        }
        let chosen = match self.policy {
            Policy::Adaptive => return adaptive(now, candidates, criteria, rng),
            Policy::Random => &candidates[rng.random_range(0..candidates.len())],
            Policy::RoundRobin => self.next_in_turn(candidates),
            Policy::LeastReported => least_reported(candidates)?,
        };
        Some(chosen.endpoint.id.clone())
    }

    fn next_in_turn<'a, 'b>(&mut self, candidates: &'b [Candidate<'a>]) -> &'b Candidate<'a> {
        self.turn = self.turn.wrapping_add(1);
        &candidates[self.turn % candidates.len()]
    }
}

/// Endpoint with the lowest load by the agents' last reports.
fn least_reported<'a, 'b>(candidates: &'b [Candidate<'a>]) -> Option<&'b Candidate<'a>> {
    candidates.iter().min_by(|a, b| {
        let load = |candidate: &Candidate| {
            f64::from(candidate.endpoint.reported) / f64::from(candidate.endpoint.limit.max(1))
        };
        load(a).total_cmp(&load(b))
    })
}

/// Prefers affinity, then the better of two endpoints that are not slow, then a slow one if its
/// extra time is shorter than the expected wait.
fn adaptive(
    now: Instant,
    candidates: &[Candidate],
    criteria: Criteria,
    rng: &mut SmallRng,
) -> Option<EndpointId> {
    let usual = usual_first_token(now, candidates);
    let (fast, slow): (Vec<&Candidate>, Vec<&Candidate>) = candidates
        .iter()
        .partition(|candidate| !is_slow(now, candidate.endpoint, usual));
    let home = criteria
        .prefix
        .and_then(|prefix| home_with_room(&fast, prefix));
    home.or_else(|| two_choices(&fast, rng))
        .or_else(|| {
            let beats_waiting = |candidate: &&Candidate| {
                let extra = candidate.endpoint.first_token(now).unwrap_or(usual) - usual;
                fast.is_empty() || criteria.expected_wait.as_secs_f64() >= extra
            };
            let slow: Vec<&Candidate> = slow.into_iter().filter(beats_waiting).collect();
            two_choices(&slow, rng)
        })
        .map(|endpoint| endpoint.id.clone())
}

/// Usual first-token time in seconds: the lower quartile over the endpoints, 0 when none is known.
pub fn usual_first_token(now: Instant, candidates: &[Candidate]) -> f64 {
    let mut known: Vec<f64> = candidates
        .iter()
        .filter_map(|candidate| candidate.endpoint.first_token(now))
        .collect();
    if known.is_empty() {
        return 0.0;
    }
    known.sort_unstable_by(f64::total_cmp);
    known[known.len() / 4]
}

fn is_slow(now: Instant, endpoint: &Endpoint, usual: f64) -> bool {
    match endpoint.first_token(now) {
        Some(seconds) => seconds > MIN_SLOW_FIRST_TOKEN_S.max(usual * SLOW_FACTOR),
        None => endpoint.state == EndpointState::Cold,
    }
}

/// Endpoint that the prefix has affinity to, if one has a free slot and is not far more loaded than
/// the mean.
fn home_with_room<'a>(candidates: &[&Candidate<'a>], prefix: &str) -> Option<&'a Endpoint> {
    let endpoints: Vec<&Endpoint> = candidates
        .iter()
        .map(|candidate| candidate.endpoint)
        .collect();
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
            } = candidates[*index];
            let bound = mean * MAX_HOME_LOAD_FACTOR + 1.0 / f64::from(endpoint.limit.max(1));
            endpoint.has_room(*open_share) && endpoint.load() <= bound
        })
        .map(|index| candidates[index].endpoint)
}

/// Power of two choices: the better of two random endpoints with a free slot.
fn two_choices<'a>(candidates: &[&Candidate<'a>], rng: &mut SmallRng) -> Option<&'a Endpoint> {
    let available: Vec<&'a Endpoint> = candidates
        .iter()
        .filter(|candidate| candidate.endpoint.has_room(candidate.open_share))
        .map(|candidate| candidate.endpoint)
        .collect();
    if available.is_empty() {
        return None;
    }
    let first = available[rng.random_range(0..available.len())];
    let second = available[rng.random_range(0..available.len())];
    Some(match cost(first) <= cost(second) {
        true => first,
        false => second,
    })
}

/// Comparison key: an engine processes prompts one after another, so requests that wait for their
/// first token weigh more than load.
fn cost(endpoint: &Endpoint) -> (u32, f64) {
    (endpoint.pending(), endpoint.load())
}
