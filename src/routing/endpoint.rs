//! An entry's view of one endpoint.

use std::time::{Duration, Instant};

use crate::types::{Digest, EndpointId, HostId, InstanceId, TargetId};
use crate::wire::{EndpointReport, EndpointState};

use super::latency::Latency;

/// State and load of an endpoint, from its agent's reports and this entry's own requests.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Unique name.
    pub id: EndpointId,
    /// Host that runs the endpoint and its agent.
    pub host: HostId,
    /// Model or service that it serves.
    pub target: TargetId,
    /// Lifecycle state that the agent last reported.
    pub state: EndpointState,
    /// Weight version that it serves; `None` for a plain service.
    pub version: Option<Digest>,
    /// Instance id of the endpoint's process; changes with a restart.
    pub instance: InstanceId,
    /// Number of slots, as last reported: the maximum number of concurrent requests.
    pub limit: u32,
    /// In-flight and queued requests that the agent last reported; used by the least-reported
    /// policy.
    pub reported: u32,
    /// Last report of the agent.
    pub last_report: EndpointReport,
    /// Requests of this entry in flight there.
    own: u32,
    /// Requests of this entry that wait for their first token.
    pending: u32,
    /// Estimated requests of other entries.
    others: u32,
    /// True after a refusal that applies until the agent's next report.
    refused: bool,
    latency: Latency,
}

impl Endpoint {
    /// Creates an endpoint from its first report.
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

    /// Applies a report of the agent.
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

    /// Applies the agent's confirmation that its last report is still valid. This overrides any
    /// other load seen in answers or refusals since.
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

    /// Applies a load from an answer or a report.
    ///
    /// `in_flight` counts the requests of all entries, so those that this entry did not send belong
    /// to other entries.
    pub fn update_load(&mut self, in_flight: u32, limit: u32) {
        self.limit = limit;
        self.others = in_flight.saturating_sub(self.own);
    }

    /// Counts a request of this entry sent there.
    pub fn sent(&mut self) {
        self.own += 1;
        self.pending += 1;
    }

    /// Removes a request of this entry that has ended; `started` when its answer had started.
    pub fn ended(&mut self, started: bool) {
        self.own = self.own.saturating_sub(1);
        if !started {
            self.pending = self.pending.saturating_sub(1);
        }
    }

    /// Records that a request of this entry got its first token after `wait`.
    pub fn started(&mut self, now: Instant, wait: Duration) {
        self.latency.observe(now, wait);
        self.pending = self.pending.saturating_sub(1);
    }

    /// Requests of this entry that wait for their first token.
    pub fn pending(&self) -> u32 {
        self.pending
    }

    /// Records that the agent reported the endpoint as full.
    pub fn mark_full(&mut self) {
        self.others = self.limit.saturating_sub(self.own);
    }

    /// Records a refusal that applies until the agent's next report.
    pub fn mark_refusing(&mut self) {
        self.refused = true;
    }

    /// Marks the endpoint as down: the agent no longer reports it, or its process was replaced.
    pub fn mark_down(&mut self) {
        self.state = EndpointState::Down;
    }

    /// True when the agent would admit requests.
    pub fn is_serving(&self) -> bool {
        let is_up = matches!(self.state, EndpointState::Ready | EndpointState::Cold);
        is_up && self.limit > 0 && !self.refused
    }

    /// Requests of this entry that are in flight there.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Estimated number of requests in flight there, over all entries.
    pub fn in_flight(&self) -> u32 {
        self.own + self.others
    }

    /// Estimated requests in flight there per slot; above 1 while requests are queued.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight()) / f64::from(self.limit.max(1))
    }

    /// True when fewer requests are in flight than `share` (0 to 1) of the slots, rounded up.
    pub fn has_room(&self, share: f64) -> bool {
        let open = (f64::from(self.limit) * share).ceil();
        f64::from(self.in_flight()) < open
    }

    /// Estimated time to the first token in seconds; `None` when there is no recent sample.
    pub fn first_token(&self, now: Instant) -> Option<f64> {
        self.latency.current(now)
    }
}
