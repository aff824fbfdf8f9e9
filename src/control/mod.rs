//! Control connections between the processes: JSON-RPC over WebSocket.

mod access;
mod client;
mod server;
#[cfg(test)]
mod tests;

pub use client::{CallError, ControlClients};
pub use server::{ControlLimits, ControlServer, stopping_error};
