//! Errors of the weights module.

/// Why a fetch failed.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum FetchError {
    /// the other side was not reached or broke off
    Unreachable,
    /// the other side serves as many transfers as it may
    Busy,
    /// the other side does not hold the bytes
    Missing,
    /// the bytes do not have the expected digest
    Corrupt,
    /// the bytes did not arrive in time
    TimedOut,
}

impl std::error::Error for FetchError {}

/// Why a version was not put into an engine's staging.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum StageError {
    /// the host does not hold the whole version
    NotHeld,
    /// the engine did not take the bytes: {0}
    Engine(String),
}

impl std::error::Error for StageError {}
