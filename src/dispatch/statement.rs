//! What an endpoint says of itself.

use std::sync::Arc;

/// What an endpoint says of itself in one answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Statement {
    /// How many requests it takes.
    pub limit: LimitStatement,
}

/// How many requests an endpoint takes, by one of its answers.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum LimitStatement {
    /// It names no limit.
    #[default]
    Unlimited,
    /// Requests per second from all entries together, as named: any finite number.
    Rate(f64),
    /// It names a limit that is no number.
    Invalid(Arc<str>),
}

impl LimitStatement {
    /// The lower one of two limits; one that can't be read says the least.
    pub fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Rate(a), Self::Rate(b)) => Self::Rate(a.min(b)),
            (rate @ Self::Rate(_), _) | (_, rate @ Self::Rate(_)) => rate,
            (invalid @ Self::Invalid(_), _) | (_, invalid @ Self::Invalid(_)) => invalid,
            (Self::Unlimited, Self::Unlimited) => Self::Unlimited,
        }
    }
}

/// Where an entry learned what an endpoint says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatementSource {
    /// An answer that passed this entry.
    Answer,
    /// The agent beside the endpoint, which reads its reports.
    Agent,
}
