//! Driver of the dispatcher: accepts callers' requests, sends them to endpoints and forwards the
//! answers.
//!
//! [`Dialect`] defines the wire format of requests and answers. [`crate::dispatch`] decides which
//! endpoint gets a request, when it is sent and whether it is sent again.

mod answer;
mod attempt;
mod dialect;
mod event_order;
mod events;
mod guards;
mod handle;
mod notice;
mod race;
mod recall;
mod refusal;
mod stop;
mod stream;
#[cfg(test)]
mod tests;
mod ticket;

pub use dialect::{AnswerHead, Dialect, RequestHead, ResumePoint};
pub use events::{EventSplitter, StreamEvent};
pub use guards::{ConfigurationCheck, Guards};
pub use handle::Relay;
