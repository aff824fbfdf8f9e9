//! Text that must not be logged or printed.

use std::fmt;
use std::hint::black_box;
use std::sync::Arc;

/// Secret text; its `Debug` output does not contain the text.
// `ValueType` requires `PartialOrd` of all values, for the bounds of numbers and durations.
#[derive(Clone, Eq, PartialEq, PartialOrd)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Minimum length of a secret in the settings, in characters.
    pub const MIN_CHARS: usize = 16;

    /// Wraps `text`.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the text, for use in a request header.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares with the secret that a caller presents. The time taken depends on the lengths only,
    /// so that it reveals nothing about the text: `black_box` keeps the compiler from ending the
    /// loop at the first difference.
    pub fn matches(&self, presented: &str) -> bool {
        let (own, presented) = (self.0.as_bytes(), presented.as_bytes());
        let difference = own
            .iter()
            .zip(presented)
            .fold(0, |sum, (a, b)| black_box(sum | (a ^ b)));
        own.len() == presented.len() && difference == 0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}
