//! Tells the new events of an attempt from those that the caller has.

/// What an event is to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EventPlace {
    New,
    /// The caller has it from an earlier attempt.
    Repeated,
}

/// An event whose place in the stream is unknown: what the caller has and what the attempt sends can't be
/// joined without a lost or repeated event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct OutOfOrder;

/// Position of an attempt in its stream, by the numbers of its events.
///
/// Numbers increase by steps of any size, which differ inside a stream and between endpoints. So a large step
/// is no sign of a lost event. An endpoint that was asked to go on behind an event either does, or begins anew
/// and repeats that very event.
#[derive(Clone, Debug)]
pub(super) struct EventOrder {
    position: Position,
    /// Number of the attempt's last event with a number; the next one is larger.
    last_sent: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
enum Position {
    /// It has sent nothing, and the caller has the events up to a number.
    Behind(u64),
    /// It has repeated events, but not yet the last one that the caller has.
    Repeating(u64),
    /// What it sends next is new.
    Current,
}

impl EventOrder {
    /// Creates the order of an attempt whose caller has the events up to `last_seen`, or none.
    pub fn new(last_seen: Option<u64>) -> Self {
        Self {
            position: last_seen.map_or(Position::Current, Position::Behind),
            last_sent: None,
        }
    }

    /// Advances to an event with a number.
    pub fn advance(&mut self, id: u64) -> Result<EventPlace, OutOfOrder> {
        if self.last_sent.is_some_and(|last| id <= last) {
            return Err(OutOfOrder);
        }
        self.last_sent = Some(id);
        let (position, place) = match self.position {
            Position::Behind(last) | Position::Repeating(last) if id < last => {
                (Position::Repeating(last), EventPlace::Repeated)
            }
            Position::Behind(last) | Position::Repeating(last) if id == last => {
                (Position::Current, EventPlace::Repeated)
            }
            // It has no event with the number of the caller's last one.
            Position::Repeating(_) => return Err(OutOfOrder),
            Position::Behind(_) | Position::Current => (Position::Current, EventPlace::New),
        };
        self.position = position;
        Ok(place)
    }

    /// True when the stream may end here. An endpoint that sent nothing has nothing to add if its answer shows
    /// its end by a length or chunks; a closed connection may as well mean that it stopped behind its head.
    pub fn may_end(&self, is_framed: bool) -> bool {
        match self.position {
            Position::Behind(_) => is_framed,
            Position::Repeating(_) => false,
            Position::Current => true,
        }
    }
}
