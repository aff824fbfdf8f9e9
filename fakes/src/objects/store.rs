//! Versioned objects in memory.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde_json::{Value, json};

/// Earlier states kept of each object, for stale reads.
const HISTORY: usize = 8;

/// State of an object after one write.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub version: u64,
    /// `None` when the write deleted the object.
    pub value: Option<Arc<str>>,
}

/// The condition of a write did not hold.
#[derive(Debug)]
pub(super) struct Conflict {
    /// Version of the object, 0 when it does not exist.
    pub current: u64,
}

/// Objects by key.
#[derive(Debug, Default)]
pub(super) struct Store {
    /// Invariant: no history is empty, and each is in the order of its versions.
    objects: BTreeMap<String, VecDeque<Entry>>,
    newest: u64,
}

impl Store {
    /// State of an object without its newest writes.
    pub fn get(&self, key: &str, missed: usize) -> Option<Entry> {
        at(self.objects.get(key)?, missed).cloned()
    }

    /// Writes or deletes an object when its version is as given.
    pub fn write(
        &mut self,
        key: &str,
        value: Option<Arc<str>>,
        if_version: u64,
    ) -> Result<u64, Conflict> {
        let current = self
            .get(key, 0)
            .filter(|entry| entry.value.is_some())
            .map_or(0, |entry| entry.version);
        if current != if_version {
            return Err(Conflict { current });
        }
        Ok(self.force(key, value))
    }

    /// Writes or deletes an object whatever its version.
    pub fn force(&mut self, key: &str, value: Option<Arc<str>>) -> u64 {
        self.newest += 1;
        let history = self.objects.entry(key.to_owned()).or_default();
        history.push_back(Entry {
            version: self.newest,
            value,
        });
        if history.len() > HISTORY {
            history.pop_front();
        }
        self.newest
    }

    /// Objects under a prefix, each without its newest writes.
    pub fn list(&self, prefix: &str, missed: usize) -> Vec<Value> {
        self.under(prefix)
            .filter_map(|(key, history)| Some((key, at(history, missed)?)))
            .filter(|(_, entry)| entry.value.is_some())
            .map(|(key, entry)| wire(key, entry))
            .collect()
    }

    /// Newest changes under a prefix after a version, in the order of their versions.
    pub fn changes(&self, prefix: &str, after: u64) -> Vec<Value> {
        let mut changes = self
            .under(prefix)
            .filter_map(|(key, history)| Some((key, history.back()?)))
            .filter(|(_, entry)| entry.version > after)
            .collect::<Vec<_>>();
        changes.sort_by_key(|(_, entry)| entry.version);
        changes
            .into_iter()
            .map(|(key, entry)| wire(key, entry))
            .collect()
    }

    fn under(&self, prefix: &str) -> impl Iterator<Item = (&str, &VecDeque<Entry>)> {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, history)| (key.as_str(), history))
    }
}

/// Newest state before the missed writes; `None` when the object did not exist then.
fn at(history: &VecDeque<Entry>, missed: usize) -> Option<&Entry> {
    history.iter().rev().nth(missed)
}

fn wire(key: &str, entry: &Entry) -> Value {
    json!({"key": key, "version": entry.version, "value": entry.value.as_deref()})
}
