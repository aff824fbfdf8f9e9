//! Errors of the weights module.

/// Why a fetch failed.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum FetchError {
    /// the server was not reached or closed the connection
    Unreachable,
    /// the server is at its limit of concurrent transfers
    Busy,
    /// the server does not have the requested bytes
    Missing,
    /// the bytes do not match the expected digest
    Corrupt,
    /// the fetch timed out
    TimedOut,
}

impl std::error::Error for FetchError {}

/// Why a version was not written to an engine's staging area.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum StageError {
    /// the host does not hold all chunks of the version
    NotHeld,
    /// the engine did not accept the bytes: {0}
    Engine(String),
}

impl std::error::Error for StageError {}
