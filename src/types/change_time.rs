//! When a change was made by another process.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// When a change was made elsewhere, as far as this process can tell.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ChangeTime {
    /// Nothing is known, as for a change that is older than this process.
    #[default]
    Unknown,
    /// Later than this; the change was not yet made then.
    After(Instant),
    /// At this time, apart from the delay of the report.
    At(Instant),
}

impl ChangeTime {
    /// The better of two reports on one change: a time is better than a bound. Of two times the earlier
    /// one is nearer to the truth, as each is late by its way here; of two bounds the later one.
    #[must_use]
    pub fn refined(self, other: Self) -> Self {
        match (self, other) {
            (Self::At(a), Self::At(b)) => Self::At(a.min(b)),
            (Self::At(at), _) | (_, Self::At(at)) => Self::At(at),
            (Self::After(a), Self::After(b)) => Self::After(a.max(b)),
            (Self::After(at), Self::Unknown) | (Self::Unknown, Self::After(at)) => Self::After(at),
            (Self::Unknown, Self::Unknown) => Self::Unknown,
        }
    }

    /// The same where the time is only known to be later.
    #[must_use]
    pub fn as_bound(self) -> Self {
        match self {
            Self::Unknown => Self::Unknown,
            Self::After(at) | Self::At(at) => Self::After(at),
        }
    }

    /// Earliest time at which the change may have been made; `None` when it is not known.
    pub fn earliest(self) -> Option<Instant> {
        match self {
            Self::Unknown => None,
            Self::After(at) | Self::At(at) => Some(at),
        }
    }

    /// The same in the form that is sent to another process, which has another clock.
    pub fn age(self, now: Instant) -> ChangeAge {
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        match self {
            Self::Unknown => ChangeAge::Unknown,
            Self::After(at) => ChangeAge::AtMost(age_ms(at)),
            Self::At(at) => ChangeAge::Exactly(age_ms(at)),
        }
    }
}

/// Age of a change in milliseconds, as a process reports it to another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ChangeAge {
    /// Nothing is known.
    Unknown,
    /// The change is not older.
    AtMost(u64),
    /// The change has this age.
    Exactly(u64),
}

impl ChangeAge {
    /// Time of a change whose age was reported in a message that is handled at `now`.
    pub fn time(self, now: Instant) -> ChangeTime {
        let at = |age_ms| now.checked_sub(Duration::from_millis(age_ms));
        match self {
            Self::Unknown => ChangeTime::Unknown,
            Self::AtMost(age_ms) => at(age_ms).map_or(ChangeTime::Unknown, ChangeTime::After),
            Self::Exactly(age_ms) => at(age_ms).map_or(ChangeTime::Unknown, ChangeTime::At),
        }
    }
}
