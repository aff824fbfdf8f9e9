//! Bodies of answers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// Frames that wait between the sender of a body and the connection.
const CHANNEL_FRAMES: usize = 32;

/// Body of an answer.
pub type AnswerBody = BoxBody<Bytes, BodyError>;

/// Why a body ended early; the connection is cut so that the reader notices.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum BodyError {
    /// the answer is not whole
    Incomplete,
}

impl std::error::Error for BodyError {}

/// Sender of a body; dropping it without [`BodySender::finish`] cuts the body.
#[derive(Debug)]
pub struct BodySender {
    tx: mpsc::Sender<Part>,
}

#[derive(Debug)]
enum Part {
    Data(Bytes),
    End,
}

struct ChannelBody {
    rx: mpsc::Receiver<Part>,
    ended: bool,
}

impl BodySender {
    /// Sends data; false when the reader is gone.
    pub async fn send(&self, data: Bytes) -> bool {
        self.tx.send(Part::Data(data)).await.is_ok()
    }

    /// Ends the body as whole; false when the reader is gone.
    pub async fn finish(self) -> bool {
        self.tx.send(Part::End).await.is_ok()
    }

    /// Waits until the reader is gone.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        self.rx.poll_recv(cx).map(|part| match part {
            Some(Part::Data(data)) => Some(Ok(Frame::data(data))),
            Some(Part::End) => {
                self.ended = true;
                None
            }
            None => Some(Err(BodyError::Incomplete)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }
}

/// A body that is sent in parts.
pub fn channel() -> (BodySender, AnswerBody) {
    let (tx, rx) = mpsc::channel(CHANNEL_FRAMES);
    (BodySender { tx }, ChannelBody { rx, ended: false }.boxed())
}

/// A body that is known whole.
pub fn full(data: impl Into<Bytes>) -> AnswerBody {
    Full::new(data.into())
        .map_err(|never| match never {})
        .boxed()
}

/// A body without data.
pub fn empty() -> AnswerBody {
    Empty::new().map_err(|never| match never {}).boxed()
}
