//! Executes the orders of the agent core to endpoints and to the weight transfer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;

use crate::clients::{EndpointAdmin, HttpClient, HttpEndpoint, JobState};
use crate::settings::{EndpointKind, EndpointSettings};
use crate::types::{AttemptId, Digest, EndpointId, Generation};
use crate::weights::{WantedVersion, WeightsService};

use super::control::EventSender;
use super::core::gate::LOAD_ORDER_TTL;
use super::core::{AgentAction, AgentEvent};

/// Wait before a cancellation is repeated that failed or did not find the attempt.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Executes orders on the traffic threads and reports their results to the control thread.
#[derive(Clone)]
pub(super) struct OrderExecutor {
    /// Runtime of the traffic threads.
    pub(super) runtime: Handle,
    /// Client for the admin API of endpoints.
    pub(super) http: HttpClient,
    /// Endpoints of the host.
    pub(super) endpoints: Arc<[EndpointSettings]>,
    /// Weight transfer of the host.
    pub(super) weights: WeightsService,
    /// Receives the results.
    pub(super) events: EventSender,
}

#[derive(Clone, Copy)]
enum JobOrder {
    Pause,
    Resume,
}

impl OrderExecutor {
    /// Executes an order; ignores actions that are not orders.
    pub(super) fn execute(&self, action: AgentAction) {
        match action {
            AgentAction::Cancel { endpoint, attempt } => self.cancel(&endpoint, attempt),
            AgentAction::Pause { attempt } => self.pause_or_resume(attempt, JobOrder::Pause),
            AgentAction::Resume { attempt } => self.pause_or_resume(attempt, JobOrder::Resume),
            AgentAction::Fetch {
                model,
                name,
                version,
            } => {
                self.weights.fetch(WantedVersion {
                    model,
                    name,
                    version,
                    hosts: None,
                });
            }
            AgentAction::Load {
                endpoint,
                version,
                fence,
            } => self.load(endpoint, version, fence),
            _ => {}
        }
    }

    /// Sends a pause or resume order to every endpoint of the host; those without the attempt
    /// ignore it.
    fn pause_or_resume(&self, attempt: AttemptId, order: JobOrder) {
        for endpoint in self.endpoints.iter() {
            let engine = HttpEndpoint::new(endpoint.address, self.http.clone());
            let attempt = attempt.clone();
            let events = self.events.clone();
            self.runtime.spawn(async move {
                // A failed call needs no report: the attempt's own stream shows whether it runs.
                let state = match order {
                    JobOrder::Pause => engine.pause(&attempt).await,
                    JobOrder::Resume => engine.resume(&attempt).await,
                };
                if state == Ok(JobState::Paused) {
                    events.send(AgentEvent::Paused { attempt });
                }
            });
        }
    }

    /// Cancels an attempt whose stream is closed, and reports when it has ended at the endpoint.
    fn cancel(&self, endpoint: &str, attempt: AttemptId) {
        let model = self.endpoints.iter().find(|e| &*e.name == endpoint);
        let model = model.filter(|e| e.kind == EndpointKind::Model);
        let Some(model) = model else {
            // A plain service has no cancel call; it notices the closed connection.
            return self.events.send(AgentEvent::Cancelled { attempt });
        };
        let engine = HttpEndpoint::new(model.address, self.http.clone());
        let events = self.events.clone();
        self.runtime.spawn(async move {
            // The request may arrive after the first cancellation, so the endpoint must report the
            // attempt as unknown twice.
            let mut was_unknown = false;
            while !events.is_closed() {
                match engine.cancel(&attempt).await {
                    Ok(JobState::Cancelled | JobState::Done) => break,
                    Ok(JobState::Unknown) if was_unknown => break,
                    Ok(JobState::Unknown) => was_unknown = true,
                    // A failed call is repeated; the probes log an endpoint that does not answer.
                    Ok(JobState::Running | JobState::Paused) | Err(_) => {}
                }
                tokio::time::sleep(CANCEL_RETRY_DELAY).await;
            }
            events.send(AgentEvent::Cancelled { attempt });
        });
    }

    /// Stages a version and loads it; reports the result of both.
    fn load(&self, endpoint: EndpointId, version: Digest, fence: Generation) {
        let Some(addr) = self.endpoint_addr(&endpoint) else {
            return;
        };
        let executor = self.clone();
        self.runtime.spawn(async move {
            let loaded = executor.stage_and_load(addr, &version, fence).await;
            executor.events.send(AgentEvent::Loaded {
                endpoint,
                version: loaded,
                fence,
            });
        });
    }

    /// Returns the version that the endpoint loaded; `None` when staging or the order failed.
    async fn stage_and_load(
        &self,
        addr: SocketAddr,
        version: &Digest,
        fence: Generation,
    ) -> Option<Digest> {
        self.weights.stage(addr, version).await.ok()?;
        let engine = HttpEndpoint::new(addr, self.http.clone());
        engine.load(version, fence, LOAD_ORDER_TTL).await.ok()
    }

    fn endpoint_addr(&self, endpoint: &str) -> Option<SocketAddr> {
        self.endpoints
            .iter()
            .find(|e| &*e.name == endpoint)
            .map(|e| e.address)
    }
}
