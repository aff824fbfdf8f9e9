//! A request in the engine.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

/// Token number after which a cut answer breaks off.
const CUT_AFTER: u64 = 2;

/// A request that runs or waits.
#[derive(Debug)]
pub(super) struct Job {
    /// Name of the request, as the caller gave it.
    pub id: String,
    /// Name that the answer carries; another one only under a fault.
    pub answer_id: String,
    /// Rank; a lower number goes first.
    pub priority: u8,
    /// Text that each token of the answer begins with.
    pub tag: String,
    /// Number of the next token.
    pub next: u64,
    /// Number of tokens in the whole answer.
    pub total: u64,
    /// Time at which the prompt has been read.
    pub ready_at: Instant,
    /// True once a token has been produced.
    pub has_started: bool,
    /// True while the caller has paused the request.
    pub is_paused: bool,
    /// True when the request crashes the engine.
    pub is_poisoned: bool,
    /// True when the answer breaks off early.
    pub is_cut: bool,
    /// True when the answer changes its version after a token.
    pub is_swapped: bool,
    /// Takes the events of the answer; closed when the caller is gone.
    pub events: UnboundedSender<Token>,
}

/// One token, or the end of an answer.
#[derive(Clone, Debug)]
pub(super) enum Token {
    /// A token.
    Text {
        /// Server-sent event that carries the token.
        event: Bytes,
        /// Text of the token.
        text: String,
        /// Version that produced the token.
        version: Arc<str>,
    },
    /// The end mark.
    Done,
    /// The end of an answer that was cancelled, without an end mark.
    Cancelled,
}

/// What became of a request in a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Progress {
    /// The request goes on.
    Running,
    /// The whole answer was sent.
    Done,
    /// The caller is gone, or the answer broke off.
    Gone,
}

impl Job {
    /// Produces the next token of the answer.
    pub fn step(&mut self, version: &Arc<str>) -> Progress {
        if self.is_cut && self.next >= CUT_AFTER {
            return Progress::Gone;
        }
        if self.next < self.total && !self.send_token(version) {
            return Progress::Gone;
        }
        if self.next < self.total {
            return Progress::Running;
        }
        match self.events.send(Token::Done) {
            Ok(()) => Progress::Done,
            Err(_) => Progress::Gone,
        }
    }

    fn send_token(&mut self, version: &Arc<str>) -> bool {
        let version = if self.is_swapped && self.has_started {
            Arc::from("swapped")
        } else {
            Arc::clone(version)
        };
        let text = format!("{}:{} ", self.tag, self.next);
        let event = format!(
            "data: {{\"id\":\"{}\",\"version\":\"{version}\",\"index\":{},\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n",
            self.answer_id, self.next,
        );
        self.next += 1;
        self.has_started = true;
        let token = Token::Text {
            event: event.into(),
            text,
            version,
        };
        self.events.send(token).is_ok()
    }
}
