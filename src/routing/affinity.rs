//! Prefix affinity by rendezvous hashing: every entry ranks the endpoints alike.

use crate::membership::rendezvous_weight;

use super::Endpoint;

/// Endpoints tried in rendezvous order before affinity is given up.
const HOMES: usize = 2;

/// Indexes of the endpoints at which the prefix is kept, best first.
pub fn homes(endpoints: &[&Endpoint], prefix: &str) -> Vec<usize> {
    let mut ranked: Vec<(u64, usize)> = endpoints
        .iter()
        .enumerate()
        .map(|(index, endpoint)| (rendezvous_weight(prefix, &endpoint.id), index))
        .collect();
    let kept = HOMES.min(ranked.len());
    if kept < ranked.len() {
        ranked.select_nth_unstable_by(kept, |a, b| b.cmp(a));
    }
    ranked.truncate(kept);
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, index)| index).collect()
}
