//! Prefix cache with bounded memory.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Size of a prompt block, in bytes.
const BLOCK_BYTES: usize = 64;

/// Blocks of prompts, each under the hash of all text up to its end.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    /// Last use of each block.
    ///
    /// Invariant: holds at most `capacity` blocks between calls.
    blocks: HashMap<u64, u64>,
    clock: u64,
}

/// Outcome of a look-up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Lookup {
    /// Blocks of the prompt.
    pub blocks: u64,
    /// Leading blocks found in the cache.
    pub hits: u64,
}

impl PrefixCache {
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: HashMap::new(),
            clock: 0,
        }
    }

    /// Looks a prompt up and keeps its blocks.
    pub fn look_up(&mut self, prompt: &str) -> Lookup {
        self.clock += 1;
        let hashes = chain(prompt);
        let hits = hashes
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash))
            .count();
        for hash in &hashes {
            self.blocks.insert(*hash, self.clock);
        }
        self.evict();
        Lookup {
            blocks: hashes.len() as u64,
            hits: hits as u64,
        }
    }

    pub fn clear(&mut self) {
        self.blocks.clear();
    }

    fn evict(&mut self) {
        if self.blocks.len() <= self.capacity {
            return;
        }
        let mut uses = self.blocks.values().copied().collect::<Vec<_>>();
        uses.sort_unstable();
        let oldest_kept = uses[uses.len() - self.capacity.max(1)];
        self.blocks.retain(|_, used| *used > oldest_kept);
    }
}

fn chain(prompt: &str) -> Vec<u64> {
    let mut hasher = DefaultHasher::new();
    prompt
        .as_bytes()
        .chunks(BLOCK_BYTES)
        .map(|block| {
            block.hash(&mut hasher);
            hasher.finish()
        })
        .collect()
}
