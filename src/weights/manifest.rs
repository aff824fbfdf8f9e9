//! Manifest of a version: the digests of its chunks.

use std::sync::Arc;

use serde::Deserialize;
use sha2::{Digest as _, Sha256};

use crate::types::Digest;

use super::error::FetchError;

/// Chunks that one version may have, so that a manifest stays bounded.
pub const MAX_CHUNKS: usize = 65_536;

/// Hash function that a manifest's chunk digests are made with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChunkHash {
    /// BLAKE3, as the product publishes weights.
    Blake3,
    /// SHA-256.
    Sha256,
}

/// A version's chunks and their digests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Manifest {
    /// Bytes of all chunks.
    pub size: u64,
    /// Bytes of each chunk but the last.
    pub chunk_size: u64,
    /// Function that the digests are made with.
    pub hash: ChunkHash,
    /// Digest of each chunk.
    ///
    /// Invariant: as many as `size` takes in chunks of `chunk_size`.
    pub chunks: Vec<[u8; 32]>,
}

/// The manifest as origin and weight store publish it.
#[derive(Deserialize)]
struct ManifestDoc {
    size: u64,
    chunk_size: u64,
    chunks: Vec<Arc<str>>,
}

impl Manifest {
    /// Reads a manifest whose bytes must have the digest `expected`.
    ///
    /// # Errors
    ///
    /// [`FetchError::Corrupt`] when the digest differs or the text is no manifest.
    pub fn verify(buf: &[u8], expected: &str) -> Result<Self, FetchError> {
        if blake3::hash(buf).to_hex().as_str() != expected {
            return Err(FetchError::Corrupt);
        }
        let doc: ManifestDoc = serde_json::from_slice(buf).map_err(|_| FetchError::Corrupt)?;
        Self::try_from(doc)
    }

    /// Number of chunks.
    pub fn len(&self) -> u32 {
        self.chunks.len() as u32
    }

    /// True when the version has no chunk.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Bytes of one chunk.
    pub fn chunk_len(&self, index: u32) -> u64 {
        let start = self.chunk_size * u64::from(index);
        self.chunk_size.min(self.size.saturating_sub(start))
    }

    /// True when the bytes are those of the chunk.
    pub fn is_chunk(&self, index: u32, buf: &[u8]) -> bool {
        self.chunks
            .get(index as usize)
            .is_some_and(|digest| match self.hash {
                ChunkHash::Blake3 => blake3::hash(buf).as_bytes() == digest,
                ChunkHash::Sha256 => Sha256::digest(buf).as_slice() == digest,
            })
    }
}

impl TryFrom<ManifestDoc> for Manifest {
    type Error = FetchError;

    fn try_from(doc: ManifestDoc) -> Result<Self, FetchError> {
        let whole = doc.chunk_size > 0
            && doc.chunks.len() <= MAX_CHUNKS
            && doc.size.div_ceil(doc.chunk_size) == doc.chunks.len() as u64;
        let chunks = doc.chunks.iter().map(|hex| {
            blake3::Hash::from_hex(hex.as_bytes())
                .map(|hash| *hash.as_bytes())
                .map_err(|_| FetchError::Corrupt)
        });
        let chunks = chunks.collect::<Result<Vec<_>, _>>()?;
        whole
            .then_some(Self {
                size: doc.size,
                chunk_size: doc.chunk_size,
                hash: ChunkHash::Blake3,
                chunks,
            })
            .ok_or(FetchError::Corrupt)
    }
}

/// Digest of a manifest's bytes, as versions are named by.
pub fn manifest_digest(buf: &[u8]) -> Digest {
    Arc::from(blake3::hash(buf).to_hex().as_str())
}
