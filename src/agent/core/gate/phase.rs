//! Life cycle of an endpoint: down, loading, cold, ready, leaving.
//!
//! Each state is a separate type; a transition consumes the state that it starts from.

use std::time::Instant;

use crate::types::{Digest, Generation};
use crate::wire::EndpointState;

/// Serves nothing: the endpoint is unreachable or has no version loaded.
#[derive(Clone, Debug)]
pub struct Down {
    /// True when the endpoint answers probes but has no version loaded.
    pub reachable: bool,
    /// Earliest time for the next load order; `None` when there is nothing to wait for.
    pub retry_at: Option<Instant>,
}

/// Drains its running attempts and then switches to a version.
#[derive(Clone, Debug)]
pub struct Loading {
    /// Digest of the version to load.
    pub version: Digest,
    /// Fencing number of the load order.
    pub fence: Generation,
    /// True once the load order was sent, which happens when no attempt runs any more.
    pub order_sent: bool,
}

/// Starts at the configured cold limit, which grows with successful answers.
#[derive(Clone, Debug)]
pub struct Cold {
    /// Digest of the active version; absent for a plain service.
    pub version: Option<Digest>,
}

/// Reached its full limit.
#[derive(Clone, Debug)]
pub struct Ready {
    /// Digest of the active version; absent for a plain service.
    pub version: Option<Digest>,
}

/// Finishes its running attempts and accepts no new ones.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// Digest of the active version; absent for a plain service.
    pub version: Option<Digest>,
}

impl Down {
    /// State of an endpoint about which nothing is known.
    pub fn unknown() -> Self {
        Self {
            reachable: false,
            retry_at: None,
        }
    }

    /// A probe reported that the endpoint serves `version`.
    pub fn serving(self, version: Option<Digest>) -> Cold {
        Cold { version }
    }

    /// A load of a version was decided; its order is not sent yet.
    pub fn start_load(self, version: Digest, fence: Generation) -> Loading {
        Loading {
            version,
            fence,
            order_sent: false,
        }
    }
}

impl Loading {
    /// The endpoint confirmed the load order.
    pub fn loaded(self) -> Cold {
        Cold {
            version: Some(self.version),
        }
    }

    /// The load order failed; the next probe shows which version the endpoint serves.
    pub fn failed(self, retry_at: Instant) -> Down {
        Down {
            reachable: true,
            retry_at: Some(retry_at),
        }
    }
}

impl Cold {
    /// The endpoint reached its full limit.
    pub fn warmed(self) -> Ready {
        Ready {
            version: self.version,
        }
    }
}

impl Ready {
    /// The endpoint restarted, lost its cache, or failed to answer.
    pub fn cooled(self) -> Cold {
        Cold {
            version: self.version,
        }
    }
}

/// Life-cycle state of an endpoint.
#[derive(Clone, Debug)]
pub enum Phase {
    /// Unreachable, or without a version.
    Down(Down),
    /// Switching to a version.
    Loading(Loading),
    /// Serving below its full limit.
    Cold(Cold),
    /// Serving at its full limit.
    Ready(Ready),
    /// Finishing its attempts before the agent stops.
    Leaving(Leaving),
}

impl Phase {
    /// Digest of the version that the endpoint serves now; `None` for a plain service too.
    pub fn version(&self) -> Option<&Digest> {
        match self {
            Self::Down(_) | Self::Loading(_) => None,
            Self::Cold(state) => state.version.as_ref(),
            Self::Ready(state) => state.version.as_ref(),
            Self::Leaving(state) => state.version.as_ref(),
        }
    }

    /// Returns true when new attempts may be admitted.
    pub fn is_serving(&self) -> bool {
        matches!(self, Self::Cold(_) | Self::Ready(_))
    }

    /// The state as control messages name it.
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
