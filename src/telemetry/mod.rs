//! Logs and metrics.

pub mod events;
mod log_format;
mod logs;
mod metrics;
mod rate_limited;
#[cfg(test)]
mod tests;

pub use events::Event;
pub use logs::{LogError, start_logs};
pub use metrics::{
    AttemptResult, Datagram, EndpointSignal, InFlight, Loop, Metrics, News, Operation,
    RequestResult,
};
pub use rate_limited::{LogRateLimiter, start_rate_limited_logs};
