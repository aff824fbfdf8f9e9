//! Settings of the entry's decision logic.

use std::time::{Duration, SystemTime};

use crate::routing::Policy;
use crate::types::{EntryId, InstanceId, RegionId, ZoneId};

/// Identity and limits of one entry.
#[derive(Clone, Debug)]
pub struct EntryCoreConfig {
    /// Name of the entry in the host list.
    pub entry: EntryId,
    /// Availability zone of the entry.
    pub zone: ZoneId,
    /// Region of the entry.
    pub region: RegionId,
    /// Region that hosts the object API.
    pub store_region: RegionId,
    /// Instance id of the process.
    pub instance: InstanceId,
    /// Wall-clock time at the start of the process, used for the age of idempotency keys.
    pub wall_clock: SystemTime,
    /// Routing policy.
    pub policy: Policy,
    /// Maximum number of queued requests per class.
    pub queue_len: usize,
    /// Time between two heartbeats to one agent.
    pub heartbeat_interval: Duration,
    /// Maximum number of heartbeats that the entry sends per second. With many agents, the interval
    /// between two heartbeats to one agent grows accordingly.
    pub heartbeats_per_second: u32,
    /// Silence after which an agent is suspected to have failed and gets no new requests.
    pub suspect_after: Duration,
    /// Largest number of agents for which every entry keeps a control connection to every agent.
    pub full_mesh_max_agents: usize,
    /// Number of entries that keep a control connection to each agent when there are more agents.
    pub entries_per_agent: usize,
    /// Time without contact to the object API, directly or through peers, after which the entry
    /// accepts no new requests.
    pub isolation_after: Duration,
    /// Time without data after which a stream is continued at another endpoint.
    pub stall_timeout: Duration,
    /// Time after [`super::EntryEvent::Stop`] for which new requests are still accepted, so that
    /// the load balancer has time to notice that the entry is not ready.
    pub stop_grace: Duration,
    /// Time after [`super::EntryEvent::Stop`] by which every request is answered, except keyed ones in
    /// progress, whose outcome is kept.
    pub stop_answer_time: Duration,
}

impl EntryCoreConfig {
    /// A configuration with default limits.
    pub fn new(entry: EntryId, zone: ZoneId, region: RegionId, instance: InstanceId) -> Self {
        Self {
            entry,
            zone,
            store_region: region.clone(),
            region,
            instance,
            wall_clock: SystemTime::now(),
            policy: Policy::Adaptive,
            queue_len: 1_000,
            heartbeat_interval: Duration::from_secs(1),
            heartbeats_per_second: 26,
            suspect_after: Duration::from_millis(2_500),
            full_mesh_max_agents: 40,
            entries_per_agent: 2,
            isolation_after: Duration::from_secs(5),
            stall_timeout: Duration::from_secs(2),
            stop_grace: Duration::from_secs(3),
            stop_answer_time: Duration::from_secs(59),
        }
    }
}
