//! Timer service that sends periodic ticks to the tasks of a process.
//!
//! One task serves all subscriptions. A subscriber receives ticks on a channel and ends its
//! subscription by dropping the receiver.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;
use tokio::time::Instant;

mod stall;
#[cfg(test)]
mod tests;

pub use stall::{STALL_TICK, StallDetector};

/// Largest deviation of a jittered period, as a fraction of the period.
const JITTER: f64 = 0.1;

/// Handle to the timer service, which ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct Timer {
    tx: mpsc::UnboundedSender<Subscription>,
}

/// Message sent at the end of each period of a subscription.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tick;

#[derive(Debug)]
struct Subscription {
    period: Duration,
    jitter: bool,
    due: Instant,
    tx: mpsc::Sender<Tick>,
}

impl Timer {
    /// Starts the service on the current runtime.
    pub fn spawn(seed: u64) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(run(rx, SmallRng::seed_from_u64(seed)));
        Self { tx }
    }

    /// Subscribes to ticks at a fixed period.
    pub fn every(&self, period: Duration) -> mpsc::Receiver<Tick> {
        self.subscribe(period, false)
    }

    /// Subscribes to ticks whose period varies by up to a tenth, so that processes do not
    /// synchronize.
    pub fn every_jittered(&self, period: Duration) -> mpsc::Receiver<Tick> {
        self.subscribe(period, true)
    }

    fn subscribe(&self, period: Duration, jitter: bool) -> mpsc::Receiver<Tick> {
        // One tick is enough to wake the subscriber; further ones are dropped until it is read.
        let (tx, rx) = mpsc::channel(1);
        let due = Instant::now() + period;
        // If the service has ended, `tx` is dropped here and the subscriber's channel closes.
        let _ = self.tx.send(Subscription {
            period,
            jitter,
            due,
            tx,
        });
        rx
    }
}

async fn run(mut rx: mpsc::UnboundedReceiver<Subscription>, mut rng: SmallRng) {
    let mut subscriptions: Vec<Subscription> = Vec::new();
    loop {
        let next = subscriptions.iter().map(|s| s.due).min();
        tokio::select! {
            subscription = rx.recv() => match subscription {
                Some(subscription) => subscriptions.push(subscription),
                None => return,
            },
            () = sleep_until(next.map(Instant::into_std)) => {
                let now = Instant::now();
                subscriptions.retain_mut(|s| s.fire(now, &mut rng));
            }
        }
    }
}

/// Sleeps until `due`, or forever if it is `None`.
pub async fn sleep_until(due: Option<std::time::Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

impl Subscription {
    /// Sends a tick if one is due; returns false when the subscriber has dropped its receiver.
    fn fire(&mut self, now: Instant, rng: &mut SmallRng) -> bool {
        if self.due <= now {
            let _ = self.tx.try_send(Tick);
            self.due = now + self.next_period(rng);
        }
        !self.tx.is_closed()
    }

    fn next_period(&self, rng: &mut SmallRng) -> Duration {
        match self.jitter {
            true => self
                .period
                .mul_f64(rng.random_range(1.0 - JITTER..1.0 + JITTER)),
            false => self.period,
        }
    }
}
