//! Splits streams of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// Maximum size of an event whose end has not arrived.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers the incomplete event at the end of a stream, so that only whole events are forwarded and
/// another attempt can continue after the last of them.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Start of an event whose end has not arrived; at most `MAX_EVENT_BYTES` bytes unless `push`
    /// has failed.
    partial: BytesMut,
}

/// More than `MAX_EVENT_BYTES` of an event arrived without its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Appends a chunk and returns all events that are now complete; empty if there are none.
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
