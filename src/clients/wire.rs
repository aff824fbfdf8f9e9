//! Wire types of the clients' protocols.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::agent::core::EndpointProbe;
use crate::membership::{HostEntry, HostRole};

use super::{Change, JobState, Object, PlatformError};

/// Object in a list, or change of an object from a watch.
#[derive(Debug, Deserialize)]
pub(super) struct WireObject {
    key: String,
    version: u64,
    value: Option<String>,
}

impl From<WireObject> for Change {
    fn from(wire: WireObject) -> Self {
        Self {
            key: wire.key.into(),
            version: wire.version,
            value: wire.value.map(Into::into),
        }
    }
}

impl TryFrom<WireObject> for Object {
    type Error = PlatformError;

    fn try_from(wire: WireObject) -> Result<Self, PlatformError> {
        let value = wire
            .value
            .ok_or_else(|| PlatformError::Invalid("object without a value".to_owned()))?;
        Ok(Self {
            key: wire.key.into(),
            version: wire.version,
            value: value.into(),
        })
    }
}

/// Host in the host list.
#[derive(Debug, Deserialize)]
pub(super) struct WireHost {
    host: String,
    zone: String,
    region: String,
    role: WireRole,
    control: SocketAddr,
    traffic: SocketAddr,
    #[serde(default)]
    leaving: bool,
}

/// Role of a host in the list.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireRole {
    Entry,
    Agent,
}

impl From<WireHost> for HostEntry {
    fn from(wire: WireHost) -> Self {
        Self {
            host: wire.host.into(),
            zone: wire.zone.into(),
            region: wire.region.into(),
            role: match wire.role {
                WireRole::Entry => HostRole::Entry,
                WireRole::Agent => HostRole::Agent,
            },
            control: wire.control,
            traffic: wire.traffic,
            leaving: wire.leaving,
        }
    }
}

/// Status of an endpoint.
#[derive(Debug, Deserialize)]
pub(super) struct WireStatus {
    instance: u64,
    version: Option<String>,
    #[serde(default)]
    fence: u64,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    power_mw: u64,
}

impl From<WireStatus> for EndpointProbe {
    fn from(wire: WireStatus) -> Self {
        Self {
            instance: wire.instance,
            version: wire.version.map(Into::into),
            fence: wire.fence,
            running: wire.running.saturating_add(wire.waiting),
            power: wire.power_mw,
        }
    }
}

/// Body of the calls that cancel, pause or resume a request.
#[derive(Debug, Serialize)]
pub(super) struct WireJob<'a> {
    pub id: &'a str,
}

/// Answer to the calls that cancel, pause or resume a request.
#[derive(Debug, Deserialize)]
pub(super) struct WireJobState {
    pub state: JobState,
}

/// Order to load a staged version.
#[derive(Debug, Serialize)]
pub(super) struct WireLoad<'a> {
    pub version: &'a str,
    pub fence: u64,
}

/// Answer to a load order.
#[derive(Debug, Deserialize)]
pub(super) struct WireLoaded {
    pub version: String,
}
