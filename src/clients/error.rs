//! Errors of the clients.

use std::time::Duration;

use displaydoc::Display;

use crate::types::Generation;

/// Why a call to the platform or to an endpoint failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum PlatformError {
    /// refused without effect: {0}
    Refused(String),
    /// no answer, effect unknown: {0}
    Lost(String),
    /// no answer begun within {0:?}, effect unknown
    Unanswered(Duration),
    /// version conflict: the object has version {current}
    Conflict {
        /// Current version of the object; 0 when it does not exist or the version is unknown.
        current: Generation,
    },
    /// not found
    Missing,
    /// invalid answer: {0}
    Invalid(String),
}

impl std::error::Error for PlatformError {}

impl PlatformError {
    /// True when it is certain that the call had no effect.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::Refused(_) | Self::Conflict { .. } | Self::Missing => true,
            Self::Lost(_) | Self::Unanswered(_) | Self::Invalid(_) => false,
        }
    }
}
