//! Weight distribution and request routing for language-model bursts under a power cap.
//!
//! An [`entry`] admits each request and assigns it to an endpoint. The [`agent`] on the endpoint's
//! host forwards the request to the endpoint and checks the answer. [`weights`] distributes model
//! weights to the hosts in chunks. [`config`] holds the targets that operators declare, and
//! [`placement`] assigns model versions to endpoints.
//!
//! ```
//! use limpetloom::Code;
//!
//! let code = Code::QueueFull;
//! assert_eq!((code.number(), code.status()), (2002, 503));
//! assert_eq!(Code::from_number(2002), Some(code));
//! ```

#![deny(missing_docs)]

pub mod admission;
pub mod agent;
pub mod answer;
pub mod cli;
pub mod clients;
pub mod codes;
pub mod config;
pub mod control;
pub mod delivery;
pub mod dispatch;
pub mod entry;
#[cfg(test)]
mod fuzz_config;
pub mod heartbeat;
pub mod http;
pub mod membership;
pub mod overload;
pub mod placement;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod power;
pub mod process;
pub mod relay;
pub mod rollout;
pub mod routing;
pub mod settings;
pub mod telemetry;
pub mod timer;
pub mod types;
pub mod weights;
pub mod wire;

pub use codes::Code;
pub use config::Targets;
