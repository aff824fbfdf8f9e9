//! How a command ends.

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
    /// Done; for a change: in force everywhere.
    Done = 0,
    /// The command line is wrong.
    Usage = 1,
    /// A file is at fault; nothing was done.
    FileRefused = 2,
    /// The change was refused; nothing was done.
    Refused = 3,
    /// The change is accepted and not yet in force everywhere.
    NotInForce = 4,
    /// Whether the change was accepted is not known.
    Unsettled = 5,
    /// The platform or a process does not answer; nothing was done.
    Unreachable = 6,
    /// The process could not be started.
    NotStarted = 7,
    /// The process was cut by a second signal while requests ran.
    Cut = 8,
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
        /// What was refused.
        detail: String,
    },
    /// generation {generation} was accepted first
    RaceLost {
        /// The rival's generation.
        generation: Generation,
        /// What the rival changed.
        theirs: Vec<Difference>,
        /// What this change would do on top of it.
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
        /// What went wrong.
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
    /// Numbered code; that of the first fault for a file.
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

    /// Exit code.
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
