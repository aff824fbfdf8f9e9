//! Paths and manifest formats of origins.

use super::core::WantedVersion;
use super::error::FetchError;
use super::manifest::Manifest;

/// HTTP API and manifest format of an origin.
pub trait OriginApi: std::fmt::Debug + Send + Sync {
    /// Path and query of a version's manifest.
    fn manifest_path(&self, wanted: &WantedVersion) -> String;

    /// Path and query of a chunk.
    fn chunk_path(&self, wanted: &WantedVersion, index: u32) -> String;

    /// Parses and verifies a manifest.
    ///
    /// # Errors
    ///
    /// [`FetchError::Corrupt`] when the text is not the manifest of the wanted version.
    fn read_manifest(&self, buf: &[u8], wanted: &WantedVersion) -> Result<Manifest, FetchError>;
}

/// API of limpetloom's origin and weight store: a version is named by the digest of its manifest.
#[derive(Clone, Copy, Debug)]
pub struct DefaultOriginApi;

impl OriginApi for DefaultOriginApi {
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
