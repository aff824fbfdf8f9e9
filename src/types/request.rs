//! Request metadata and results that the decision logic works with.

use std::time::{Duration, SystemTime};

use crate::codes::Code;

use super::{ClassId, CustomerId, Digest, Key, PromptPart, TargetId};

/// Description of a caller's request, without its body.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestMeta {
    /// Declared class of the request.
    pub class: ClassId,
    /// Customer whose limits and shares apply to the request.
    pub customer: CustomerId,
    /// Model or plain service that serves the class.
    pub target: TargetId,
    /// Idempotency key, scoped to customer and class.
    ///
    /// Admission refuses a request without a key if its class is declared as keyed.
    pub key: Option<Key>,
    /// Time at which the caller issued the key, if the caller stated it.
    pub key_issued: Option<SystemTime>,
    /// Digest of class, method, path, query and body; the same for all requests that agree in
    /// these.
    pub fingerprint: Digest,
    /// Digest of the start of the prompt's first message, used for prefix affinity; `None` for a
    /// plain service.
    pub prefix: Option<Digest>,
    /// Maximum number of tokens of the answer, or a default if the caller stated none; 0 for a
    /// plain service.
    pub tokens: u32,
    /// Time from the arrival of the request within which the answer has to start, if the caller
    /// stated it.
    pub start_budget: Option<Duration>,
}

/// Final error answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Error code; states whether the request ran.
    pub code: Code,
    /// Delay after which a retry may succeed; `None` if the refusal states no delay.
    pub retry_after: Option<Duration>,
    /// Prompt parts because of which the request is refused; empty if it is for another reason.
    pub prompt_parts: Vec<PromptPart>,
}

impl Refusal {
    /// Creates a refusal without a retry time.
    pub fn new(code: Code) -> Self {
        Self {
            code,
            retry_after: None,
            prompt_parts: Vec::new(),
        }
    }

    /// Sets the delay after which a retry may succeed.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Sets the prompt parts because of which the request is refused.
    pub fn with_prompt_parts(mut self, parts: impl IntoIterator<Item = PromptPart>) -> Self {
        self.prompt_parts = parts.into_iter().collect();
        self
    }
}

/// Outcome of an attempt that an entry sent to an agent, as the entry observed it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntryAttemptOutcome {
    /// The complete answer arrived, including its end marker.
    Answered,
    /// The agent answered with an error code, which states whether the request ran.
    Refused(Code),
    /// The request could not be built or no connection was established, so no byte was sent.
    NotSent,
    /// The answer broke off, stalled or was too large after a byte of the request may have been
    /// sent and before the end marker arrived.
    Broken {
        /// Number of stream events forwarded to the caller so far, including those of earlier
        /// attempts; 0 if the answer is not streamed.
        delivered: u64,
    },
    /// The answer named another attempt (`AnswerBroken`) or another version (`WrongVersion`).
    Mismatch(Code),
    /// The response head, or the whole of an answer that is not streamed, did not arrive in time.
    TimedOut,
}
