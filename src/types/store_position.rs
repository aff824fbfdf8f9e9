//! Position in the history of the metadata store.

use serde::{Deserialize, Serialize};

/// Position in the history of the metadata store. The store gives revisions out again after it has
/// returned as an older copy, so positions are ordered by era first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StorePosition {
    /// Era of the store; rises each time that it loses changes. 0 when it names none.
    pub era: u64,
    /// Number of the newest change; comparable within one era only.
    pub revision: u64,
}
