//! State of one wanted version.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::types::HostId;
use crate::weights::bitmap::ChunkSet;
use crate::weights::manifest::Manifest;

use super::{Have, Source, WantedVersion};

/// Divisor of the chunk count that defines "few" unreachable chunks: once at most this share is
/// held by neither this host nor a fast peer, the takeover delay counts even while new chunks
/// arrive. It bounds how many chunks are downloaded from the origin twice.
const UNREACHABLE_DIVISOR: u32 = 16;

/// A running fetch of a chunk.
#[derive(Clone, Debug)]
pub(super) struct ActiveFetch {
    pub source: Source,
    pub started_at: Instant,
    /// True when the fetch uses a download slot for origins, false when one for peers.
    pub uses_origin_slot: bool,
}

/// State of the announcements exchanged with one peer about one version.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerState {
    /// Chunks that the peer holds; `None` while it has no manifest or its state is unknown.
    pub have: Option<ChunkSet>,
    /// True while an announcement to the peer waits for its answer.
    pub announcing: bool,
    /// Time of the latest announcement.
    pub announced_at: Option<Instant>,
    /// Number of chunks that this host last announced to the peer, plus one for the manifest.
    pub announced_items: u32,
    /// True once the peer was reached or an announcement to it failed.
    pub contacted: bool,
    /// True once the peer sent a corrupt chunk; it is not used again for this version.
    pub banned: bool,
}

/// State of one wanted version.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    pub wanted: WantedVersion,
    /// False once superseded by another version of the model; kept until the memory is needed.
    pub is_current: bool,
    pub started_at: Instant,
    /// Latest time at which this host or one of its peers got a chunk that none of them held.
    pub last_new_chunk_at: Instant,
    /// Start of the period in which only few chunks are held by neither this host nor a fast peer.
    pub few_unreachable_since: Option<Instant>,
    /// Time since when this host or a fast peer holds all chunks that this host owns.
    pub own_done_since: Option<Instant>,
    pub manifest: Option<Arc<Manifest>>,
    /// True once the version was opened with memory reserved for its chunks.
    pub is_open: bool,
    pub manifest_fetch: Option<Source>,
    /// Earliest time of the next request to each origin that failed, by its index.
    pub origin_retry_at: BTreeMap<usize, Instant>,
    /// Last time at which a request to an origin failed.
    pub origin_failed_at: Option<Instant>,
    /// Time that the last chunk from an origin took.
    pub origin_chunk_time: Duration,
    /// Rank of this host for the manifest; lower ranks download it from the origin earlier.
    pub manifest_rank: u8,
    /// Rank of this host for each chunk; rank 0 owns its download from the origin.
    pub origin_ranks: Vec<u8>,
    /// Rank of this host within its region for each chunk; rank 0 owns its fetch from another
    /// region.
    pub region_ranks: Vec<u8>,
    /// True once the search of the engine's staging area ended, or when there is none to search.
    pub staging_scanned: bool,
    pub have: ChunkSet,
    pub in_flight: BTreeMap<u32, Vec<ActiveFetch>>,
    /// Peers of the region: ring neighbours and admitted senders of announcements.
    ///
    /// Invariant: bounded by the number of rings.
    pub peers: BTreeMap<HostId, PeerState>,
    /// Peers of other regions; used when no origin is usable or all regions share one download.
    pub remote_peers: BTreeMap<HostId, PeerState>,
    /// Number of peers that hold each chunk.
    ///
    /// Invariant: equals the count over `peers` while the version is open.
    pub holder_counts: Vec<u16>,
}

impl Transfer {
    pub fn new(wanted: WantedVersion, now: Instant) -> Self {
        Self {
            wanted,
            is_current: true,
            started_at: now,
            last_new_chunk_at: now,
            few_unreachable_since: None,
            own_done_since: None,
            manifest: None,
            is_open: false,
            manifest_fetch: None,
            origin_retry_at: BTreeMap::new(),
            origin_failed_at: None,
            origin_chunk_time: Duration::ZERO,
            manifest_rank: 0,
            origin_ranks: Vec::new(),
            region_ranks: Vec::new(),
            staging_scanned: true,
            have: ChunkSet::default(),
            in_flight: BTreeMap::new(),
            peers: BTreeMap::new(),
            remote_peers: BTreeMap::new(),
            holder_counts: Vec::new(),
        }
    }

    pub fn chunks(&self) -> u32 {
        self.manifest.as_ref().map_or(0, |manifest| manifest.len())
    }

    /// True when chunks may be fetched.
    ///
    /// The staging area is searched first, so that its chunks are not fetched.
    pub fn is_ready(&self) -> bool {
        self.is_open && self.staging_scanned
    }

    pub fn is_held(&self) -> bool {
        self.is_open && self.have.len() == self.chunks()
    }

    pub fn progress_permille(&self) -> u32 {
        match self.chunks() {
            0 => 0,
            chunks => self.have.len() * 1000 / chunks,
        }
    }

    /// Returns what this host announces about the version.
    pub fn have_message(&self) -> Have {
        match self.is_open {
            true => Have::Chunks(self.have.clone()),
            false => Have::Nothing,
        }
    }

    /// Returns the number of chunks this host can announce, plus one for the manifest.
    pub fn announced_items(&self) -> u32 {
        u32::from(self.is_open) + self.have.len()
    }

    /// Replaces the set of chunks that a peer holds.
    pub fn set_peer_chunks(&mut self, host: &HostId, have: Have, now: Instant) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        peer.contacted = true;
        let mut have = match have {
            Have::Chunks(have) if !peer.banned => Some(have),
            _ => None,
        };
        if let (Some(have), Some(manifest)) = (&mut have, &self.manifest) {
            have.truncate(manifest.len());
        }
        let old = std::mem::replace(&mut peer.have, have.clone());
        if self.update_holder_counts(old.as_ref(), have.as_ref()) {
            self.last_new_chunk_at = now;
        }
    }

    /// Removes a chunk from those that a peer holds.
    pub fn remove_peer_chunk(&mut self, host: &HostId, index: u32) {
        let held = self.peers.get_mut(host).and_then(|peer| peer.have.as_mut());
        if let Some(have) = held.filter(|have| have.contains(index)) {
            have.remove(index);
            self.decrement_holder_count(index);
        }
    }

    /// Clears the chunks that a peer holds, so that the next announcement is sent to it at once.
    pub fn clear_peer_chunks(&mut self, host: &HostId) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        peer.announced_items = 0;
        peer.announced_at = None;
        let old = peer.have.take();
        self.update_holder_counts(old.as_ref(), None);
    }

    /// Stops using a peer that sent a corrupt chunk.
    pub fn ban_peer(&mut self, host: &HostId) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.banned = true;
        }
        self.clear_peer_chunks(host);
    }

    /// Recomputes the holder counts once the number of chunks is known.
    pub fn count_holders(&mut self) {
        let chunks = self.chunks();
        self.holder_counts = vec![0; chunks as usize];
        let held = self
            .peers
            .values_mut()
            .filter_map(|peer| peer.have.as_mut());
        for have in held {
            have.truncate(chunks);
            have.iter()
                .for_each(|index| self.holder_counts[index as usize] += 1);
        }
    }

    /// Adds chunks from an announcement of a peer.
    ///
    /// An announcement may be older than the known state of the peer, so it only adds chunks; the
    /// peer's answers show which ones it no longer holds.
    pub fn add_peer_chunks(&mut self, host: &HostId, have: Have, now: Instant) {
        let Some(peer) = self.peers.get(host) else {
            return;
        };
        let contacted = peer.contacted;
        if let Have::Chunks(mut have) = have {
            if let Some(known) = &peer.have {
                have.union_with(known);
            }
            self.set_peer_chunks(host, Have::Chunks(have), now);
        }
        if let Some(peer) = self.peers.get_mut(host) {
            peer.contacted = contacted;
        }
    }

    /// Updates the holder counts from a peer's old to its new set.
    ///
    /// Returns true when the new set has a chunk that neither this host nor its peers held.
    fn update_holder_counts(&mut self, old: Option<&ChunkSet>, new: Option<&ChunkSet>) -> bool {
        if self.holder_counts.is_empty() {
            return new.is_some();
        }
        let empty = ChunkSet::default();
        let (old, new) = (old.unwrap_or(&empty), new.unwrap_or(&empty));
        let mut gained = new.clone();
        gained.subtract(old);
        let mut lost = old.clone();
        lost.subtract(new);
        lost.iter()
            .for_each(|index| self.decrement_holder_count(index));
        let mut has_new_chunk = false;
        for index in gained.iter() {
            let count = &mut self.holder_counts[index as usize];
            has_new_chunk |= *count == 0 && !self.have.contains(index);
            *count += 1;
        }
        has_new_chunk
    }

    fn decrement_holder_count(&mut self, index: u32) {
        if let Some(count) = self.holder_counts.get_mut(index as usize) {
            *count = count.saturating_sub(1);
        }
    }

    /// Removes a running fetch and returns it; `None` when it was not running.
    pub fn end_fetch(&mut self, index: u32, source: &Source) -> Option<ActiveFetch> {
        let fetches = self.in_flight.get_mut(&index)?;
        let at = fetches.iter().position(|fetch| fetch.source == *source)?;
        let ended = fetches.swap_remove(at);
        if fetches.is_empty() {
            self.in_flight.remove(&index);
        }
        Some(ended)
    }

    /// Updates since when only few chunks are missing both here and in `reachable`, and since when those that this
    /// host owns are not.
    pub fn update_unreachable(&mut self, reachable: &ChunkSet, now: Instant) {
        let mut available = reachable.clone();
        available.union_with(&self.have);
        let chunks = self.chunks();
        let few = chunks - available.len().min(chunks) <= chunks.div_ceil(UNREACHABLE_DIVISOR);
        self.few_unreachable_since = self
            .few_unreachable_since
            .filter(|_| few)
            .or(few.then_some(now));
        let owned = (0..)
            .zip(&self.origin_ranks)
            .filter(|(_, rank)| **rank == 0);
        let is_done = owned
            .into_iter()
            .all(|(index, _)| available.contains(index));
        self.own_done_since = self
            .own_done_since
            .filter(|_| is_done)
            .or(is_done.then_some(now));
    }

    /// Time that counts towards the takeover of chunks owned by other hosts.
    ///
    /// The longest of the times since the last new chunk, since only few chunks are unreachable, and since this
    /// host is done with its own, as all own the same number; the last counts by half, since chunks that others
    /// have downloaded may still be on their way here. But no longer than the origin answers, as its outage tells
    /// nothing of the owners.
    pub fn takeover_wait(&self, now: Instant) -> Duration {
        let few_unreachable = self.few_unreachable_since.unwrap_or(now);
        let since = self.last_new_chunk_at.min(few_unreachable);
        let wait = |since: Instant| {
            let since = since.max(self.origin_failed_at.unwrap_or(since));
            now.saturating_duration_since(since)
        };
        wait(since).max(wait(self.own_done_since.unwrap_or(now)) / 2)
    }

    /// Wait after which the host of a rank takes a chunk over. That of the first rank waits for a chunk time of the
    /// origin at least, which is long while all owners draw on it.
    pub fn takeover_delay(&self, rank: u8, least: Duration) -> Duration {
        match rank.checked_sub(1) {
            None => Duration::ZERO,
            Some(others) => least.max(self.origin_chunk_time) + least * u32::from(others),
        }
    }

    /// Returns the approximate memory of the state in bytes, without the chunks themselves.
    pub fn memory(&self) -> usize {
        let peers = self.peers.values().map(|peer| {
            size_of::<PeerState>() + peer.have.as_ref().map_or(0, |have| have.memory())
        });
        let manifest = self.manifest.as_ref().map_or(0, |m| m.chunks.len() * 32);
        size_of::<Self>()
            + manifest
            + self.origin_ranks.len()
            + self.region_ranks.len()
            + self.holder_counts.len() * size_of::<u16>()
            + self.have.memory()
            + self.in_flight.len() * (size_of::<ActiveFetch>() + size_of::<Vec<ActiveFetch>>())
            + peers.sum::<usize>()
    }
}
