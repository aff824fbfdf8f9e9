//! Requests that crash endpoints: suspected after one crash, quarantined after a second.
//!
//! Each process keeps, for each request fingerprint, the set of endpoint instances that crashed
//! while the request was in flight. Processes exchange these sets and merge them by union, so the
//! order and number of exchanges does not matter. When a suspected request completes while it is
//! the only one at its endpoint, the crashes known so far no longer count against it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::types::{Digest, InstanceId};
use crate::wire::QuarantineRecord;

/// Number of crashes after which a request is not run again.
const CRASHES_MAX: usize = 2;

/// Time after which a fingerprint without a new crash is removed.
const RECORD_TTL: Duration = Duration::from_secs(60 * 60);

/// Maximum number of fingerprints; the one whose record changed longest ago is removed first.
const RECORDS_MAX: usize = 1_024;

/// Maximum number of crashed instances kept per fingerprint; enough to detect a second crash.
const INSTANCES_MAX: usize = 4;

/// Status of a request's fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// No crash counts against it.
    Clear,
    /// It was in flight at one crash; it may run only with no other request at the endpoint.
    Suspect,
    /// It was in flight at two crashes and is refused.
    Quarantined,
}

#[derive(Clone, Debug)]
struct Record {
    /// Endpoint instances that crashed with the request in flight.
    crashed: BTreeSet<InstanceId>,
    /// Crashed instances that no longer count, since the request completed alone afterwards.
    cleared: BTreeSet<InstanceId>,
    /// Time of the last crash or clearing.
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
    /// Invariant: at most [`RECORDS_MAX`].
    records: BTreeMap<Digest, Record>,
}

impl Quarantine {
    /// Returns the status of a fingerprint.
    pub fn status(&self, fingerprint: &str) -> QuarantineStatus {
        self.records
            .get(fingerprint)
            .map_or(QuarantineStatus::Clear, Record::status)
    }

    /// Records that `fingerprint` was in flight when `instance` of an endpoint crashed.
    pub fn record_crash(
        &mut self,
        now: Instant,
        fingerprint: &Digest,
        instance: InstanceId,
    ) -> QuarantineStatus {
        let record = self.record_mut(now, fingerprint);
        if record.crashed.len() < INSTANCES_MAX && record.crashed.insert(instance) {
            record.changed = now;
        }
        record.status()
    }

    /// Clears a suspected fingerprint after its request completed alone at an endpoint.
    pub fn completed_alone(&mut self, now: Instant, fingerprint: &str) {
        if let Some(record) = self.records.get_mut(fingerprint)
            && record.status() == QuarantineStatus::Suspect
        {
            record.cleared = record.crashed.clone();
            record.changed = now;
        }
    }

    /// Merges the entries of another process. Returns true when any of them was new.
    pub fn merge(&mut self, now: Instant, entries: &[QuarantineRecord]) -> bool {
        let mut changed = false;
        for entry in entries {
            changed |= self.merge_one(now, entry);
        }
        changed
    }

    /// Returns all records in the form that is sent to other processes.
    pub fn entries(&self, now: Instant) -> Vec<QuarantineRecord> {
        self.records
            .iter()
            .map(|(fingerprint, record)| QuarantineRecord {
                fingerprint: fingerprint.to_string(),
                crashes: uncleared_crashes(record),
                age_ms: Some(millis(now.saturating_duration_since(record.changed))),
                crashed: record.crashed.iter().copied().collect(),
                cleared: record.cleared.iter().copied().collect(),
            })
            .collect()
    }

    /// Removes fingerprints without a recent crash or clearing.
    pub fn expire(&mut self, now: Instant) {
        self.records
            .retain(|_, record| now.saturating_duration_since(record.changed) < RECORD_TTL);
    }

    /// Number of recorded fingerprints.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True when no fingerprint is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn merge_one(&mut self, now: Instant, entry: &QuarantineRecord) -> bool {
        let age = Duration::from_millis(entry.age_ms.unwrap_or(0));
        let Some(changed) = now.checked_sub(age).filter(|_| age < RECORD_TTL) else {
            return false;
        };
        let fingerprint = Digest::from(entry.fingerprint.as_str());
        let known = self.records.get(&fingerprint);
        if known.is_some_and(|record| covers(record, entry)) {
            return false;
        }
        let record = self.record_mut(changed, &fingerprint);
        let capacity = INSTANCES_MAX.saturating_sub(record.crashed.len());
        let new_crashes: Vec<_> = entry
            .crashed
            .iter()
            .filter(|id| !record.crashed.contains(id))
            .take(capacity)
            .copied()
            .collect();
        record.crashed.extend(new_crashes);
        let cleared = entry
            .cleared
            .iter()
            .filter(|id| record.crashed.contains(id));
        record.cleared.extend(cleared.copied());
        record.changed = record.changed.max(changed);
        true
    }

    fn record_mut(&mut self, now: Instant, fingerprint: &Digest) -> &mut Record {
        if !self.records.contains_key(fingerprint) && self.records.len() >= RECORDS_MAX {
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

/// True when merging `entry` would not change `record`.
fn covers(record: &Record, entry: &QuarantineRecord) -> bool {
    let full = record.crashed.len() >= INSTANCES_MAX;
    let crashed = full || entry.crashed.iter().all(|id| record.crashed.contains(id));
    let mut cleared = entry.cleared.iter();
    crashed && cleared.all(|id| record.cleared.contains(id) || !record.crashed.contains(id))
}

fn uncleared_crashes(record: &Record) -> u32 {
    let count = record.crashed.difference(&record.cleared).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
