//! Exit codes of commands and the failures behind them.

use std::process::ExitCode;

use displaydoc::Display;

use crate::codes::Code;
use crate::config::Difference;
use crate::settings::Faults;
use crate::types::Generation;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded; a change is in force everywhere.
    Done = 0,
    /// The command line is invalid.
    Usage = 1,
    /// A file is invalid; nothing was done.
    FileRefused = 2,
    /// The change was refused; nothing was done.
    Refused = 3,
    /// A change was accepted but is not yet in force everywhere; for `status`: a process lags or a
    /// model lacks replicas of its version.
    NotInForce = 4,
    /// It is not known whether the change was accepted.
    Unsettled = 5,
    /// The platform or a process did not answer; nothing was done.
    Unreachable = 6,
    /// The process could not be started.
    NotStarted = 7,
    /// A second signal ended the process while requests were still running.
    Aborted = 8,
    /// `diff` found differences.
    Differs = 10,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command failed.
#[derive(Debug, Display)]
pub enum Failure {
    /// {0}
    File(Faults),
    /// {detail}: {code}
    Refused {
        /// Numbered code.
        code: Code,
        /// What was refused, and why.
        detail: String,
    },
    /// another operator's change was accepted first as generation {generation}
    RaceLost {
        /// Generation of the other operator's change.
        generation: Generation,
        /// Keys that the other operator changed.
        theirs: Vec<Difference>,
        /// Keys that this change would still change after the other one.
        ours: Vec<Difference>,
    },
    /// {detail}: {code}
    Unsettled {
        /// Numbered code.
        code: Code,
        /// The last error.
        detail: String,
    },
    /// {detail}: {code}
    Unreachable {
        /// Numbered code.
        code: Code,
        /// The last error.
        detail: String,
    },
    /// {detail}: {code}
    NotStarted {
        /// Numbered code.
        code: Code,
        /// The error.
        detail: String,
    },
}

impl std::error::Error for Failure {}

impl From<Faults> for Failure {
    fn from(faults: Faults) -> Self {
        Self::File(faults)
    }
}

impl Failure {
    /// Returns the numbered code; for an invalid file, that of its first fault.
    pub fn code(&self) -> Code {
        match self {
            Self::File(faults) => faults
                .iter()
                .next()
                .map_or(Code::FileUnreadable, |fault| fault.code),
            Self::Refused { code, .. }
            | Self::Unsettled { code, .. }
            | Self::Unreachable { code, .. }
            | Self::NotStarted { code, .. } => *code,
            Self::RaceLost { .. } => Code::RaceLost,
        }
    }

    /// Returns the exit code of the command that failed.
    pub fn exit(&self) -> Exit {
        match self {
            Self::File(_) => Exit::FileRefused,
            Self::Refused { .. } | Self::RaceLost { .. } => Exit::Refused,
            Self::Unsettled { .. } => Exit::Unsettled,
            Self::Unreachable { .. } => Exit::Unreachable,
            Self::NotStarted { .. } => Exit::NotStarted,
        }
    }
}
