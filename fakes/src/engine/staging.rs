//! Staging area of the engine; keeps digests instead of the bytes themselves.

use std::collections::HashMap;

use serde::Deserialize;

/// Chunks of one version that were put into the staging area.
#[derive(Clone, Debug, Default)]
pub(super) struct Staged {
    manifest: Option<Manifest>,
    /// True when the manifest has the digest that it was put under.
    is_manifest_intact: bool,
    chunks: HashMap<usize, String>,
}

#[derive(Clone, Debug, Deserialize)]
struct Manifest {
    chunks: Vec<String>,
}

impl Staged {
    /// Takes the manifest; false when it can not be parsed.
    pub fn put_manifest(&mut self, digest: &str, bytes: &[u8]) -> bool {
        self.is_manifest_intact = blake3::hash(bytes).to_hex().as_str() == digest;
        self.manifest = serde_json::from_slice(bytes).ok();
        self.manifest.is_some()
    }

    /// Takes a chunk.
    pub fn put_chunk(&mut self, index: usize, bytes: &[u8]) {
        let digest = blake3::hash(bytes).to_hex().to_string();
        self.chunks.insert(index, digest);
    }

    /// True when every chunk that the manifest names is there.
    pub fn is_complete(&self) -> bool {
        self.manifest
            .as_ref()
            .is_some_and(|m| (0..m.chunks.len()).all(|index| self.chunks.contains_key(&index)))
    }

    /// True when manifest and chunks are as published.
    pub fn is_intact(&self) -> bool {
        let matches = |m: &Manifest| {
            m.chunks
                .iter()
                .enumerate()
                .all(|(index, digest)| self.chunks.get(&index) == Some(digest))
        };
        self.is_manifest_intact && self.manifest.as_ref().is_some_and(matches)
    }
}
