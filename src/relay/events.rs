//! Event streams: whole events only.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event that is held back until it is whole, in bytes; engines send under 1 KB.
const EVENT_MAX: usize = 256 * 1024;

/// A whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Its bytes with the empty line that ends it.
    pub bytes: Bytes,
    /// Its number.
    pub id: Option<u64>,
}

/// Cuts a byte stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes at the start of `buf` in which no event ends.
    seen: usize,
}

impl EventSplitter {
    /// Takes in bytes. Returns false when an event grows beyond all bounds.
    pub fn push(&mut self, data: &[u8]) -> bool {
        self.buf.extend_from_slice(data);
        self.buf.len() <= EVENT_MAX
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let from = self.seen.saturating_sub(3);
        let end = match event_end(&self.buf[from..]) {
            Some(end) => from + end,
            None => {
                self.seen = self.buf.len();
                return None;
            }
        };
        self.seen = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// True when no part of an event is held back.
    pub fn is_empty(&self) -> bool {
        !self.buf.has_remaining()
    }
}

/// Length of the first event, with the empty line that ends it.
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
