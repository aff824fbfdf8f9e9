//! Splits server-sent event streams into whole events.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event that is buffered; engines send events of less than 1 KB.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One whole event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
    /// Number in the event's `id` field.
    pub id: Option<u64>,
}

/// Splits a byte stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Length of the start of `buf` that contains no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes. Returns false when more than `MAX_EVENT_BYTES` are buffered.
    pub fn push(&mut self, data: &[u8]) -> bool {
        self.buf.extend_from_slice(data);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Removes the next whole event from the buffer; `None` when no event is complete.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        // The end of an event, `\n\n` or `\n\r\n`, may begin in bytes that were searched before.
        let from = self.searched.saturating_sub(3);
        let end = match event_end(&self.buf[from..]) {
            Some(end) => from + end,
            None => {
                self.searched = self.buf.len();
                return None;
            }
        };
        self.searched = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// True when no partial event is buffered.
    pub fn is_empty(&self) -> bool {
        !self.buf.has_remaining()
    }
}

/// Length of the first event, including the empty line that ends it.
fn event_end(buf: &[u8]) -> Option<usize> {
    (1..buf.len()).find_map(|at| match (buf[at - 1], buf[at]) {
        (b'\n', b'\n') => Some(at + 1),
        (b'\n', b'\r') if buf.get(at + 1) == Some(&b'\n') => Some(at + 2),
        _ => None,
    })
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
