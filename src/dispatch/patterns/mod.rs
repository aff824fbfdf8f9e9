//! What the request core does about each pattern of load, one module a pattern.

mod burst;
mod cold_return;
mod departures;
mod hot_key;
mod push;
mod retry_abuse;
mod zone_loss;

pub use cold_return::ColdBound;
pub use departures::Occupancy;
pub use zone_loss::Health;

pub(super) use burst::{Wait, hold, is_worth_sending};
pub(super) use hot_key::few;
pub(super) use push::takes_until_change;
pub(super) use retry_abuse::{Returns, come_back, come_back_later};

/// Which patterns are answered: all in service; tests and studies take one out to see its effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mitigations {
    /// More is asked than engines can start in time.
    pub burst: bool,
    /// Many entries see the same best endpoint at the same moment.
    pub hot_key: bool,
    /// Refused callers come back again and again.
    pub retry_abuse: bool,
    /// Callers leave before their answer is whole.
    pub departures: bool,
    /// Endpoints of a zone fail at once.
    pub zone_loss: bool,
    /// Endpoints come back cold.
    pub cold_return: bool,
    /// Endpoints change their version.
    pub push: bool,
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
        }
    }
}
