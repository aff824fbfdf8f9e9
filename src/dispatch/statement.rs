//! What an endpoint says of itself.

use std::sync::Arc;
use std::time::Duration;

/// What an endpoint says of itself in one answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Statement {
    /// How many requests it takes.
    pub limit: LimitStatement,
    /// For how long it wants no further request from this entry.
    pub rest: RestStatement,
    /// True when it says that it leaves.
    pub is_leaving: bool,
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

/// For how long an endpoint wants no further request from the entry that it answers.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum RestStatement {
    /// It does not ask for rest.
    #[default]
    NotAsked,
    /// From this answer on, as named: any time above zero.
    For(Duration),
    /// It names a time that can't be read.
    Invalid(Arc<str>),
}

impl RestStatement {
    /// The longer one of two rests; one that can't be read says the least.
    pub fn longer(self, other: Self) -> Self {
        match (self, other) {
            (Self::For(a), Self::For(b)) => Self::For(a.max(b)),
            (rest @ Self::For(_), _) | (_, rest @ Self::For(_)) => rest,
            (invalid @ Self::Invalid(_), _) | (_, invalid @ Self::Invalid(_)) => invalid,
            (Self::NotAsked, Self::NotAsked) => Self::NotAsked,
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
