//! Choice of the next chunk and of the peer that it comes from.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;

use crate::types::HostId;
use crate::weights::bitmap::ChunkSet;

use super::Source;
use super::link::Link;
use super::transfer::Transfer;

/// Multiple of the typical time after which a chunk is also fetched from a second peer.
const HEDGE_FACTOR: u32 = 3;

/// Multiple of the typical time beyond which a peer counts as slow.
const SLOW_FACTOR: u32 = 4;
/// Time of a chunk that is assumed before the first one.
const UNMEASURED: Duration = Duration::from_millis(50);
/// Chunks that may be fetched from a slow peer at once.
const PER_SLOW_PEER: usize = 1;

/// Peers as sources.
pub(super) type Links = BTreeMap<HostId, Link>;

/// Bounds of a choice.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    pub now: Instant,
    /// Chunks that may be fetched from one peer at once.
    pub per_peer: usize,
}

/// The rarest missing chunk that a free peer holds, and the best of the peers that hold it.
pub(super) fn next_chunk(
    transfer: &Transfer,
    links: &Links,
    limits: Limits,
    rng: &mut SmallRng,
) -> Option<(u32, HostId)> {
    let free = free_peers(transfer, links, limits);
    let mut reachable = ChunkSet::default();
    free.iter().for_each(|(_, have)| reachable.union_with(have));
    reachable.subtract(&transfer.have);
    let missing = reachable
        .iter()
        .filter(|index| !transfer.in_flight.contains_key(index));
    let index = rarest(transfer, missing, rng)?;
    let typical = typical_time(links).unwrap_or(UNMEASURED);
    let host = best_holder(&free, index, links, typical)?;
    Some((index, host))
}

/// Chunks that peers hold which are not slow.
pub(super) fn held_by_fast_peers(transfer: &Transfer, links: &Links, now: Instant) -> ChunkSet {
    let slow = slow_peers(transfer, links, now);
    let mut held = ChunkSet::default();
    transfer
        .talks
        .iter()
        .filter(|(host, _)| !slow.contains(host))
        .filter_map(|(_, talk)| talk.have.as_ref())
        .for_each(|have| held.union_with(have));
    held
}

/// Peers whose chunks take unusually long, or one of whose chunks is unusually late.
fn slow_peers<'a>(transfer: &'a Transfer, links: &Links, now: Instant) -> BTreeSet<&'a HostId> {
    let Some(typical) = typical_time(links) else {
        return BTreeSet::new();
    };
    let bound = typical * SLOW_FACTOR;
    let late = transfer
        .in_flight
        .values()
        .flatten()
        .filter(|fetch| now - fetch.since > bound)
        .filter_map(|fetch| match &fetch.source {
            Source::Peer(host) => Some(host),
            Source::Origin(_) => None,
        });
    let measured = transfer.talks.keys().filter(|host| {
        let time = links.get(*host).and_then(|link| link.chunk_time);
        time.is_some_and(|time| time > bound)
    });
    late.chain(measured).collect()
}

/// A chunk whose fetch takes unusually long, and another peer that holds it.
pub(super) fn hedge(transfer: &Transfer, links: &Links, limits: Limits) -> Option<(u32, HostId)> {
    let typical = typical_time(links)?;
    let free = free_peers(transfer, links, limits);
    let late = transfer.in_flight.iter().filter(|(_, fetches)| {
        matches!(&fetches[..], [only] if limits.now - only.since > typical * HEDGE_FACTOR)
    });
    late.filter_map(|(index, fetches)| {
        let others: Vec<_> = free
            .iter()
            .filter(|(host, _)| fetches[0].source != Source::Peer((*host).clone()))
            .copied()
            .collect();
        let host = best_holder(&others, *index, links, typical)?;
        Some((*index, host))
    })
    .next()
}

fn free_peers<'a>(
    transfer: &'a Transfer,
    links: &Links,
    limits: Limits,
) -> Vec<(&'a HostId, &'a ChunkSet)> {
    let slow = slow_peers(transfer, links, limits.now);
    let is_free = |host: &HostId, link: &Link| {
        let most = match slow.contains(host) {
            true => PER_SLOW_PEER,
            false => limits.per_peer,
        };
        link.outstanding < most && link.usable(limits.now)
    };
    transfer
        .talks
        .iter()
        .filter_map(|(host, talk)| Some((host, talk.have.as_ref()?)))
        .filter(|(host, _)| links.get(*host).is_some_and(|link| is_free(host, link)))
        .collect()
}

fn rarest(
    transfer: &Transfer,
    missing: impl Iterator<Item = u32>,
    rng: &mut SmallRng,
) -> Option<u32> {
    let mut best = None;
    let mut count = u16::MAX;
    let mut ties = 0u32;
    for index in missing {
        let holders = transfer.holders[index as usize];
        if holders < count {
            count = holders;
            ties = 0;
        }
        if holders == count {
            ties += 1;
            // Reservoir sampling: each of the equally rare chunks is as likely as the others.
            if rng.random_range(0..ties) == 0 {
                best = Some(index);
            }
        }
    }
    best
}

fn best_holder(
    free: &[(&HostId, &ChunkSet)],
    index: u32,
    links: &Links,
    typical: Duration,
) -> Option<HostId> {
    free.iter()
        .filter(|(_, have)| have.contains(index))
        .min_by_key(|(host, have)| {
            let cost = links.get(*host).map(|link| link.cost(typical));
            // Of equal peers the one with fewer chunks has fewer others to serve.
            (cost, have.len())
        })
        .map(|(host, _)| (*host).clone())
}

/// Median time of a chunk over the measured peers; `None` before the first chunk.
fn typical_time(links: &Links) -> Option<Duration> {
    let mut times: Vec<Duration> = links.values().filter_map(|link| link.chunk_time).collect();
    times.sort_unstable();
    times.get(times.len() / 2).copied()
}
