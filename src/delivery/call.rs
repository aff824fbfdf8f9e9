//! Calls to the object API, as decision logic asks for them.

use std::sync::Arc;

use crate::types::Generation;

/// A call to the object API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Read an object.
    Get {
        /// Key of the object.
        key: Arc<str>,
    },
    /// Write an object when its version is as given.
    Put {
        /// Key of the object.
        key: Arc<str>,
        /// New value.
        value: Arc<str>,
        /// Expected version; 0 when the object must not exist.
        if_version: Generation,
    },
    /// Delete an object when its version is as given.
    Delete {
        /// Key of the object.
        key: Arc<str>,
        /// Expected version.
        if_version: Generation,
    },
}

/// What became of a call to the object API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// The object, with its version.
    Found {
        /// Version of the object.
        version: Generation,
        /// Value of the object.
        value: Arc<str>,
    },
    /// No such object.
    Missing,
    /// The write took effect.
    Written {
        /// New version of the object.
        version: Generation,
    },
    /// The condition of the write did not hold; nothing was written.
    Conflict,
    /// The call certainly had no effect.
    Refused,
    /// The call may have had an effect.
    Lost,
}
