//! HTTP parts that the traffic listeners of entry and agent share.

mod body;
mod headers;
mod listener;
mod metrics;
mod refusal;

pub use body::{AnswerBody, BodyError, BodySender, channel, empty, full};
pub use headers::{header_number, header_text, names};
pub use listener::{Listener, ListenerLimits};
pub use metrics::{BEARER, is_authorized, metrics};
pub use refusal::{RefusalBody, refuse};
