//! Response bodies.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// Frames that are buffered between the sender of a body and the connection.
const CHANNEL_FRAMES: usize = 32;

/// Body of a response.
pub type AnswerBody = BoxBody<Bytes, BodyError>;

/// Why a body ended early; the connection is then closed, so that the reader notices.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum BodyError {
    /// the answer is incomplete
    Incomplete,
}

impl std::error::Error for BodyError {}

/// Sender of a body. Dropping it without [`BodySender::finish`] ends the body with
/// [`BodyError::Incomplete`].
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
    /// Sends data; false when the receiver is gone.
    pub async fn send(&self, data: Bytes) -> bool {
        self.tx.send(Part::Data(data)).await.is_ok()
    }

    /// Marks the body as complete; false when the receiver is gone.
    pub async fn finish(self) -> bool {
        self.tx.send(Part::End).await.is_ok()
    }

    /// Waits until the receiver is gone.
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

/// Creates a body whose data is sent through a channel.
pub fn channel() -> (BodySender, AnswerBody) {
    let (tx, rx) = mpsc::channel(CHANNEL_FRAMES);
    (BodySender { tx }, ChannelBody { rx, ended: false }.boxed())
}

/// Creates a body from complete data.
pub fn full(data: impl Into<Bytes>) -> AnswerBody {
    Full::new(data.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Creates a body without data.
pub fn empty() -> AnswerBody {
    Empty::new().map_err(|never| match never {}).boxed()
}
