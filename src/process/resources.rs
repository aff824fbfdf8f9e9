//! What a process may hold for its callers, derived from the memory and the descriptors that it has.

/// Memory that a process takes without callers: its code, the configuration, the lists of endpoints, and
/// one answer of the store that is being read.
const BASE_MEMORY: u64 = 32 << 20;
/// Share of the memory that the objects of the store may take together, of all kinds: those that are kept
/// and those of lists that arrive. At most half of `BASE_MEMORY`.
const OBJECT_SHARE: f64 = 1.0 / 16.0;
/// Collections among which that memory is divided: for each of four kinds, what is kept and what arrives.
const OBJECT_COLLECTIONS: usize = 8;
/// Share of the rest that connections may take together.
const CONNECTION_SHARE: f64 = 0.4;
/// Share of the rest that request bodies may take together. What remains is for answers and for memory
/// that the allocator keeps.
const BODY_SHARE: f64 = 0.35;
/// The same for the sake of one body, when the configuration allows large ones.
const MAX_BODY_SHARE: f64 = 0.55;
/// Memory for request bodies however little a process has, in bytes: one body of the usual limit.
const MIN_BODY_MEMORY: usize = 4 << 20;
/// Memory of one connection in the middle of a body: its task, a head of 24 KB in the buffer that it came in, a buffer
/// for what follows, and a body too small for the budget of bodies.
const CONNECTION_BYTES: u64 = 64 * 1024;
/// Descriptors for files, which the platform counts apart from sockets.
const FILE_DESCRIPTORS: usize = 200;
/// Share of the other descriptors that connections of callers may take; the rest is for endpoints, the
/// store, peers and the readiness check.
const CALLER_DESCRIPTOR_SHARE: f64 = 0.875;
/// Fewest connections of callers, whatever the limits.
const MIN_CONNECTIONS: usize = 16;

/// Limits of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessResources {
    /// Memory in bytes.
    pub memory: u64,
    /// Files and sockets.
    pub descriptors: usize,
}

impl Default for ProcessResources {
    /// The limits of the platform's example.
    fn default() -> Self {
        Self {
            memory: 260 << 20,
            descriptors: 4_100,
        }
    }
}

impl ProcessResources {
    /// Largest number of connections of callers, at most `max`.
    pub fn caller_connections(self, max: usize) -> usize {
        let by_memory = (self.spare_memory() as f64 * CONNECTION_SHARE) as u64 / CONNECTION_BYTES;
        let sockets = self.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let by_descriptors = (sockets as f64 * CALLER_DESCRIPTOR_SHARE) as usize;
        max.min(by_memory as usize)
            .min(by_descriptors)
            .max(MIN_CONNECTIONS)
    }

    /// Memory in bytes that all request bodies may take together: that for one of `largest` bytes at least, if
    /// the process has so much.
    pub fn body_memory(self, largest: usize) -> usize {
        let spare = self.spare_memory() as f64;
        let most = ((spare * MAX_BODY_SHARE) as usize).max(MIN_BODY_MEMORY);
        ((spare * BODY_SHARE) as usize).max(largest).min(most)
    }

    /// Memory in bytes that the objects of the store of one kind may take, once while they are kept and once more
    /// while a list of them arrives.
    pub fn objects_of_a_kind(self) -> usize {
        let all = (self.memory as f64 * OBJECT_SHARE) as usize;
        all.min(BASE_MEMORY as usize / 2) / OBJECT_COLLECTIONS
    }

    fn spare_memory(self) -> u64 {
        self.memory.saturating_sub(BASE_MEMORY)
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::ProcessResources;

    const BODY_BYTES: usize = 4 << 20;

    // Guards against limits whose sum is more than a process has.
    #[rstest]
    #[case::smallest_host(160, 4_100)]
    #[case::example(260, 4_100)]
    #[case::large(512, 8_192)]
    #[case::many_descriptors(160, 100_000)]
    #[case::few_descriptors(512, 400)]
    fn what_callers_may_hold_fits(#[case] megabytes: u64, #[case] descriptors: usize) {
        let memory = megabytes << 20;
        let resources = ProcessResources {
            memory,
            descriptors,
        };
        let connections = resources.caller_connections(usize::MAX);
        // A head of 24 KB and as much again for the task and the small body.
        let held = connections as u64 * 48 * 1024 + resources.body_memory(BODY_BYTES) as u64;
        assert!(held + (32 << 20) <= memory, "{held}");
        assert!(connections + 200 < descriptors, "{connections}");
    }

    // Guards against a configuration whose largest body is more than a process has.
    #[test]
    fn a_limit_on_bodies_beyond_the_memory_does_not_lift_the_budget() {
        let resources = ProcessResources {
            memory: 260 << 20,
            descriptors: 4_100,
        };
        assert!(resources.body_memory(1 << 30) < 160 << 20);
        assert!(resources.body_memory(64 << 20) >= 64 << 20);
    }

    #[test]
    fn a_process_with_little_memory_takes_one_largest_body_and_some_connections() {
        let resources = ProcessResources {
            memory: 16 << 20,
            descriptors: 64,
        };
        assert_eq!(resources.body_memory(BODY_BYTES), BODY_BYTES);
        assert!(resources.caller_connections(1_000) > 0);
    }
}
