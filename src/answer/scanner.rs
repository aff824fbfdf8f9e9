//! Scanner for server-sent events.

use hyper::HeaderMap;
use hyper::header::CONTENT_TYPE;

/// Data of the event that ends a stream.
const END_MARK: &[u8] = b"[DONE]";
/// Field name that starts the data of an event.
const DATA: &[u8] = b"data:";
/// Bytes of a line that decide what it is.
const LINE_HEAD_BYTES: usize = 16;

/// Counts the events of a stream and finds its end mark, over chunks that break anywhere.
///
/// Holds the head of the current line only.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    events: u64,
    ended: bool,
    head: [u8; LINE_HEAD_BYTES],
    /// Invariant: at most `LINE_HEAD_BYTES` bytes of `head` are used.
    line_bytes: usize,
}

impl EventScanner {
    /// A scanner at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads the next chunk.
    pub fn scan(&mut self, chunk: &[u8]) {
        for piece in chunk.split_inclusive(|&byte| byte == b'\n') {
            self.take(piece);
        }
    }

    /// Number of whole data lines before the end mark.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// True when the end mark was read.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    fn take(&mut self, piece: &[u8]) {
        let (text, is_line_end) = match piece.strip_suffix(b"\n") {
            Some(text) => (text, true),
            None => (piece, false),
        };
        self.keep_head(text);
        if is_line_end {
            self.end_line();
        }
    }

    fn keep_head(&mut self, text: &[u8]) {
        let used = self.line_bytes.min(LINE_HEAD_BYTES);
        let taken = text.len().min(LINE_HEAD_BYTES - used);
        self.head[used..used + taken].copy_from_slice(&text[..taken]);
        self.line_bytes += text.len();
    }

    fn end_line(&mut self) {
        let used = self.line_bytes.min(LINE_HEAD_BYTES);
        let is_short = self.line_bytes <= LINE_HEAD_BYTES;
        if let Some(data) = self.head[..used].strip_prefix(DATA) {
            match is_short && data.trim_ascii() == END_MARK {
                true => self.ended = true,
                false => self.events += 1,
            }
        }
        self.line_bytes = 0;
    }
}

/// True when the headers announce server-sent events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}
