//! Configuration of the agent core and of its endpoints.

use std::time::Duration;

use crate::config::ConfigParams;
use crate::settings::EndpointSettings;
use crate::types::{
    EndpointId, HostId, InstanceId, Millijoules, Milliwatts, RegionId, TargetId, ZoneId,
};

pub use crate::settings::EndpointKind;

/// Default time without contact that confirms the configuration after which the agent is isolated
/// and refuses new attempts.
const ISOLATION_AFTER: Duration = Duration::from_secs(5);

/// Configuration of the agent core.
#[derive(Clone, Debug)]
pub struct AgentCoreConfig {
    /// The agent's host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Region of the host.
    pub region: RegionId,
    /// Incarnation of the agent: a random number drawn when the process started.
    pub instance: InstanceId,
    /// Endpoints of the host.
    pub endpoints: Vec<EndpointConfig>,
    /// Identity and limits for the state of the distributed configuration.
    pub config: ConfigParams,
}

impl AgentCoreConfig {
    /// Configuration of an agent without endpoints, whose region is also that of the object API.
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

/// Configuration of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointConfig {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Model or service that it serves.
    pub target: TargetId,
    /// Whether it is a model engine or a plain service.
    pub kind: EndpointKind,
    /// Maximum number of concurrent requests while cold; clamped to between 1 and `limit`.
    pub cold_limit: u32,
    /// Maximum number of concurrent requests when warm.
    pub limit: u32,
    /// Number of answers for which `cold_limit` holds.
    pub warm_up_answers: u32,
    /// True when it refuses load orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Power draw without requests.
    pub idle_power_mw: Milliwatts,
    /// Energy for one token, in millijoules.
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
