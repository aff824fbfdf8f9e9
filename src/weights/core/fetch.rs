//! Fetches of manifests and chunks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::telemetry::Event;
use crate::types::{Digest, HostId};
use crate::weights::bitmap::ChunkSet;
use crate::weights::error::FetchError;
use crate::weights::manifest::Manifest;

use super::choice::{Limits, hedge, held_by_fast_peers, next_chunk};
use super::transfer::InFlight;
use super::{Have, Source, WeightsAction, WeightsCore};

/// Step in thousandths in which progress is reported.
const PROGRESS_STEP: u32 = 10;

/// End of a chunk's fetch.
pub(super) struct ChunkEnd {
    pub index: u32,
    pub source: Source,
    pub have: Option<ChunkSet>,
    pub result: Result<Duration, FetchError>,
}

impl WeightsCore {
    pub(super) fn fetch_manifest(
        &mut self,
        now: Instant,
        version: &Digest,
        out: &mut Vec<WeightsAction>,
    ) {
        let takeover = self.cfg.takeover_delay;
        let Some(transfer) = self.transfers.get(version) else {
            return;
        };
        if transfer.manifest.is_some() || transfer.manifest_fetch.is_some() {
            return;
        }
        let peer = transfer
            .talks
            .iter()
            .filter(|(_, talk)| talk.have.is_some())
            .filter_map(|(host, _)| Some((host, self.links.get(host)?)))
            .find(|(_, link)| link.usable(now));
        let turn = transfer.since
            + takeover * u32::from(transfer.manifest_rank / self.cfg.manifest_downloaders.max(1));
        let own_turn = transfer.is_introduced(now, takeover) && now >= turn;
        let origin = self
            .usable_origin(now, version)
            .filter(|_| own_turn)
            .map(|(at, addr)| (Source::Origin(at), addr));
        let remote = transfer
            .remotes
            .iter()
            .filter(|(_, talk)| own_turn && talk.have.is_some())
            .find_map(|(host, _)| Some((host, self.links.get(host)?)));
        let (source, addr) = match (peer, origin, remote) {
            (Some((host, link)), _, _) => (Source::Peer(host.clone()), link.addr),
            (None, Some(origin), _) => origin,
            (None, None, Some((host, link))) => (Source::Peer(host.clone()), link.addr),
            (None, None, None) => {
                if own_turn {
                    self.ask_remotes(now, version, out);
                }
                return;
            }
        };
        if let Some(transfer) = self.transfers.get_mut(version) {
            transfer.manifest_fetch = Some(source.clone());
            out.push(WeightsAction::FetchManifest {
                wanted: transfer.wanted.clone(),
                source,
                addr,
            });
        }
    }

    pub(super) fn manifest_ended(
        &mut self,
        now: Instant,
        version: &Digest,
        source: &Source,
        result: Result<Arc<Manifest>, FetchError>,
        out: &mut Vec<WeightsAction>,
    ) {
        let Some(transfer) = self.transfers.get_mut(version) else {
            return;
        };
        if transfer.manifest_fetch.as_ref() != Some(source) {
            return;
        }
        transfer.manifest_fetch = None;
        match result {
            Ok(manifest) => self.accept_manifest(version, manifest, out),
            Err(error) => {
                if error == FetchError::Corrupt {
                    out.push(WeightsAction::Log {
                        event: Event::ManifestMismatch,
                        detail: format!("{source:?} gave another manifest than {version}"),
                    });
                }
                self.source_failed(now, version, source, error);
            }
        }
    }

    /// Draws chunks from the origin that this host owns, or whose owner is silent.
    pub(super) fn draw_from_origin(
        &mut self,
        now: Instant,
        version: &Digest,
        out: &mut Vec<WeightsAction>,
    ) {
        while self.origin_downloads < self.cfg.max_origin_downloads {
            let Some(transfer) = self.transfers.get_mut(version).filter(|t| t.is_ready()) else {
                return;
            };
            let reachable = held_by_fast_peers(transfer, &self.links, now);
            transfer.note_reachable(&reachable, now);
            let Some(index) = self.owned_chunk(now, version, &reachable) else {
                return;
            };
            let Some((source, addr)) = self.origin_or_remote(now, version, index) else {
                self.ask_remotes(now, version, out);
                return;
            };
            self.origin_downloads += 1;
            let fetch = InFlight {
                source,
                since: now,
                owned: true,
            };
            self.start_fetch(version, index, fetch, addr, out);
        }
    }

    /// A missing chunk that no peer holds and that this host has to draw now.
    fn owned_chunk(&self, now: Instant, version: &Digest, reachable: &ChunkSet) -> Option<u32> {
        let transfer = self.transfers.get(version)?;
        if !transfer.is_introduced(now, self.cfg.takeover_delay) {
            return None;
        }
        let silence = transfer.silence(now);
        (0..transfer.chunks())
            .filter(|index| !reachable.contains(*index))
            .filter(|index| !transfer.have.contains(*index))
            .filter(|index| !transfer.in_flight.contains_key(index))
            .find(|index| {
                let rank = transfer.ranks[*index as usize];
                silence >= self.cfg.takeover_delay * u32::from(rank)
            })
    }

    fn usable_origin(&self, now: Instant, version: &Digest) -> Option<(usize, SocketAddr)> {
        let transfer = self.transfers.get(version)?;
        self.cfg
            .origins
            .iter()
            .copied()
            .enumerate()
            .find(|(at, _)| {
                transfer
                    .origin_after
                    .get(at)
                    .is_none_or(|after| now >= *after)
            })
    }

    fn origin_or_remote(
        &self,
        now: Instant,
        version: &Digest,
        index: u32,
    ) -> Option<(Source, SocketAddr)> {
        if let Some((at, addr)) = self.usable_origin(now, version) {
            return Some((Source::Origin(at), addr));
        }
        let transfer = self.transfers.get(version)?;
        transfer
            .remotes
            .iter()
            .filter(|(_, talk)| talk.have.as_ref().is_some_and(|have| have.contains(index)))
            .filter_map(|(host, _)| Some((host, self.links.get(host)?)))
            .find(|(_, link)| link.usable(now))
            .map(|(host, link)| (Source::Peer(host.clone()), link.addr))
    }

    pub(super) fn fetch_from_peers(
        &mut self,
        now: Instant,
        version: &Digest,
        out: &mut Vec<WeightsAction>,
    ) {
        let limits = Limits {
            now,
            per_peer: self.cfg.max_downloads_per_peer,
        };
        while self.downloads < self.cfg.max_downloads {
            let Some(transfer) = self.transfers.get(version).filter(|t| t.is_ready()) else {
                return;
            };
            let next = next_chunk(transfer, &self.links, limits, &mut self.rng)
                .or_else(|| hedge(transfer, &self.links, limits));
            let Some((index, host)) = next else { return };
            let Some(addr) = self.links.get(&host).map(|link| link.addr) else {
                return;
            };
            self.fetch_from(now, version, (index, host, addr), out);
        }
    }

    /// Starts to fetch a chunk from a peer.
    fn fetch_from(
        &mut self,
        now: Instant,
        version: &Digest,
        (index, host, addr): (u32, HostId, SocketAddr),
        out: &mut Vec<WeightsAction>,
    ) {
        if let Some(link) = self.links.get_mut(&host) {
            link.outstanding += 1;
        }
        self.downloads += 1;
        let fetch = InFlight {
            source: Source::Peer(host),
            since: now,
            owned: false,
        };
        self.start_fetch(version, index, fetch, addr, out);
    }

    /// Brings chunks into the region that this host draws for it, from hosts of other regions.
    pub(super) fn fetch_from_regions(
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
        self.ask_remotes(now, version, out);
        while self.downloads < self.cfg.max_downloads {
            let Some((index, host, addr)) = self.regional_chunk(now, version) else {
                return;
            };
            self.fetch_from(now, version, (index, host, addr), out);
        }
    }

    /// A chunk that nobody near holds, that this host draws for its region, and a far holder.
    fn regional_chunk(&self, now: Instant, version: &Digest) -> Option<(u32, HostId, SocketAddr)> {
        let transfer = self.transfers.get(version)?;
        let waited = now.saturating_duration_since(transfer.news_at);
        let missing = (0..transfer.chunks()).filter(|index| {
            let rank = u32::from(transfer.region_ranks[*index as usize]);
            !transfer.have.contains(*index)
                && transfer.holders[*index as usize] == 0
                && !transfer.in_flight.contains_key(index)
                && waited >= self.cfg.takeover_delay * rank
        });
        for index in missing {
            let holder = transfer
                .remotes
                .iter()
                .filter(|(_, talk)| talk.have.as_ref().is_some_and(|have| have.contains(index)))
                .filter_map(|(host, _)| Some((host, self.links.get(host)?)))
                .filter(|(_, link)| {
                    link.usable(now) && link.outstanding < self.cfg.max_downloads_per_peer
                })
                .min_by_key(|(_, link)| link.outstanding);
            if let Some((host, link)) = holder {
                return Some((index, host.clone(), link.addr));
            }
        }
        None
    }

    fn start_fetch(
        &mut self,
        version: &Digest,
        index: u32,
        fetch: InFlight,
        addr: SocketAddr,
        out: &mut Vec<WeightsAction>,
    ) {
        let Some(transfer) = self.transfers.get_mut(version) else {
            return;
        };
        let source = fetch.source.clone();
        transfer.in_flight.entry(index).or_default().push(fetch);
        out.push(WeightsAction::FetchChunk {
            wanted: transfer.wanted.clone(),
            index,
            source,
            addr,
        });
    }

    pub(super) fn chunk_ended(
        &mut self,
        now: Instant,
        version: &Digest,
        end: ChunkEnd,
        out: &mut Vec<WeightsAction>,
    ) {
        let fetch = self
            .transfers
            .get_mut(version)
            .and_then(|transfer| transfer.end_fetch(end.index, &end.source));
        let Some(fetch) = fetch else { return };
        self.free_slot(&fetch);
        if let (Source::Peer(host), Some(have)) = (&end.source, end.have)
            && let Some(transfer) = self.transfers.get_mut(version)
        {
            transfer.learn(host, Have::Chunks(have), now);
        }
        match end.result {
            Ok(took) => {
                if let Source::Peer(host) = &end.source
                    && let Some(link) = self.links.get_mut(host)
                {
                    link.delivered(took);
                }
                self.chunk_verified(now, version, end.index, out);
            }
            Err(error) => {
                if error == FetchError::Corrupt {
                    out.push(WeightsAction::Log {
                        event: Event::ChunkCorrupt,
                        detail: format!("chunk {} of {version} from {:?}", end.index, end.source),
                    });
                }
                if let (FetchError::Missing, Source::Peer(host)) = (error, &end.source)
                    && let Some(transfer) = self.transfers.get_mut(version)
                {
                    transfer.unlearn(host, end.index);
                }
                self.source_failed(now, version, &end.source, error);
            }
        }
    }

    /// Takes in what the engine's staging held already.
    pub(super) fn scanned(
        &mut self,
        now: Instant,
        version: &Digest,
        found: &ChunkSet,
        out: &mut Vec<WeightsAction>,
    ) {
        let Some(transfer) = self.transfers.get_mut(version) else {
            return;
        };
        transfer.scanned = true;
        let chunks = transfer.chunks();
        for index in found.iter().filter(|index| *index < chunks) {
            self.chunk_verified(now, version, index, out);
        }
    }

    fn chunk_verified(
        &mut self,
        now: Instant,
        version: &Digest,
        index: u32,
        out: &mut Vec<WeightsAction>,
    ) {
        let Some(transfer) = self.transfers.get_mut(version) else {
            return;
        };
        let before = transfer.permille();
        if transfer.holders[index as usize] == 0 {
            transfer.news_at = now;
        }
        transfer.have.insert(index);
        let after = transfer.permille();
        if after / PROGRESS_STEP > before / PROGRESS_STEP {
            out.push(WeightsAction::Progress {
                version: version.clone(),
                permille: after,
            });
        }
        if transfer.is_held() {
            out.push(WeightsAction::Held {
                version: version.clone(),
            });
        }
        let others = transfer.in_flight.remove(&index).unwrap_or_default();
        for fetch in others {
            self.free_slot(&fetch);
            out.push(WeightsAction::AbortChunk {
                version: version.clone(),
                index,
                source: fetch.source,
            });
        }
    }

    /// Frees the slots of every running fetch of a version.
    pub(super) fn release_slots(&mut self, version: &Digest) {
        let in_flight = self
            .transfers
            .get_mut(version)
            .map(|transfer| std::mem::take(&mut transfer.in_flight))
            .unwrap_or_default();
        in_flight
            .into_values()
            .flatten()
            .for_each(|fetch| self.free_slot(&fetch));
    }

    fn free_slot(&mut self, fetch: &InFlight) {
        if fetch.owned {
            self.origin_downloads = self.origin_downloads.saturating_sub(1);
            return;
        }
        self.downloads = self.downloads.saturating_sub(1);
        if let Source::Peer(host) = &fetch.source
            && let Some(link) = self.links.get_mut(host)
        {
            link.outstanding = link.outstanding.saturating_sub(1);
        }
    }

    fn source_failed(
        &mut self,
        now: Instant,
        version: &Digest,
        source: &Source,
        error: FetchError,
    ) {
        match source {
            Source::Peer(host) => {
                let Some(link) = self.links.get_mut(host) else {
                    return;
                };
                match error {
                    FetchError::Corrupt => link.corrupt(now),
                    _ => link.failed(now),
                }
                let Some(transfer) = self.transfers.get_mut(version) else {
                    return;
                };
                if let Some(talk) = transfer.remotes.get_mut(host) {
                    talk.have = None;
                }
                match error {
                    FetchError::Corrupt => transfer.blame(host),
                    FetchError::Unreachable | FetchError::TimedOut => transfer.forget(host),
                    FetchError::Busy | FetchError::Missing => {}
                }
            }
            Source::Origin(at) => {
                if let Some(transfer) = self.transfers.get_mut(version) {
                    transfer
                        .origin_after
                        .insert(*at, now + self.cfg.origin_retry_delay);
                }
            }
        }
    }
}
