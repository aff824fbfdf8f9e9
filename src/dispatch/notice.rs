//! Notices of the dispatcher for the log.

use crate::delivery::BlameChange;
use crate::types::{EndpointId, InstanceId};

/// Something that the driver logs.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// An endpoint incarnation crashed while requests of this entry ran there.
    EndpointCrashed {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Incarnation that crashed.
        incarnation: InstanceId,
        /// Number of this entry's attempts that broke there and are attributed to the crash.
        attempts: usize,
        /// How the crash was recognised.
        sign: CrashSign,
    },
    /// Requests or prompt parts are blamed for crashes from now on, or no more.
    BlameChanged {
        /// The suspects and their crashes.
        change: BlameChange,
        /// Whose observation changed it.
        source: BlameSource,
    },
}

/// Whose observation changed the blame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BlameSource {
    /// That of this entry.
    Own,
    /// That of another process, as heard in heartbeats.
    Peers,
}

/// How a crash of an endpoint was recognised.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashSign {
    /// A connection to it could not be established.
    ConnectionFailed,
    /// The list of endpoints names a newer incarnation, or names it no more.
    Listing,
    /// The agent beside it saw it alive, and then down or replaced.
    Agent,
}
