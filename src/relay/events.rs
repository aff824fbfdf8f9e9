//! Splits server-sent event streams into whole events.

use bytes::{Bytes, BytesMut};

/// Largest part of a stream that waits for the end of its event; engines send events of less than
/// 1 KB.
const MAX_EVENT_BYTES: usize = 16 * 1024;

/// One whole event of a stream, with the events without a number in front of it.
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
    /// Length of the start of `buf` that contains no end of an event behind `unnumbered`.
    searched: usize,
    /// Length of the whole events without a number at the start of `buf`. They wait for the next
    /// number: without one they may be bytes that are no stream.
    unnumbered: usize,
}

impl EventSplitter {
    /// Appends bytes. Returns false when more than `MAX_EVENT_BYTES` waited before them, without an
    /// event in them; whole events in `data` may be larger together.
    pub fn push(&mut self, data: &[u8]) -> bool {
        let has_room = self.buf.len() <= MAX_EVENT_BYTES;
        self.buf.extend_from_slice(data);
        has_room
    }

    /// Removes the next whole event with a number, and those before it, from the buffer; `None` when
    /// no such event is complete.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        loop {
            // The end of an event, `\n\n` or `\n\r\n`, may begin in bytes that were searched before.
            let from = self.searched.saturating_sub(3).max(self.unnumbered);
            let Some(length) = event_end(&self.buf[from..]) else {
                self.searched = self.buf.len();
                return None;
            };
            let end = from + length;
            match event_id(&self.buf[self.unnumbered..end]) {
                Some(id) => {
                    let bytes = self.take(end);
                    return Some(StreamEvent {
                        bytes,
                        id: Some(id),
                    });
                }
                None => {
                    self.unnumbered = end;
                    self.searched = end;
                }
            }
        }
    }

    /// Removes the events without a number that wait at the end of a stream; `None` for none.
    pub fn take_unnumbered(&mut self) -> Option<StreamEvent> {
        (self.unnumbered > 0).then(|| StreamEvent {
            bytes: self.take(self.unnumbered),
            id: None,
        })
    }

    /// True when no partial event is buffered.
    pub fn is_between_events(&self) -> bool {
        self.buf.len() == self.unnumbered
    }

    fn take(&mut self, length: usize) -> Bytes {
        self.searched = 0;
        self.unnumbered = 0;
        self.buf.split_to(length).freeze()
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
