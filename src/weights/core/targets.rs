//! Which versions are wanted, and which hosts are peers for them.

use std::sync::Arc;
use std::time::Instant;

use crate::telemetry::Event;
use crate::types::{Digest, HostId};
use crate::weights::manifest::Manifest;
use crate::weights::peers::{
    Distance, Peer, chunk_ranks, drawers, remote_neighbours, ring_neighbours,
};

use super::link::Link;
use super::transfer::{Talk, Transfer};
use super::{WantedVersion, WeightsAction, WeightsCore};

/// Peers of other regions that a host may ask when no origin answers, and where all regions share
/// one draw.
const REMOTE_PEERS: usize = 4;

impl WeightsCore {
    pub(super) fn want(
        &mut self,
        now: Instant,
        wanted: WantedVersion,
        out: &mut Vec<WeightsAction>,
    ) {
        self.supersede(&wanted.model, Some(&wanted.version), out);
        let version = wanted.version.clone();
        let unscanned = self.cfg.staging.is_some();
        let transfer = self
            .transfers
            .entry(version.clone())
            .or_insert_with(|| Transfer {
                scanned: !unscanned,
                ..Transfer::new(wanted.clone(), now)
            });
        transfer.wanted = wanted;
        transfer.current = true;
        if transfer.is_held() {
            out.push(WeightsAction::Held {
                version: version.clone(),
            });
        }
        self.choose_peers(&version);
    }

    /// Ends work on every version of the model but the wanted one.
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
            .filter(|(_, transfer)| transfer.current && &*transfer.wanted.model == model)
            .map(|(version, _)| version.clone())
            .collect();
        for version in old {
            out.push(WeightsAction::Abort {
                version: version.clone(),
            });
            self.release_slots(&version);
            self.retire(version, out);
        }
        self.drop_unused_links();
    }

    /// Keeps a held version for a roll back, drops one that is not complete.
    fn retire(&mut self, version: Digest, out: &mut Vec<WeightsAction>) {
        match self.transfers.get_mut(&version) {
            Some(transfer) if transfer.is_held() => {
                transfer.current = false;
                transfer.talks.clear();
                transfer.remotes.clear();
            }
            _ => {
                self.transfers.remove(&version);
                out.push(WeightsAction::Drop { version });
            }
        }
    }

    pub(super) fn list(&mut self, mut peers: Vec<Peer>) {
        peers.retain(|peer| peer.host != self.cfg.own.host);
        peers.push(self.cfg.own.clone());
        self.listed = peers;
        let versions: Vec<Digest> = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.current)
            .map(|(version, _)| version.clone())
            .collect();
        versions
            .iter()
            .for_each(|version| self.choose_peers(version));
    }

    /// Chooses the peers of a version anew and keeps what is known of those that stay.
    fn choose_peers(&mut self, version: &Digest) {
        let Some(transfer) = self.transfers.get_mut(version) else {
            return;
        };
        let own = &self.cfg.own;
        let hosts: Vec<&Peer> = self
            .listed
            .iter()
            .filter(|peer| takes_part(&transfer.wanted, own, &peer.host))
            .collect();
        let (region, elsewhere): (Vec<_>, Vec<_>) = hosts
            .into_iter()
            .partition(|peer| peer.region == own.region);
        let near = ring_neighbours(&own.host, &region, self.cfg.rings);
        let far = remote_neighbours(&own.host, &elsewhere, REMOTE_PEERS);

        let gone: Vec<HostId> = transfer
            .talks
            .keys()
            .filter(|host| !near.contains(host))
            .cloned()
            .collect();
        for host in gone {
            transfer.forget(&host);
            transfer.talks.remove(&host);
        }
        near.iter().for_each(|host| {
            transfer.talks.entry(host.clone()).or_default();
        });
        transfer.remotes = far
            .iter()
            .map(|host| (host.clone(), Talk::default()))
            .collect();
        let chunks = transfer.chunks();
        transfer.region_ranks = chunk_ranks(&own.host, &region, version, chunks);
        // A manifest is small against a copy: each region draws its own.
        transfer.manifest_rank = chunk_ranks(&own.host, &region, version, 1)[0];
        if self.cfg.share_origin_download {
            let all: Vec<&Peer> = region.iter().chain(&elsewhere).copied().collect();
            let drawers = drawers(version, all, self.cfg.origin_downloaders);
            transfer.ranks = match drawers.iter().any(|peer| peer.host == own.host) {
                true => chunk_ranks(&own.host, &drawers, version, chunks),
                // The others take over only when all drawers are silent.
                false => vec![u8::try_from(drawers.len()).unwrap_or(u8::MAX); chunks as usize],
            };
        } else {
            transfer.ranks.clone_from(&transfer.region_ranks);
        }

        for peer in &self.listed {
            if near.contains(&peer.host) || far.contains(&peer.host) {
                let distance = Distance::between(own, peer);
                self.links
                    .entry(peer.host.clone())
                    .or_insert_with(|| Link::new(peer.addr, distance))
                    .addr = peer.addr;
            }
        }
        self.drop_unused_links();
    }

    pub(super) fn drop_unused_links(&mut self) {
        let transfers = &self.transfers;
        self.links.retain(|host, link| {
            link.outstanding > 0
                || transfers.values().any(|transfer| {
                    transfer.talks.contains_key(host) || transfer.remotes.contains_key(host)
                })
        });
    }

    /// Takes in a manifest, and opens the version when there is room for it.
    pub(super) fn accept_manifest(
        &mut self,
        version: &Digest,
        manifest: Arc<Manifest>,
        out: &mut Vec<WeightsAction>,
    ) {
        if let Some(transfer) = self.transfers.get_mut(version) {
            transfer.manifest = Some(manifest);
        }
        self.open(version, out);
        let closed = self.transfers.get(version).is_some_and(|t| !t.open);
        if closed {
            out.push(WeightsAction::Log {
                event: Event::NoRoomForVersion,
                detail: format!(
                    "{version} does not fit into {} bytes",
                    self.cfg.max_chunk_memory
                ),
            });
        }
    }

    /// Opens versions that wait for room.
    pub(super) fn open_waiting(&mut self, out: &mut Vec<WeightsAction>) {
        let waiting: Vec<Digest> = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.manifest.is_some() && !transfer.open)
            .map(|(version, _)| version.clone())
            .collect();
        waiting.iter().for_each(|version| self.open(version, out));
    }

    fn open(&mut self, version: &Digest, out: &mut Vec<WeightsAction>) {
        let manifest = self.transfers.get(version).and_then(|t| t.manifest.clone());
        let Some(manifest) = manifest else { return };
        if !self.make_room(manifest.size, out) {
            return;
        }
        if let Some(transfer) = self.transfers.get_mut(version) {
            transfer.open = true;
            transfer.count_holders();
        }
        self.choose_peers(version);
        out.push(WeightsAction::Open {
            version: version.clone(),
            manifest,
        });
    }

    /// Drops superseded versions until another one of `size` bytes fits; false when they do not.
    fn make_room(&mut self, size: u64, out: &mut Vec<WeightsAction>) -> bool {
        loop {
            let used: u64 = self
                .transfers
                .values()
                .filter(|transfer| transfer.open)
                .filter_map(|transfer| transfer.manifest.as_ref())
                .map(|manifest| manifest.size)
                .sum();
            let open = self.transfers.values().filter(|t| t.open).count();
            if used.saturating_add(size) <= self.cfg.max_chunk_memory
                && open < self.cfg.max_versions
            {
                return true;
            }
            let oldest = self
                .transfers
                .iter()
                .filter(|(_, transfer)| !transfer.current)
                .min_by_key(|(_, transfer)| transfer.since)
                .map(|(version, _)| version.clone());
            let Some(version) = oldest else { return false };
            self.transfers.remove(&version);
            out.push(WeightsAction::Drop { version });
        }
    }
}

fn takes_part(wanted: &WantedVersion, own: &Peer, host: &HostId) -> bool {
    *host == own.host
        || wanted
            .hosts
            .as_ref()
            .is_none_or(|hosts| hosts.contains(host))
}
