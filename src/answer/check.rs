//! Checks that an answer belongs to its request and comes from the pinned weight version.

use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::types::{AttemptId, Digest};

/// Field name of a line with event data.
const DATA: &[u8] = b"data:";

/// Request and weight version that an answer must name. An event or completion may leave out
/// either.
#[derive(Clone, Debug)]
pub struct EventCheck {
    attempt: AttemptId,
    version: Digest,
}

/// Fields of an event or a completion that name its request and its weight version.
#[derive(Deserialize)]
struct Label<'a> {
    id: Option<&'a str>,
    version: Option<&'a str>,
}

/// Fields of a chat completion that show that it is complete.
#[derive(Deserialize)]
struct Completion<'a> {
    #[serde(borrow, flatten)]
    label: Label<'a>,
    #[serde(default)]
    choices: Vec<IgnoredAny>,
    usage: Option<IgnoredAny>,
}

impl EventCheck {
    /// Creates a check for an attempt that is pinned to a weight version.
    pub fn new(attempt: AttemptId, version: Digest) -> Self {
        Self { attempt, version }
    }

    /// True when no event in `events` names another request or another weight version. Data that is
    /// not a JSON object, such as the end marker, passes.
    pub fn passes_events(&self, events: &[u8]) -> bool {
        events
            .split(|&byte| byte == b'\n')
            .filter_map(|line| line.strip_prefix(DATA))
            .filter_map(|data| serde_json::from_slice::<Label<'_>>(data).ok())
            .all(|label| self.matches(&label))
    }

    /// True when `body` is a complete chat completion of this request and weight version. A
    /// truncated completion can be valid JSON, but lacks its choices or its usage.
    pub fn passes_completion(&self, body: &[u8]) -> bool {
        serde_json::from_slice::<Completion<'_>>(body).is_ok_and(|completion| {
            self.matches(&completion.label)
                && !completion.choices.is_empty()
                && completion.usage.is_some()
        })
    }

    fn matches(&self, label: &Label<'_>) -> bool {
        let attempt_matches = label.id.is_none_or(|id| *id == *self.attempt);
        let version_matches = label
            .version
            .is_none_or(|version| *version == *self.version);
        attempt_matches && version_matches
    }
}
