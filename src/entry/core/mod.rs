//! Decision logic of the entry, free of sockets and clocks.
//!
//! [`EntryEvent`]s go in with the time, [`EntryAction`]s come out.

mod action;
mod event;

pub use action::{Dispatch, EntryAction, StoreCall, StoreOp};
pub use event::{EntryEvent, HostEntry, HostRole, StoreReply};
