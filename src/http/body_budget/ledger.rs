//! Who holds how much of a budget, and who gives way when it is short. Without clocks or tasks.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time without data after which a body counts as stalled. A sound client on a slow link sends a packet
/// and its retransmission within it.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Identifies a body that is being read or used.
pub(super) type HolderId = u64;

/// Answer to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Claim {
    /// The bytes are the claimant's.
    Granted,
    /// There will be room once these bodies are dropped, and those that were evicted before.
    Wait {
        /// Bodies that are evicted by this claim.
        evicted: Vec<HolderId>,
    },
    /// There is no room, and none is being made.
    Refused,
}

/// A body and what it holds.
#[derive(Debug)]
struct Holder {
    bytes: usize,
    /// Time of the last data, or of the last grant.
    progressed_at: Instant,
    /// True while it reads; a body that was read to its end may be in use by an endpoint and never gives
    /// way.
    is_reading: bool,
    /// True while it waits for a claim, so that its own lack of progress does not count.
    is_waiting: bool,
    /// True once it has to give way to others; it gets nothing more.
    is_evicted: bool,
}

/// Bytes of all holders together.
///
/// The sum of what holders have never exceeds the limit in force at a grant, and is zero once all are
/// closed.
#[derive(Debug)]
pub(super) struct Ledger {
    limit: usize,
    used: usize,
    holders: BTreeMap<HolderId, Holder>,
    next_id: HolderId,
}

impl Ledger {
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            holders: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Replaces the limit. When it is lower than what holders have, further claims wait or are refused.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Bytes that all holders have.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Adds a body that begins to be read, without any bytes.
    pub fn open(&mut self, now: Instant) -> HolderId {
        let id = self.next_id;
        self.next_id += 1;
        self.holders.insert(
            id,
            Holder {
                bytes: 0,
                progressed_at: now,
                is_reading: true,
                is_waiting: false,
                is_evicted: false,
            },
        );
        id
    }

    /// Claims `bytes` more for a body.
    ///
    /// When they are not free, bodies that stall give way first, then the largest ones that would be
    /// larger than the claimant's. A claim for which neither makes room is refused.
    pub fn claim(&mut self, now: Instant, id: HolderId, bytes: usize) -> Claim {
        let Some(holder) = self.holders.get_mut(&id) else {
            return Claim::Refused;
        };
        holder.is_waiting = false;
        if holder.is_evicted {
            return Claim::Refused;
        }
        if self.used.saturating_add(bytes) <= self.limit {
            holder.bytes += bytes;
            holder.progressed_at = now;
            self.used += bytes;
            return Claim::Granted;
        }
        let claimed = holder.bytes + bytes;
        let Some(evicted) = self.victims(now, id, claimed, bytes) else {
            return Claim::Refused;
        };
        for victim in &evicted {
            if let Some(holder) = self.holders.get_mut(victim) {
                holder.is_evicted = true;
            }
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_waiting = true;
        }
        Claim::Wait { evicted }
    }

    /// Bodies that have to give way for `bytes` more of a body that then has `claimed`; `None` when that
    /// does not make enough room.
    fn victims(
        &self,
        now: Instant,
        id: HolderId,
        claimed: usize,
        bytes: usize,
    ) -> Option<Vec<HolderId>> {
        let freeing: usize = self
            .holders
            .values()
            .filter(|holder| holder.is_evicted)
            .map(|holder| holder.bytes)
            .sum();
        let needed = (self.used - freeing).saturating_add(bytes);
        let mut missing = needed.saturating_sub(self.limit);
        if missing == 0 {
            return Some(Vec::new());
        }
        let others = || {
            let others = self.holders.iter().filter(|(other, _)| **other != id);
            others.filter(|(_, holder)| holder.is_reading && !holder.is_evicted && holder.bytes > 0)
        };
        let is_stalled = |holder: &Holder| {
            !holder.is_waiting && now.saturating_duration_since(holder.progressed_at) >= STALL_TIME
        };
        let mut stalled: Vec<_> = others().filter(|(_, holder)| is_stalled(holder)).collect();
        stalled.sort_by_key(|(id, holder)| (holder.progressed_at, **id));
        let mut larger: Vec<_> = others()
            .filter(|(_, holder)| !is_stalled(holder) && holder.bytes > claimed)
            .collect();
        larger.sort_by_key(|(id, holder)| (std::cmp::Reverse(holder.bytes), **id));
        let mut victims = Vec::new();
        for (id, holder) in stalled.into_iter().chain(larger) {
            victims.push(*id);
            missing = missing.saturating_sub(holder.bytes);
            if missing == 0 {
                return Some(victims);
            }
        }
        None
    }

    /// Records that data of a body has arrived.
    pub fn progress(&mut self, now: Instant, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progressed_at = now;
        }
    }

    /// Records that a body was read to its end and takes `bytes`, at most what it has claimed; the rest is
    /// free again. False when it has to give way.
    pub fn complete(&mut self, id: HolderId, bytes: usize) -> bool {
        let Some(holder) = self.holders.get_mut(&id) else {
            return false;
        };
        if holder.is_evicted {
            return false;
        }
        let bytes = bytes.min(holder.bytes);
        self.used -= holder.bytes - bytes;
        holder.bytes = bytes;
        holder.is_reading = false;
        true
    }

    /// Removes a body, whose bytes are free again.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.used -= holder.bytes;
        }
    }
}
