//! Answers that are written to the socket as they are, past the HTTP library.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::reply::{Body, answer};

/// Size of the pieces in which endless bytes are sent.
const PIECE_BYTES: usize = 16 * 1024;

/// Time between two pieces of a drip.
const DRIP_INTERVAL: Duration = Duration::from_millis(10);
/// Number of events in such a piece.
const EVENTS_IN_A_PIECE: usize = 500;

/// Text of one event of a stream.
pub fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

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
    /// A head with one header line that does not end.
    HeaderLine,
    /// A body of a length that no reader waits for.
    Length,
    /// A body of one chunk of a size that no reader waits for.
    HugeChunk,
    /// A body in chunks of one byte.
    TinyChunks,
    /// A chunk whose extensions do not end.
    ChunkExtensions,
    /// Trailers that do not end, behind a body of a few bytes in chunks.
    Trailers,
    /// A body without length, on a single line.
    Body,
    /// A body without length, in short paragraphs that are no numbered events.
    Paragraphs,
    /// A body without length, of a few bytes at a time.
    Drip,
    /// A body without length that repeats the first event of a stream.
    RepeatedEvent,
    /// A body without length, of numbered events as fast as they are read.
    NumberedEvents,
}

impl Flood {
    /// True when the bytes follow a complete head.
    fn is_in_body(self) -> bool {
        !matches!(
            self,
            Self::BlankLines | Self::InterimAnswers | Self::HeaderLines | Self::HeaderLine
        )
    }

    /// What follows the other header lines, up to the bytes that do not end.
    fn start(self) -> &'static str {
        match self {
            Self::HeaderLine => "x-noise: ",
            Self::Length => "content-length: 9000000000000\r\n\r\n",
            Self::HugeChunk => "transfer-encoding: chunked\r\n\r\nfffffffffff\r\n",
            Self::TinyChunks => "transfer-encoding: chunked\r\n\r\n",
            Self::ChunkExtensions => "transfer-encoding: chunked\r\n\r\n5;noise=",
            Self::Trailers => "transfer-encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n",
            _ if self.is_in_body() => "\r\n",
            _ => "",
        }
    }

    /// The text that is repeated.
    fn text(self) -> &'static str {
        match self {
            Self::BlankLines => "\r\n",
            Self::InterimAnswers => "HTTP/1.1 102 Processing\r\n\r\n",
            Self::HeaderLines | Self::Trailers => "x-noise: 0123456789abcdef\r\n",
            Self::TinyChunks => "1\r\n0\r\n",
            Self::HeaderLine
            | Self::Length
            | Self::HugeChunk
            | Self::ChunkExtensions
            | Self::Body
            | Self::Drip => "0123456789abcdef",
            Self::Paragraphs => "noise: 0123456789abcdef\n\n",
            Self::RepeatedEvent | Self::NumberedEvents => "id: 1\ndata: token 1\n\n",
        }
    }

    /// The flood in place of the body, or of the end of the head, of `answer`.
    pub fn replacing<B>(self, answer: &Response<B>) -> RawAnswer {
        let mut start = raw_head(answer);
        start.extend_from_slice(self.start().as_bytes());
        if matches!(self, Self::BlankLines | Self::InterimAnswers) {
            start.clear();
        }
        let text = self.text();
        RawAnswer {
            start: start.into(),
            endless: match self {
                Self::NumberedEvents => Endless::Events,
                Self::Drip => Endless::Dripping(text.into()),
                _ => Endless::Repeated(text.repeat(PIECE_BYTES / text.len()).into()),
            },
            ..RawAnswer::default()
        }
    }
}

/// Bytes that are sent until the reader closes the connection.
#[derive(Clone, Debug, Default)]
pub enum Endless {
    /// None: the connection ends.
    #[default]
    Nothing,
    /// The same bytes again and again.
    Repeated(Bytes),
    /// The same bytes again and again, with a pause after each piece.
    Dripping(Bytes),
    /// Events, numbered from 1 on.
    Events,
}

/// An answer of raw bytes. A handler returns it by [`RawAnswer::into_response`].
#[derive(Clone, Debug, Default)]
pub struct RawAnswer {
    /// Bytes that are sent once.
    pub start: Bytes,
    /// Bytes that are sent after `start`.
    pub endless: Endless,
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

    /// Bytes that are sent as they are.
    pub fn new(bytes: impl Into<Bytes>, end: ConnectionEnd) -> Self {
        Self {
            start: bytes.into(),
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
        match &self.endless {
            Endless::Nothing => {}
            Endless::Repeated(piece) => {
                while stream.write_all(piece).await.is_ok() {}
                return;
            }
            Endless::Dripping(piece) => {
                while stream.write_all(piece).await.is_ok() {
                    tokio::time::sleep(DRIP_INTERVAL).await;
                }
                return;
            }
            Endless::Events => {
                let mut ids = 1..;
                let mut next_piece = || -> String {
                    let ids = ids.by_ref().take(EVENTS_IN_A_PIECE);
                    ids.map(event_text).collect()
                };
                while stream.write_all(next_piece().as_bytes()).await.is_ok() {}
                return;
            }
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
