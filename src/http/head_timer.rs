//! Timeout for the next head on a connection, which changes while the connection idles.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};
use hyper_util::rt::TokioTimer;
use tokio::sync::watch;

use crate::timer::sleep_until;

/// Timer for hyper, which starts a sleep when a connection begins to idle and polls it until the next
/// head is complete.
///
/// A sleep lasts for the longest timeout that is in force while it runs, since callers may have relied
/// on any of them, and for the duration that hyper adds.
pub(super) struct HeadTimer {
    timeout: watch::Receiver<Duration>,
}

impl HeadTimer {
    pub fn new(timeout: watch::Receiver<Duration>) -> Self {
        Self { timeout }
    }
}

impl Timer for HeadTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(self.now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        let sleep = sleep_longest(deadline, self.timeout.clone());
        Box::pin(HeadSleep(Box::pin(sleep)))
    }

    fn now(&self) -> Instant {
        TokioTimer::new().now()
    }
}

/// Sleeps until the longest timeout after `start` has passed.
async fn sleep_longest(start: Instant, mut timeout: watch::Receiver<Duration>) {
    let mut longest = *timeout.borrow_and_update();
    loop {
        // A timeout that no instant can express never passes.
        let expiry = start.checked_add(longest);
        tokio::select! {
            () = sleep_until(expiry) => return,
            changed = timeout.changed() => match changed {
                Ok(()) => longest = longest.max(*timeout.borrow_and_update()),
                Err(_) => return sleep_until(expiry).await,
            },
        }
    }
}

struct HeadSleep(Pin<Box<dyn Future<Output = ()> + Send + Sync>>);

impl Future for HeadSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(cx)
    }
}

impl Sleep for HeadSleep {}
