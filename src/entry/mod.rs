//! The entry process: accepts requests from callers and returns their final answers.
//!
//! [`core`] makes all decisions and runs on the control thread. The other modules are its driver,
//! started by [`spawn`]. `traffic` and `request` read and parse a request, `exchange` executes the
//! commands of the core for it, and `attempt` sends one attempt to an agent and forwards the
//! answer.

mod attempt;
mod caller;
mod control;
pub mod core;
mod exchange;
mod executor;
mod platform;
mod process;
mod request;
mod rpc;
mod traffic;

pub use process::{EntryHandle, spawn};
