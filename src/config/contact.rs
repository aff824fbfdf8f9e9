//! What a process knows of the object API, directly and through its peers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::types::{EntryId, HostId, InstanceId};
use crate::wire::{StoreContact, StoreOutage};

use super::ConfigParams;

/// Age that is sent before the first contact.
const NEVER_MS: u64 = u32::MAX as u64;
/// Silence after which the stamp of a peer is forgotten.
const STAMP_KEPT: Duration = Duration::from_secs(60);

/// Contact with the object API.
#[derive(Debug)]
pub(super) struct Contact {
    params: ConfigParams,
    /// Time of the first stamp.
    start: Instant,
    /// First stamp of this process, in milliseconds. Processes that follow each other under one
    /// name start far apart, so that an echo of an earlier one's stamp is not taken for an own one.
    first_stamp_ms: u64,
    /// Invariant: every generation above the one held was accepted after this instant.
    confirmed: Option<Instant>,
    /// Value of `confirmed` before the last direct contact, for a read that turns out stale.
    confirmed_before: Option<Instant>,
    reachable: bool,
    /// Time of the last failed call of each entry in the region of the object API.
    outages: BTreeMap<EntryId, Instant>,
    /// Entries that the host list shows in the region of the object API.
    store_entries: Option<BTreeSet<EntryId>>,
    stamps: HashMap<HostId, Stamp>,
}

/// Clock of a peer, as of its last message.
#[derive(Clone, Copy, Debug)]
struct Stamp {
    peer_ms: u64,
    received: Instant,
}

impl Contact {
    pub(super) fn new(params: ConfigParams, instance: InstanceId, now: Instant) -> Self {
        Self {
            params,
            start: now,
            first_stamp_ms: first_stamp_ms(instance),
            confirmed: None,
            confirmed_before: None,
            reachable: false,
            outages: BTreeMap::new(),
            store_entries: None,
            stamps: HashMap::new(),
        }
    }

    pub(super) fn direct(&mut self, now: Instant, reached: bool) {
        self.reachable = reached;
        if reached {
            self.confirmed_before = self.confirmed;
            self.confirm(now);
            self.outages.remove(&self.params.name);
        } else if self.params.region == self.params.store_region {
            self.outages.insert(self.params.name.clone(), now);
        }
    }

    /// Takes back the last direct contact, whose answer was older than what is held.
    pub(super) fn retract_direct(&mut self) {
        self.confirmed = self.confirmed_before;
    }

    /// Takes in the view of a peer that holds no newer generation.
    pub(super) fn relayed(&mut self, now: Instant, contact: &StoreContact) {
        let Some(built) = self.built_after(now, contact) else {
            return;
        };
        if let Some(confirmed) = before(built, contact.age_ms) {
            self.confirm(confirmed);
        }
        for outage in &contact.outages {
            self.take_outage(built, outage);
        }
    }

    fn take_outage(&mut self, built: Instant, outage: &StoreOutage) {
        let is_own = *outage.entry == *self.params.name;
        let Some(at) = before(built, outage.age_ms).filter(|_| !is_own) else {
            return;
        };
        let newest = self
            .outages
            .entry(outage.entry.as_str().into())
            .or_insert(at);
        *newest = at.max(*newest);
    }

    /// Remembers the stamp of a peer, to be echoed in the next message to it.
    pub(super) fn take_stamp(&mut self, now: Instant, peer: &str, contact: &StoreContact) {
        let Some(peer_ms) = contact.stamp_ms else {
            return;
        };
        let stamp = Stamp {
            peer_ms,
            received: now,
        };
        self.stamps.insert(peer.into(), stamp);
    }

    /// Instant after which a message was built: the one at which the stamp that it echoes was sent.
    fn built_after(&self, now: Instant, contact: &StoreContact) -> Option<Instant> {
        let since_first = contact.echo_ms?.checked_sub(self.first_stamp_ms)?;
        let sent = self.start.checked_add(Duration::from_millis(since_first))?;
        (sent <= now).then_some(sent)
    }

    fn confirm(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// View to send to `peer`.
    pub(super) fn report(&mut self, now: Instant, peer: &str) -> StoreContact {
        self.forget_old(now);
        StoreContact {
            age_ms: self.age(now).map_or(NEVER_MS, as_millis),
            reachable: self.reachable,
            outages: self.outage_reports(now),
            stamp_ms: Some(
                self.first_stamp_ms + as_millis(now.saturating_duration_since(self.start)),
            ),
            echo_ms: self.stamps.get(peer).map(|stamp| stamp.peer_ms),
        }
    }

    fn outage_reports(&self, now: Instant) -> Vec<StoreOutage> {
        self.outages
            .iter()
            .map(|(entry, at)| StoreOutage {
                entry: entry.to_string(),
                age_ms: as_millis(now.saturating_duration_since(*at)),
            })
            .collect()
    }

    fn forget_old(&mut self, now: Instant) {
        let limit = self.params.isolation_after;
        self.outages
            .retain(|_, at| now.saturating_duration_since(*at) <= limit);
        self.stamps
            .retain(|_, stamp| now.saturating_duration_since(stamp.received) <= STAMP_KEPT);
    }

    /// Time since the object API confirmed what is held.
    pub(super) fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_duration_since(at))
    }

    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        self.age(now)
            .is_some_and(|age| age <= self.params.isolation_after)
    }

    /// True when the object API answers nobody in its own region, as every listed entry there
    /// says; an agent, which has no host list, takes the word of any of them.
    pub(super) fn is_store_out(&self, now: Instant) -> bool {
        let limit = self.params.isolation_after;
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) <= limit;
        match &self.store_entries {
            Some(entries) => {
                let is_out = |entry| self.outages.get(entry).is_some_and(is_recent);
                !entries.is_empty() && entries.iter().all(is_out)
            }
            None => self.outages.values().any(is_recent),
        }
    }

    pub(super) fn set_store_entries(&mut self, entries: BTreeSet<EntryId>) {
        self.store_entries = Some(entries);
    }

    pub(super) fn is_reachable(&self) -> bool {
        self.reachable
    }
}

/// Spreads the instances over 52 bits, which every JSON reader keeps.
fn first_stamp_ms(instance: InstanceId) -> u64 {
    const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;
    instance.wrapping_mul(SPREAD) >> 12
}

fn before(at: Instant, age_ms: u64) -> Option<Instant> {
    if age_ms >= NEVER_MS {
        return None;
    }
    at.checked_sub(Duration::from_millis(age_ms))
}

fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
