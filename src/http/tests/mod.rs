//! Tests of connections, on streams in memory and with paused time.

mod client;
mod connection;
mod drain;
mod listener;
pub(crate) mod reply;
mod unframed;
