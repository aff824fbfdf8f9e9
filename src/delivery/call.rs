//! Object API calls that the sans-IO cores request, and the replies that drivers return.

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
    /// Write an object if its version matches.
    Put {
        /// Key of the object.
        key: Arc<str>,
        /// New value.
        value: Arc<str>,
        /// Expected version; 0 if the object must not exist yet.
        if_version: Generation,
    },
    /// Delete an object if its version matches.
    Delete {
        /// Key of the object.
        key: Arc<str>,
        /// Expected version.
        if_version: Generation,
    },
}

/// Result of a call to the object API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// The object exists.
    Found {
        /// Version of the object.
        version: Generation,
        /// Value of the object.
        value: Arc<str>,
    },
    /// The object does not exist.
    Missing,
    /// The write took effect.
    Written {
        /// New version of the object.
        version: Generation,
    },
    /// The object's version did not match; nothing was changed.
    Conflict,
    /// The call failed and certainly had no effect.
    Refused,
    /// The call failed and may have had an effect.
    Lost,
}
