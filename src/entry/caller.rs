//! The side of a request that faces its caller.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use tokio::sync::oneshot;

use crate::http::{self, AnswerBody, BodySender, RefusalBody};
use crate::types::Refusal;

/// Connection to a caller; each way of ending it consumes it.
#[derive(Debug)]
pub(super) enum Caller {
    /// Nothing was sent yet.
    Waiting(oneshot::Sender<Response<AnswerBody>>),
    /// The head of a stream was sent.
    Streaming(BodySender),
    /// The caller has closed its connection.
    Gone,
}

impl Caller {
    /// True when the caller may still read.
    pub(super) fn is_there(&self) -> bool {
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

    /// Starts a stream with the given head; does nothing when it has started already.
    pub(super) fn start(&mut self, head: Response<()>) {
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

    /// Sends a part of a stream that has started; false when the caller is gone or does not read
    /// within `timeout`.
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
    pub(super) fn answer(self, response: Response<Bytes>) {
        if let Self::Waiting(tx) = self {
            // A caller that has gone does not mind.
            let _ = tx.send(response.map(http::full));
        }
    }

    /// Ends a stream as whole.
    pub(super) async fn finish(self) {
        if let Self::Streaming(tx) = self {
            tx.finish().await;
        }
    }

    /// Sends a refusal; inside a stream it becomes a last event, and the stream is cut so that no
    /// reader takes it for whole.
    pub(super) async fn refuse(self, refusal: &Refusal, timeout: Duration) {
        match self {
            Self::Waiting(tx) => drop(tx.send(http::refuse(refusal))),
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
