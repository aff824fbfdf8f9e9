//! Fetches of chunks.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::telemetry::Event;
use crate::types::{Digest, HostId};
use crate::weights::bitmap::ChunkSet;
use crate::weights::error::FetchError;

use super::chunk_selection::{Limits, hedged_fetch, held_by_fast_peers, next_chunk};
use super::transfer::ActiveFetch;
use super::{Have, Source, WeightsAction, WeightsCore};

/// Step in permille at which progress is reported.
const PROGRESS_STEP: u32 = 10;

/// Result of a chunk fetch; see [`WeightsEvent::ChunkFetchDone`](super::WeightsEvent).
pub(super) struct FinishedChunkFetch {
    pub index: u32,
    pub source: Source,
    pub have: Option<ChunkSet>,
    pub result: Result<Duration, FetchError>,
}

impl WeightsCore {
    /// Downloads from the origin the chunks that this host owns, and those whose download it takes
    /// over because no new chunk arrived in time.
    ///
    /// When no origin is usable, a peer of another region serves as the source.
    pub(super) fn fetch_from_origin(
        &mut self,
        now: Instant,
        version: &Digest,
        out: &mut Vec<WeightsAction>,
    ) {
        while self.origin_downloads < self.cfg.max_origin_downloads && self.link_admits_fetch(now) {
            let Some(transfer) = self.transfers.get_mut(version).filter(|t| t.is_ready()) else {
                return;
            };
            let reachable = held_by_fast_peers(transfer, &self.peer_stats, now);
            transfer.update_unreachable(&reachable, now);
            let Some(index) = self.next_origin_chunk(now, version, &reachable) else {
                return;
            };
            let Some((source, addr)) = self.origin_or_remote_peer(now, version, index) else {
                self.announce_to_remote_peers(now, version, out);
                return;
            };
            self.origin_downloads += 1;
            let fetch = ActiveFetch {
                source,
                started_at: now,
                uses_origin_slot: true,
            };
            self.start_fetch(now, version, index, fetch, addr, out);
        }
    }

    /// Returns whether the host's link has room for another chunk.
    fn link_admits_fetch(&self, now: Instant) -> bool {
        let started = self.running_fetches().map(|fetch| fetch.started_at);
        self.window.admits(now, started)
    }

    fn running_fetches(&self) -> impl Iterator<Item = &ActiveFetch> {
        let transfers = self.transfers.values();
        transfers.flat_map(|transfer| transfer.in_flight.values().flatten())
    }

    /// Selects a missing chunk that no fast peer holds and that this host may download now, by its
    /// rank for the chunk.
    fn next_origin_chunk(
        &self,
        now: Instant,
        version: &Digest,
        reachable: &ChunkSet,
    ) -> Option<u32> {
        let transfer = self.transfers.get(version)?;
        if !transfer.has_contacted_peers(now, self.cfg.takeover_delay) {
            return None;
        }
        let waited = transfer.takeover_wait(now);
        let least = self.cfg.takeover_delay;
        let rank = |index: &u32| transfer.origin_ranks[*index as usize];
        // The lowest rank comes first: hosts that may take over several chunks then take different ones.
        (0..transfer.chunks())
            .filter(|index| !reachable.contains(*index))
            .filter(|index| !transfer.have.contains(*index))
            .filter(|index| !transfer.in_flight.contains_key(index))
            .filter(|index| waited >= transfer.takeover_delay(rank(index), least))
            .min_by_key(rank)
    }

    pub(super) fn usable_origin(
        &self,
        now: Instant,
        version: &Digest,
    ) -> Option<(usize, SocketAddr)> {
        let transfer = self.transfers.get(version)?;
        self.cfg
            .origins
            .iter()
            .copied()
            .enumerate()
            .find(|(origin, _)| {
                transfer
                    .origin_retry_at
                    .get(origin)
                    .is_none_or(|after| now >= *after)
            })
    }

    fn origin_or_remote_peer(
        &self,
        now: Instant,
        version: &Digest,
        index: u32,
    ) -> Option<(Source, SocketAddr)> {
        if let Some((origin, addr)) = self.usable_origin(now, version) {
            return Some((Source::Origin(origin), addr));
        }
        let transfer = self.transfers.get(version)?;
        transfer
            .remote_peers
            .iter()
            .filter(|(_, peer)| peer.have.as_ref().is_some_and(|have| have.contains(index)))
            .filter_map(|(host, _)| Some((host, self.peer_stats.get(host)?)))
            .find(|(_, stats)| stats.is_usable(now))
            .map(|(host, stats)| (Source::Peer(host.clone()), stats.addr))
    }

    pub(super) fn fetch_from_peers(
        &mut self,
        now: Instant,
        version: &Digest,
        out: &mut Vec<WeightsAction>,
    ) {
        let limits = Limits {
            now,
            max_fetches_per_peer: self.cfg.max_downloads_per_peer,
        };
        while self.downloads < self.cfg.max_downloads && self.link_admits_fetch(now) {
            let Some(transfer) = self.transfers.get(version).filter(|t| t.is_ready()) else {
                return;
            };
            let next = next_chunk(transfer, &self.peer_stats, limits, &mut self.rng)
                .or_else(|| hedged_fetch(transfer, &self.peer_stats, limits));
            let Some((index, host)) = next else { return };
            let Some(addr) = self.peer_stats.get(&host).map(|stats| stats.addr) else {
                return;
            };
            self.start_peer_fetch(now, version, (index, host, addr), out);
        }
    }

    /// Starts the fetch of a chunk from a peer.
    fn start_peer_fetch(
        &mut self,
        now: Instant,
        version: &Digest,
        (index, host, addr): (u32, HostId, SocketAddr),
        out: &mut Vec<WeightsAction>,
    ) {
        if let Some(stats) = self.peer_stats.get_mut(&host) {
            stats.active_fetches += 1;
        }
        self.downloads += 1;
        let fetch = ActiveFetch {
            source: Source::Peer(host),
            started_at: now,
            uses_origin_slot: false,
        };
        self.start_fetch(now, version, index, fetch, addr, out);
    }

    /// Fetches from other regions the chunks that this host owns within its region, and those whose
    /// fetch it takes over because no new chunk arrived in time.
    ///
    /// Used only when all regions share one download from the origin.
    pub(super) fn fetch_from_other_regions(
        &mut self,
        now: Instant,
        version: &Digest,
        out: &mut Vec<WeightsAction>,
    ) {
        if !self.cfg.share_origin_download {
            return;
        }
        let Some(transfer) = self.transfers.get(version).filter(|t| t.is_ready()) else {
            return;
        };
        if transfer.is_held() {
            return;
        }
        self.announce_to_remote_peers(now, version, out);
        while self.downloads < self.cfg.max_downloads && self.link_admits_fetch(now) {
            let Some((index, host, addr)) = self.next_cross_region_chunk(now, version) else {
                return;
            };
            self.start_peer_fetch(now, version, (index, host, addr), out);
        }
    }

    /// Selects a chunk that no peer of the region holds and that this host may fetch now from
    /// another region, and a holder there.
    fn next_cross_region_chunk(
        &self,
        now: Instant,
        version: &Digest,
    ) -> Option<(u32, HostId, SocketAddr)> {
        let transfer = self.transfers.get(version)?;
        let waited = now.saturating_duration_since(transfer.last_new_chunk_at);
        let missing = (0..transfer.chunks()).filter(|index| {
            let rank = u32::from(transfer.region_ranks[*index as usize]);
            !transfer.have.contains(*index)
                && transfer.holder_counts[*index as usize] == 0
                && !transfer.in_flight.contains_key(index)
                && waited >= self.cfg.takeover_delay * rank
        });
        for index in missing {
            let holder = transfer
                .remote_peers
                .iter()
                .filter(|(_, peer)| peer.have.as_ref().is_some_and(|have| have.contains(index)))
                .filter_map(|(host, _)| Some((host, self.peer_stats.get(host)?)))
                .filter(|(_, stats)| {
                    stats.is_usable(now) && stats.active_fetches < self.cfg.max_downloads_per_peer
                })
                .min_by_key(|(_, stats)| stats.active_fetches);
            if let Some((host, stats)) = holder {
                return Some((index, host.clone(), stats.addr));
            }
        }
        None
    }

    fn start_fetch(
        &mut self,
        now: Instant,
        version: &Digest,
        index: u32,
        fetch: ActiveFetch,
        addr: SocketAddr,
        out: &mut Vec<WeightsAction>,
    ) {
        let running = self.running_fetches().count();
        let Some(transfer) = self.transfers.get_mut(version) else {
            return;
        };
        self.window.fetch_started(now, running);
        let source = fetch.source.clone();
        transfer.in_flight.entry(index).or_default().push(fetch);
        out.push(WeightsAction::FetchChunk {
            wanted: transfer.wanted.clone(),
            index,
            source,
            addr,
        });
    }

    pub(super) fn chunk_fetch_done(
        &mut self,
        now: Instant,
        version: &Digest,
        finished: FinishedChunkFetch,
        out: &mut Vec<WeightsAction>,
    ) {
        let fetch = self
            .transfers
            .get_mut(version)
            .and_then(|transfer| transfer.end_fetch(finished.index, &finished.source));
        let Some(fetch) = fetch else { return };
        self.release_download_slot(&fetch);
        self.adapt_window(now, &fetch, finished.result, out);
        if let (Source::Peer(host), Some(have)) = (&finished.source, finished.have)
            && let Some(transfer) = self.transfers.get_mut(version)
        {
            transfer.set_peer_chunks(host, Have::Chunks(have), now);
        }
        match finished.result {
            Ok(took) => {
                match &finished.source {
                    Source::Peer(host) => {
                        if let Some(stats) = self.peer_stats.get_mut(host) {
                            stats.record_success(took);
                        }
                    }
                    Source::Origin(_) => {
                        if let Some(transfer) = self.transfers.get_mut(version) {
                            transfer.origin_chunk_time = took;
                        }
                    }
                }
                self.add_verified_chunk(now, version, finished.index, out);
            }
            Err(error) => {
                if error == FetchError::Corrupt {
                    out.push(WeightsAction::Log {
                        event: Event::ChunkCorrupt,
                        detail: format!(
                            "chunk {} of {version} from {:?}",
                            finished.index, finished.source
                        ),
                    });
                }
                if let (FetchError::Missing, Source::Peer(host)) = (error, &finished.source)
                    && let Some(transfer) = self.transfers.get_mut(version)
                {
                    transfer.remove_peer_chunk(host, finished.index);
                }
                self.record_source_failure(now, version, &finished.source, error);
            }
        }
    }

    /// Adapts the number of fetches to the time of an ended one.
    fn adapt_window(
        &mut self,
        now: Instant,
        fetch: &ActiveFetch,
        result: Result<Duration, FetchError>,
        out: &mut Vec<WeightsAction>,
    ) {
        let before = self.window.size();
        match result {
            Ok(took) => self.window.chunk_arrived(now, fetch.started_at, took),
            Err(FetchError::TimedOut) => self.window.fetch_timed_out(now, self.cfg.fetch_timeout),
            // These say nothing about the link.
            Err(_) => return,
        }
        let after = self.window.size();
        if after < before {
            out.push(WeightsAction::Log {
                event: Event::DownloadsReduced,
                detail: format!(
                    "{before} to {after}, after {result:?} from {:?}",
                    fetch.source
                ),
            });
        }
    }

    /// Records the chunks that were found in the engine's staging area.
    pub(super) fn staging_scanned(
        &mut self,
        now: Instant,
        version: &Digest,
        found: &ChunkSet,
        out: &mut Vec<WeightsAction>,
    ) {
        let Some(transfer) = self.transfers.get_mut(version) else {
            return;
        };
        transfer.staging_scanned = true;
        let chunks = transfer.chunks();
        for index in found.iter().filter(|index| *index < chunks) {
            self.add_verified_chunk(now, version, index, out);
        }
    }

    /// Records a verified chunk as held, and aborts the other fetches of it.
    fn add_verified_chunk(
        &mut self,
        now: Instant,
        version: &Digest,
        index: u32,
        out: &mut Vec<WeightsAction>,
    ) {
        let Some(transfer) = self.transfers.get_mut(version) else {
            return;
        };
        let before = transfer.progress_permille();
        if transfer.holder_counts[index as usize] == 0 {
            transfer.last_new_chunk_at = now;
        }
        transfer.have.insert(index);
        let after = transfer.progress_permille();
        if after / PROGRESS_STEP > before / PROGRESS_STEP {
            out.push(WeightsAction::Progress {
                version: version.clone(),
                permille: after,
            });
        }
        if transfer.is_held() {
            out.push(WeightsAction::VersionHeld {
                version: version.clone(),
            });
        }
        let others = transfer.in_flight.remove(&index).unwrap_or_default();
        for fetch in others {
            self.release_download_slot(&fetch);
            out.push(WeightsAction::AbortChunkFetch {
                version: version.clone(),
                index,
                source: fetch.source,
            });
        }
    }

    /// Ends all running fetches of a version and releases their download slots.
    pub(super) fn release_download_slots(&mut self, version: &Digest) {
        let in_flight = self
            .transfers
            .get_mut(version)
            .map(|transfer| std::mem::take(&mut transfer.in_flight))
            .unwrap_or_default();
        in_flight
            .into_values()
            .flatten()
            .for_each(|fetch| self.release_download_slot(&fetch));
    }

    fn release_download_slot(&mut self, fetch: &ActiveFetch) {
        if fetch.uses_origin_slot {
            self.origin_downloads = self.origin_downloads.saturating_sub(1);
            return;
        }
        self.downloads = self.downloads.saturating_sub(1);
        if let Source::Peer(host) = &fetch.source
            && let Some(stats) = self.peer_stats.get_mut(host)
        {
            stats.active_fetches = stats.active_fetches.saturating_sub(1);
        }
    }

    pub(super) fn record_source_failure(
        &mut self,
        now: Instant,
        version: &Digest,
        source: &Source,
        error: FetchError,
    ) {
        match source {
            Source::Peer(host) => {
                let Some(stats) = self.peer_stats.get_mut(host) else {
                    return;
                };
                match error {
                    FetchError::Corrupt => stats.record_corrupt_chunk(now),
                    _ => stats.record_failure(now),
                }
                let Some(transfer) = self.transfers.get_mut(version) else {
                    return;
                };
                if let Some(peer) = transfer.remote_peers.get_mut(host) {
                    peer.have = None;
                }
                match error {
                    FetchError::Corrupt => transfer.ban_peer(host),
                    FetchError::Unreachable | FetchError::TimedOut => {
                        transfer.clear_peer_chunks(host)
                    }
                    FetchError::Busy | FetchError::Missing => {}
                }
            }
            Source::Origin(origin) => {
                if let Some(transfer) = self.transfers.get_mut(version) {
                    transfer
                        .origin_retry_at
                        .insert(*origin, now + self.cfg.origin_retry_delay);
                    transfer.origin_failed_at = Some(now);
                    if error == FetchError::Unreachable {
                        // What it took beside all other owners says nothing of its return.
                        transfer.origin_chunk_time = Duration::ZERO;
                    }
                }
            }
        }
    }
}
