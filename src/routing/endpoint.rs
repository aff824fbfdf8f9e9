//! What an entry knows of one endpoint.

use std::time::{Duration, Instant};

use crate::types::{Digest, EndpointId, HostId, InstanceId, TargetId};
use crate::wire::{EndpointReport, EndpointState};

use super::latency::Latency;

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
    /// Requests that the agent last reported; the baseline policy goes by it.
    pub reported: u32,
    /// Last report of the agent.
    pub last_report: EndpointReport,
    /// Requests of this entry.
    own: u32,
    /// Requests of this entry that wait for their first token.
    pending: u32,
    /// Estimate of the requests of other entries.
    others: u32,
    /// True after a refusal that holds until the agent's next report.
    refused: bool,
    latency: Latency,
}

impl Endpoint {
    /// An endpoint that was reported for the first time.
    pub fn new(now: Instant, host: HostId, report: &EndpointReport) -> Self {
        let mut endpoint = Self {
            id: report.endpoint.as_str().into(),
            host: host.clone(),
            target: "".into(),
            state: report.state,
            version: None,
            instance: report.instance,
            limit: 0,
            reported: 0,
            last_report: report.clone(),
            own: 0,
            pending: 0,
            others: 0,
            refused: false,
            latency: Latency::default(),
        };
        endpoint.report(now, host, report);
        endpoint
    }

    /// Takes in a report of the agent.
    pub fn report(&mut self, now: Instant, host: HostId, report: &EndpointReport) {
        if self.instance != report.instance {
            self.latency.reset();
        }
        self.host = host;
        self.last_report = report.clone();
        self.target = report.target.as_deref().unwrap_or_default().into();
        self.state = report.state;
        self.version = report.version.as_deref().map(Into::into);
        self.instance = report.instance;
        self.refused = false;
        let first_token = Duration::from_millis(u64::from(report.first_token_ms));
        self.latency.report(now, first_token);
        self.reported = report.in_flight + report.queued;
        self.update_load(self.reported, report.limit);
    }

    /// The agent says that its last report still holds, also where answers or refusals have shown
    /// another load since.
    pub fn confirm_report(&mut self) {
        let EndpointReport {
            in_flight,
            queued,
            limit,
            ..
        } = self.last_report;
        self.refused = false;
        self.update_load(in_flight + queued, limit);
    }

    /// Takes in a load that rode on an answer or a report.
    ///
    /// The agent counts exactly, so what is not this entry's own work is that of others.
    pub fn update_load(&mut self, in_flight: u32, limit: u32) {
        self.limit = limit;
        self.others = in_flight.saturating_sub(self.own);
    }

    /// A request of this entry was sent there.
    pub fn sent(&mut self) {
        self.own += 1;
        self.pending += 1;
    }

    /// A request of this entry has ended there; `started` when its answer had started.
    pub fn ended(&mut self, started: bool) {
        self.own = self.own.saturating_sub(1);
        if !started {
            self.pending = self.pending.saturating_sub(1);
        }
    }

    /// A request of this entry got its first token after `wait`.
    pub fn started(&mut self, now: Instant, wait: Duration) {
        self.latency.observe(now, wait);
        self.pending = self.pending.saturating_sub(1);
    }

    /// Requests of this entry that wait for their first token.
    pub fn pending(&self) -> u32 {
        self.pending
    }

    /// The agent said that the endpoint holds as much as it bears.
    pub fn mark_full(&mut self) {
        self.others = self.limit.saturating_sub(self.own);
    }

    /// The agent refused for a reason that holds until its next report.
    pub fn mark_refusing(&mut self) {
        self.refused = true;
    }

    /// The agent no longer reports the endpoint, or its process is another.
    pub fn mark_down(&mut self) {
        self.state = EndpointState::Down;
    }

    /// True when the agent would admit work.
    pub fn is_serving(&self) -> bool {
        let open = matches!(self.state, EndpointState::Ready | EndpointState::Cold);
        open && self.limit > 0 && !self.refused
    }

    /// Requests of this entry that are in flight there.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Requests that are in flight there as far as this entry knows.
    pub fn in_flight(&self) -> u32 {
        self.own + self.others
    }

    /// Share of its places that are taken.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight()) / f64::from(self.limit.max(1))
    }

    /// True when a place is free, with `share` of the places open to new work.
    pub fn has_room(&self, share: f64) -> bool {
        let open = (f64::from(self.limit) * share).ceil();
        f64::from(self.in_flight()) < open
    }

    /// Believed time to the first token in seconds; `None` when it is not known.
    pub fn first_token(&self, now: Instant) -> Option<f64> {
        self.latency.believed(now)
    }
}
