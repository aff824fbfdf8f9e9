//! Stream from which a part was read already.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A stream that first returns the bytes that were read from it before.
pub(super) struct ReadAhead<S> {
    ahead: Bytes,
    stream: S,
    is_write_blocked: Arc<AtomicBool>,
}

impl<S> ReadAhead<S> {
    pub fn new(ahead: Bytes, stream: S) -> Self {
        Self {
            ahead,
            stream,
            is_write_blocked: Arc::default(),
        }
    }

    /// True while bytes that were read before are left.
    pub fn has_ahead(&self) -> bool {
        !self.ahead.is_empty()
    }

    /// Set while the last write could not be completed, so that its writer keeps the bytes.
    pub fn is_write_blocked(&self) -> Arc<AtomicBool> {
        self.is_write_blocked.clone()
    }

    pub fn into_inner(self) -> S {
        self.stream
    }

    fn record<T>(&self, written: Poll<T>) -> Poll<T> {
        let is_blocked = written.is_pending();
        self.is_write_blocked.store(is_blocked, Ordering::Relaxed);
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ReadAhead<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.has_ahead() {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let len = self.ahead.len().min(buf.remaining());
        buf.put_slice(&self.ahead[..len]);
        self.ahead.advance(len);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ReadAhead<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
