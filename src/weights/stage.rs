//! Staging of engines: chunks that lie there, and transfer of a held version into it.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::{StreamExt, TryStreamExt, stream};

use crate::types::Digest;

use super::client::WeightsClient;
use super::error::StageError;
use super::store::ChunkStore;

/// Chunks that are put into one engine's staging at once.
const PARALLEL_PUTS: usize = 4;

/// What lies at one place of a staging.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StagedChunk {
    /// Bytes, not verified.
    Present(Bytes),
    /// Nothing.
    Absent,
    /// The engine does not answer.
    Unreachable,
}

/// Staging of the engine beside a host.
pub trait Staging: std::fmt::Debug + Send + Sync {
    /// Reads the chunk that lies there for a version.
    fn read<'a>(&'a self, version: &'a Digest, index: u32) -> BoxFuture<'a, StagedChunk>;
}

pub(super) async fn stage(
    store: &ChunkStore,
    client: &WeightsClient,
    engine: SocketAddr,
    version: &Digest,
) -> Result<(), StageError> {
    let manifest = store.manifest(version).ok_or(StageError::NotHeld)?;
    let bytes = store.manifest_bytes(version).ok_or(StageError::NotHeld)?;
    let path = format!("/admin/staging/{version}/manifest");
    put(client, engine, &path, bytes).await?;
    stream::iter(0..manifest.len())
        .map(Ok)
        .try_for_each_concurrent(PARALLEL_PUTS, |index| async move {
            let chunk = store.chunk(version, index).ok_or(StageError::NotHeld)?;
            let path = format!("/admin/staging/{version}/{index}");
            put(client, engine, &path, chunk).await
        })
        .await
}

async fn put(
    client: &WeightsClient,
    engine: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<(), StageError> {
    client
        .stage(engine, path, body)
        .await
        .map_err(|error| StageError::Engine(format!("{path}: {error}")))
}
