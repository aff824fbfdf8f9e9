//! Versioned objects in memory, with enough history for stale reads.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde_json::{Value, json};

/// Number of newest revisions kept of each object; bounds how stale reads can be.
const MAX_REVISIONS: usize = 8;

/// State of an object after one write.
#[derive(Clone, Debug)]
pub(super) struct Revision {
    /// Number of the write among the writes to all objects, starting at 1.
    pub version: u64,
    /// `None` when the write deleted the object.
    pub value: Option<Arc<str>>,
}

/// A write was refused because the object has another version than expected.
#[derive(Debug)]
pub(super) struct Conflict {
    /// Current version of the object; 0 when it does not exist.
    pub current: u64,
}

/// Revisions of all objects by key, including those of deleted objects.
#[derive(Debug, Default)]
pub(super) struct Store {
    /// Invariant: no history is empty, and each is sorted by version.
    objects: BTreeMap<String, VecDeque<Revision>>,
    /// Version of the newest write to any object.
    newest: u64,
}

impl Store {
    /// Returns an object's state before its newest `missed` writes, for stale reads. The state may
    /// be a deletion.
    pub fn get(&self, key: &str, missed: usize) -> Option<Revision> {
        revision_before(self.objects.get(key)?, missed).cloned()
    }

    /// Writes or deletes an object if its version is `if_version`, and returns the new version. 0
    /// means that the object must not exist.
    pub fn write(
        &mut self,
        key: &str,
        value: Option<Arc<str>>,
        if_version: u64,
    ) -> Result<u64, Conflict> {
        let current = self
            .get(key, 0)
            .filter(|revision| revision.value.is_some())
            .map_or(0, |revision| revision.version);
        if current != if_version {
            return Err(Conflict { current });
        }
        Ok(self.force(key, value))
    }

    /// Writes or deletes an object regardless of its version and returns the new version.
    pub fn force(&mut self, key: &str, value: Option<Arc<str>>) -> u64 {
        self.newest += 1;
        let history = self.objects.entry(key.to_owned()).or_default();
        history.push_back(Revision {
            version: self.newest,
            value,
        });
        if history.len() > MAX_REVISIONS {
            history.pop_front();
        }
        self.newest
    }

    /// Lists the objects whose keys have a prefix, in their state before the newest `missed` writes
    /// to each. Deleted objects are left out.
    pub fn list(&self, prefix: &str, missed: usize) -> Vec<Value> {
        self.with_prefix(prefix)
            .filter_map(|(key, history)| Some((key, revision_before(history, missed)?)))
            .filter(|(_, revision)| revision.value.is_some())
            .map(|(key, revision)| to_json(key, revision))
            .collect()
    }

    /// Lists the newest revisions, deletions included, of the objects whose keys have a prefix and
    /// that changed after version `after`, sorted by version.
    pub fn changes(&self, prefix: &str, after: u64) -> Vec<Value> {
        let mut changes = self
            .with_prefix(prefix)
            .filter_map(|(key, history)| Some((key, history.back()?)))
            .filter(|(_, revision)| revision.version > after)
            .collect::<Vec<_>>();
        changes.sort_by_key(|(_, revision)| revision.version);
        changes
            .into_iter()
            .map(|(key, revision)| to_json(key, revision))
            .collect()
    }

    fn with_prefix(&self, prefix: &str) -> impl Iterator<Item = (&str, &VecDeque<Revision>)> {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, history)| (key.as_str(), history))
    }
}

/// Revision before the newest `missed` writes; `None` when there was none yet or it is no longer
/// kept.
fn revision_before(history: &VecDeque<Revision>, missed: usize) -> Option<&Revision> {
    history.iter().rev().nth(missed)
}

fn to_json(key: &str, revision: &Revision) -> Value {
    json!({"key": key, "version": revision.version, "value": revision.value.as_deref()})
}
