//! Simulated object API with versions and conditional updates.

use std::collections::BTreeMap;
use std::sync::Arc;

use limpetloom::delivery::{StoreCall, StoreReply};

#[derive(Default)]
pub struct Store {
    version: u64,
    objects: BTreeMap<Arc<str>, (u64, Arc<str>)>,
}

impl Store {
    pub fn get(&self, key: &str) -> Option<(u64, Arc<str>)> {
        self.objects.get(key).cloned()
    }

    pub fn put(&mut self, key: &str, value: &str) -> u64 {
        self.version += 1;
        self.objects
            .insert(key.into(), (self.version, value.into()));
        self.version
    }

    pub fn call(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Get { key } => match self.get(key) {
                Some((version, value)) => StoreReply::Found { version, value },
                None => StoreReply::Missing,
            },
            StoreCall::Put {
                key,
                value,
                if_version,
            } => {
                if self.current(key) != *if_version {
                    return StoreReply::Conflict;
                }
                let version = self.put(key, value);
                StoreReply::Written { version }
            }
            StoreCall::Delete { key, if_version } => {
                if self.current(key) != *if_version {
                    return StoreReply::Conflict;
                }
                self.objects.remove(key);
                self.version += 1;
                let version = self.version;
                StoreReply::Written { version }
            }
        }
    }

    fn current(&self, key: &str) -> u64 {
        self.objects.get(key).map_or(0, |(version, _)| *version)
    }
}
