//! Free places of an engine that several entries see at the same time.
//!
//! Entries do not know of each other's requests until a load report counts them. If each filled the
//! places that the last report shows as free, an engine with one free place would get a request from
//! every entry. An entry's part of the free places is mostly less than one request, so it is rounded up
//! or down at random: of 16 entries that see three free places, three send a request on average.

use std::time::{Duration, Instant};

/// Least time between two draws: by then what was sent before has begun, or a load report counts it.
const REDRAW_INTERVAL: Duration = Duration::from_millis(400);

/// How the entries share the engines of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sharing {
    /// Number of entries, at least 1.
    pub entries: u32,
    /// This entry's part of the requests at all engines of the target.
    part: f64,
}

impl Sharing {
    /// `own` of the `all` requests at the engines of the target are this entry's, begun or not. An equal part
    /// counts as one request of each entry, so that few requests change little.
    pub fn new(own: u32, all: u32, entries: u32) -> Self {
        let entries = entries.max(1);
        let part = (f64::from(own) + 1.0) / (f64::from(all.max(own)) + f64::from(entries));
        Self {
            entries,
            part: part.clamp(1.0 / f64::from(entries), 1.0),
        }
    }

    /// This entry's part of the free places of an engine, of which `own` of `running` requests are this
    /// entry's: as much as of those, so that entries which get more requests have more places. At
    /// least its part of the whole target, since others that send nothing elsewhere send nothing here.
    pub fn part_of_places(&self, own: u32, running: u32) -> f64 {
        (f64::from(own) / f64::from(running.max(1))).clamp(self.part, 1.0)
    }
}

/// Rounding of an entry's part of the free places of one engine.
///
/// It is drawn anew with load reports only, so that entries do not take turns at sending to an engine
/// that stands still.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rounding {
    /// Time of the last draw, and a number in [0, 1): 0 rounds down.
    drawn: Option<(Instant, f64)>,
}

impl Rounding {
    /// True when a load report lets it be drawn anew.
    pub fn is_due(&self, now: Instant) -> bool {
        self.drawn
            .is_none_or(|(at, _)| now.saturating_duration_since(at) >= REDRAW_INTERVAL)
    }

    /// Sets the draw, a uniformly distributed number in [0, 1).
    pub fn draw(&mut self, now: Instant, value: f64) {
        self.drawn = Some((now, value));
    }

    /// Requests of the other entries that no load report counts, to assume beside one more of this entry,
    /// which has `uncounted` such requests there and `part` of the places.
    pub fn others(&self, uncounted: u32, part: f64) -> u32 {
        let value = self.drawn.map_or(0.0, |(_, value)| value);
        let all = (f64::from(uncounted) + 1.0 - value) / part;
        (all.ceil() as u32).saturating_sub(uncounted + 1)
    }
}
