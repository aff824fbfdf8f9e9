//! Manifest of a version: the digests of its chunks.

use std::sync::Arc;

use serde::Deserialize;
use sha2::{Digest as _, Sha256};

use crate::types::Digest;

use super::error::FetchError;

/// Maximum number of chunks of a version; it bounds the size of a manifest.
pub const MAX_CHUNKS: usize = 65_536;

/// Hash function of the chunk digests in a manifest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChunkHash {
    /// BLAKE3, used by the default manifest format.
    Blake3,
    /// SHA-256.
    Sha256,
}

/// A version's chunks and their digests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Manifest {
    /// Size of all chunks together, in bytes.
    pub size: u64,
    /// Size of each chunk except the last, in bytes.
    pub chunk_size: u64,
    /// Hash function of the digests.
    pub hash: ChunkHash,
    /// Digest of each chunk.
    ///
    /// Invariant: `size` divided by `chunk_size`, rounded up, is the number of digests.
    pub chunks: Vec<[u8; 32]>,
}

/// The JSON document that the origin and the weight store publish.
#[derive(Deserialize)]
struct ManifestDoc {
    size: u64,
    chunk_size: u64,
    chunks: Vec<Arc<str>>,
}

impl Manifest {
    /// Parses a manifest after checking that its bytes have the digest `expected`.
    ///
    /// # Errors
    ///
    /// [`FetchError::Corrupt`] when the digest differs or the text is not a valid manifest.
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

    /// Size of one chunk in bytes.
    pub fn chunk_len(&self, index: u32) -> u64 {
        let start = self.chunk_size * u64::from(index);
        self.chunk_size.min(self.size.saturating_sub(start))
    }

    /// True when the bytes have the digest of the chunk.
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
        let is_consistent = doc.chunk_size > 0
            && doc.chunks.len() <= MAX_CHUNKS
            && doc.size.div_ceil(doc.chunk_size) == doc.chunks.len() as u64;
        let chunks = doc.chunks.iter().map(|hex| {
            blake3::Hash::from_hex(hex.as_bytes())
                .map(|hash| *hash.as_bytes())
                .map_err(|_| FetchError::Corrupt)
        });
        let chunks = chunks.collect::<Result<Vec<_>, _>>()?;
        is_consistent
            .then_some(Self {
                size: doc.size,
                chunk_size: doc.chunk_size,
                hash: ChunkHash::Blake3,
                chunks,
            })
            .ok_or(FetchError::Corrupt)
    }
}

/// Digest of a manifest's bytes, which is the name of the version.
pub fn manifest_digest(buf: &[u8]) -> Digest {
    Arc::from(blake3::hash(buf).to_hex().as_str())
}
