//! Uneven demand of zones: traffic between zones is slower and is paid for, yet the engines of a zone are
//! sometimes too few for its callers.
//!
//! A request stays in its zone while an engine there starts it in good time, and a share of the requests may
//! leave as the predicted starts at home come close to what the callers accept. The share moves step by step:
//! load reports are some hundred milliseconds old and all entries of a zone see the same ones, so entries that
//! changed their minds at once would send all to another zone and back.

use std::time::{Duration, Instant};

/// Engines of the own zone from which requests stay there. Among fewer, queues differ by chance by more than
/// another zone costs.
pub(in crate::dispatch) const MIN_HOME_ENGINES: usize = 8;
/// Part of the start budget up to which a predicted start at home is good, so that no request leaves.
const GOOD_START: f64 = 0.35;
/// Part of the start budget from which each request may leave: what is left covers errors of the prediction.
const TIGHT_START: f64 = 0.95;
/// Time constant with which the share follows the starts at home. With news up to a second old a shorter one makes
/// it swing; requests that would start too late at home leave whatever the share is.
const FOLLOW_TIME: Duration = Duration::from_secs(3);

/// Share of the requests for a target that may leave the zone of this entry.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::dispatch) struct ZoneDemand {
    /// From 0 to 1.
    share: f64,
    updated_at: Option<Instant>,
}

impl ZoneDemand {
    /// Moves the share towards what a request calls for that would start at home after `predicted`, when its
    /// caller accepts `budget`, and returns it.
    pub fn observe(&mut self, now: Instant, predicted: Duration, budget: Duration) -> f64 {
        let passed = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.updated_at = Some(now);
        let used = predicted.as_secs_f64() / budget.as_secs_f64().max(0.001);
        let wanted = ((used - GOOD_START) / (TIGHT_START - GOOD_START)).clamp(0.0, 1.0);
        let weight = 1.0 - (-passed.as_secs_f64() / FOLLOW_TIME.as_secs_f64()).exp();
        self.share = (self.share + (wanted - self.share) * weight).clamp(0.0, 1.0);
        self.share
    }

    /// Share of the requests that may leave, as last observed.
    pub fn share(&self) -> f64 {
        self.share
    }
}
