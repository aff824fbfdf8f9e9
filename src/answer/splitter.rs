//! Splits server-sent event streams after whole events.

use bytes::{Bytes, BytesMut};

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// Largest event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Releases a stream only up to the end of a whole event, so that another attempt can continue
/// after it.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Start of an event whose end has not arrived. Invariant: at most `MAX_EVENT_BYTES` bytes.
    partial: BytesMut,
}

/// An event is larger than allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Appends a chunk and returns the whole events that are now complete.
    ///
    /// # Errors
    ///
    /// Fails when more than `MAX_EVENT_BYTES` of an event arrive without its end.
    pub fn push(&mut self, chunk: Bytes) -> Result<Bytes, EventTooLong> {
        if self.partial.is_empty() && chunk.ends_with(EVENT_END) {
            return Ok(chunk);
        }
        self.partial.extend_from_slice(&chunk);
        let whole = whole_events_len(&self.partial);
        let events = self.partial.split_to(whole).freeze();
        match self.partial.len() <= MAX_EVENT_BYTES {
            true => Ok(events),
            false => Err(EventTooLong),
        }
    }
}

/// Length of the start of `buf` that consists of whole events.
fn whole_events_len(buf: &[u8]) -> usize {
    buf.windows(EVENT_END.len())
        .rposition(|window| window == EVENT_END)
        .map_or(0, |start| start + EVENT_END.len())
}
