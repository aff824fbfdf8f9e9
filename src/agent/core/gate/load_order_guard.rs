//! Spacing of load orders to one endpoint.

use std::time::{Duration, Instant};

/// Longest time after it was sent that a load order may still take effect.
pub const LOAD_ORDER_TTL: Duration = Duration::from_secs(15);

/// Keeps load orders from overtaking each other at an endpoint that ignores fencing numbers.
///
/// Such an endpoint executes any order that arrives, even one that an earlier incarnation of the
/// agent sent. The next order therefore waits until every earlier one has been confirmed or can no
/// longer take effect.
#[derive(Clone, Copy, Debug)]
pub struct LoadOrderGuard {
    checks_fencing: bool,
    /// Time until which an earlier order may still take effect.
    blocked_until: Option<Instant>,
}

impl LoadOrderGuard {
    /// Creates the guard of an agent that has just started: an earlier incarnation may have sent
    /// an order immediately before.
    pub fn new(checks_fencing: bool, now: Instant) -> Self {
        Self {
            checks_fencing,
            blocked_until: Some(now + LOAD_ORDER_TTL),
        }
    }

    /// Records that an order is sent at `now`.
    pub fn record_sent(&mut self, now: Instant) {
        self.blocked_until = Some(now + LOAD_ORDER_TTL);
    }

    /// Records that the endpoint confirmed the latest order.
    pub fn record_confirmed(&mut self) {
        self.blocked_until = None;
    }

    /// Returns true when an order may be sent.
    pub fn may_send(&self, now: Instant) -> bool {
        self.checks_fencing || self.blocked_until.is_none_or(|at| at <= now)
    }
}
