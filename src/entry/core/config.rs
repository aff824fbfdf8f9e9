//! Settings of the entry's decision logic.

use std::time::{Duration, SystemTime};

use crate::routing::Policy;
use crate::types::{EntryId, InstanceId, RegionId, ZoneId};

/// Identity and limits of one entry.
#[derive(Clone, Debug)]
pub struct EntryCoreConfig {
    /// Name of the entry, as in the host list.
    pub entry: EntryId,
    /// Availability zone of the entry.
    pub zone: ZoneId,
    /// Region of the entry.
    pub region: RegionId,
    /// Region that holds the object API.
    pub store_region: RegionId,
    /// Instance of the process.
    pub instance: InstanceId,
    /// Wall clock at the start of the process, for the age of keys.
    pub wall_clock: SystemTime,
    /// How endpoints are chosen.
    pub policy: Policy,
    /// Requests that wait in the queue of one class at most.
    pub queue_len: usize,
    /// Time between two heartbeats to one agent.
    pub heartbeat_interval: Duration,
    /// Heartbeats that the entry sends in a second at most; the time between two heartbeats to one
    /// agent is stretched to keep to it.
    pub heartbeats_per_second: u32,
    /// Silence after which an agent is suspected and gets no new work.
    pub suspect_after: Duration,
    /// Fleet up to which an entry keeps a control connection to every agent.
    pub full_mesh_max_agents: usize,
    /// Entries that keep a control connection to one agent of a larger fleet.
    pub entries_per_agent: usize,
    /// Time without contact to the object API, directly or through peers, after which the entry
    /// takes no new work.
    pub isolation_after: Duration,
    /// Silence of a stream after which its answer goes on elsewhere.
    pub stall_timeout: Duration,
    /// Time after [`super::EntryEvent::Stop`] for which new requests are still served, so that the
    /// balancer can follow.
    pub stop_grace: Duration,
}

impl EntryCoreConfig {
    /// Identity with the default limits.
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
        }
    }
}
