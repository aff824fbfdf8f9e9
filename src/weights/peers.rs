//! Which peers a host talks to, and which chunks it owns towards the origin.
//!
//! Peers come from a few rings over the hosts of a region. In each ring the hosts are sorted by a
//! hash of their name and the ring's number, and a host talks to the next and the previous one.
//! The graph is connected and of low diameter, choice is mutual without a message, and a host's
//! degree does not grow with the fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::types::{Digest, HostId, RegionId, ZoneId};

/// An agent that moves weights.
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

/// How far away a peer is; nearer ones are preferred.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// Same availability zone.
    Zone,
    /// Same region.
    Region,
    /// Another region.
    Elsewhere,
}

impl Distance {
    /// Distance between two hosts.
    pub fn between(a: &Peer, b: &Peer) -> Self {
        if a.region != b.region {
            Self::Elsewhere
        } else if a.zone != b.zone {
            Self::Region
        } else {
            Self::Zone
        }
    }
}

/// The peers of `own` within its region: next and previous host in each ring.
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
        for near in [(at + 1) % len, (at + len - 1) % len] {
            if near != at {
                found.insert(order[near].1.clone(), ());
            }
        }
    }
    found.into_keys().collect()
}

/// A few hosts of other regions, from which a chunk crosses the link between regions.
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

/// The hosts that draw a version from an origin that all regions share, which bears only so many
/// connections.
pub fn drawers<'a>(version: &Digest, mut hosts: Vec<&'a Peer>, count: usize) -> Vec<&'a Peer> {
    hosts.sort_by_key(|peer| (pair_hash(version, &peer.host), peer.host.clone()));
    hosts.truncate(count);
    hosts
}

/// Rank of `own` among the hosts for each chunk by rendezvous hashing; rank 0 owns the chunk.
pub fn chunk_ranks(own: &HostId, hosts: &[&Peer], version: &Digest, chunks: u32) -> Vec<u8> {
    let seeds: Vec<u64> = hosts
        .iter()
        .filter(|peer| peer.host != *own)
        .map(|peer| pair_hash(version, &peer.host))
        .collect();
    let own_seed = pair_hash(version, own);
    (0..chunks)
        .map(|index| {
            let own_score = mix(own_seed, u64::from(index));
            let ahead = seeds
                .iter()
                .filter(|seed| mix(**seed, u64::from(index)) > own_score);
            u8::try_from(ahead.count()).unwrap_or(u8::MAX)
        })
        .collect()
}

fn ring_hash(ring: usize, host: &str) -> u64 {
    mix(text_hash(host), ring as u64)
}

fn pair_hash(a: &str, b: &str) -> u64 {
    mix(text_hash(a), text_hash(b))
}

/// FNV-1a; the same on every host, unlike the hashers of the standard library.
fn text_hash(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// Finaliser of SplitMix64 over two words.
fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b
        .wrapping_add(0x9e37_79b9_7f4a_7c15)
        .wrapping_mul(0xff51_afd7_ed55_8ccd);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
