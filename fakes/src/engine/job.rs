//! A request in the engine and the events of its answer.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

/// Index of the token at which a cut answer ends, without sending it.
const CUT_AT_INDEX: u64 = 2;

/// A running or waiting request.
#[derive(Debug)]
pub(super) struct Job {
    /// Id of the request, from its `x-request-id` header.
    pub id: String,
    /// Id that the answer carries; differs from `id` only under an injected fault.
    pub answer_id: String,
    /// Priority in the queue; requests with a lower number go first.
    pub priority: u8,
    /// Text that each token of the answer begins with.
    pub tag: String,
    /// Index of the next token; starts above 0 when the request resumes an answer.
    pub next_index: u64,
    /// Number of tokens in the whole answer, including those before the resumed part.
    pub total_tokens: u64,
    /// Time at which the prompt is prefilled and the first token is due.
    pub ready_at: Instant,
    /// True once a token has been produced.
    pub has_started: bool,
    /// True while the caller has paused the request.
    pub is_paused: bool,
    /// True when the request crashes the engine.
    pub is_poisoned: bool,
    /// True when the answer ends early under an injected fault.
    pub is_cut: bool,
    /// True when tokens after the first name another version under an injected fault.
    pub switches_version: bool,
    /// Channel of the answer's events; closed when the caller has disconnected.
    pub events: UnboundedSender<AnswerEvent>,
}

/// A token of an answer, or its end.
#[derive(Clone, Debug)]
pub(super) enum AnswerEvent {
    /// One token.
    Token {
        /// Server-sent event that carries the token in a stream.
        event: Bytes,
        /// Text of the token.
        text: String,
        /// Digest of the version that produced the token.
        version: Arc<str>,
    },
    /// The end of a whole answer; a stream sends `[DONE]`.
    Done,
    /// The end of a cancelled answer; a stream ends without `[DONE]`.
    Cancelled,
}

/// State of a request after a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Progress {
    /// More tokens follow.
    Running,
    /// The whole answer was sent.
    Done,
    /// The caller has disconnected, or an injected fault ended the answer.
    Aborted,
}

impl Job {
    /// Produces the next token of the answer, or its end event after the last token.
    pub fn step(&mut self, version: &Arc<str>) -> Progress {
        if self.is_cut && self.next_index >= CUT_AT_INDEX {
            return Progress::Aborted;
        }
        if self.next_index < self.total_tokens && !self.send_token(version) {
            return Progress::Aborted;
        }
        if self.next_index < self.total_tokens {
            return Progress::Running;
        }
        match self.events.send(AnswerEvent::Done) {
            Ok(()) => Progress::Done,
            Err(_) => Progress::Aborted,
        }
    }

    fn send_token(&mut self, version: &Arc<str>) -> bool {
        let version = if self.switches_version && self.has_started {
            Arc::from("swapped")
        } else {
            Arc::clone(version)
        };
        let text = format!("{}:{} ", self.tag, self.next_index);
        let event = format!(
            "data: {{\"id\":\"{}\",\"version\":\"{version}\",\"index\":{},\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n",
            self.answer_id, self.next_index,
        );
        self.next_index += 1;
        self.has_started = true;
        let token = AnswerEvent::Token {
            event: event.into(),
            text,
            version,
        };
        self.events.send(token).is_ok()
    }
}
