//! Control messages between the processes of the system.
//!
//! The message types are generated from `schema/messages.json`.

#[allow(missing_docs, clippy::all, unused_qualifications)]
#[rustfmt::skip]
mod generated;
mod rpc;

pub use generated::*;
pub use rpc::*;
