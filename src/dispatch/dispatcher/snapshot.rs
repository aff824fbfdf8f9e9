//! State of the dispatcher for dumps and metrics.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::dispatch::endpoint::Endpoint;
use crate::types::{EndpointId, TargetId, ZoneId};

use super::{Dispatcher, names};

/// State for dumps and metrics.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Snapshot {
    /// Version of the configuration in force; 0 before the first.
    #[serde(rename = "desired")]
    pub configuration: u64,
    /// Number of entries that share the fleet.
    pub entries: u32,
    /// Number of admitted requests that have not ended.
    pub requests: usize,
    /// Number of requests that wait for an endpoint.
    pub waiting: usize,
    /// Share of the requests for each target of engines, by the priority of their route, that may leave the zone of
    /// this entry, from 0 to 1.
    pub zone_shares: BTreeMap<TargetId, BTreeMap<u8, f64>>,
    /// Endpoints on the list.
    pub endpoints: Vec<EndpointView>,
    /// Number of requests and prompt parts with crashes.
    pub suspects: usize,
    /// What is blamed for crashes, as `part ID` or `request DIGEST`; those of one item together.
    pub blamed: Vec<Vec<String>>,
}

/// State of one endpoint in a dump.
#[derive(Clone, Debug, serde::Serialize)]
pub struct EndpointView {
    /// Unique name.
    pub id: EndpointId,
    /// Model or service that it serves.
    pub target: TargetId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Estimated number of requests running or queued there.
    pub in_system: u32,
    /// Number of requests of this entry that are there.
    pub own: u32,
    /// True when this entry prefers it, so that its agent reports each change of its load.
    pub is_preferred: bool,
    /// Age of the last load report in milliseconds.
    pub load_age_ms: Option<u64>,
    /// Weight version of its first model; `None` when it holds no model.
    pub version: Option<u64>,
    /// True once it is shutting down.
    pub is_leaving: bool,
    /// Moving average of the share of failed attempts, from 0 to 1.
    pub failing: f64,
    /// Requests per second that it takes from all entries together; `None` without a limit.
    pub limit: Option<f64>,
    /// Time left in milliseconds in which it wants no request of this entry; `None` when it has not asked for
    /// rest.
    pub rest_ms: Option<u64>,
}

impl Dispatcher {
    /// State for dumps and metrics.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let view = |e: &Endpoint| EndpointView {
            id: e.listed.id.clone(),
            target: e.listed.target.clone(),
            zone: e.listed.zone.clone(),
            in_system: e.in_system(now, self.entries),
            own: e.occupancy.own(),
            is_preferred: self.fleet.is_preferred(&e.listed.id),
            load_age_ms: e.load_age(now).map(|age| age.as_millis() as u64),
            version: e.version(None),
            is_leaving: self.fleet.leaving.contains(&e.key()),
            failing: e.health.failing(),
            limit: e.limit.rate(now),
            rest_ms: self
                .fleet
                .rests
                .until(now, &e.key())
                .map(|until| until.saturating_duration_since(now).as_millis() as u64),
        };
        let mut zone_shares: BTreeMap<TargetId, BTreeMap<u8, f64>> = BTreeMap::new();
        for ((target, priority), demand) in &self.zone_demands {
            let shares = zone_shares.entry(target.clone()).or_default();
            shares.insert(*priority, demand.share());
        }
        Snapshot {
            configuration: self
                .configuration
                .as_ref()
                .map_or(0, |configuration| configuration.version),
            entries: self.entries,
            requests: self.requests.len(),
            waiting: self.queue.len(),
            zone_shares,
            endpoints: self.fleet.endpoints().map(view).collect(),
            suspects: self.suspects.len(),
            blamed: self.suspects.blamed().map(names).collect(),
        }
    }
}
