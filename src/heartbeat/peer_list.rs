//! The agents of a fleet, as sent to each of them in parts.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::types::StorePosition;

/// Agents in a part at most. A part then fits into one Ethernet frame.
const AGENTS_PER_PART: usize = 128;

/// Agents of one zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerZone {
    /// Name of the zone.
    pub zone: Arc<str>,
    /// Region of the zone.
    pub region: Arc<str>,
    /// Heartbeat and traffic addresses of the zone's agents.
    pub agents: Vec<SocketAddrV4>,
}

/// The agents of a fleet by zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerList {
    zones: BTreeMap<Arc<str>, PeerZone>,
}

/// Part of a [`PeerList`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerListPart {
    /// Position of the store that the list was made from.
    pub position: StorePosition,
    /// Digest of the whole list.
    pub digest: u64,
    /// Index of the part.
    pub part: u16,
    /// Number of parts of the list.
    pub parts: u16,
    /// Agents in this part; a zone may go on in the next one.
    pub zones: Vec<PeerZone>,
}

impl PeerList {
    /// Adds agents of a zone.
    pub fn add(&mut self, zone: &Arc<str>, region: &Arc<str>, agents: &[SocketAddrV4]) {
        let entry = self.zones.entry(zone.clone()).or_insert_with(|| PeerZone {
            zone: zone.clone(),
            region: region.clone(),
            agents: Vec::new(),
        });
        entry.agents.extend_from_slice(agents);
    }

    /// Zones with their agents.
    pub fn zones(&self) -> impl Iterator<Item = &PeerZone> {
        self.zones.values()
    }

    /// Addresses of all agents.
    pub fn agents(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.zones().flat_map(|zone| zone.agents.iter().copied())
    }

    /// Digest of the list; every process computes the same for the same agents in the same order.
    pub fn digest(&self) -> u64 {
        let mut hash = blake3::Hasher::new();
        for zone in self.zones() {
            for name in [&zone.zone, &zone.region] {
                hash.update(name.as_bytes()).update(&[0]);
            }
            for agent in &zone.agents {
                hash.update(&agent.ip().octets());
                hash.update(&agent.port().to_le_bytes());
            }
        }
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hash.finalize().as_bytes()[..8]);
        u64::from_le_bytes(prefix)
    }

    /// Splits the list into parts of bounded size; a list without agents has one part.
    pub fn parts(&self, position: StorePosition) -> Vec<PeerListPart> {
        let mut parts = vec![Vec::new()];
        let mut room = AGENTS_PER_PART;
        for zone in self.zones() {
            let mut agents = &zone.agents[..];
            while !agents.is_empty() {
                if room == 0 {
                    parts.push(Vec::new());
                    room = AGENTS_PER_PART;
                }
                let (here, later) = agents.split_at(room.min(agents.len()));
                if let Some(part) = parts.last_mut() {
                    part.push(PeerZone {
                        agents: here.to_vec(),
                        ..zone.clone()
                    });
                }
                room -= here.len();
                agents = later;
            }
        }
        let digest = self.digest();
        let count = u16::try_from(parts.len()).unwrap_or(u16::MAX);
        let numbered = (0..count).zip(parts);
        numbered
            .map(|(part, zones)| PeerListPart {
                position,
                digest,
                part,
                parts: count,
                zones,
            })
            .collect()
    }
}

/// Collects the parts of a list until it is complete.
#[derive(Clone, Debug, Default)]
pub(super) struct PartCollector {
    digest: u64,
    /// Parts of the list with `digest` by index.
    parts: BTreeMap<u16, Vec<PeerZone>>,
}

impl PartCollector {
    /// Adds a part; returns the list once all parts of it are here. Parts of another list replace those
    /// collected so far.
    pub fn add(&mut self, part: PeerListPart) -> Option<PeerList> {
        if part.digest != self.digest {
            self.digest = part.digest;
            self.parts.clear();
        }
        if part.part < part.parts {
            self.parts.insert(part.part, part.zones);
        }
        if self.parts.len() < usize::from(part.parts) {
            return None;
        }
        let mut list = PeerList::default();
        for zone in std::mem::take(&mut self.parts).into_values().flatten() {
            list.add(&zone.zone, &zone.region, &zone.agents);
        }
        // Parts of two lists that claim the same digest do not add up to it.
        (list.digest() == part.digest).then_some(list)
    }
}
