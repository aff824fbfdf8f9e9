//! Carries out what the agent's decision logic asks of endpoints and of the weight transfer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;

use crate::clients::{EndpointAdmin, HttpClient, HttpEndpoint, JobState};
use crate::settings::{EndpointKind, EndpointSettings};
use crate::types::{AttemptId, Digest, EndpointId, Generation};
use crate::weights::{Wanted, WeightsService};

use super::control::Reports;
use super::core::gate::LOAD_ORDER_TTL;
use super::core::{AgentAction, AgentEvent};

/// Pause before a cancellation is repeated that was lost or found nothing.
const CANCEL_RETRY: Duration = Duration::from_millis(100);

/// Starts calls on the traffic threads and reports how they end.
#[derive(Clone)]
pub(super) struct Orders {
    /// Runtime of the traffic threads.
    pub(super) runtime: Handle,
    /// Client towards endpoints.
    pub(super) http: HttpClient,
    /// Endpoints of the host.
    pub(super) endpoints: Arc<[EndpointSettings]>,
    /// Weight transfer of the host.
    pub(super) weights: WeightsService,
    /// Where the ends are reported.
    pub(super) reports: Reports,
}

#[derive(Clone, Copy)]
enum JobOrder {
    Pause,
    Resume,
}

impl Orders {
    /// Carries out an order; other actions are none.
    pub(super) fn carry_out(&self, action: AgentAction) {
        match action {
            AgentAction::Cancel { endpoint, attempt } => self.cancel(&endpoint, attempt),
            AgentAction::Pause { attempt } => self.job(attempt, JobOrder::Pause),
            AgentAction::Resume { attempt } => self.job(attempt, JobOrder::Resume),
            AgentAction::Fetch {
                model,
                name,
                version,
            } => {
                self.weights.fetch(Wanted {
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

    /// The order goes to every model engine of the host; one that does not know the attempt
    /// ignores it.
    fn job(&self, attempt: AttemptId, order: JobOrder) {
        for endpoint in self.endpoints.iter() {
            let engine = HttpEndpoint::new(endpoint.address, self.http.clone());
            let attempt = attempt.clone();
            let reports = self.reports.clone();
            self.runtime.spawn(async move {
                // A lost order shows in the attempt's own stream.
                let state = match order {
                    JobOrder::Pause => engine.pause(&attempt).await,
                    JobOrder::Resume => engine.resume(&attempt).await,
                };
                if state == Ok(JobState::Paused) {
                    reports.event(AgentEvent::Paused { attempt });
                }
            });
        }
    }

    /// Cancels an attempt whose stream is closed, and reports when it has left the endpoint.
    fn cancel(&self, endpoint: &str, attempt: AttemptId) {
        let model = self.endpoints.iter().find(|e| &*e.name == endpoint);
        let model = model.filter(|e| e.kind == EndpointKind::Model);
        let Some(model) = model else {
            // A plain service is told by the closed connection alone.
            return self.reports.event(AgentEvent::Cancelled { attempt });
        };
        let engine = HttpEndpoint::new(model.address, self.http.clone());
        let reports = self.reports.clone();
        self.runtime.spawn(async move {
            // The request may arrive after the first cancellation, so one miss proves nothing.
            let mut missed = false;
            while !reports.is_closed() {
                match engine.cancel(&attempt).await {
                    Ok(JobState::Cancelled | JobState::Done) => break,
                    Ok(JobState::Unknown) if missed => break,
                    Ok(JobState::Unknown) => missed = true,
                    // A lost call is repeated; the probes log an endpoint that does not answer.
                    Ok(JobState::Running | JobState::Paused) | Err(_) => {}
                }
                tokio::time::sleep(CANCEL_RETRY).await;
            }
            reports.event(AgentEvent::Cancelled { attempt });
        });
    }

    fn load(&self, endpoint: EndpointId, version: Digest, fence: Generation) {
        let Some(addr) = self.addr(&endpoint) else {
            return;
        };
        let orders = self.clone();
        self.runtime.spawn(async move {
            let loaded = orders.stage_and_load(addr, &version, fence).await;
            orders.reports.event(AgentEvent::Loaded {
                endpoint,
                version: loaded,
                fence,
            });
        });
    }

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

    fn addr(&self, endpoint: &str) -> Option<SocketAddr> {
        self.endpoints
            .iter()
            .find(|e| &*e.name == endpoint)
            .map(|e| e.address)
    }
}
