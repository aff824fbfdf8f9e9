//! Shape of answers: what makes a stream or a body whole.

mod scanner;
#[cfg(test)]
mod tests;

pub use scanner::{EventScanner, is_event_stream};
