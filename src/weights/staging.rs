//! Staging areas of engines: reading chunks from them, and writing a held version to them.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::{StreamExt, TryStreamExt, stream};

use crate::types::Digest;

use super::client::WeightsClient;
use super::error::StageError;
use super::store::ChunkStore;

/// Maximum number of chunks written to one engine's staging area at once.
const PARALLEL_PUTS: usize = 4;

/// Content of a staging area at one chunk index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StagedChunk {
    /// Bytes of the chunk, not verified.
    Present(Bytes),
    /// No chunk.
    Absent,
    /// The engine did not answer.
    Unreachable,
}

/// Staging area of the engine on the same host as the agent.
pub trait Staging: std::fmt::Debug + Send + Sync {
    /// Reads a chunk of a version from the staging area.
    fn read<'a>(&'a self, version: &'a Digest, index: u32) -> BoxFuture<'a, StagedChunk>;
}

/// Writes the manifest and all chunks of a held version to an engine's staging area.
pub(super) async fn stage_version(
    store: &ChunkStore,
    client: &WeightsClient,
    engine: SocketAddr,
    version: &Digest,
) -> Result<(), StageError> {
    let manifest = store.manifest(version).ok_or(StageError::NotHeld)?;
    let bytes = store.manifest_bytes(version).ok_or(StageError::NotHeld)?;
    let path = format!("/admin/staging/{version}/manifest");
    put_staged(client, engine, &path, bytes).await?;
    stream::iter(0..manifest.len())
        .map(Ok)
        .try_for_each_concurrent(PARALLEL_PUTS, |index| async move {
            let chunk = store.chunk(version, index).ok_or(StageError::NotHeld)?;
            let path = format!("/admin/staging/{version}/{index}");
            put_staged(client, engine, &path, chunk).await
        })
        .await
}

async fn put_staged(
    client: &WeightsClient,
    engine: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<(), StageError> {
    client
        .put(engine, path, body)
        .await
        .map_err(|error| StageError::Engine(format!("{path}: {error}")))
}
