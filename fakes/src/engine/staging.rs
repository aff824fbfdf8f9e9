//! Staging area of the stand-in engine, which keeps digests of the chunks instead of their bytes.

use std::collections::HashMap;

use serde::Deserialize;

/// Manifest and chunks of one version in the staging area.
#[derive(Clone, Debug, Default)]
pub(super) struct StagedVersion {
    manifest: Option<Manifest>,
    /// True when the digest of the manifest is the one in the path it was uploaded to.
    is_manifest_intact: bool,
    /// Digest of each uploaded chunk by its index.
    chunks: HashMap<usize, String>,
}

#[derive(Clone, Debug, Deserialize)]
struct Manifest {
    chunks: Vec<String>,
}

impl StagedVersion {
    /// Stores the manifest; false when it cannot be parsed.
    pub fn put_manifest(&mut self, digest: &str, bytes: &[u8]) -> bool {
        self.is_manifest_intact = blake3::hash(bytes).to_hex().as_str() == digest;
        self.manifest = serde_json::from_slice(bytes).ok();
        self.manifest.is_some()
    }

    /// Stores the digest of a chunk, in place of an earlier upload.
    pub fn put_chunk(&mut self, index: usize, bytes: &[u8]) {
        let digest = blake3::hash(bytes).to_hex().to_string();
        self.chunks.insert(index, digest);
    }

    /// True when every chunk in the manifest has been uploaded, corrupt or not.
    pub fn is_complete(&self) -> bool {
        self.manifest
            .as_ref()
            .is_some_and(|m| (0..m.chunks.len()).all(|index| self.chunks.contains_key(&index)))
    }

    /// True when the manifest and all chunks match their digests.
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
