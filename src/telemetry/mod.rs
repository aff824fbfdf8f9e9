//! Logs and metrics.

mod bounded;
pub mod events;
mod log_format;
mod logs;
mod metrics;
#[cfg(test)]
mod tests;

pub use bounded::{LineRate, start_bounded_logs};
pub use events::Event;
pub use logs::{LogError, start_logs};
pub use metrics::{AttemptResult, InFlight, Metrics, Operation, RequestResult};
