//! Prompt-prefix affinity by rendezvous hashing: all entries rank the endpoints in the same order.

use crate::membership::rendezvous_weight;

use super::Endpoint;

/// Number of endpoints, in rendezvous order, that a prefix has affinity to.
const HOMES_PER_PREFIX: usize = 2;

/// Indexes of the endpoints that the prefix has affinity to, highest rank first.
pub fn homes(endpoints: &[&Endpoint], prefix: &str) -> Vec<usize> {
    let mut ranked: Vec<(u64, usize)> = endpoints
        .iter()
        .enumerate()
        .map(|(index, endpoint)| (rendezvous_weight(prefix, &endpoint.id), index))
        .collect();
    let count = HOMES_PER_PREFIX.min(ranked.len());
    if count < ranked.len() {
        ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
    }
    ranked.truncate(count);
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, index)| index).collect()
}
