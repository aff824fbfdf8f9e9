//! Answers that are written to the socket as they are, past the HTTP library.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::reply::{Body, answer};

/// Size of the pieces in which endless bytes are sent.
const PIECE_BYTES: usize = 16 * 1024;

/// How a connection ends after a raw answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ConnectionEnd {
    /// In good order.
    #[default]
    Close,
    /// By a reset.
    Reset,
}

/// Bytes that are no answer and do not end before the reader closes the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Flood {
    /// Empty lines in front of the head.
    BlankLines,
    /// Informational answers, one after the other.
    InterimAnswers,
    /// A head whose header lines do not end.
    HeaderLines,
    /// A body without length, on a single line.
    Body,
    /// A body without length, in short paragraphs that are no numbered events.
    Paragraphs,
    /// A body without length that repeats the first event of a stream.
    RepeatedEvent,
}

impl Flood {
    /// True when the bytes follow a complete head.
    fn is_in_body(self) -> bool {
        matches!(self, Self::Body | Self::Paragraphs | Self::RepeatedEvent)
    }

    /// The text that is repeated.
    fn text(self) -> &'static str {
        match self {
            Self::BlankLines => "\r\n",
            Self::InterimAnswers => "HTTP/1.1 102 Processing\r\n\r\n",
            Self::HeaderLines => "x-noise: 0123456789abcdef\r\n",
            Self::Body => "0123456789abcdef",
            Self::Paragraphs => "noise: 0123456789abcdef\n\n",
            Self::RepeatedEvent => "id: 1\ndata: token 1\n\n",
        }
    }

    /// The flood in place of the body, or of the end of the head, of `answer`.
    pub fn replacing<B>(self, answer: &Response<B>) -> RawAnswer {
        let mut start = raw_head(answer);
        if self.is_in_body() {
            start.extend_from_slice(b"\r\n");
        }
        if matches!(self, Self::BlankLines | Self::InterimAnswers) {
            start.clear();
        }
        let text = self.text();
        RawAnswer {
            start: start.into(),
            endless: text.repeat(PIECE_BYTES / text.len()).into(),
            ..RawAnswer::default()
        }
    }
}

/// An answer of raw bytes. A handler returns it by [`RawAnswer::into_response`].
#[derive(Clone, Debug, Default)]
pub struct RawAnswer {
    /// Bytes that are sent once.
    pub start: Bytes,
    /// Bytes that are sent after `start` until the reader closes the connection; empty for none.
    pub endless: Bytes,
    /// End of the connection when nothing is endless.
    pub end: ConnectionEnd,
    /// Held until the connection is closed.
    pub open: Arc<()>,
}

impl RawAnswer {
    /// An answer whose body has neither a length nor chunks.
    pub fn without_length<B>(answer: &Response<B>, body: &[u8], end: ConnectionEnd) -> Self {
        let mut start = raw_head(answer);
        start.extend_from_slice(b"\r\n");
        start.extend_from_slice(body);
        Self {
            start: start.into(),
            end,
            ..Self::default()
        }
    }

    /// A response in whose place the server sends this answer.
    pub fn into_response(self) -> Response<Body> {
        let mut response = answer(StatusCode::OK, "");
        response.extensions_mut().insert(self);
        response
    }

    /// Sends the answer and closes the connection.
    pub(crate) async fn send(self, mut stream: TcpStream) {
        if stream.write_all(&self.start).await.is_err() {
            return;
        }
        if !self.endless.is_empty() {
            while stream.write_all(&self.endless).await.is_ok() {}
            return;
        }
        // Errors are ignored: the reader has closed the connection already.
        let _ = match self.end {
            ConnectionEnd::Close => stream.shutdown().await,
            ConnectionEnd::Reset => stream.set_zero_linger(),
        };
    }
}

/// Status line and headers of an answer, without the empty line that ends the head.
fn raw_head<B>(answer: &Response<B>) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {}\r\n", answer.status()).into_bytes();
    for (name, value) in answer.headers() {
        head.extend_from_slice(name.as_str().as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value.as_bytes());
        head.extend_from_slice(b"\r\n");
    }
    head
}
