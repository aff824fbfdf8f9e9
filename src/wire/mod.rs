//! Control messages between the processes of the system.
//!
//! The types are generated from `schema/messages.json`. Domain types convert with [`From`] and
//! [`TryFrom`].

#[allow(missing_docs, clippy::all, unused_qualifications)]
#[rustfmt::skip]
mod generated;
mod rpc;

pub use generated::*;
pub use rpc::*;
