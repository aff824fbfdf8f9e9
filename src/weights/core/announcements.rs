//! Announcements of held chunks between peers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::types::{Digest, HostId};
use crate::weights::peers::Distance;

use super::peer_stats::PeerStats;
use super::transfer::{PeerState, Transfer};
use super::{Have, WeightsAction, WeightsCore};

/// Number of announcement intervals after which a peer is polled although nothing has changed.
const POLL_INTERVALS: u32 = 8;

impl WeightsCore {
    /// Handles an announcement of a peer; a sender that is not a peer yet may be admitted as one.
    pub(super) fn announcement_received(
        &mut self,
        now: Instant,
        host: HostId,
        addr: SocketAddr,
        version: &Digest,
        have: Have,
    ) {
        let Some(transfer) = self.transfers.get_mut(version) else {
            return;
        };
        if !transfer.is_current || host == self.cfg.own.host {
            return;
        }
        if !transfer.peers.contains_key(&host) {
            let listed = self.listed_hosts.iter().find(|peer| peer.host == host);
            let distance = listed.map_or(Distance::SameRegion, |peer| {
                Distance::between(&self.cfg.own, peer)
            });
            // Each ring contributes at most two peers; as many other senders are admitted.
            let full = transfer.peers.len() >= self.cfg.rings * 4;
            if full || distance == Distance::OtherRegion {
                return;
            }
            transfer.peers.insert(host.clone(), PeerState::default());
            self.peer_stats
                .entry(host.clone())
                .or_insert_with(|| PeerStats::new(addr, distance));
        }
        if let Some(stats) = self.peer_stats.get_mut(&host) {
            stats.addr = addr;
        }
        if let Some(peer) = transfer.peers.get_mut(&host) {
            // The answer to the announcement reports what this host holds.
            peer.announced_items = announced_items(transfer.is_open, transfer.have.len());
            peer.announced_at = Some(now);
        }
        transfer.add_peer_chunks(&host, have, now);
    }

    pub(super) fn announcement_done(
        &mut self,
        now: Instant,
        host: &HostId,
        version: &Digest,
        have: Option<Have>,
    ) {
        if have.is_none()
            && let Some(stats) = self.peer_stats.get_mut(host)
        {
            stats.record_failure(now);
        }
        let Some(transfer) = self.transfers.get_mut(version) else {
            return;
        };
        let reached = have.is_some();
        if let Some(peer) = transfer.remote_peers.get_mut(host) {
            peer.announcing = false;
            peer.have = match have {
                Some(Have::Chunks(have)) => Some(have),
                _ => None,
            };
            return;
        }
        if let Some(peer) = transfer.peers.get_mut(host) {
            peer.announcing = false;
            peer.contacted = true;
            if !reached {
                peer.announced_items = 0;
            }
        }
        match have {
            Some(have) => {
                transfer.set_peer_chunks(host, have, now);
            }
            None => transfer.clear_peer_chunks(host),
        }
    }

    /// Announces newly held chunks to the peers, at most once per announcement interval.
    ///
    /// While chunks are missing, peers are also polled at a longer interval.
    pub(super) fn announce(
        &mut self,
        now: Instant,
        version: &Digest,
        out: &mut Vec<WeightsAction>,
    ) {
        let Some(transfer) = self.transfers.get_mut(version) else {
            return;
        };
        let chunks = transfer.chunks();
        let held = transfer.is_held();
        let items = transfer.announced_items();
        let message = transfer.have_message();
        let interval = self.cfg.announce_interval;
        for (host, peer) in &mut transfer.peers {
            let Some(stats) = self.peer_stats.get(host) else {
                continue;
            };
            let peer_is_complete =
                chunks > 0 && peer.have.as_ref().is_some_and(|have| have.len() == chunks);
            let has_new_chunks = peer.announced_items < items && !peer_is_complete;
            let should_poll = !held && !peer_is_complete;
            // The first announcement is not delayed: without the manifest the peer cannot start.
            let is_first = peer.announced_items == 0 && items > 0;
            let wait = match (peer.announced_at, has_new_chunks, should_poll) {
                (None, _, _) => Duration::ZERO,
                (Some(_), true, _) if is_first => Duration::ZERO,
                (Some(_), true, _) => interval,
                (Some(_), false, true) => interval * POLL_INTERVALS,
                (Some(_), false, false) => continue,
            };
            let due = peer.announced_at.is_none_or(|at| now >= at + wait);
            if peer.announcing || !due || !stats.is_usable(now) {
                continue;
            }
            peer.announcing = true;
            peer.announced_at = Some(now);
            peer.announced_items = items;
            out.push(WeightsAction::Announce {
                host: host.clone(),
                addr: stats.addr,
                version: version.clone(),
                have: message.clone(),
            });
        }
    }

    /// Announces to peers of other regions, whose answers report what they hold.
    pub(super) fn announce_to_remote_peers(
        &mut self,
        now: Instant,
        version: &Digest,
        out: &mut Vec<WeightsAction>,
    ) {
        let Some(transfer) = self.transfers.get_mut(version) else {
            return;
        };
        let message = transfer.have_message();
        let interval = match self.cfg.share_origin_download {
            true => self.cfg.announce_interval,
            false => self.cfg.takeover_delay,
        };
        for (host, peer) in &mut transfer.remote_peers {
            let due = peer.announced_at.is_none_or(|at| now >= at + interval);
            let stats = self
                .peer_stats
                .get(host)
                .filter(|stats| stats.is_usable(now));
            let (Some(stats), true, false) = (stats, due, peer.announcing) else {
                continue;
            };
            peer.announcing = true;
            peer.announced_at = Some(now);
            out.push(WeightsAction::Announce {
                host: host.clone(),
                addr: stats.addr,
                version: version.clone(),
                have: message.clone(),
            });
        }
    }
}

fn announced_items(open: bool, chunks: u32) -> u32 {
    u32::from(open) + chunks
}

impl Transfer {
    /// True once every peer was reached or failed, or `grace` has passed since the start.
    pub(super) fn has_contacted_peers(&self, now: Instant, grace: Duration) -> bool {
        now >= self.started_at + grace || self.peers.values().all(|peer| peer.contacted)
    }
}
