//! Splitter that lets only whole events through.

use bytes::{Bytes, BytesMut};

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// Longest event.
const EVENT_BYTES: usize = 1024 * 1024;

/// Cuts a stream at the ends of events, so that another attempt can go on after the last whole one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Invariant: holds no whole event and at most `EVENT_BYTES` bytes.
    tail: BytesMut,
}

/// An event is longer than allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Takes the next chunk and returns the whole events that it completes.
    ///
    /// # Errors
    ///
    /// Fails when an event does not end within its bound.
    pub fn push(&mut self, chunk: Bytes) -> Result<Bytes, EventTooLong> {
        if self.tail.is_empty() && chunk.ends_with(EVENT_END) {
            return Ok(chunk);
        }
        self.tail.extend_from_slice(&chunk);
        let whole = whole_bytes(&self.tail);
        let events = self.tail.split_to(whole).freeze();
        match self.tail.len() <= EVENT_BYTES {
            true => Ok(events),
            false => Err(EventTooLong),
        }
    }
}

fn whole_bytes(buf: &[u8]) -> usize {
    buf.windows(EVENT_END.len())
        .rposition(|window| window == EVENT_END)
        .map_or(0, |start| start + EVENT_END.len())
}
