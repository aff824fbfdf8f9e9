//! What an origin's paths and manifests look like.

use super::core::WantedVersion;
use super::error::FetchError;
use super::manifest::Manifest;

/// Form in which an origin publishes weights.
pub trait OriginApi: std::fmt::Debug + Send + Sync {
    /// Path and query of a version's manifest.
    fn manifest_path(&self, wanted: &WantedVersion) -> String;

    /// Path and query of a chunk.
    fn chunk_path(&self, wanted: &WantedVersion, index: u32) -> String;

    /// Reads and verifies a manifest.
    ///
    /// # Errors
    ///
    /// [`FetchError::Corrupt`] when it is not the manifest of the wanted version.
    fn read_manifest(&self, buf: &[u8], wanted: &WantedVersion) -> Result<Manifest, FetchError>;
}

/// The product's own form: a version is named by the digest of its manifest.
#[derive(Clone, Copy, Debug)]
pub struct ProductOrigin;

impl OriginApi for ProductOrigin {
    fn manifest_path(&self, wanted: &WantedVersion) -> String {
        format!("/manifests/{}/{}", wanted.model, wanted.name)
    }

    fn chunk_path(&self, wanted: &WantedVersion, index: u32) -> String {
        format!("/chunks/{}/{}/{index}", wanted.model, wanted.name)
    }

    fn read_manifest(&self, buf: &[u8], wanted: &WantedVersion) -> Result<Manifest, FetchError> {
        Manifest::verify(buf, &wanted.version)
    }
}
