//! Answers that only the end of their connection ends, since their callers do not know chunks.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, Version};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::{AnswerBody, BodyError};

/// True while the connection's current answer is incomplete and only the end of the connection would
/// end it. Shared by the connection and the bodies of its answers.
#[derive(Clone, Debug, Default)]
pub(super) struct UnframedAnswer(Arc<AtomicBool>);

impl UnframedAnswer {
    /// Watches the answer to a request of `version`, if it has neither a length nor chunks.
    pub fn watch(&self, version: Version, answer: Response<AnswerBody>) -> Response<AnswerBody> {
        let is_framed = version >= Version::HTTP_11 || answer.body().size_hint().exact().is_some();
        if is_framed {
            return answer;
        }
        self.set(true);
        answer.map(|body| {
            let answer = self.clone();
            WatchedBody { body, answer }.boxed()
        })
    }

    fn set(&self, is_incomplete: bool) {
        self.0.store(is_incomplete, Ordering::Release);
    }

    fn is_incomplete(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A body that reports its end.
struct WatchedBody {
    body: AnswerBody,
    answer: UnframedAnswer,
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        let is_end = match &frame {
            Poll::Ready(None) => true,
            // The connection may not ask for the end of such a body.
            Poll::Ready(Some(Ok(_))) => self.body.is_end_stream(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        if is_end {
            self.answer.set(false);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A caller's connection that is reset when it is closed while an unframed answer is incomplete. Closed in
/// good order, it would make the answer look complete.
///
/// The socket option is set beside the first bytes of the answer, so that it also applies when the process
/// is killed, and is removed before the connection is shut down.
pub(super) struct ResettingStream {
    stream: TcpStream,
    answer: UnframedAnswer,
    /// True while a close resets the connection.
    resets: bool,
}

impl ResettingStream {
    pub fn new(stream: TcpStream, answer: UnframedAnswer) -> Self {
        Self {
            stream,
            answer,
            resets: false,
        }
    }

    /// Makes a close reset the connection if the current answer needs that. What is written may not be all
    /// of an answer whose body has ended, so a write never takes that back.
    fn update_for_write(&mut self) -> io::Result<()> {
        if self.answer.is_incomplete() && !self.resets {
            self.stream.set_zero_linger()?;
            self.resets = true;
        }
        Ok(())
    }

    /// Lets the connection end in good order if its answer is complete; everything has been written.
    fn update_for_shutdown(&mut self) -> io::Result<()> {
        self.update_for_write()?;
        if self.resets && !self.answer.is_incomplete() {
            socket2::SockRef::from(&self.stream).set_linger(None)?;
            self.resets = false;
        }
        Ok(())
    }
}

impl AsyncRead for ResettingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ResettingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_for_write()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_for_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.update_for_shutdown()?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
