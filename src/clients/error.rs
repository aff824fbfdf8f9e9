//! Errors of the platform's clients.

use displaydoc::Display;

use crate::types::Generation;

/// Why a call to the platform or to an endpoint failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum PlatformError {
    /// refused without any effect: {0}
    Refused(String),
    /// no answer, the effect is not known: {0}
    Lost(String),
    /// the condition does not hold, the object has version {current}
    Conflict {
        /// Version of the object, 0 when it does not exist.
        current: Generation,
    },
    /// no such object
    Missing,
    /// the answer breaks the protocol: {0}
    Invalid(String),
}

impl std::error::Error for PlatformError {}

impl PlatformError {
    /// True when the call certainly had no effect.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::Refused(_) | Self::Conflict { .. } | Self::Missing => true,
            Self::Lost(_) | Self::Invalid(_) => false,
        }
    }
}
