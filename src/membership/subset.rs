//! Bounded, deterministic subset of the agents for each entry.
//!
//! The choice is made from the agent's side: the entries with the highest rendezvous weight for an
//! agent cover it. So every agent, and with it every availability zone, is covered by the same
//! number of entries, and an entry that comes or goes moves only its own agents.

use std::collections::BTreeSet;

use crate::types::EntryId;

/// Density of the control connections between entries and agents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mesh {
    /// Fleet up to which every entry is connected to every agent.
    pub full_mesh_max: usize,
    /// Entries that cover each agent of a larger fleet.
    pub entries_per_agent: usize,
}

/// Rendezvous weight of a pair of names.
pub fn rendezvous_weight(left: &str, right: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(left.as_bytes());
    hasher.update(&[0]);
    hasher.update(right.as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(head)
}

/// Entries that keep a control connection to the agent on `host`.
pub fn covering_entries(
    entries: &BTreeSet<EntryId>,
    host: &str,
    count: usize,
) -> BTreeSet<EntryId> {
    let mut ranked: Vec<_> = entries
        .iter()
        .map(|entry| (rendezvous_weight(entry, host), entry))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, entry)| entry.clone())
        .collect()
}
