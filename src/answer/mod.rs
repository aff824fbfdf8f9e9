//! Checks that an answer is complete and belongs to its request, and defines how complete answers
//! are stored.

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
