//! Text that must not be shown.

use std::fmt;
use std::hint::black_box;
use std::sync::Arc;

/// A secret; its `Debug` form hides the text.
#[derive(Clone, Eq, PartialEq, PartialOrd)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Fewest characters of a secret.
    pub const MIN_CHARS: usize = 16;

    /// Wraps `text`.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// Shows the secret, for the header of a call.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares with what a caller offers, in a time that depends on the length only.
    pub fn matches(&self, offered: &str) -> bool {
        let (own, offered) = (self.0.as_bytes(), offered.as_bytes());
        let difference = own
            .iter()
            .zip(offered)
            .fold(0, |sum, (a, b)| black_box(sum | (a ^ b)));
        own.len() == offered.len() && difference == 0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}
