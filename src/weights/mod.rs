//! Distribution of model weights between the hosts.
//!
//! A version is named by the digest of its manifest, which lists the digest of each chunk. No
//! chunk is used or forwarded before its digest was verified. [`WeightsCore`] is the sans-IO
//! decision logic, [`WeightsService`] runs it with sockets and timers.

mod bitmap;
mod client;
mod core;
mod driver;
mod error;
mod manifest;
mod origin;
mod peers;
mod rate_limit;
mod serve;
mod service;
mod staging;
mod store;
pub mod wire;

#[cfg(test)]
mod tests;

pub use bitmap::ChunkSet;
pub use core::{
    Have, Source, WantedVersion, WeightsAction, WeightsConfig, WeightsCore, WeightsEvent,
};
pub use error::{FetchError, StageError};
pub use manifest::{ChunkHash, MAX_CHUNKS, Manifest, manifest_digest};
pub use origin::{DefaultOriginApi, OriginApi};
pub use peers::{Distance, Peer};
pub use rate_limit::RateLimit;
pub use serve::PeerResponse;
pub use service::{WeightsNotice, WeightsService, WeightsState};
pub use staging::{StagedChunk, Staging};
