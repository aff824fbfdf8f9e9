//! Selection of peers, and ownership of chunks for the download from the origin.
//!
//! Peers are taken from a few rings over the hosts of a region. In each ring the hosts are sorted
//! by a hash of their name and the ring's number, and the peers of a host are the next and the
//! previous one. The graph is connected and has a low diameter, both hosts of a pair select each
//! other without exchanging messages, and the number of peers of a host does not grow with the
//! number of hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::types::{Digest, HostId, RegionId, ZoneId};

/// An agent that takes part in the distribution of weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Region of the host.
    pub region: RegionId,
    /// Address of the agent's traffic listener.
    pub addr: SocketAddr,
}

/// Network distance of a peer; nearer peers are preferred as sources.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// Same availability zone.
    SameZone,
    /// Same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

impl Distance {
    /// Returns the distance between two hosts.
    pub fn between(a: &Peer, b: &Peer) -> Self {
        if a.region != b.region {
            Self::OtherRegion
        } else if a.zone != b.zone {
            Self::SameRegion
        } else {
            Self::SameZone
        }
    }
}

/// Returns the peers of `own` within its region: the next and the previous host in each ring.
pub fn ring_neighbours(own: &HostId, hosts: &[&Peer], rings: usize) -> Vec<HostId> {
    let mut found = BTreeMap::new();
    for ring in 0..rings {
        let mut order: Vec<(u64, &HostId)> = hosts
            .iter()
            .map(|peer| (ring_hash(ring, &peer.host), &peer.host))
            .collect();
        order.sort_unstable();
        let Some(at) = order.iter().position(|(_, host)| *host == own) else {
            continue;
        };
        let len = order.len();
        for neighbour in [(at + 1) % len, (at + len - 1) % len] {
            if neighbour != at {
                found.insert(order[neighbour].1.clone(), ());
            }
        }
    }
    found.into_keys().collect()
}

/// Selects `count` hosts of other regions, from which `own` fetches chunks across regions.
pub fn remote_neighbours(own: &HostId, hosts: &[&Peer], count: usize) -> Vec<HostId> {
    let mut order: Vec<(u64, &HostId)> = hosts
        .iter()
        .map(|peer| (pair_hash(own, &peer.host), &peer.host))
        .collect();
    order.sort_unstable();
    order
        .into_iter()
        .take(count)
        .map(|(_, host)| host.clone())
        .collect()
}

/// Selects the `count` hosts that download a version from the origin when all regions share one
/// download. The origin can handle only a limited number of connections.
pub fn origin_downloaders<'a>(
    version: &Digest,
    mut hosts: Vec<&'a Peer>,
    count: usize,
) -> Vec<&'a Peer> {
    hosts.sort_by_key(|peer| (pair_hash(version, &peer.host), peer.host.clone()));
    hosts.truncate(count);
    hosts
}

/// Returns the rank of `own` among the hosts for each chunk, by rendezvous hashing.
///
/// The host of rank 0 owns the chunk. No host owns more than its even share, as all wait for the last chunk.
pub fn chunk_ranks(own: &HostId, hosts: &[&Peer], version: &Digest, chunks: u32) -> Vec<u8> {
    let seeds = host_seeds(hosts, version);
    let own_seed = pair_hash(version, own);
    let owners = chunk_owners(&seeds, chunks);
    let rank = |(index, owner): (u64, Option<usize>)| {
        let owner_seed = owner.map(|owner| seeds[owner]);
        if owner_seed.is_none_or(|seed| seed == own_seed) {
            return 0;
        }
        let own_score = mix(own_seed, index);
        let others = seeds.iter().filter(|seed| Some(**seed) != owner_seed);
        let ahead = others.filter(|seed| mix(**seed, index) > own_score);
        u8::try_from(1 + ahead.count()).unwrap_or(u8::MAX)
    };
    (0..).zip(owners).map(rank).collect()
}

fn host_seeds(hosts: &[&Peer], version: &Digest) -> Vec<u64> {
    let seeds = hosts.iter().map(|peer| pair_hash(version, &peer.host));
    seeds.collect()
}

/// Owner of each chunk, as an index into `seeds`: among the hosts that own fewer than their share, the one with the
/// highest score.
fn chunk_owners(seeds: &[u64], chunks: u32) -> Vec<Option<usize>> {
    let share = (chunks as usize).div_ceil(seeds.len().max(1));
    let mut owned = vec![0; seeds.len()];
    let owner = |index| {
        let free = (0..seeds.len()).filter(|host| owned[*host] < share);
        let owner = free.max_by_key(|host| (mix(seeds[*host], index), *host))?;
        owned[owner] += 1;
        Some(owner)
    };
    (0..u64::from(chunks)).map(owner).collect()
}

fn ring_hash(ring: usize, host: &str) -> u64 {
    mix(text_hash(host), ring as u64)
}

fn pair_hash(a: &str, b: &str) -> u64 {
    mix(text_hash(a), text_hash(b))
}

/// FNV-1a hash; unlike the hashers of the standard library it is the same on every host.
fn text_hash(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// Mixes two words with the finalizer of SplitMix64.
fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b
        .wrapping_add(0x9e37_79b9_7f4a_7c15)
        .wrapping_mul(0xff51_afd7_ed55_8ccd);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
