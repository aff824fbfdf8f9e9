//! Numbered result codes; the table for users is `docs/CODES.md`.

#[rustfmt::skip]
mod generated;

pub use generated::Code;

/// What is known of the work that a result code speaks of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// No endpoint has seen the request.
    NotRun,
    /// The request is in flight.
    Running,
    /// The request may have run.
    Unknown,
}

impl Code {
    /// The number of the code.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Finds a code by its number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
    }
}
