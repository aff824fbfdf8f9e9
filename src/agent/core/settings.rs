//! What an agent is told of itself and of its endpoints.

use std::time::Duration;

use crate::config::ConfigParams;
use crate::settings::EndpointSettings;
use crate::types::{
    EndpointId, HostId, InstanceId, Millijoules, Milliwatts, RegionId, TargetId, ZoneId,
};

pub use crate::settings::EndpointKind;

/// Time out of touch after which new work is refused, unless the settings name another.
const ISOLATION_AFTER: Duration = Duration::from_secs(5);

/// Settings of the agent's decision logic.
#[derive(Clone, Debug)]
pub struct AgentCoreConfig {
    /// The agent's host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Region of the host.
    pub region: RegionId,
    /// Number drawn when the process started.
    pub instance: InstanceId,
    /// Endpoints of the host.
    pub endpoints: Vec<EndpointConfig>,
    /// Identity and limits for the configuration that is held.
    pub config: ConfigParams,
}

impl AgentCoreConfig {
    /// Settings of an agent without endpoints, in the region of the object API.
    pub fn new(host: HostId, zone: ZoneId, region: RegionId, instance: InstanceId) -> Self {
        let config = ConfigParams {
            name: host.clone(),
            region: region.clone(),
            store_region: region.clone(),
            isolation_after: ISOLATION_AFTER,
        };
        Self {
            host,
            zone,
            region,
            instance,
            endpoints: Vec::new(),
            config,
        }
    }
}

/// Settings of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointConfig {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Model or service that it serves.
    pub target: TargetId,
    /// Kind of the endpoint.
    pub kind: EndpointKind,
    /// Requests that it bears at once while cold.
    ///
    /// Invariant: at least 1 and at most `limit`; other values are brought into this range.
    pub cold_limit: u32,
    /// Requests that it bears at once when warm.
    pub limit: u32,
    /// Answers until which it bears no more than when cold.
    pub warm_up_answers: u32,
    /// True when it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Draw without work.
    pub idle_power_mw: Milliwatts,
    /// Energy of one token, in millijoules.
    pub millijoules_per_token: Millijoules,
}

impl From<&EndpointSettings> for EndpointConfig {
    fn from(settings: &EndpointSettings) -> Self {
        Self {
            id: settings.name.clone(),
            target: settings.target.clone(),
            kind: settings.kind,
            cold_limit: settings.cold_limit,
            limit: settings.limit,
            warm_up_answers: settings.warm_up,
            checks_fencing: settings.checks_fencing,
            idle_power_mw: settings.idle_power,
            millijoules_per_token: settings.energy_per_token,
        }
    }
}
