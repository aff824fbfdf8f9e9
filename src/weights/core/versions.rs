//! Wanted versions, the selection of their peers, and the memory for their chunks.

use std::sync::Arc;
use std::time::Instant;

use crate::telemetry::Event;
use crate::types::{Digest, HostId};
use crate::weights::manifest::Manifest;
use crate::weights::peers::{
    Distance, Peer, chunk_ranks, origin_downloaders, remote_neighbours, ring_neighbours,
};

use super::peer_stats::PeerStats;
use super::transfer::{PeerState, Transfer};
use super::{WantedVersion, WeightsAction, WeightsCore};

/// Number of peers of other regions, used when no origin is usable or when all regions share one
/// download.
const REMOTE_PEERS: usize = 4;

impl WeightsCore {
    pub(super) fn want_version(
        &mut self,
        now: Instant,
        wanted: WantedVersion,
        out: &mut Vec<WeightsAction>,
    ) {
        self.supersede(&wanted.model, Some(&wanted.version), out);
        let version = wanted.version.clone();
        let has_staging = self.cfg.staging.is_some();
        let transfer = self
            .transfers
            .entry(version.clone())
            .or_insert_with(|| Transfer {
                staging_scanned: !has_staging,
                ..Transfer::new(wanted.clone(), now)
            });
        transfer.wanted = wanted;
        transfer.is_current = true;
        if transfer.is_held() {
            out.push(WeightsAction::VersionHeld {
                version: version.clone(),
            });
        }
        self.choose_peers(&version);
    }

    /// Stops the transfer of every version of the model except the wanted one.
    pub(super) fn supersede(
        &mut self,
        model: &str,
        wanted: Option<&Digest>,
        out: &mut Vec<WeightsAction>,
    ) {
        let old: Vec<Digest> = self
            .transfers
            .iter()
            .filter(|(version, _)| Some(*version) != wanted)
            .filter(|(_, transfer)| transfer.is_current && &*transfer.wanted.model == model)
            .map(|(version, _)| version.clone())
            .collect();
        for version in old {
            out.push(WeightsAction::AbortVersion {
                version: version.clone(),
            });
            self.release_download_slots(&version);
            self.retire_version(version, out);
        }
        self.drop_unused_peer_stats();
    }

    /// Keeps a version that is completely held for a rollback; drops any other one.
    fn retire_version(&mut self, version: Digest, out: &mut Vec<WeightsAction>) {
        match self.transfers.get_mut(&version) {
            Some(transfer) if transfer.is_held() => {
                transfer.is_current = false;
                transfer.peers.clear();
                transfer.remote_peers.clear();
            }
            _ => {
                self.transfers.remove(&version);
                out.push(WeightsAction::DropVersion { version });
            }
        }
    }

    pub(super) fn update_listed_hosts(&mut self, mut peers: Vec<Peer>) {
        peers.retain(|peer| peer.host != self.cfg.own.host);
        peers.push(self.cfg.own.clone());
        self.listed_hosts = peers;
        let versions: Vec<Digest> = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.is_current)
            .map(|(version, _)| version.clone())
            .collect();
        versions
            .iter()
            .for_each(|version| self.choose_peers(version));
    }

    /// Selects the peers of a version; the state of peers of the region that stay is kept.
    fn choose_peers(&mut self, version: &Digest) {
        let Some(transfer) = self.transfers.get_mut(version) else {
            return;
        };
        let own = &self.cfg.own;
        let hosts: Vec<&Peer> = self
            .listed_hosts
            .iter()
            .filter(|peer| is_participant(&transfer.wanted, own, &peer.host))
            .collect();
        let (region, other_regions): (Vec<_>, Vec<_>) = hosts
            .into_iter()
            .partition(|peer| peer.region == own.region);
        let neighbours = ring_neighbours(&own.host, &region, self.cfg.rings);
        let remote_hosts = remote_neighbours(&own.host, &other_regions, REMOTE_PEERS);

        let removed: Vec<HostId> = transfer
            .peers
            .keys()
            .filter(|host| !neighbours.contains(host))
            .cloned()
            .collect();
        for host in removed {
            transfer.clear_peer_chunks(&host);
            transfer.peers.remove(&host);
        }
        neighbours.iter().for_each(|host| {
            transfer.peers.entry(host.clone()).or_default();
        });
        transfer.remote_peers = remote_hosts
            .iter()
            .map(|host| (host.clone(), PeerState::default()))
            .collect();
        let chunks = transfer.chunks();
        transfer.region_ranks = chunk_ranks(&own.host, &region, version, chunks);
        // Each region downloads its own manifest, as it is much smaller than the chunks.
        transfer.manifest_rank = chunk_ranks(&own.host, &region, version, 1)[0];
        if self.cfg.share_origin_download {
            let all: Vec<&Peer> = region.iter().chain(&other_regions).copied().collect();
            let downloaders = origin_downloaders(version, all, self.cfg.origin_downloaders);
            transfer.origin_ranks = match downloaders.iter().any(|peer| peer.host == own.host) {
                true => chunk_ranks(&own.host, &downloaders, version, chunks),
                // Other hosts take over only after all downloaders had their turn.
                false => vec![u8::try_from(downloaders.len()).unwrap_or(u8::MAX); chunks as usize],
            };
        } else {
            transfer.origin_ranks.clone_from(&transfer.region_ranks);
        }

        for peer in &self.listed_hosts {
            if neighbours.contains(&peer.host) || remote_hosts.contains(&peer.host) {
                let distance = Distance::between(own, peer);
                self.peer_stats
                    .entry(peer.host.clone())
                    .or_insert_with(|| PeerStats::new(peer.addr, distance))
                    .addr = peer.addr;
            }
        }
        self.drop_unused_peer_stats();
    }

    pub(super) fn drop_unused_peer_stats(&mut self) {
        let transfers = &self.transfers;
        self.peer_stats.retain(|host, stats| {
            stats.active_fetches > 0
                || transfers.values().any(|transfer| {
                    transfer.peers.contains_key(host) || transfer.remote_peers.contains_key(host)
                })
        });
    }

    /// Stores a manifest, and opens the version if there is memory for it.
    pub(super) fn accept_manifest(
        &mut self,
        version: &Digest,
        manifest: Arc<Manifest>,
        out: &mut Vec<WeightsAction>,
    ) {
        if let Some(transfer) = self.transfers.get_mut(version) {
            transfer.manifest = Some(manifest);
        }
        self.try_open(version, out);
        let is_waiting = self.transfers.get(version).is_some_and(|t| !t.is_open);
        if is_waiting {
            out.push(WeightsAction::Log {
                event: Event::NoRoomForVersion,
                detail: format!(
                    "{version} does not fit into {} bytes",
                    self.cfg.max_chunk_memory
                ),
            });
        }
    }

    /// Opens versions that wait for memory, if it is available now.
    pub(super) fn open_waiting_versions(&mut self, out: &mut Vec<WeightsAction>) {
        let waiting: Vec<Digest> = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.manifest.is_some() && !transfer.is_open)
            .map(|(version, _)| version.clone())
            .collect();
        waiting
            .iter()
            .for_each(|version| self.try_open(version, out));
    }

    fn try_open(&mut self, version: &Digest, out: &mut Vec<WeightsAction>) {
        let manifest = self.transfers.get(version).and_then(|t| t.manifest.clone());
        let Some(manifest) = manifest else { return };
        if !self.free_memory_for(manifest.size, out) {
            return;
        }
        if let Some(transfer) = self.transfers.get_mut(version) {
            transfer.is_open = true;
            transfer.count_holders();
        }
        self.choose_peers(version);
        out.push(WeightsAction::OpenVersion {
            version: version.clone(),
            manifest,
        });
    }

    /// Drops superseded versions, oldest first, until a version of `size` bytes fits.
    ///
    /// Returns false when it does not fit even then.
    fn free_memory_for(&mut self, size: u64, out: &mut Vec<WeightsAction>) -> bool {
        loop {
            let used: u64 = self
                .transfers
                .values()
                .filter(|transfer| transfer.is_open)
                .filter_map(|transfer| transfer.manifest.as_ref())
                .map(|manifest| manifest.size)
                .sum();
            let open = self.transfers.values().filter(|t| t.is_open).count();
            if used.saturating_add(size) <= self.cfg.max_chunk_memory
                && open < self.cfg.max_versions
            {
                return true;
            }
            let oldest = self
                .transfers
                .iter()
                .filter(|(_, transfer)| !transfer.is_current)
                .min_by_key(|(_, transfer)| transfer.started_at)
                .map(|(version, _)| version.clone());
            let Some(version) = oldest else { return false };
            self.transfers.remove(&version);
            out.push(WeightsAction::DropVersion { version });
        }
    }
}

fn is_participant(wanted: &WantedVersion, own: &Peer, host: &HostId) -> bool {
    *host == own.host
        || wanted
            .hosts
            .as_ref()
            .is_none_or(|hosts| hosts.contains(host))
}
