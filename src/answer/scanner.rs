//! Counts server-sent events and finds the end of a stream.

use hyper::HeaderMap;
use hyper::header::CONTENT_TYPE;

/// Data of the event that ends a stream.
const END_MARKER: &[u8] = b"[DONE]";
/// Field name of a line with event data.
const DATA: &[u8] = b"data:";
/// Bytes at the start of a line that are kept to classify it; the end marker's line fits.
const LINE_HEAD_BYTES: usize = 16;

/// Counts the events of a stream and finds its end marker. Chunks may end at any byte.
///
/// Buffers only the start of the current line.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    events: u64,
    ended: bool,
    line_head: [u8; LINE_HEAD_BYTES],
    /// Length of the current line so far; the first `LINE_HEAD_BYTES` bytes are in `line_head`.
    line_bytes: usize,
}

impl EventScanner {
    /// Creates a scanner at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Scans the next chunk.
    pub fn scan(&mut self, chunk: &[u8]) {
        for line in chunk.split_inclusive(|&byte| byte == b'\n') {
            self.scan_line(line);
        }
    }

    /// Number of complete data lines other than the end marker.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// True when the end marker has been scanned.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Scans a line or the part of it that is in the current chunk.
    fn scan_line(&mut self, line: &[u8]) {
        let (text, is_line_end) = match line.strip_suffix(b"\n") {
            Some(text) => (text, true),
            None => (line, false),
        };
        self.buffer_line_head(text);
        if is_line_end {
            self.end_line();
        }
    }

    fn buffer_line_head(&mut self, text: &[u8]) {
        let used = self.line_bytes.min(LINE_HEAD_BYTES);
        let taken = text.len().min(LINE_HEAD_BYTES - used);
        self.line_head[used..used + taken].copy_from_slice(&text[..taken]);
        self.line_bytes += text.len();
    }

    fn end_line(&mut self) {
        let used = self.line_bytes.min(LINE_HEAD_BYTES);
        let is_short = self.line_bytes <= LINE_HEAD_BYTES;
        if let Some(data) = self.line_head[..used].strip_prefix(DATA) {
            match is_short && data.trim_ascii() == END_MARKER {
                true => self.ended = true,
                false => self.events += 1,
            }
        }
        self.line_bytes = 0;
    }
}

/// True when the content type is that of server-sent events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    content_type.is_some_and(|content_type| content_type.starts_with("text/event-stream"))
}
