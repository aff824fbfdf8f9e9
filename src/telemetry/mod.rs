//! Logs and metrics.

pub mod events;

pub use events::Event;
