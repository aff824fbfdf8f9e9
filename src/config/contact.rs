//! Tracks when the object API was last reached, by this process or by its peers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::types::{EntryId, HostId, InstanceId};
use crate::wire::{StoreContact, StoreOutage};

use super::ConfigParams;

/// Age that is sent while there has been no contact.
const NO_CONTACT_MS: u64 = u32::MAX as u64;
/// Time after which the stamp of a silent peer is dropped.
const STAMP_TTL: Duration = Duration::from_secs(60);

/// Contact with the object API, direct and as reported by peers.
///
/// A peer's report is dated by echoed stamps: each message carries the sender's clock value as a
/// stamp and echoes the last stamp received from the recipient. A message that echoes a stamp was
/// built after that stamp was sent, so its ages are counted from then, however long it was delayed.
#[derive(Debug)]
pub(super) struct Contact {
    params: ConfigParams,
    /// Time at which the own clock read `first_stamp_ms`.
    start: Instant,
    /// Value at which the own clock starts, in milliseconds. Successive processes of the same name
    /// start far apart, so that the echo of an earlier process's stamp is not mistaken for an own
    /// one.
    first_stamp_ms: u64,
    /// Latest instant at which the object API confirmed the held generation.
    ///
    /// Invariant: every generation above the held one was accepted after this instant.
    confirmed: Option<Instant>,
    /// Value of `confirmed` before the last direct contact, restored if that read was stale.
    confirmed_before: Option<Instant>,
    /// True if the last direct call was answered.
    reachable: bool,
    /// Time of the last failed call of each entry in the object API's region.
    outages: BTreeMap<EntryId, Instant>,
    /// Entries listed in the object API's region; `None` on agents, which have no host list.
    store_entries: Option<BTreeSet<EntryId>>,
    /// Last stamp received from each peer.
    stamps: HashMap<HostId, Stamp>,
}

/// Clock value of a peer, taken from its last message.
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

    /// Records the result of this process's own call to the object API.
    pub(super) fn record_direct(&mut self, now: Instant, reached: bool) {
        self.reachable = reached;
        if reached {
            self.confirmed_before = self.confirmed;
            self.confirm(now);
            self.outages.remove(&self.params.name);
        } else if self.params.region == self.params.store_region {
            self.outages.insert(self.params.name.clone(), now);
        }
    }

    /// Undoes the last direct contact, because its answer was older than the held generation.
    pub(super) fn retract_direct(&mut self) {
        self.confirmed = self.confirmed_before;
    }

    /// Applies the report of a peer that holds no newer generation.
    pub(super) fn apply_report(&mut self, now: Instant, contact: &StoreContact) {
        let Some(built) = self.earliest_build(now, contact) else {
            return;
        };
        if let Some(confirmed) = before(built, contact.age_ms) {
            self.confirm(confirmed);
        }
        for outage in &contact.outages {
            self.apply_outage(built, outage);
        }
    }

    fn apply_outage(&mut self, built: Instant, outage: &StoreOutage) {
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

    /// Records the stamp of a peer, which is echoed in the next message to it.
    pub(super) fn record_stamp(&mut self, now: Instant, peer: &str, contact: &StoreContact) {
        let Some(peer_ms) = contact.stamp_ms else {
            return;
        };
        let stamp = Stamp {
            peer_ms,
            received: now,
        };
        self.stamps.insert(peer.into(), stamp);
    }

    /// Returns the earliest instant at which a message can have been built: when the stamp that it
    /// echoes was sent.
    fn earliest_build(&self, now: Instant, contact: &StoreContact) -> Option<Instant> {
        let since_first = contact.echo_ms?.checked_sub(self.first_stamp_ms)?;
        let sent = self.start.checked_add(Duration::from_millis(since_first))?;
        (sent <= now).then_some(sent)
    }

    fn confirm(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Returns the report to send to `peer`.
    pub(super) fn report(&mut self, now: Instant, peer: &str) -> StoreContact {
        self.remove_expired(now);
        StoreContact {
            age_ms: self.age(now).map_or(NO_CONTACT_MS, as_millis),
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

    fn remove_expired(&mut self, now: Instant) {
        let limit = self.params.isolation_after;
        self.outages
            .retain(|_, at| now.saturating_duration_since(*at) <= limit);
        self.stamps
            .retain(|_, stamp| now.saturating_duration_since(stamp.received) <= STAMP_TTL);
    }

    /// Time since the object API last confirmed the held generation.
    pub(super) fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_duration_since(at))
    }

    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        self.age(now)
            .is_some_and(|age| age <= self.params.isolation_after)
    }

    /// True when the object API is down: every entry listed in its region reported a recent failed
    /// call. An agent, which has no host list, relies on the report of any such entry.
    pub(super) fn is_store_down(&self, now: Instant) -> bool {
        let limit = self.params.isolation_after;
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) <= limit;
        match &self.store_entries {
            Some(entries) => {
                let is_down = |entry| self.outages.get(entry).is_some_and(is_recent);
                !entries.is_empty() && entries.iter().all(is_down)
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

/// Spreads instance ids over 52 bits, which JSON numbers hold without loss.
fn first_stamp_ms(instance: InstanceId) -> u64 {
    /// 2^64 divided by the golden ratio, as in Fibonacci hashing.
    const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;
    instance.wrapping_mul(SPREAD) >> 12
}

/// Returns the instant `age_ms` before `at`; `None` if there was no contact.
fn before(at: Instant, age_ms: u64) -> Option<Instant> {
    if age_ms >= NO_CONTACT_MS {
        return None;
    }
    at.checked_sub(Duration::from_millis(age_ms))
}

fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
