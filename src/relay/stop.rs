//! Planned stop: its times, and its effect on the requests in progress.

use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::dialect::Dialect;
use super::handle::Relay;

/// Time for which a stopping process accepts connections: load balancers check every second and
/// remove a process after two failed checks.
const ACCEPT_TIME: Duration = Duration::from_millis(3_000);
/// Time before the end of the grace at which connections are closed, so that the process ends by
/// itself.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);
/// Time before that by which each request is answered, for the answer to arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Greatest parts of the grace that the margins take.
const MAX_CLOSE_PART: u32 = 8;
const MAX_ANSWER_PART: u32 = 40;

/// Times of a planned stop, counted from its signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopTimes {
    /// Connections are accepted until then.
    pub accept: Duration,
    /// Every request is answered by then.
    pub answer: Duration,
    /// Connections are closed then.
    pub close: Duration,
}

impl StopTimes {
    /// Divides the grace, after which the process is killed.
    pub fn new(grace: Duration) -> Self {
        let close = grace - CLOSE_MARGIN.min(grace / MAX_CLOSE_PART);
        let answer = close - ANSWER_MARGIN.min(grace / MAX_ANSWER_PART);
        Self {
            // Requests that come last need some time too.
            accept: ACCEPT_TIME.min(answer / 2),
            answer,
            close,
        }
    }
}

/// Tells the requests in progress when the process stops.
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
