//! Numbered result codes. `docs/CODES.md` lists them for users.

#[rustfmt::skip]
mod generated;

pub use generated::Code;

/// Whether a request with a given result code has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// No endpoint has received the request.
    NotRun,
    /// The request is running.
    Running,
    /// The request may have run.
    Unknown,
}

impl Code {
    /// Number of the code.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with this number, if there is one.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
    }
}
