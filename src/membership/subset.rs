//! Bounded, deterministic subset of the agents for each entry.
//!
//! The subsets are chosen per agent: the entries with the highest rendezvous weights for an agent
//! cover it. Every agent, and so every availability zone, is therefore covered by the same number
//! of entries, and when an entry joins or leaves only the agents that it covers are reassigned.

use std::collections::BTreeSet;

use crate::types::EntryId;

/// Density of the control connections between entries and agents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mesh {
    /// Number of agents up to which every entry is connected to every agent.
    pub full_mesh_max: usize,
    /// Number of entries that cover each agent of a larger fleet.
    pub entries_per_agent: usize,
}

/// Rendezvous-hashing weight of a pair of names.
pub fn rendezvous_weight(left: &str, right: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(left.as_bytes());
    hasher.update(&[0]);
    hasher.update(right.as_bytes());
    let mut first_bytes = [0; 8];
    first_bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first_bytes)
}

/// Returns the `count` entries that keep a control connection to the agent on `host`.
pub fn covering_entries(
    entries: &BTreeSet<EntryId>,
    host: &str,
    count: usize,
) -> BTreeSet<EntryId> {
    let mut weighted: Vec<_> = entries
        .iter()
        .map(|entry| (rendezvous_weight(entry, host), entry))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted
        .into_iter()
        .take(count)
        .map(|(_, entry)| entry.clone())
        .collect()
}
