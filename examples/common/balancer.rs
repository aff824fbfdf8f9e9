//! Load balancer of the platform: chooses entries whose readiness check succeeds.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio_util::task::AbortOnDropHandle;

use super::Caller;

/// Interval of the readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Chooses an entry for each request, round-robin among those that are ready.
#[derive(Debug)]
pub struct Balancer {
    state: Arc<State>,
    _check_task: Option<AbortOnDropHandle<()>>,
}

#[derive(Debug, Default)]
struct State {
    members: Mutex<Vec<SocketAddr>>,
    ready: Mutex<Vec<SocketAddr>>,
    next: AtomicUsize,
}

impl Balancer {
    /// Starts a balancer over the given entries, which it checks periodically.
    pub fn spawn(members: Vec<SocketAddr>) -> Self {
        let state = Arc::new(State::default());
        state.set_members(members);
        let check_task = tokio::spawn(check_readiness(Arc::clone(&state)));
        Self {
            state,
            _check_task: Some(AbortOnDropHandle::new(check_task)),
        }
    }

    /// Creates a balancer that treats all members as ready and never checks them.
    pub fn fixed(members: Vec<SocketAddr>) -> Self {
        let state = Arc::new(State::default());
        *lock(&state.ready) = members;
        Self {
            state,
            _check_task: None,
        }
    }

    /// Replaces the entries; a new one is chosen once its readiness check has succeeded.
    pub fn set_members(&self, members: Vec<SocketAddr>) {
        self.state.set_members(members);
    }

    /// Returns the next ready entry; `None` if there is none.
    pub fn pick(&self) -> Option<SocketAddr> {
        let ready = lock(&self.state.ready);
        let next = self.state.next.fetch_add(1, Ordering::Relaxed);
        ready.get(next % ready.len().max(1)).copied()
    }
}

impl State {
    fn set_members(&self, members: Vec<SocketAddr>) {
        lock(&self.ready).retain(|addr| members.contains(addr));
        *lock(&self.members) = members;
    }
}

async fn check_readiness(state: Arc<State>) {
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
