//! Announcements between peers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::types::{Digest, HostId};
use crate::weights::peers::Distance;

use super::link::Link;
use super::transfer::{Talk, Transfer};
use super::{Have, WeightsAction, WeightsCore};

/// Announcement intervals without news after which a peer is asked again.
const POLL_INTERVALS: u32 = 8;

impl WeightsCore {
    /// Takes in what a peer said on its own; a host that is not listed yet may be admitted.
    pub(super) fn announced(
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
        if !transfer.current || host == self.cfg.own.host {
            return;
        }
        if !transfer.talks.contains_key(&host) {
            let listed = self.listed.iter().find(|peer| peer.host == host);
            let distance = listed.map_or(Distance::Region, |peer| {
                Distance::between(&self.cfg.own, peer)
            });
            // Each ring gives two peers; as many strangers again are admitted.
            let full = transfer.talks.len() >= self.cfg.rings * 4;
            if full || distance == Distance::Elsewhere {
                return;
            }
            transfer.talks.insert(host.clone(), Talk::default());
            self.links
                .entry(host.clone())
                .or_insert_with(|| Link::new(addr, distance));
        }
        if let Some(link) = self.links.get_mut(&host) {
            link.addr = addr;
        }
        if let Some(talk) = transfer.talks.get_mut(&host) {
            // The answer to the peer's message tells it what this host holds.
            talk.told = transfer_told(transfer.open, transfer.have.len());
            talk.sent_at = Some(now);
        }
        transfer.learn_more(&host, have, now);
    }

    pub(super) fn announce_done(
        &mut self,
        now: Instant,
        host: &HostId,
        version: &Digest,
        have: Option<Have>,
    ) {
        if have.is_none()
            && let Some(link) = self.links.get_mut(host)
        {
            link.failed(now);
        }
        let Some(transfer) = self.transfers.get_mut(version) else {
            return;
        };
        let reached = have.is_some();
        if let Some(talk) = transfer.remotes.get_mut(host) {
            talk.busy = false;
            talk.have = match have {
                Some(Have::Chunks(have)) => Some(have),
                _ => None,
            };
            return;
        }
        if let Some(talk) = transfer.talks.get_mut(host) {
            talk.busy = false;
            talk.heard = true;
            if !reached {
                talk.told = 0;
            }
        }
        match have {
            Some(have) => {
                transfer.learn(host, have, now);
            }
            None => transfer.forget(host),
        }
    }

    /// Tells the peers what is new to them, at most once in the announcement interval.
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
        let told = transfer.told_when_sent();
        let message = transfer.have_message();
        let interval = self.cfg.announce_interval;
        for (host, talk) in &mut transfer.talks {
            let Some(link) = self.links.get(host) else {
                continue;
            };
            let complete =
                chunks > 0 && talk.have.as_ref().is_some_and(|have| have.len() == chunks);
            let news = talk.told < told && !complete;
            let poll = !held && !complete;
            // Without the manifest the peer can not start at all.
            let first = talk.told == 0 && told > 0;
            let wait = match (talk.sent_at, news, poll) {
                (None, _, _) => Duration::ZERO,
                (Some(_), true, _) if first => Duration::ZERO,
                (Some(_), true, _) => interval,
                (Some(_), false, true) => interval * POLL_INTERVALS,
                (Some(_), false, false) => continue,
            };
            let due = talk.sent_at.is_none_or(|at| now >= at + wait);
            if talk.busy || !due || !link.usable(now) {
                continue;
            }
            talk.busy = true;
            talk.sent_at = Some(now);
            talk.told = told;
            out.push(WeightsAction::Announce {
                host: host.clone(),
                addr: link.addr,
                version: version.clone(),
                have: message.clone(),
            });
        }
    }

    /// Asks peers of other regions what they hold.
    pub(super) fn ask_remotes(
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
        for (host, talk) in &mut transfer.remotes {
            let due = talk.sent_at.is_none_or(|at| now >= at + interval);
            let link = self.links.get(host).filter(|link| link.usable(now));
            let (Some(link), true, false) = (link, due, talk.busy) else {
                continue;
            };
            talk.busy = true;
            talk.sent_at = Some(now);
            out.push(WeightsAction::Announce {
                host: host.clone(),
                addr: link.addr,
                version: version.clone(),
                have: message.clone(),
            });
        }
    }
}

fn transfer_told(open: bool, chunks: u32) -> u32 {
    u32::from(open) + chunks
}

impl Transfer {
    /// True once every peer was asked for what it holds, or has had time to answer.
    pub(super) fn is_introduced(&self, now: Instant, grace: Duration) -> bool {
        now >= self.since + grace || self.talks.values().all(|talk| talk.heard)
    }
}
