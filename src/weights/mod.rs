//! Distribution of model weights between the hosts.
//!
//! A version is named by the digest of its manifest, which lists the digest of each chunk; no
//! byte is used or passed on before it was verified. [`WeightsCore`] decides, [`WeightsService`]
//! carries out.

mod bitmap;
mod client;
mod core;
mod driver;
mod error;
mod limit;
mod manifest;
mod origin;
mod peers;
mod serve;
mod service;
mod stage;
mod store;
pub mod wire;

#[cfg(test)]
mod tests;

pub use bitmap::ChunkSet;
pub use core::{
    Have, Source, WantedVersion, WeightsAction, WeightsConfig, WeightsCore, WeightsEvent,
};
pub use error::{FetchError, StageError};
pub use limit::RateLimit;
pub use manifest::{ChunkHash, MAX_CHUNKS, Manifest, manifest_digest};
pub use origin::{OriginApi, ProductOrigin};
pub use peers::{Distance, Peer};
pub use serve::PeerResponse;
pub use service::{WeightsNotice, WeightsService, WeightsState};
pub use stage::{StagedChunk, Staging};
