//! Timer service that parts of a process subscribe to.
//!
//! One task owns the clock; a subscriber receives a tick on a channel and ends its subscription by
//! dropping the receiver.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Share of a period by which a tick may come early or late.
const JITTER: f64 = 0.1;

/// Handle to the timer service; the service ends when every handle is dropped.
#[derive(Clone, Debug)]
pub struct Timer {
    tx: mpsc::UnboundedSender<Subscription>,
}

/// Sent at each turn of a subscription's period.
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

    /// Subscribes to ticks whose period varies by a tenth, so that processes do not act in step.
    pub fn every_jittered(&self, period: Duration) -> mpsc::Receiver<Tick> {
        self.subscribe(period, true)
    }

    fn subscribe(&self, period: Duration, jitter: bool) -> mpsc::Receiver<Tick> {
        // A tick that is not yet consumed is as good as two.
        let (tx, rx) = mpsc::channel(1);
        let due = Instant::now() + period;
        // A closed service drops the sender, which ends the subscriber's loop.
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

/// Sleeps until `due`; for ever when nothing is due.
pub async fn sleep_until(due: Option<std::time::Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

impl Subscription {
    /// Sends a tick when one is due; false when the subscriber is gone.
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
