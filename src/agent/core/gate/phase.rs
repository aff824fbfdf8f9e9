//! Life cycle of an endpoint: down, loading, cold, ready, leaving.
//!
//! Each state is a type of its own; a transition consumes the state it starts from.

use std::time::Instant;

use crate::types::{Digest, Generation};
use crate::wire::EndpointState;

/// Serves nothing: unreachable, or without a version.
#[derive(Clone, Debug)]
pub struct Down {
    /// True when the endpoint answers probes but holds no version.
    pub reachable: bool,
    /// No load order is sent before this time.
    pub retry_at: Option<Instant>,
}

/// Drains and then switches to a version.
#[derive(Clone, Debug)]
pub struct Loading {
    /// Digest of the wanted version.
    pub version: Digest,
    /// Fencing number of the order.
    pub fence: Generation,
    /// True once the order was sent; it is sent when no request runs any more.
    pub ordered: bool,
}

/// Bears only the declared cold bound, and more on evidence.
#[derive(Clone, Debug)]
pub struct Cold {
    /// Digest of the active version; absent for a plain service.
    pub version: Option<Digest>,
}

/// Bears its full limit.
#[derive(Clone, Debug)]
pub struct Ready {
    /// Digest of the active version; absent for a plain service.
    pub version: Option<Digest>,
}

/// Ends the work that it has and takes none.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// Digest of the active version; absent for a plain service.
    pub version: Option<Digest>,
}

impl Down {
    /// State of an endpoint of which nothing is known.
    pub fn unknown() -> Self {
        Self {
            reachable: false,
            retry_at: None,
        }
    }

    /// The endpoint was seen to serve `version`.
    pub fn seen(self, version: Option<Digest>) -> Cold {
        Cold { version }
    }

    /// The endpoint is to load a version.
    pub fn load(self, version: Digest, fence: Generation) -> Loading {
        Loading {
            version,
            fence,
            ordered: false,
        }
    }
}

impl Loading {
    /// The endpoint reports the wanted version.
    pub fn loaded(self) -> Cold {
        Cold {
            version: Some(self.version),
        }
    }

    /// The order failed; the next probe tells what the endpoint holds.
    pub fn failed(self, retry_at: Instant) -> Down {
        Down {
            reachable: true,
            retry_at: Some(retry_at),
        }
    }
}

impl Cold {
    /// The endpoint bears its full limit.
    pub fn warmed(self) -> Ready {
        Ready {
            version: self.version,
        }
    }
}

impl Ready {
    /// Evidence of a restart or of a lost cache.
    pub fn cooled(self) -> Cold {
        Cold {
            version: self.version,
        }
    }
}

/// State of an endpoint.
#[derive(Clone, Debug)]
pub enum Phase {
    /// The state `Down`.
    Down(Down),
    /// The state `Loading`.
    Loading(Loading),
    /// The state `Cold`.
    Cold(Cold),
    /// The state `Ready`.
    Ready(Ready),
    /// The state `Leaving`.
    Leaving(Leaving),
}

impl Phase {
    /// Digest of the version that answers now.
    pub fn version(&self) -> Option<&Digest> {
        match self {
            Self::Down(_) | Self::Loading(_) => None,
            Self::Cold(state) => state.version.as_ref(),
            Self::Ready(state) => state.version.as_ref(),
            Self::Leaving(state) => state.version.as_ref(),
        }
    }

    /// True when new work may be admitted.
    pub fn is_serving(&self) -> bool {
        matches!(self, Self::Cold(_) | Self::Ready(_))
    }

    /// The state in the form of the control messages.
    pub fn state(&self) -> EndpointState {
        match self {
            Self::Down(_) => EndpointState::Down,
            Self::Loading(_) => EndpointState::Loading,
            Self::Cold(_) => EndpointState::Cold,
            Self::Ready(_) => EndpointState::Ready,
            Self::Leaving(_) => EndpointState::Leaving,
        }
    }
}
