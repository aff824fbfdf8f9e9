//! Outcome of a request as its caller sees it.

use std::time::Duration;

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The complete answer to this request, from a single version.
    Complete(Answer),
    /// A refusal with a code.
    Refused(Refused),
    /// No answer, or an incomplete one.
    Lost(String),
    /// An answer that does not belong to this request, or that mixes versions.
    Wrong(String),
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Time from sending to the first token of a stream, to the end of an answer that is not
    /// streamed, or to the response head of a service.
    pub first_token: Duration,
    /// Longest time between two consecutive tokens; zero unless streamed.
    pub longest_gap: Duration,
    /// Time from sending to the end of the answer.
    pub total: Duration,
    /// Number of tokens; 0 for a plain service.
    pub tokens: u64,
    /// Version of the model that answered; empty for a plain service.
    pub version: String,
    /// How many calls with this idempotency key have taken effect, as the service reports; 0 for a
    /// model.
    pub run_count: u64,
}

/// A refusal with a code.
#[derive(Clone, Debug, PartialEq)]
pub struct Refused {
    /// Result code.
    pub code: u16,
    /// Whether the request was executed: `not run`, `running` or `unknown`.
    pub run_state: String,
    /// HTTP status.
    pub status: u16,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Time from sending to the refusal.
    pub took: Duration,
}

impl Outcome {
    /// Returns the answer if it is complete.
    pub fn answer(&self) -> Option<&Answer> {
        match self {
            Self::Complete(answer) => Some(answer),
            _ => None,
        }
    }

    /// Returns the refusal if the request was refused.
    pub fn refusal(&self) -> Option<&Refused> {
        match self {
            Self::Refused(refused) => Some(refused),
            _ => None,
        }
    }
}
