//! Effect of a planned stop on the requests in progress.

use std::time::Instant;

use tokio::sync::watch;

use super::dialect::Dialect;
use super::handle::Relay;

/// Time at which the process stops, which requests in progress wait for.
#[derive(Clone, Debug)]
pub(super) struct Stop {
    /// Time by which every request ends; `None` before a stop.
    rx: watch::Receiver<Option<Instant>>,
}

impl Stop {
    /// A deadline, or the stop if that is sooner.
    pub fn bound(&self, deadline: Instant) -> Instant {
        self.rx.borrow().map_or(deadline, |at| at.min(deadline))
    }

    /// Waits until the process begins to stop, forever if it has begun before.
    pub async fn begun(&mut self) {
        if self.rx.changed().await.is_err() {
            std::future::pending().await
        }
    }

    /// Waits until the time by which every request ends.
    pub async fn passed(mut self) {
        loop {
            let at = *self.rx.borrow_and_update();
            tokio::select! {
                () = crate::timer::sleep_until(at) => return,
                () = self.begun() => {}
            }
        }
    }
}

impl<D: Dialect> Relay<D> {
    /// Begins a planned stop: every request ends by `at`, and those that may not are refused instead
    /// of being sent to an endpoint. A later call changes nothing.
    pub fn begin_stop(&self, at: Instant) {
        let stop_at = {
            let mut core = self.core();
            core.begin_stop(at);
            core.stop_at()
        };
        self.inner.stop_tx.send_replace(stop_at);
        self.dispatch_waiting();
    }

    pub(super) fn stop(&self) -> Stop {
        Stop {
            rx: self.inner.stop_tx.subscribe(),
        }
    }
}
