//! Chunks in memory, shared by fetches, requests of peers and the staging of engines.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;

use crate::types::Digest;

use super::bitmap::ChunkSet;
use super::core::Have;
use super::manifest::Manifest;

/// Manifests and verified chunks of the versions that the decision logic has opened.
///
/// Invariant: a chunk is in the store only after its digest was verified.
#[derive(Debug, Default)]
pub struct ChunkStore {
    versions: Mutex<HashMap<Digest, Version>>,
}

#[derive(Debug)]
struct Version {
    manifest: Arc<Manifest>,
    manifest_bytes: Bytes,
    have: ChunkSet,
    chunks: Vec<Option<Bytes>>,
}

impl ChunkStore {
    /// Creates the entry of a version; an existing entry is kept with its chunks.
    pub fn open(&self, version: &Digest, manifest: Arc<Manifest>, manifest_bytes: Bytes) {
        let chunks = vec![None; manifest.chunks.len()];
        self.lock().entry(version.clone()).or_insert(Version {
            manifest,
            manifest_bytes,
            have: ChunkSet::default(),
            chunks,
        });
    }

    /// Removes a version and frees its memory.
    pub fn remove(&self, version: &Digest) {
        self.lock().remove(version);
    }

    /// Stores a verified chunk, unless the version was removed.
    pub fn insert(&self, version: &Digest, index: u32, chunk: Bytes) {
        let mut versions = self.lock();
        let Some(version) = versions.get_mut(version) else {
            return;
        };
        if let Some(stored) = version.chunks.get_mut(index as usize) {
            // A slice of a connection's read buffer would keep the whole buffer in memory.
            *stored = Some(Bytes::copy_from_slice(&chunk));
            version.have.insert(index);
        }
    }

    /// Returns the bytes of a chunk.
    pub fn chunk(&self, version: &str, index: u32) -> Option<Bytes> {
        let versions = self.lock();
        versions.get(version)?.chunks.get(index as usize)?.clone()
    }

    /// Returns the bytes of a manifest.
    pub fn manifest_bytes(&self, version: &str) -> Option<Bytes> {
        Some(self.lock().get(version)?.manifest_bytes.clone())
    }

    /// Returns the manifest of an open version.
    pub fn manifest(&self, version: &str) -> Option<Arc<Manifest>> {
        Some(self.lock().get(version)?.manifest.clone())
    }

    /// Returns what the host holds of a version.
    pub fn have(&self, version: &str) -> Have {
        match self.lock().get(version) {
            Some(version) => Have::Chunks(version.have.clone()),
            None => Have::Nothing,
        }
    }

    /// Returns the size of all chunks in memory, in bytes.
    pub fn bytes(&self) -> u64 {
        let versions = self.lock();
        let chunks = versions.values().flat_map(|version| &version.chunks);
        chunks.flatten().map(|chunk| chunk.len() as u64).sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Digest, Version>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
