//! How a request ended, as its caller sees it.

use std::time::Duration;

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The whole answer to the request itself, from one version.
    Complete(Answer),
    /// A numbered refusal.
    Refused(Refused),
    /// No answer, or one that broke off.
    Lost(String),
    /// An answer that is not the one to this request, or that mixes versions.
    Wrong(String),
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Time from sending to the first token, or to the head of a plain answer.
    pub first_token: Duration,
    /// Longest time between two tokens.
    pub longest_gap: Duration,
    /// Time from sending to the end mark.
    pub total: Duration,
    /// Number of tokens; 0 for a plain service.
    pub tokens: u64,
    /// Version that answered; empty for a plain service.
    pub version: String,
    /// How often the service says that the key has run; 0 for a model.
    pub run_count: u64,
}

/// A numbered refusal.
#[derive(Clone, Debug, PartialEq)]
pub struct Refused {
    /// Result code.
    pub code: u16,
    /// `not run`, `running` or `unknown`.
    pub run_state: String,
    /// HTTP status.
    pub status: u16,
    /// Advice on when to come back.
    pub retry_after: Option<Duration>,
    /// Time from sending to the refusal.
    pub took: Duration,
}

impl Outcome {
    /// The whole answer, if it is one.
    pub fn answer(&self) -> Option<&Answer> {
        match self {
            Self::Complete(answer) => Some(answer),
            _ => None,
        }
    }

    /// The refusal, if it is one.
    pub fn refusal(&self) -> Option<&Refused> {
        match self {
            Self::Refused(refused) => Some(refused),
            _ => None,
        }
    }
}
