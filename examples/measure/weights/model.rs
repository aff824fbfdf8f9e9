//! A version of a model's weights, as the origin serves it.

use std::sync::Arc;

use bytes::Bytes;
use limpetloom::types::Digest;
use limpetloom::weights::{WantedVersion, manifest_digest};
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};

/// Name of the model.
const MODEL: &str = "model";

/// One version of the weights, with its manifest and all of its bytes.
#[derive(Clone, Debug)]
pub struct WeightVersion {
    /// Name of the version.
    pub name: Arc<str>,
    /// Digest of the manifest.
    pub digest: Digest,
    /// Size of all chunks together, in bytes.
    pub size: usize,
    chunk_size: usize,
    manifest: Bytes,
    bytes: Bytes,
}

impl WeightVersion {
    /// Creates a version of random bytes.
    pub fn new(name: &str, chunks: usize, chunk_size: usize, seed: u64) -> Self {
        let size = chunks * chunk_size;
        let mut bytes = vec![0; size];
        SmallRng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let digests: Vec<String> = bytes
            .chunks(chunk_size)
            .map(|chunk| blake3::hash(chunk).to_hex().to_string())
            .collect();
        let manifest = serde_json::json!({
            "model": MODEL, "version": name, "size": size, "chunk_size": chunk_size,
            "chunks": digests,
        });
        let manifest = Bytes::from(manifest.to_string());
        Self {
            name: name.into(),
            digest: manifest_digest(&manifest),
            size,
            chunk_size,
            manifest,
            bytes: bytes.into(),
        }
    }

    /// Body with which the origin responds to a path; `None` if the path is not one of this
    /// version.
    pub fn response_body(&self, path: &str) -> Option<Bytes> {
        if path == format!("/manifests/{MODEL}/{}", self.name) {
            return Some(self.manifest.clone());
        }
        let index = path.strip_prefix(&format!("/chunks/{MODEL}/{}/", self.name))?;
        Some(self.chunk(index.parse().ok()?))
    }

    /// Content of a chunk.
    pub fn chunk(&self, index: u32) -> Bytes {
        let start = index as usize * self.chunk_size;
        self.bytes.slice(start..start + self.chunk_size)
    }

    /// Number of chunks.
    pub fn chunks(&self) -> u32 {
        (self.size / self.chunk_size) as u32
    }

    /// Description of the version with which a host is told to fetch it.
    pub fn wanted(&self) -> WantedVersion {
        WantedVersion {
            model: MODEL.into(),
            name: self.name.clone(),
            version: self.digest.clone(),
            hosts: None,
        }
    }
}
