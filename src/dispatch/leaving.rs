//! Endpoint processes that are known to leave.

use std::collections::BTreeSet;

use super::endpoint::EndpointKey;

/// Maximum number of processes that are kept; those that started first are dropped.
const MAX_PROCESSES: usize = 4_096;

/// Processes that have announced that they leave, or that the list has named so. A process that leaves never
/// takes requests again, whatever the list says of it later: its next process has another incarnation.
#[derive(Clone, Debug, Default)]
pub(super) struct Leaving {
    /// Invariant: at most [`MAX_PROCESSES`].
    processes: BTreeSet<EndpointKey>,
}

impl Leaving {
    /// Adds a process. Returns false when it was known before.
    pub fn insert(&mut self, key: EndpointKey) -> bool {
        let is_new = self.processes.insert(key);
        if self.processes.len() > MAX_PROCESSES {
            self.processes.pop_first();
        }
        is_new
    }

    /// True when the process leaves.
    pub fn contains(&self, key: &EndpointKey) -> bool {
        self.processes.contains(key)
    }
}
