//! What an entry knows of one endpoint.

use crate::types::{Digest, EndpointId, HostId, InstanceId, TargetId};
use crate::wire::{EndpointReport, EndpointState};

/// State and load of an endpoint, as reported by its agent and as counted here.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Host of the endpoint and of its agent.
    pub host: HostId,
    /// Model or service that it serves.
    pub target: TargetId,
    /// Life cycle as the agent reported it.
    pub state: EndpointState,
    /// Version that it serves; absent for a plain service.
    pub version: Option<Digest>,
    /// Instance of the endpoint's process.
    pub instance: InstanceId,
    /// Requests that it bears at once.
    pub limit: u32,
    /// Requests of this entry that are in flight there; exact.
    pub own: u32,
    /// Estimate of the requests of other entries that are in flight there.
    pub others: u32,
}

impl Endpoint {
    /// An endpoint that was reported for the first time.
    pub fn new(host: HostId, report: &EndpointReport) -> Self {
        let mut endpoint = Self {
            id: report.endpoint.as_str().into(),
            host,
            target: "".into(),
            state: report.state,
            version: None,
            instance: report.instance,
            limit: 0,
            own: 0,
            others: 0,
        };
        endpoint.report(report);
        endpoint
    }

    /// Takes in a report of the agent.
    pub fn report(&mut self, report: &EndpointReport) {
        self.target = report.target.as_deref().unwrap_or_default().into();
        self.state = report.state;
        self.version = report.version.as_deref().map(Into::into);
        self.instance = report.instance;
        self.load_seen(report.in_flight + report.queued, report.limit);
    }

    /// Takes in a load that rode on an answer or a report.
    pub fn load_seen(&mut self, in_flight: u32, limit: u32) {
        self.limit = limit;
        self.others = in_flight.saturating_sub(self.own);
    }

    /// True when the agent would admit work.
    pub fn is_serving(&self) -> bool {
        matches!(self.state, EndpointState::Ready | EndpointState::Cold) && self.limit > 0
    }

    /// True when a place is free as far as this entry knows.
    pub fn has_room(&self) -> bool {
        self.own + self.others < self.limit
    }

    /// Share of the places that are taken.
    pub fn load(&self) -> f64 {
        f64::from(self.own + self.others) / f64::from(self.limit.max(1))
    }
}
