//! Check that every event of a stream belongs to its request and comes from the pinned version.

use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::types::{AttemptId, Digest};

/// Field name that starts the data of an event.
const DATA: &[u8] = b"data:";

/// What every event of an answer must say of itself, where it says something.
#[derive(Clone, Debug)]
pub struct EventCheck {
    attempt: AttemptId,
    version: Digest,
}

/// Part of an event that names its request and its version.
#[derive(Deserialize)]
struct Label<'a> {
    id: Option<&'a str>,
    version: Option<&'a str>,
}

/// Part of a chat completion that shows that it is whole.
#[derive(Deserialize)]
struct Completion<'a> {
    #[serde(borrow, flatten)]
    label: Label<'a>,
    #[serde(default)]
    choices: Vec<IgnoredAny>,
    usage: Option<IgnoredAny>,
}

impl EventCheck {
    /// A check for an attempt that is pinned to a version.
    pub fn new(attempt: AttemptId, version: Digest) -> Self {
        Self { attempt, version }
    }

    /// True when no event in `events` names another request or another version.
    pub fn passes_events(&self, events: &[u8]) -> bool {
        events
            .split(|&byte| byte == b'\n')
            .filter_map(|line| line.strip_prefix(DATA))
            .filter_map(|data| serde_json::from_slice::<Label<'_>>(data).ok())
            .all(|label| self.is_own(&label))
    }

    /// True when `body` is a whole chat completion of this request and version. One that is cut
    /// short may still be well-formed; it lacks its choices or its usage.
    pub fn passes_completion(&self, body: &[u8]) -> bool {
        serde_json::from_slice::<Completion<'_>>(body).is_ok_and(|completion| {
            self.is_own(&completion.label)
                && !completion.choices.is_empty()
                && completion.usage.is_some()
        })
    }

    fn is_own(&self, label: &Label<'_>) -> bool {
        let is_attempt = label.id.is_none_or(|id| *id == *self.attempt);
        let is_version = label
            .version
            .is_none_or(|version| *version == *self.version);
        is_attempt && is_version
    }
}
