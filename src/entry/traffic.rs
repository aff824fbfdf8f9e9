//! Request handler of the entry's traffic listener.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::http::{self, AnswerBody, BodyBudget, BodyLimits};
use crate::settings::Secret;

use super::exchange::{Exchange, ExchangeContext};
use super::request;

/// Liveness check of the load balancer: 200 while the process runs.
const LIVE_PATH: &str = "/live";
/// Readiness check of the load balancer: 200 while the entry should get requests.
const READY_PATH: &str = "/ready";
/// Metrics; requires the token.
const METRICS_PATH: &str = "/metrics";

/// Handles the requests of the traffic listener.
#[derive(Clone)]
pub(super) struct TrafficHandler {
    pub(super) cx: Arc<ExchangeContext>,
    pub(super) limits: BodyLimits,
    /// Memory for the bodies of requests.
    pub(super) bodies: BodyBudget,
    pub(super) token: Secret,
    /// Running exchanges, including those whose caller has left.
    pub(super) exchanges: TaskTracker,
    pub(super) kill: CancellationToken,
}

impl TrafficHandler {
    /// Answers one request.
    pub(super) async fn serve(self, req: Request<Incoming>) -> Response<AnswerBody> {
        match req.uri().path() {
            LIVE_PATH => empty_response(StatusCode::OK),
            READY_PATH if self.cx.control.is_ready() => empty_response(StatusCode::OK),
            READY_PATH => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            METRICS_PATH => http::metrics_response(&req, &self.token, &self.cx.metrics),
            _ => self.exchange(req).await,
        }
    }

    async fn exchange(self, req: Request<Incoming>) -> Response<AnswerBody> {
        let request = match request::read(req, self.limits, &self.bodies).await {
            Ok(request) => request,
            Err(code) => return http::refusal_response(&http::refuse_body(code)),
        };
        let (tx, rx) = oneshot::channel();
        let exchange = Exchange::new(self.cx.clone(), request, tx);
        let kill = self.kill.clone();
        self.exchanges
            .spawn(async move { kill.run_until_cancelled(exchange.run()).await });
        match rx.await {
            Ok(response) => response,
            Err(_) => cut_response(),
        }
    }
}

fn empty_response(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(http::empty());
    *response.status_mut() = status;
    response
}

/// A response whose body breaks off, for a request whose outcome this process has lost.
fn cut_response() -> Response<AnswerBody> {
    let (sender, body) = http::channel();
    drop(sender);
    Response::new(body)
}
