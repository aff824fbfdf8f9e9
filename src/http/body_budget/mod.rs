//! Bounds the memory that the request bodies of a process take together.

mod ledger;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::Notify;

use crate::settings::LimitsSettings;

use ledger::{Claim, HolderId, Ledger};

/// Budget of all request bodies; clones share it.
///
/// A body claims memory before it grows into it, and returns it when its last user drops it.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when bytes are free again.
    released: Notify,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    /// Notified when the body has to give way; of those that are being read.
    evictions: BTreeMap<HolderId, Arc<Notify>>,
}

/// There is no room for a body, or it had to give way to others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct BudgetExhausted;

impl From<&LimitsSettings> for BodyBudget {
    /// Creates the budget of the settings, which holds one largest body at least.
    fn from(settings: &LimitsSettings) -> Self {
        let bytes = settings.body_memory.max(settings.request_bytes);
        Self::new(usize::try_from(bytes).unwrap_or(usize::MAX))
    }
}

impl BodyBudget {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        let state = State {
            ledger: Ledger::new(bytes),
            evictions: BTreeMap::new(),
        };
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                released: Notify::new(),
            }),
        }
    }

    /// Replaces the limit. Bodies that are held stay.
    pub fn set_limit(&self, bytes: usize) {
        self.lock().ledger.set_limit(bytes);
    }

    /// Bytes that bodies take now.
    pub fn used(&self) -> usize {
        self.lock().ledger.used()
    }

    /// Adds a body that begins to be read.
    pub(super) fn open(&self) -> BodyShare {
        let mut state = self.lock();
        let id = state.ledger.open(Instant::now());
        let evicted = Arc::new(Notify::new());
        state.evictions.insert(id, evicted.clone());
        BodyShare {
            budget: self.clone(),
            id,
            evicted,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Share of a budget that one body has; dropping it returns it.
#[derive(Debug)]
pub(super) struct BodyShare {
    budget: BodyBudget,
    id: HolderId,
    /// Notified when the body has to give way.
    evicted: Arc<Notify>,
}

impl BodyShare {
    /// Claims `bytes` more, and waits while other bodies make room.
    pub async fn claim(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        loop {
            let released = self.budget.shared.released.notified();
            tokio::pin!(released);
            // What is released from here on is not missed.
            released.as_mut().enable();
            match self.try_claim(bytes) {
                Claim::Granted => return Ok(()),
                Claim::Refused => return Err(BudgetExhausted),
                Claim::Wait { .. } => tokio::select! {
                    () = released => {}
                    () = self.evicted.notified() => return Err(BudgetExhausted),
                },
            }
        }
    }

    fn try_claim(&self, bytes: usize) -> Claim {
        let mut state = self.budget.lock();
        let claim = state.ledger.claim(Instant::now(), self.id, bytes);
        if let Claim::Wait { evicted } = &claim {
            for id in evicted {
                if let Some(eviction) = state.evictions.get(id) {
                    eviction.notify_one();
                }
            }
        }
        claim
    }

    /// Records that data of the body has arrived.
    pub fn progress(&self) {
        self.budget.lock().ledger.progress(Instant::now(), self.id);
    }

    /// Completes when the body has to give way.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Returns the body, which was read to its end, with its share; the share is returned when the last
    /// user drops the body.
    pub fn complete(self, body: Vec<u8>) -> Result<Bytes, BudgetExhausted> {
        {
            let mut state = self.budget.lock();
            state.evictions.remove(&self.id);
            if !state.ledger.complete(self.id, body.capacity()) {
                return Err(BudgetExhausted);
            }
        }
        self.budget.shared.released.notify_waiters();
        Ok(Bytes::from_owner(HeldBody { body, _share: self }))
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        {
            let mut state = self.budget.lock();
            state.evictions.remove(&self.id);
            state.ledger.close(self.id);
        }
        self.budget.shared.released.notify_waiters();
    }
}

/// A complete body and its share of the budget.
struct HeldBody {
    body: Vec<u8>,
    _share: BodyShare,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
