//! The platform's balancer: passes requests to entries that say they are ready.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio_util::task::AbortOnDropHandle;

use super::Caller;

/// Interval of the readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Chooses an entry for each request, in turn among those that are ready.
#[derive(Debug)]
pub struct Balancer {
    state: Arc<State>,
    _checks: Option<AbortOnDropHandle<()>>,
}

#[derive(Debug, Default)]
struct State {
    members: Mutex<Vec<SocketAddr>>,
    ready: Mutex<Vec<SocketAddr>>,
    turn: AtomicUsize,
}

impl Balancer {
    /// Starts a balancer before the given entries.
    pub fn spawn(members: Vec<SocketAddr>) -> Self {
        let state = Arc::new(State::default());
        state.set_members(members);
        let checks = tokio::spawn(check(Arc::clone(&state)));
        Self {
            state,
            _checks: Some(AbortOnDropHandle::new(checks)),
        }
    }

    /// A balancer that takes its members for ready and never checks them.
    pub fn fixed(members: Vec<SocketAddr>) -> Self {
        let state = Arc::new(State::default());
        *lock(&state.ready) = members;
        Self {
            state,
            _checks: None,
        }
    }

    /// Replaces the entries; new ones get requests once they have said that they are ready.
    pub fn set_members(&self, members: Vec<SocketAddr>) {
        self.state.set_members(members);
    }

    /// Next entry that is ready; `None` when there is none.
    pub fn pick(&self) -> Option<SocketAddr> {
        let ready = lock(&self.state.ready);
        let turn = self.state.turn.fetch_add(1, Ordering::Relaxed);
        ready.get(turn % ready.len().max(1)).copied()
    }
}

impl State {
    fn set_members(&self, members: Vec<SocketAddr>) {
        lock(&self.ready).retain(|addr| members.contains(addr));
        *lock(&self.members) = members;
    }
}

async fn check(state: Arc<State>) {
    let caller = Caller::new();
    loop {
        let members = lock(&state.members).clone();
        let mut ready = Vec::new();
        for addr in members {
            let get = caller.get(addr, "/ready");
            let answer = tokio::time::timeout(CHECK_INTERVAL, get).await;
            if matches!(answer, Ok(Some((200, _)))) {
                ready.push(addr);
            }
        }
        *lock(&state.ready) = ready;
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
