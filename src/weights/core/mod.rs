//! Decision logic that moves weights, free of sockets and clocks.
//!
//! [`WeightsEvent`]s go in with the time, [`WeightsAction`]s come out. Each host draws the chunks
//! that it owns from the origin, fetches the others from a bounded set of peers, rarest first, and
//! announces what it holds. An announcement carries all that the host holds, so that a newer one
//! takes the place of one that has not been sent yet.

mod action;
mod choice;
mod config;
mod event;
mod exchange;
mod fetch;
mod link;
mod targets;
mod transfer;

use std::collections::BTreeMap;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::types::{Digest, HostId};

use super::peers::Peer;

pub use action::WeightsAction;
pub use config::WeightsConfig;
pub use event::{Have, Source, WantedVersion, WeightsEvent};

use choice::Links;
use link::Link;
use transfer::Transfer;

/// Decision logic of one host.
pub struct WeightsCore {
    cfg: WeightsConfig,
    rng: SmallRng,
    /// The listed hosts, this one included.
    listed: Vec<Peer>,
    /// Peers as sources.
    ///
    /// Invariant: only hosts with an entry in a transfer's talks.
    links: Links,
    /// Wanted versions, and superseded ones whose memory is not needed yet.
    transfers: BTreeMap<Digest, Transfer>,
    /// Chunks that are being fetched from peers.
    downloads: usize,
    /// Chunks that are being fetched from origins.
    origin_downloads: usize,
}

impl WeightsCore {
    /// Decision logic that holds nothing yet.
    pub fn new(cfg: WeightsConfig, seed: u64) -> Self {
        Self {
            listed: vec![cfg.own.clone()],
            cfg,
            rng: SmallRng::seed_from_u64(seed),
            links: Links::new(),
            transfers: BTreeMap::new(),
            downloads: 0,
            origin_downloads: 0,
        }
    }

    /// Takes in an event and returns what has to be done.
    pub fn handle(&mut self, now: Instant, event: WeightsEvent) -> Vec<WeightsAction> {
        let mut out = Vec::new();
        match event {
            WeightsEvent::VersionWanted(wanted) => self.want(now, wanted, &mut out),
            WeightsEvent::ModelUnwanted { model } => self.supersede(&model, None, &mut out),
            WeightsEvent::PeersListed(peers) => self.list(peers),
            WeightsEvent::ManifestFetchDone {
                version,
                source,
                result,
            } => self.manifest_ended(now, &version, &source, result, &mut out),
            WeightsEvent::ChunkFetchDone {
                version,
                index,
                source,
                have,
                result,
            } => {
                let end = fetch::ChunkEnd {
                    index,
                    source,
                    have,
                    result,
                };
                self.chunk_ended(now, &version, end, &mut out);
            }
            WeightsEvent::StagingScanned { version, found } => {
                self.scanned(now, &version, &found, &mut out);
            }
            WeightsEvent::AnnouncementReceived {
                host,
                addr,
                version,
                have,
            } => self.announced(now, host, addr, &version, have),
            WeightsEvent::AnnouncementDone {
                host,
                version,
                have,
            } => self.announce_done(now, &host, &version, have),
            WeightsEvent::Tick => self.open_waiting(&mut out),
        }
        self.pump(now, &mut out);
        out
    }

    /// Bytes of memory that the control state takes, without the chunks and the host list.
    pub fn memory(&self) -> usize {
        let links = self.links.len() * (size_of::<Link>() + size_of::<HostId>());
        let transfers = self.transfers.values().map(Transfer::memory).sum::<usize>();
        size_of::<Self>() + links + transfers
    }

    /// Number of peers that the host exchanges announcements with.
    pub fn peers(&self) -> usize {
        self.links.len()
    }

    fn pump(&mut self, now: Instant, out: &mut Vec<WeightsAction>) {
        let versions: Vec<Digest> = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.current)
            .map(|(version, _)| version.clone())
            .collect();
        for version in versions {
            self.fetch_manifest(now, &version, out);
            self.announce(now, &version, out);
            self.draw_from_origin(now, &version, out);
            // What nobody near holds comes first: the region waits for it.
            self.fetch_from_regions(now, &version, out);
            self.fetch_from_peers(now, &version, out);
        }
    }
}
