//! Weight distribution and request routing for language-model bursts under a power cap.

#![deny(missing_docs)]

pub mod admission;
pub mod agent;
pub mod answer;
pub mod cli;
pub mod codes;
pub mod config;
pub mod control;
pub mod delivery;
pub mod entry;
pub mod http;
pub mod membership;
pub mod placement;
pub mod platform;
pub mod power;
pub mod routing;
pub mod settings;
pub mod telemetry;
pub mod timer;
pub mod types;
pub mod weights;
pub mod wire;

pub use codes::Code;
pub use config::Targets;
