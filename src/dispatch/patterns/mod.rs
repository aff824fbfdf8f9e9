//! Mitigations of load patterns, one module per pattern.

mod backlog;
mod burst;
mod cold_return;
mod departures;
mod hot_key;
mod push;
mod ranks;
mod retry_abuse;
mod zone_demand;
mod zone_loss;

pub use cold_return::ColdRateLimiter;
pub use departures::Occupancy;
pub use zone_loss::Health;

pub(super) use backlog::Backlog;
pub(super) use burst::{START_SHARE, WaitingRequest, max_queue_time, should_send};
pub(super) use hot_key::sample;
pub(super) use push::ends_before_change;
pub(super) use ranks::{Rank, RankTraffic, leaves_room};
pub(super) use retry_abuse::{
    RefusedCallers, retry_after_change, retry_after_overload, retry_after_rest, retry_after_stop,
    retry_after_unavailable,
};
pub(super) use zone_demand::{MIN_HOME_ENGINES, ZoneDemand};

/// Enabled mitigations. All are enabled in production; tests and experiments disable single ones to
/// measure their effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mitigations {
    /// Requests exceed what engines can start in time.
    pub burst: bool,
    /// Many entries see the same best endpoint at the same time.
    pub hot_key: bool,
    /// Refused callers retry repeatedly.
    pub retry_abuse: bool,
    /// Callers disconnect before their answer is complete.
    pub departures: bool,
    /// Endpoints of a zone fail at the same time.
    pub zone_loss: bool,
    /// Endpoints return cold.
    pub cold_return: bool,
    /// Engines switch their weight version.
    pub push: bool,
    /// Requests of several priorities compete for the same engines.
    pub ranks: bool,
    /// Ranked requests wait for endpoints faster than places become free.
    pub backlog: bool,
    /// A zone's own engines are too few for its callers, or more than enough.
    pub zone_demand: bool,
}

impl Default for Mitigations {
    fn default() -> Self {
        Self {
            burst: true,
            hot_key: true,
            retry_abuse: true,
            departures: true,
            zone_loss: true,
            cold_return: true,
            push: true,
            ranks: true,
            backlog: true,
            zone_demand: true,
        }
    }
}
