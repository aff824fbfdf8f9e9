//! Prefix cache of prompts, with a bounded number of blocks.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Size of a prompt block, in bytes.
const BLOCK_BYTES: usize = 64;

/// Prompt blocks, each keyed by the hash of the prompt up to the end of the block.
#[derive(Debug)]
pub(super) struct PrefixCache {
    /// Maximum number of blocks.
    capacity: usize,
    /// Value of `clock` at the last use of each block.
    ///
    /// Invariant: holds at most `capacity` blocks between calls.
    blocks: HashMap<u64, u64>,
    /// Number of look-ups so far.
    clock: u64,
}

/// Result of a look-up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Lookup {
    /// Number of blocks of the prompt.
    pub blocks: u64,
    /// Number of leading blocks found in the cache.
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

    /// Looks a prompt up and adds its blocks to the cache.
    pub fn look_up(&mut self, prompt: &str) -> Lookup {
        self.clock += 1;
        let hashes = prefix_hashes(prompt);
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

    /// Evicts the least recently used blocks. Blocks last used by the same look-up are evicted
    /// together.
    fn evict(&mut self) {
        if self.blocks.len() <= self.capacity {
            return;
        }
        let mut uses = self.blocks.values().copied().collect::<Vec<_>>();
        uses.sort_unstable();
        let newest_evicted = uses[uses.len() - self.capacity.max(1)];
        self.blocks.retain(|_, used| *used > newest_evicted);
    }
}

fn prefix_hashes(prompt: &str) -> Vec<u64> {
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
