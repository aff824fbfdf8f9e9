//! Traffic listener of the entry.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::http::{self, AnswerBody, BodyLimits};
use crate::settings::Secret;
use crate::types::Refusal;

use super::exchange::{Exchange, ExchangeContext};
use super::request;

/// Address for the balancer: answers 200 while the process lives.
const LIVE_PATH: &str = "/live";
/// Address for the balancer: answers 200 while requests should come here.
const READY_PATH: &str = "/ready";
/// Address for the metrics; asks for the token.
const METRICS_PATH: &str = "/metrics";

/// What the traffic listener needs for each request.
#[derive(Clone)]
pub(super) struct Traffic {
    pub(super) cx: Arc<ExchangeContext>,
    pub(super) limits: BodyLimits,
    pub(super) token: Secret,
    /// Exchanges that run, some of them without a caller.
    pub(super) exchanges: TaskTracker,
    pub(super) kill: CancellationToken,
}

impl Traffic {
    /// Answers one request.
    pub(super) async fn serve(self, req: Request<Incoming>) -> Response<AnswerBody> {
        match req.uri().path() {
            LIVE_PATH => status(StatusCode::OK),
            READY_PATH if self.cx.control.is_ready() => status(StatusCode::OK),
            READY_PATH => status(StatusCode::SERVICE_UNAVAILABLE),
            METRICS_PATH => http::metrics(&req, &self.token, &self.cx.metrics),
            _ => self.exchange(req).await,
        }
    }

    async fn exchange(self, req: Request<Incoming>) -> Response<AnswerBody> {
        let request = match request::read(req, self.limits).await {
            Ok(request) => request,
            Err(code) => return http::refuse(&Refusal::new(code)),
        };
        let (tx, rx) = oneshot::channel();
        let exchange = Exchange::new(self.cx.clone(), request, tx);
        let kill = self.kill.clone();
        self.exchanges
            .spawn(async move { kill.run_until_cancelled(exchange.run()).await });
        match rx.await {
            Ok(response) => response,
            Err(_) => cut(),
        }
    }
}

fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(http::empty());
    *response.status_mut() = status;
    response
}

/// A response that is cut, for a request whose outcome the process can not tell any more.
fn cut() -> Response<AnswerBody> {
    let (sender, body) = http::channel();
    drop(sender);
    Response::new(body)
}
