//! Traffic listener of the agent: handles attempts from entries, serves chunks to other agents and
//! exposes the metrics.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::codes::Code;
use crate::http::{self, AnswerBody, BodyBudget, BodyLimits};
use crate::settings::Secret;
use crate::types::Refusal;
use crate::weights::WeightsService;

use super::attempt::{self, AttemptContext};
use super::offer::{self, OfferedRequest};

/// Path prefix of requests for chunks.
const WEIGHTS_PATH: &str = "/weights/";
/// Path of the metrics; requires the token.
const METRICS_PATH: &str = "/metrics";

/// Shared state of the traffic listener.
#[derive(Clone)]
pub(super) struct Traffic {
    pub(super) cx: Arc<AttemptContext>,
    pub(super) limits: BodyLimits,
    /// Memory for the bodies of requests.
    pub(super) bodies: BodyBudget,
    pub(super) token: Secret,
    pub(super) weights: WeightsService,
    /// Keyed attempts, which continue when their entry disconnects.
    pub(super) attempts: TaskTracker,
    pub(super) kill: CancellationToken,
}

impl Traffic {
    /// Handles one request.
    pub(super) async fn serve(self, req: Request<Incoming>) -> Response<AnswerBody> {
        if req.uri().path().starts_with(WEIGHTS_PATH) {
            return self.serve_weights(req).await;
        }
        if req.uri().path() == METRICS_PATH {
            return http::metrics_response(&req, &self.token, &self.cx.metrics);
        }
        match offer::read(req, self.limits, &self.bodies).await {
            Ok(request) if request.offer.key.is_some() => self.run_detached(request).await,
            Ok(request) => attempt::run(&self.cx, request).await,
            Err(code) => http::refusal_response(&http::refuse_body(code)),
        }
    }

    async fn serve_weights(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        let response = match self.weights.serve(req).await {
            Ok(response) => response,
            Err(never) => match never {},
        };
        response.map(|body| body.map_err(|never| match never {}).boxed())
    }

    /// Runs a keyed attempt to its end, also when its entry disconnects. Only the kill signal stops
    /// it early.
    async fn run_detached(self, request: OfferedRequest) -> Response<AnswerBody> {
        let cx = self.cx.clone();
        let kill = self.kill.clone();
        let run = async move { kill.run_until_cancelled(attempt::run(&cx, request)).await };
        match self.attempts.spawn(run).await {
            Ok(Some(response)) => response,
            Ok(None) | Err(_) => http::refusal_response(&Refusal::new(Code::OutcomeUnknown)),
        }
    }
}
