//! Set of chunk indexes as a bitmap.

const WORD_BITS: usize = 64;
const WORD_BYTES: usize = 8;

/// Set of chunk indexes of one version, one bit per chunk.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChunkSet {
    words: Vec<u64>,
}

impl ChunkSet {
    /// Decodes a set from little-endian 64-bit words; the last word may be shortened.
    pub fn from_bytes(buf: &[u8]) -> Self {
        let words = buf.chunks(WORD_BYTES).map(|part| {
            let mut word = [0; WORD_BYTES];
            word[..part.len()].copy_from_slice(part);
            u64::from_le_bytes(word)
        });
        Self {
            words: words.collect(),
        }
    }

    /// Encodes the set as little-endian 64-bit words.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.words
            .iter()
            .flat_map(|word| word.to_le_bytes())
            .collect()
    }

    /// True when the set contains the index.
    pub fn contains(&self, index: u32) -> bool {
        let (word, bit) = position(index);
        self.words.get(word).is_some_and(|word| word & bit != 0)
    }

    /// Adds an index; returns true when it was not in the set.
    pub fn insert(&mut self, index: u32) -> bool {
        let (word, bit) = position(index);
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let new = self.words[word] & bit == 0;
        self.words[word] |= bit;
        new
    }

    /// Removes an index.
    pub fn remove(&mut self, index: u32) {
        let (word, bit) = position(index);
        if let Some(word) = self.words.get_mut(word) {
            *word &= !bit;
        }
    }

    /// Removes every index that is not below `len`.
    pub fn truncate(&mut self, len: u32) {
        let len = len as usize;
        self.words.truncate(len.div_ceil(WORD_BITS));
        if !len.is_multiple_of(WORD_BITS)
            && let Some(word) = self.words.get_mut(len / WORD_BITS)
        {
            *word &= (1 << (len % WORD_BITS)) - 1;
        }
    }

    /// Number of indexes in the set.
    pub fn len(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// True when the set contains no index.
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    /// Iterates over the indexes in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.words.iter().enumerate().flat_map(|(at, word)| {
            let base = (at * WORD_BITS) as u32;
            std::iter::successors(Some(*word), |rest| Some(rest & rest.wrapping_sub(1)))
                .take_while(|rest| *rest != 0)
                .map(move |rest| base + rest.trailing_zeros())
        })
    }

    /// Adds every index of `other`.
    pub fn union_with(&mut self, other: &Self) {
        if self.words.len() < other.words.len() {
            self.words.resize(other.words.len(), 0);
        }
        self.words
            .iter_mut()
            .zip(&other.words)
            .for_each(|(word, other)| *word |= other);
    }

    /// Removes every index of `other`.
    pub fn subtract(&mut self, other: &Self) {
        self.words
            .iter_mut()
            .zip(&other.words)
            .for_each(|(word, other)| *word &= !other);
    }

    /// Bytes of heap memory that the set uses.
    pub fn memory(&self) -> usize {
        self.words.capacity() * WORD_BYTES
    }
}

impl FromIterator<u32> for ChunkSet {
    fn from_iter<I: IntoIterator<Item = u32>>(indexes: I) -> Self {
        let mut set = Self::default();
        indexes.into_iter().for_each(|index| {
            set.insert(index);
        });
        set
    }
}

fn position(index: u32) -> (usize, u64) {
    let index = index as usize;
    (index / WORD_BITS, 1 << (index % WORD_BITS))
}
