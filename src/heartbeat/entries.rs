//! Entries as an agent knows them from their heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::delivery::{SuspectCrash, Suspects};

use super::{EntryHeartbeat, MIN_HEARTBEAT_INTERVAL};

/// Load reports per second that an agent sends at most to all entries that prefer its endpoint.
const LOAD_REPORTS_PER_SECOND: u32 = 150;
/// Number of heartbeat intervals after which a silent entry is removed.
const TTL_INTERVALS: u32 = 4;

/// Last heartbeat of an entry.
#[derive(Clone, Debug)]
struct LastHeartbeat {
    incarnation: u64,
    is_open: bool,
    wants_load: bool,
    /// Longest time until its next heartbeat.
    interval: Duration,
    at: Instant,
    /// Time of the last heartbeat that was sent to the entry, and the change counts at that time.
    sent: Option<(Instant, ChangeCounts)>,
}

/// Numbers of changes of an agent's state since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChangeCounts {
    /// Changes that are sent to every entry at once.
    pub urgent: u64,
    /// Changes of the load, which are sent at once only to entries that prefer the endpoint.
    pub load: u64,
}

/// Entries that send an agent heartbeats.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    last_heartbeats: BTreeMap<SocketAddr, LastHeartbeat>,
    /// Crashes that entries reported.
    suspects: Suspects,
}

impl LastHeartbeat {
    fn is_due(&self, now: Instant, changes: ChangeCounts, load_interval: Duration) -> bool {
        let Some((at, sent)) = self.sent else {
            return true;
        };
        let interval = match self.wants_load {
            true => MIN_HEARTBEAT_INTERVAL,
            false => self.interval,
        };
        let age = now.saturating_duration_since(at);
        sent.urgent != changes.urgent
            || (self.wants_load && sent.load != changes.load && age >= load_interval)
            || age >= interval
    }
}

impl Entries {
    /// Records a heartbeat; returns true when it comes from a new entry process.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        from: SocketAddr,
        heartbeat: &EntryHeartbeat,
    ) -> bool {
        self.suspects.merge(now, &heartbeat.crashes);
        let previous = self.last_heartbeats.remove(&from);
        let known = previous.filter(|previous| previous.incarnation == heartbeat.entry_incarnation);
        let is_new = known.is_none();
        let last = LastHeartbeat {
            incarnation: heartbeat.entry_incarnation,
            is_open: heartbeat.is_open,
            wants_load: heartbeat.wants_load,
            interval: Duration::from_millis(u64::from(heartbeat.interval_ms))
                .max(MIN_HEARTBEAT_INTERVAL),
            at: now,
            // A restarted process has received nothing.
            sent: known.and_then(|known| known.sent),
        };
        self.last_heartbeats.insert(from, last);
        is_new
    }

    /// Removes the entries that have been silent for too long and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.suspects.expire(now);
        let is_silent = |last: &LastHeartbeat| {
            now.saturating_duration_since(last.at) >= last.interval * TTL_INTERVALS
        };
        let silent = self
            .last_heartbeats
            .iter()
            .filter(|(_, last)| is_silent(last));
        let silent: Vec<SocketAddr> = silent.map(|(addr, _)| *addr).collect();
        silent.iter().for_each(|addr| {
            self.last_heartbeats.remove(addr);
        });
        silent
    }

    /// Heartbeat addresses of the entries.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.last_heartbeats.keys().copied().collect()
    }

    /// Returns the entries to which a heartbeat is due, and records it as sent. `changes` are the counts
    /// that the heartbeat covers.
    pub fn take_due(&mut self, now: Instant, changes: ChangeCounts) -> Vec<SocketAddr> {
        let preferring = self.last_heartbeats.values().filter(|last| last.wants_load);
        let preferring = preferring.count() as u32;
        let load_interval = Duration::from_secs(1) * preferring / LOAD_REPORTS_PER_SECOND;
        let due = self
            .last_heartbeats
            .iter_mut()
            .filter(|(_, last)| last.is_due(now, changes, load_interval));
        due.map(|(addr, last)| {
            last.sent = Some((now, changes));
            *addr
        })
        .collect()
    }

    /// Number of entries that accept requests.
    pub fn open_count(&self) -> u32 {
        self.last_heartbeats
            .values()
            .filter(|last| last.is_open)
            .count() as u32
    }

    /// Crashes to forward to the entries.
    pub fn crashes(&self, now: Instant) -> Vec<SuspectCrash> {
        self.suspects.shared(now)
    }
}
