//! Notices of the dispatcher for the log.

use std::sync::Arc;
use std::time::Duration;

use crate::delivery::BlameChange;
use crate::types::{EndpointId, InstanceId};

use super::statement::StatementSource;

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
    /// Another limit of an endpoint is in force.
    LimitChanged {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Incarnation that named the limit, or names none any more.
        incarnation: InstanceId,
        /// Requests per second from all entries together; `None` when the limit is lifted.
        limit: Option<f64>,
        /// Where this entry learned of it.
        source: StatementSource,
        /// Number of entries that share the limit.
        entries: u32,
    },
    /// An endpoint names a limit that can't be read.
    LimitInvalid {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// What it names.
        text: Arc<str>,
        /// Where this entry learned of it.
        source: StatementSource,
    },
    /// An endpoint asks this entry for rest.
    RestBegan {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Incarnation that asked.
        incarnation: InstanceId,
        /// Time for which it asked.
        named: Duration,
        /// Time for which it gets no request.
        kept: Duration,
    },
    /// A rest is over.
    RestEnded {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Incarnation that had asked.
        incarnation: InstanceId,
        /// Number of answers that had asked for it.
        answers: u32,
    },
    /// An endpoint asks for a rest that can't be read.
    RestInvalid {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// What it names.
        text: Arc<str>,
    },
    /// An endpoint has announced that it leaves.
    LeavingAnnounced {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Incarnation that leaves.
        incarnation: InstanceId,
        /// Where this entry learned of it.
        source: StatementSource,
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
