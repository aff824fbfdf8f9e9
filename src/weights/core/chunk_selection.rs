//! Selection of the next chunk to fetch and of the peer to fetch it from.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;

use crate::types::HostId;
use crate::weights::bitmap::ChunkSet;

use super::Source;
use super::peer_stats::PeerStats;
use super::transfer::Transfer;

/// Multiple of the median chunk time after which a chunk is also fetched from a second peer.
const HEDGE_FACTOR: u32 = 3;

/// Multiple of the median chunk time above which a peer counts as slow.
const SLOW_FACTOR: u32 = 4;
/// Assumed chunk time before the first measurement.
const DEFAULT_CHUNK_TIME: Duration = Duration::from_millis(50);
/// Maximum number of chunks fetched from a slow peer at once.
const MAX_FETCHES_PER_SLOW_PEER: usize = 1;

/// Statistics of peers as sources of chunks, by host.
pub(super) type StatsByHost = BTreeMap<HostId, PeerStats>;

/// Time and limits of a selection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    pub now: Instant,
    /// Maximum number of chunks fetched from one peer at once.
    pub max_fetches_per_peer: usize,
}

/// Selects the rarest missing chunk that an available peer holds, and the best of these peers.
pub(super) fn next_chunk(
    transfer: &Transfer,
    peer_stats: &StatsByHost,
    limits: Limits,
    rng: &mut SmallRng,
) -> Option<(u32, HostId)> {
    let available = available_peers(transfer, peer_stats, limits);
    let mut reachable = ChunkSet::default();
    available
        .iter()
        .for_each(|(_, have)| reachable.union_with(have));
    reachable.subtract(&transfer.have);
    let missing = reachable
        .iter()
        .filter(|index| !transfer.in_flight.contains_key(index));
    let index = rarest_chunk(transfer, missing, rng)?;
    let median = median_chunk_time(peer_stats).unwrap_or(DEFAULT_CHUNK_TIME);
    let host = best_holder(&available, index, peer_stats, median)?;
    Some((index, host))
}

/// Returns the chunks held by peers that are not slow.
pub(super) fn held_by_fast_peers(
    transfer: &Transfer,
    peer_stats: &StatsByHost,
    now: Instant,
) -> ChunkSet {
    let slow = slow_peers(transfer, peer_stats, now);
    let mut held = ChunkSet::default();
    transfer
        .peers
        .iter()
        .filter(|(host, _)| !slow.contains(host))
        .filter_map(|(_, peer)| peer.have.as_ref())
        .for_each(|have| held.union_with(have));
    held
}

/// Returns peers whose mean chunk time is above the bound, or with a fetch running for longer.
fn slow_peers<'a>(
    transfer: &'a Transfer,
    peer_stats: &StatsByHost,
    now: Instant,
) -> BTreeSet<&'a HostId> {
    let Some(median) = median_chunk_time(peer_stats) else {
        return BTreeSet::new();
    };
    let bound = median * SLOW_FACTOR;
    let late = transfer
        .in_flight
        .values()
        .flatten()
        .filter(|fetch| now - fetch.started_at > bound)
        .filter_map(|fetch| match &fetch.source {
            Source::Peer(host) => Some(host),
            Source::Origin(_) => None,
        });
    let measured = transfer.peers.keys().filter(|host| {
        let time = peer_stats
            .get(*host)
            .and_then(|stats| stats.mean_chunk_time);
        time.is_some_and(|time| time > bound)
    });
    late.chain(measured).collect()
}

/// Selects a chunk whose only fetch takes unusually long, and another peer that holds it.
pub(super) fn hedged_fetch(
    transfer: &Transfer,
    peer_stats: &StatsByHost,
    limits: Limits,
) -> Option<(u32, HostId)> {
    let median = median_chunk_time(peer_stats)?;
    let available = available_peers(transfer, peer_stats, limits);
    let late = transfer.in_flight.iter().filter(|(_, fetches)| {
        matches!(&fetches[..], [only] if limits.now - only.started_at > median * HEDGE_FACTOR)
    });
    late.filter_map(|(index, fetches)| {
        let others: Vec<_> = available
            .iter()
            .filter(|(host, _)| fetches[0].source != Source::Peer((*host).clone()))
            .copied()
            .collect();
        let host = best_holder(&others, *index, peer_stats, median)?;
        Some((*index, host))
    })
    .next()
}

fn available_peers<'a>(
    transfer: &'a Transfer,
    peer_stats: &StatsByHost,
    limits: Limits,
) -> Vec<(&'a HostId, &'a ChunkSet)> {
    let slow = slow_peers(transfer, peer_stats, limits.now);
    let is_available = |host: &HostId, stats: &PeerStats| {
        let max = match slow.contains(host) {
            true => MAX_FETCHES_PER_SLOW_PEER,
            false => limits.max_fetches_per_peer,
        };
        stats.active_fetches < max && stats.is_usable(limits.now)
    };
    transfer
        .peers
        .iter()
        .filter_map(|(host, peer)| Some((host, peer.have.as_ref()?)))
        .filter(|(host, _)| {
            peer_stats
                .get(*host)
                .is_some_and(|stats| is_available(host, stats))
        })
        .collect()
}

fn rarest_chunk(
    transfer: &Transfer,
    missing: impl Iterator<Item = u32>,
    rng: &mut SmallRng,
) -> Option<u32> {
    let mut best = None;
    let mut count = u16::MAX;
    let mut ties = 0u32;
    for index in missing {
        let holders = transfer.holder_counts[index as usize];
        if holders < count {
            count = holders;
            ties = 0;
        }
        if holders == count {
            ties += 1;
            // Reservoir sampling: all equally rare chunks have the same probability.
            if rng.random_range(0..ties) == 0 {
                best = Some(index);
            }
        }
    }
    best
}

fn best_holder(
    available: &[(&HostId, &ChunkSet)],
    index: u32,
    peer_stats: &StatsByHost,
    median: Duration,
) -> Option<HostId> {
    available
        .iter()
        .filter(|(_, have)| have.contains(index))
        .min_by_key(|(host, have)| {
            let cost = peer_stats.get(*host).map(|stats| stats.cost(median));
            // Among equal peers, one with fewer chunks has fewer other peers to serve.
            (cost, have.len())
        })
        .map(|(host, _)| (*host).clone())
}

/// Median of the mean chunk times of the peers; `None` before the first chunk.
fn median_chunk_time(peer_stats: &StatsByHost) -> Option<Duration> {
    let mut times: Vec<Duration> = peer_stats
        .values()
        .filter_map(|stats| stats.mean_chunk_time)
        .collect();
    times.sort_unstable();
    times.get(times.len() / 2).copied()
}
