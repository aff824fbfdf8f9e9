//! When the next load order may be sent.

use std::time::{Duration, Instant};

/// Longest time after which an order that was sent may still take effect.
pub const ORDER_LIFE: Duration = Duration::from_secs(15);

/// Keeps load orders from overtaking each other at an endpoint that ignores fencing numbers.
///
/// Such an endpoint takes any order that arrives, also one of the agent's predecessor. So the next
/// order waits until every earlier one has been answered or can no longer take effect.
#[derive(Clone, Copy, Debug)]
pub struct Clearance {
    checks_fencing: bool,
    clear_at: Option<Instant>,
}

impl Clearance {
    /// Clearance of an agent that has just started and knows nothing of earlier orders.
    pub fn new(checks_fencing: bool, now: Instant) -> Self {
        Self {
            checks_fencing,
            clear_at: Some(now + ORDER_LIFE),
        }
    }

    /// An order is sent.
    pub fn sent(&mut self, now: Instant) {
        self.clear_at = Some(now + ORDER_LIFE);
    }

    /// The endpoint said that the latest order has taken effect.
    pub fn took_effect(&mut self) {
        self.clear_at = None;
    }

    /// True when an order may be sent.
    pub fn is_given(&self, now: Instant) -> bool {
        self.checks_fencing || self.clear_at.is_none_or(|at| at <= now)
    }
}
