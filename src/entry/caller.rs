//! Connection to the caller of a request.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use tokio::sync::oneshot;

use crate::http::{self, AnswerBody, BodySender, RefusalBody};
use crate::types::Refusal;

/// State of the response to a caller. The methods that send its last part consume it.
#[derive(Debug)]
pub(super) enum Caller {
    /// Nothing has been sent.
    Waiting(oneshot::Sender<Response<AnswerBody>>),
    /// The head of a stream has been sent.
    Streaming(BodySender),
    /// The caller has closed its connection.
    Gone,
}

impl Caller {
    /// True unless the caller is known to have closed its connection.
    pub(super) fn is_connected(&self) -> bool {
        !matches!(self, Self::Gone)
    }

    /// Waits until the caller closes its connection.
    pub(super) async fn closed(&mut self) {
        match self {
            Self::Waiting(tx) => tx.closed().await,
            Self::Streaming(tx) => tx.closed().await,
            Self::Gone => {}
        }
    }

    /// Starts a stream with the given head. Does nothing when it has already started.
    pub(super) fn start_stream(&mut self, head: Response<()>) {
        let is_waiting = matches!(self, Self::Waiting(_));
        if is_waiting && let Self::Waiting(tx) = std::mem::replace(self, Self::Gone) {
            let (sender, body) = http::channel();
            let is_sent = tx.send(head.map(|()| body)).is_ok();
            *self = if is_sent {
                Self::Streaming(sender)
            } else {
                Self::Gone
            };
        }
    }

    /// Sends a part of a stream that has started. Returns false when the caller is gone or does not
    /// read it within `timeout`.
    pub(super) async fn send(&mut self, data: Bytes, timeout: Duration) -> bool {
        let Self::Streaming(tx) = self else {
            return false;
        };
        let is_sent = tokio::time::timeout(timeout, tx.send(data))
            .await
            .unwrap_or(false);
        if !is_sent {
            *self = Self::Gone;
        }
        is_sent
    }

    /// Sends a whole answer.
    pub(super) fn send_answer(self, response: Response<Bytes>) {
        if let Self::Waiting(tx) = self {
            // Sending fails only when the caller has closed its connection.
            let _ = tx.send(response.map(http::full));
        }
    }

    /// Marks a stream as complete.
    pub(super) async fn finish(self) {
        if let Self::Streaming(tx) = self {
            tx.finish().await;
        }
    }

    /// Sends a refusal. In a stream that has started, it is sent as the last event, and the stream
    /// is then cut so that it does not look complete.
    pub(super) async fn refuse(self, refusal: &Refusal, timeout: Duration) {
        match self {
            Self::Waiting(tx) => drop(tx.send(http::refusal_response(refusal))),
            Self::Streaming(tx) => {
                let _ = tokio::time::timeout(timeout, tx.send(error_event(refusal))).await;
            }
            Self::Gone => {}
        }
    }
}

fn error_event(refusal: &Refusal) -> Bytes {
    let body = RefusalBody::from(refusal.code);
    let text = serde_json::json!({ "error": body });
    Bytes::from(format!("event: error\ndata: {text}\n\n"))
}
