//! Policies that choose among the endpoints that may run a request.

use rand::Rng;
use rand::rngs::SmallRng;

use super::Endpoint;

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// Prefix affinity, else the better of two random choices by load and latency.
    #[default]
    Adaptive,
    /// Baseline: any endpoint.
    Random,
    /// Baseline: the endpoints in turn.
    RoundRobin,
    /// Baseline: the lowest load as last reported.
    LeastReported,
}

/// Chooses among endpoints with a free place.
pub fn choose(candidates: &[&Endpoint], rng: &mut SmallRng) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let first = rng.random_range(0..candidates.len());
    let second = rng.random_range(0..candidates.len());
    let better = candidates[first].load() <= candidates[second].load();
    Some(if better { first } else { second })
}
