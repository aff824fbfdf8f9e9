//! Requests that crash endpoints: suspected after one crash, quarantined after a second.
//!
//! Each process keeps the crashes of a fingerprint as a set of endpoint instances. Sets of
//! several processes are joined, so the order and number of exchanges does not matter. A request
//! that completes alone is cleared of the crashes known by then.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::types::{Digest, InstanceId};
use crate::wire::QuarantineRecord;

/// Crashes after which a request is not run again.
const CRASHES_MAX: usize = 2;

/// Time after which a fingerprint without a new crash is forgotten.
const ENTRY_LIFE: Duration = Duration::from_secs(60 * 60);

/// Fingerprints that are kept at most; the one with the oldest crash goes first.
const ENTRIES_MAX: usize = 1_024;

/// Crashes of one fingerprint that are kept; enough to tell a second crash.
const INSTANCES_MAX: usize = 4;

/// What is known of a request's fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// Nothing speaks against it.
    Clear,
    /// It was in flight at one crash and runs alone.
    Suspect,
    /// It was in flight at two crashes and is refused.
    Quarantined,
}

#[derive(Clone, Debug)]
struct Record {
    crashed: BTreeSet<InstanceId>,
    cleared: BTreeSet<InstanceId>,
    changed: Instant,
}

impl Record {
    fn status(&self) -> QuarantineStatus {
        match self.crashed.difference(&self.cleared).count() {
            0 => QuarantineStatus::Clear,
            n if n < CRASHES_MAX => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Quarantined,
        }
    }
}

/// Fingerprints that were in flight when an endpoint crashed.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Invariant: at most [`ENTRIES_MAX`].
    records: BTreeMap<Digest, Record>,
}

impl Quarantine {
    /// What is known of a fingerprint.
    pub fn status(&self, fingerprint: &str) -> QuarantineStatus {
        self.records
            .get(fingerprint)
            .map_or(QuarantineStatus::Clear, Record::status)
    }

    /// Notes that `fingerprint` was in flight when `instance` of an endpoint crashed.
    pub fn record_crash(
        &mut self,
        now: Instant,
        fingerprint: &Digest,
        instance: InstanceId,
    ) -> QuarantineStatus {
        let record = self.record(now, fingerprint);
        if record.crashed.len() < INSTANCES_MAX && record.crashed.insert(instance) {
            record.changed = now;
        }
        record.status()
    }

    /// Notes that a suspected request completed alone.
    pub fn completed_alone(&mut self, now: Instant, fingerprint: &str) {
        if let Some(record) = self.records.get_mut(fingerprint)
            && record.status() == QuarantineStatus::Suspect
        {
            record.cleared = record.crashed.clone();
            record.changed = now;
        }
    }

    /// Joins what another process knows. Returns true when something was new.
    pub fn merge(&mut self, now: Instant, entries: &[QuarantineRecord]) -> bool {
        let mut news = false;
        for entry in entries {
            news |= self.merge_one(now, entry);
        }
        news
    }

    /// Everything that other processes need to know.
    pub fn entries(&self, now: Instant) -> Vec<QuarantineRecord> {
        self.records
            .iter()
            .map(|(fingerprint, record)| QuarantineRecord {
                fingerprint: fingerprint.to_string(),
                crashes: count(record),
                age_ms: Some(millis(now.saturating_duration_since(record.changed))),
                crashed: record.crashed.iter().copied().collect(),
                cleared: record.cleared.iter().copied().collect(),
            })
            .collect()
    }

    /// Forgets fingerprints without a recent crash.
    pub fn expire(&mut self, now: Instant) {
        self.records
            .retain(|_, record| now.saturating_duration_since(record.changed) < ENTRY_LIFE);
    }

    /// Number of fingerprints that are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True when no fingerprint is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn merge_one(&mut self, now: Instant, entry: &QuarantineRecord) -> bool {
        let age = Duration::from_millis(entry.age_ms.unwrap_or(0));
        let Some(changed) = now.checked_sub(age).filter(|_| age < ENTRY_LIFE) else {
            return false;
        };
        let fingerprint = Digest::from(entry.fingerprint.as_str());
        let known = self.records.get(&fingerprint);
        if known.is_some_and(|record| holds(record, entry)) {
            return false;
        }
        let record = self.record(changed, &fingerprint);
        let room = INSTANCES_MAX.saturating_sub(record.crashed.len());
        let fresh: Vec<_> = entry
            .crashed
            .iter()
            .filter(|id| !record.crashed.contains(id))
            .take(room)
            .copied()
            .collect();
        record.crashed.extend(fresh);
        let cleared = entry
            .cleared
            .iter()
            .filter(|id| record.crashed.contains(id));
        record.cleared.extend(cleared.copied());
        record.changed = record.changed.max(changed);
        true
    }

    fn record(&mut self, now: Instant, fingerprint: &Digest) -> &mut Record {
        if !self.records.contains_key(fingerprint) && self.records.len() >= ENTRIES_MAX {
            self.drop_oldest();
        }
        self.records
            .entry(fingerprint.clone())
            .or_insert_with(|| Record {
                crashed: BTreeSet::new(),
                cleared: BTreeSet::new(),
                changed: now,
            })
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, record)| record.changed)
            .map(|(fingerprint, _)| fingerprint.clone());
        if let Some(fingerprint) = oldest {
            self.records.remove(&fingerprint);
        }
    }
}

fn holds(record: &Record, entry: &QuarantineRecord) -> bool {
    let full = record.crashed.len() >= INSTANCES_MAX;
    let crashed = full || entry.crashed.iter().all(|id| record.crashed.contains(id));
    let mut cleared = entry.cleared.iter();
    crashed && cleared.all(|id| record.cleared.contains(id) || !record.crashed.contains(id))
}

fn count(record: &Record) -> u32 {
    let count = record.crashed.difference(&record.cleared).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
