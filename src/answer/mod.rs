//! Shape of answers: what makes a stream or a body whole, and how a whole one is kept.

mod check;
mod scanner;
mod splitter;
mod stored;
#[cfg(test)]
mod tests;

pub use check::EventCheck;
pub use scanner::{EventScanner, is_event_stream};
pub use splitter::{EventSplitter, EventTooLong};
pub use stored::{StoredAnswer, StoredBody};
