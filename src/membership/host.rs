//! Lines of the platform's host list.

use std::net::SocketAddr;

use crate::types::{HostId, RegionId, ZoneId};

/// Role of a host in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostRole {
    /// Runs an entry.
    Entry,
    /// Runs an agent beside one or more endpoints.
    Agent,
}

/// One line of the platform's host list, which may be out of date.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostEntry {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Region of the availability zone.
    pub region: RegionId,
    /// Role of the host.
    pub role: HostRole,
    /// Address at which the host's entry or agent accepts control connections.
    pub control: SocketAddr,
    /// Address at which the host's entry or agent accepts requests.
    pub traffic: SocketAddr,
    /// True when the platform has announced that the host will leave.
    pub leaving: bool,
}
