//! Sans-IO decision logic for weight transfer.
//!
//! It handles [`WeightsEvent`]s with the current time and returns [`WeightsAction`]s. Each host
//! downloads the chunks that it owns from the origin, fetches the others from a bounded set of
//! peers, rarest first, and announces what it holds. An announcement lists all chunks that the host
//! holds, so a newer one supersedes any that was not sent.

mod action;
mod announcements;
mod chunk_selection;
mod config;
pub(super) mod download_window;
mod event;
mod fetch;
mod manifest_fetch;
mod peer_stats;
mod transfer;
mod versions;

use std::collections::BTreeMap;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::types::{Digest, HostId};

use super::peers::Peer;

pub use action::WeightsAction;
pub use config::WeightsConfig;
pub use event::{Have, Source, WantedVersion, WeightsEvent};

use chunk_selection::StatsByHost;
use download_window::DownloadWindow;
use peer_stats::PeerStats;
use transfer::Transfer;

/// Decision logic of one host.
pub struct WeightsCore {
    cfg: WeightsConfig,
    rng: SmallRng,
    /// The listed hosts, including this one.
    listed_hosts: Vec<Peer>,
    /// Statistics of peers as sources of chunks.
    ///
    /// Invariant: only hosts that are a peer in some transfer or have active fetches.
    peer_stats: StatsByHost,
    /// Wanted versions, and superseded ones that are kept until their memory is needed.
    transfers: BTreeMap<Digest, Transfer>,
    /// Running fetches that use a download slot for peers.
    downloads: usize,
    /// Running fetches that use a download slot for origins.
    origin_downloads: usize,
    /// Bound on the running fetches of both kinds, by what the host's link carries.
    window: DownloadWindow,
}

impl WeightsCore {
    /// Creates the decision logic of a host that holds no version.
    pub fn new(cfg: WeightsConfig, seed: u64) -> Self {
        Self {
            listed_hosts: vec![cfg.own.clone()],
            window: DownloadWindow::new(
                cfg.max_downloads + cfg.max_origin_downloads,
                cfg.max_link_wait,
            ),
            cfg,
            rng: SmallRng::seed_from_u64(seed),
            peer_stats: StatsByHost::new(),
            transfers: BTreeMap::new(),
            downloads: 0,
            origin_downloads: 0,
        }
    }

    /// Handles an event and returns the actions to execute.
    pub fn handle(&mut self, now: Instant, event: WeightsEvent) -> Vec<WeightsAction> {
        let mut out = Vec::new();
        match event {
            WeightsEvent::VersionWanted(wanted) => self.want_version(now, wanted, &mut out),
            WeightsEvent::ModelUnwanted { model } => self.supersede(&model, None, &mut out),
            WeightsEvent::PeersListed(peers) => self.update_listed_hosts(peers),
            WeightsEvent::ManifestFetchDone {
                version,
                source,
                result,
            } => self.manifest_fetch_done(now, &version, &source, result, &mut out),
            WeightsEvent::ChunkFetchDone {
                version,
                index,
                source,
                have,
                result,
            } => {
                let finished = fetch::FinishedChunkFetch {
                    index,
                    source,
                    have,
                    result,
                };
                self.chunk_fetch_done(now, &version, finished, &mut out);
            }
            WeightsEvent::StagingScanned { version, found } => {
                self.staging_scanned(now, &version, &found, &mut out);
            }
            WeightsEvent::AnnouncementReceived {
                host,
                addr,
                version,
                have,
            } => self.announcement_received(now, host, addr, &version, have),
            WeightsEvent::AnnouncementDone {
                host,
                version,
                have,
            } => self.announcement_done(now, &host, &version, have),
            WeightsEvent::Tick => self.open_waiting_versions(&mut out),
        }
        self.start_due_work(now, &mut out);
        out
    }

    /// Returns the approximate memory of the control state in bytes, without the chunks and the
    /// host list.
    pub fn memory(&self) -> usize {
        let peer_stats = self.peer_stats.len() * (size_of::<PeerStats>() + size_of::<HostId>());
        let transfers = self.transfers.values().map(Transfer::memory).sum::<usize>();
        size_of::<Self>() + peer_stats + transfers
    }

    /// Returns the number of peers that announcements are exchanged with.
    pub fn peers(&self) -> usize {
        self.peer_stats.len()
    }

    fn start_due_work(&mut self, now: Instant, out: &mut Vec<WeightsAction>) {
        let versions: Vec<Digest> = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.is_current)
            .map(|(version, _)| version.clone())
            .collect();
        for version in versions {
            self.fetch_manifest(now, &version, out);
            self.announce(now, &version, out);
            self.fetch_from_origin(now, &version, out);
            // Chunks that no host of the region holds come before those of peers, as all hosts of
            // the region wait for them.
            self.fetch_from_other_regions(now, &version, out);
            self.fetch_from_peers(now, &version, out);
        }
    }
}
