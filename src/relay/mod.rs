//! Shell around the request core: takes callers' requests, sends them to endpoints and passes the
//! answers back.
//!
//! What requests and answers look like on the wire is behind [`Dialect`]; what happens to them is
//! decided by [`crate::dispatch`].

mod answer;
mod dialect;
mod events;
mod handle;
mod stream;
#[cfg(test)]
mod tests;

pub use dialect::{AnswerHead, Dialect, RequestHead, ResumePoint};
pub use events::{EventSplitter, StreamEvent};
pub use handle::Relay;
