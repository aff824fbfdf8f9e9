//! The entry process: takes callers' requests and follows each one to its end.
//!
//! [`core`] decides, on the control thread. Beside it stand the shells: [`spawn`] starts them.
//! The way of a request: `traffic` reads and parses it, `exchange` follows the decisions of the
//! core, `attempt` carries one attempt to an agent and its answer back.

mod attempt;
mod caller;
mod control;
pub mod core;
mod exchange;
mod executor;
mod process;
mod request;
mod rpc;
mod store;
mod traffic;

pub use process::{EntryHandle, spawn};
