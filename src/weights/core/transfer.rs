//! State of one wanted version.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::types::HostId;
use crate::weights::bitmap::ChunkSet;
use crate::weights::manifest::Manifest;

use super::{Have, Source, WantedVersion};

/// Share of the chunks, as a divisor, that may be out of reach when their owners count as late.
/// It bounds what is drawn from the origin twice.
const SCARCE_DIVISOR: u32 = 16;

/// One fetch that runs.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub source: Source,
    pub since: Instant,
    /// True when the fetch takes a slot of those for owned chunks.
    pub owned: bool,
}

/// Exchange of announcements with one peer about one version.
#[derive(Clone, Debug, Default)]
pub(super) struct Talk {
    /// Chunks that the peer holds, once it has the manifest.
    pub have: Option<ChunkSet>,
    /// True while an announcement waits for its answer.
    pub busy: bool,
    /// Time of the latest announcement.
    pub sent_at: Option<Instant>,
    /// Number of chunks that the peer knows of, plus one for the manifest.
    pub told: u32,
    /// True once the peer was reached or found dead.
    pub heard: bool,
    /// True once the peer sent a corrupt chunk; what it says it holds is not used again.
    pub blamed: bool,
}

/// State of one wanted version.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    pub wanted: WantedVersion,
    /// False once a newer version of the model has taken its place; kept until memory is needed.
    pub current: bool,
    pub since: Instant,
    /// Latest time at which a chunk that neither this host nor its peers held came to one of them.
    pub news_at: Instant,
    /// Time since which only few chunks are out of reach.
    pub scarce_since: Option<Instant>,
    pub manifest: Option<Arc<Manifest>>,
    /// True once memory for the version is granted.
    pub open: bool,
    pub manifest_fetch: Option<Source>,
    /// Earliest time of the next fetch of the manifest from each origin.
    pub origin_after: BTreeMap<usize, Instant>,
    /// Rank of this host for the manifest; rank 0 draws it from the origin.
    pub manifest_rank: u8,
    /// Rank of this host for each chunk; rank 0 draws it from the origin.
    pub ranks: Vec<u8>,
    /// Rank of this host within its region for each chunk; rank 0 brings it into the region.
    pub region_ranks: Vec<u8>,
    /// True once it is known what the engine's staging holds.
    pub scanned: bool,
    pub have: ChunkSet,
    pub in_flight: BTreeMap<u32, Vec<InFlight>>,
    /// Invariant: no more entries than neighbours and admitted strangers.
    pub talks: BTreeMap<HostId, Talk>,
    /// Peers of other regions; asked only when no origin answers.
    pub remotes: BTreeMap<HostId, Talk>,
    /// Number of neighbours that hold each chunk.
    ///
    /// Invariant: equals the count over `talks`.
    pub holders: Vec<u16>,
}

impl Transfer {
    pub fn new(wanted: WantedVersion, now: Instant) -> Self {
        Self {
            wanted,
            current: true,
            since: now,
            news_at: now,
            scarce_since: None,
            manifest: None,
            open: false,
            manifest_fetch: None,
            origin_after: BTreeMap::new(),
            manifest_rank: 0,
            ranks: Vec::new(),
            region_ranks: Vec::new(),
            scanned: true,
            have: ChunkSet::default(),
            in_flight: BTreeMap::new(),
            talks: BTreeMap::new(),
            remotes: BTreeMap::new(),
            holders: Vec::new(),
        }
    }

    pub fn chunks(&self) -> u32 {
        self.manifest.as_ref().map_or(0, |manifest| manifest.len())
    }

    /// True when chunks may be fetched.
    pub fn is_ready(&self) -> bool {
        self.open && self.scanned
    }

    pub fn is_held(&self) -> bool {
        self.open && self.have.len() == self.chunks()
    }

    pub fn permille(&self) -> u32 {
        match self.chunks() {
            0 => 0,
            chunks => self.have.len() * 1000 / chunks,
        }
    }

    /// What this host says of the version.
    pub fn have_message(&self) -> Have {
        match self.open {
            true => Have::Chunks(self.have.clone()),
            false => Have::Nothing,
        }
    }

    /// Size of what this host has to tell, in chunks plus one for the manifest.
    pub fn told_when_sent(&self) -> u32 {
        u32::from(self.open) + self.have.len()
    }

    /// Takes in what a peer holds.
    pub fn learn(&mut self, host: &HostId, have: Have, now: Instant) {
        let Some(talk) = self.talks.get_mut(host) else {
            return;
        };
        talk.heard = true;
        let mut have = match have {
            Have::Chunks(have) if !talk.blamed => Some(have),
            _ => None,
        };
        if let (Some(have), Some(manifest)) = (&mut have, &self.manifest) {
            have.truncate(manifest.len());
        }
        let old = std::mem::replace(&mut talk.have, have.clone());
        if self.recount(old.as_ref(), have.as_ref()) {
            self.news_at = now;
        }
    }

    /// Notes that a peer holds a chunk no longer, or never did.
    pub fn unlearn(&mut self, host: &HostId, index: u32) {
        let held = self.talks.get_mut(host).and_then(|talk| talk.have.as_mut());
        if let Some(have) = held.filter(|have| have.contains(index)) {
            have.remove(index);
            self.uncount(index);
        }
    }

    /// Drops what is known of a peer's chunks, so that the peer is asked again.
    pub fn forget(&mut self, host: &HostId) {
        let Some(talk) = self.talks.get_mut(host) else {
            return;
        };
        talk.told = 0;
        talk.sent_at = None;
        let old = talk.have.take();
        self.recount(old.as_ref(), None);
    }

    /// Uses a peer that sent a corrupt chunk no longer.
    pub fn blame(&mut self, host: &HostId) {
        if let Some(talk) = self.talks.get_mut(host) {
            talk.blamed = true;
        }
        self.forget(host);
    }

    /// Counts the holders anew once the number of chunks is known.
    pub fn count_holders(&mut self) {
        let chunks = self.chunks();
        self.holders = vec![0; chunks as usize];
        let held = self
            .talks
            .values_mut()
            .filter_map(|talk| talk.have.as_mut());
        for have in held {
            have.truncate(chunks);
            have.iter()
                .for_each(|index| self.holders[index as usize] += 1);
        }
    }

    /// Takes in what a peer said on its own, which may be older than what is known of it.
    ///
    /// So it only adds; what a peer holds no longer shows in its answers.
    pub fn learn_more(&mut self, host: &HostId, have: Have, now: Instant) {
        let Some(talk) = self.talks.get(host) else {
            return;
        };
        let heard = talk.heard;
        if let Have::Chunks(mut have) = have {
            if let Some(known) = &talk.have {
                have.union_with(known);
            }
            self.learn(host, Have::Chunks(have), now);
        }
        if let Some(talk) = self.talks.get_mut(host) {
            talk.heard = heard;
        }
    }

    /// Moves the counts from the old to the new set; true when a chunk was held by nobody.
    fn recount(&mut self, old: Option<&ChunkSet>, new: Option<&ChunkSet>) -> bool {
        if self.holders.is_empty() {
            return new.is_some();
        }
        let empty = ChunkSet::default();
        let (old, new) = (old.unwrap_or(&empty), new.unwrap_or(&empty));
        let mut gained = new.clone();
        gained.subtract(old);
        let mut lost = old.clone();
        lost.subtract(new);
        lost.iter().for_each(|index| self.uncount(index));
        let mut fresh = false;
        for index in gained.iter() {
            let count = &mut self.holders[index as usize];
            fresh |= *count == 0 && !self.have.contains(index);
            *count += 1;
        }
        fresh
    }

    fn uncount(&mut self, index: u32) {
        if let Some(count) = self.holders.get_mut(index as usize) {
            *count = count.saturating_sub(1);
        }
    }

    /// Ends one fetch and returns it, when it was running.
    pub fn end_fetch(&mut self, index: u32, source: &Source) -> Option<InFlight> {
        let fetches = self.in_flight.get_mut(&index)?;
        let at = fetches.iter().position(|fetch| fetch.source == *source)?;
        let ended = fetches.swap_remove(at);
        if fetches.is_empty() {
            self.in_flight.remove(&index);
        }
        Some(ended)
    }

    /// Notes which chunks are out of reach: neither held nor held by a peer worth asking.
    pub fn note_reachable(&mut self, reachable: &ChunkSet, now: Instant) {
        let mut seen = reachable.clone();
        seen.union_with(&self.have);
        let chunks = self.chunks();
        let few = chunks - seen.len().min(chunks) <= chunks.div_ceil(SCARCE_DIVISOR);
        self.scarce_since = self.scarce_since.filter(|_| few).or(few.then_some(now));
    }

    /// Time for which no owner was heard to draw a chunk, or only few were missing.
    pub fn silence(&self, now: Instant) -> Duration {
        let scarce = self.scarce_since.unwrap_or(now);
        now - self.news_at.min(scarce)
    }

    /// Bytes of memory that the state takes, without the chunks themselves.
    pub fn memory(&self) -> usize {
        let talks = self
            .talks
            .values()
            .map(|talk| size_of::<Talk>() + talk.have.as_ref().map_or(0, |have| have.memory()));
        let manifest = self.manifest.as_ref().map_or(0, |m| m.chunks.len() * 32);
        size_of::<Self>()
            + manifest
            + self.ranks.len()
            + self.region_ranks.len()
            + self.holders.len() * size_of::<u16>()
            + self.have.memory()
            + self.in_flight.len() * (size_of::<InFlight>() + size_of::<Vec<InFlight>>())
            + talks.sum::<usize>()
    }
}
