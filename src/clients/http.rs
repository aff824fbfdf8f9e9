//! HTTP client with timeouts and a size limit, shared by the other clients.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use tokio::sync::Semaphore;

use crate::http::{
    MAX_ANSWER_HEAD_BYTES, collect_arriving, collect_bounded, is_readable_answer,
    too_many_interim_answers,
};

use super::PlatformError;

/// Largest answer that is read by default. It fits the largest object with its JSON escapes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Large answers that are read at the same time by [`HttpClient::send_large`].
const MAX_LARGE_ANSWERS: usize = 1;
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle time after which TCP keepalive probes a connection. The kernel accepts whole seconds only.
pub(super) const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two keepalive probes. The kernel accepts whole seconds only, and at least one.
pub(super) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 1;
/// Time after which a connection with unacknowledged data is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Characters that are percent-encoded in a path.
const PATH_ESCAPES: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// Timeouts of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpTimeouts {
    /// Timeout for opening a connection.
    pub connect: Duration,
    /// Timeout for the whole call.
    pub total: Duration,
}

impl Default for HttpTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            total: Duration::from_secs(2),
        }
    }
}

/// Timeouts of an answer whose body may take long on a busy link. They bound a sender that stalls
/// as well as one that sends a byte now and then.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ArrivalTimeouts {
    /// Timeout for the head, from the start of the call.
    pub head: Duration,
    /// Longest time between two parts of the body.
    pub idle: Duration,
    /// Timeout for the whole body, from the arrival of the head.
    pub body: Duration,
}

/// Time at which the head of an answer arrived that [`HttpClient::send_large`] has read; an extension of
/// that answer.
#[derive(Clone, Copy, Debug)]
pub struct HeadArrival(pub Instant);

/// HTTP client that pools connections; clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeouts: HttpTimeouts,
    max_answer_bytes: usize,
    /// Permits for large answers that arrive slowly.
    large: Arc<Semaphore>,
}

impl HttpClient {
    /// Creates a client with the given timeouts.
    pub fn new(timeouts: HttpTimeouts) -> Self {
        Self::with_pool(timeouts, usize::MAX)
    }

    /// Creates a client that opens a connection for each call, so that nothing that is sent late or
    /// twice on a connection is taken for the answer to another call.
    pub fn without_reuse(timeouts: HttpTimeouts) -> Self {
        Self::with_pool(timeouts, 0)
    }

    /// Creates a client with a pool of its own, which holds no connection yet. Limits on what is read at
    /// the same time stay shared.
    pub fn with_new_connections(&self) -> Self {
        Self {
            client: pooled_client(self.timeouts.connect, usize::MAX),
            ..self.clone()
        }
    }

    fn with_pool(timeouts: HttpTimeouts, max_idle_connections: usize) -> Self {
        Self {
            client: pooled_client(timeouts.connect, max_idle_connections),
            timeouts,
            max_answer_bytes: MAX_ANSWER_BYTES,
            large: Arc::new(Semaphore::new(MAX_LARGE_ANSWERS)),
        }
    }

    /// Replaces the size of the largest answer that is read; a larger one counts as lost.
    pub fn with_max_answer(self, bytes: usize) -> Self {
        Self {
            max_answer_bytes: bytes,
            ..self
        }
    }

    /// Sends a request and reads the whole answer, whatever its status.
    ///
    /// # Errors
    /// `Refused` when no connection could be opened, `Lost` when the call failed or timed out
    /// later.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Bytes>, PlatformError> {
        self.send_within(req, self.timeouts.total).await
    }

    /// Like [`HttpClient::send`], with another timeout for the whole call.
    ///
    /// # Errors
    /// As [`HttpClient::send`].
    pub async fn send_within(
        &self,
        req: Request<Full<Bytes>>,
        total: Duration,
    ) -> Result<Response<Bytes>, PlatformError> {
        tokio::time::timeout(total, self.exchange(req))
            .await
            .unwrap_or_else(|_| Err(PlatformError::Lost(format!("no answer in {total:?}"))))
    }

    /// Like [`HttpClient::send`], for an answer that may take long to arrive.
    ///
    /// # Errors
    /// As [`HttpClient::send`], and `Unanswered` when the head does not arrive in time.
    pub async fn send_large(
        &self,
        req: Request<Full<Bytes>>,
        timeouts: ArrivalTimeouts,
    ) -> Result<Response<Bytes>, PlatformError> {
        let ArrivalTimeouts { head, idle, body } = timeouts;
        let res = tokio::time::timeout(head, self.open(req))
            .await
            .unwrap_or(Err(PlatformError::Unanswered(head)))?;
        let (mut parts, incoming) = res.into_parts();
        parts.extensions.insert(HeadArrival(Instant::now()));
        let collected = collect_arriving(incoming, self.max_answer_bytes, idle, &self.large);
        let body = tokio::time::timeout(body, collected)
            .await
            .map_err(|_| PlatformError::Lost(format!("the body takes longer than {body:?}")))?
            .map_err(|e| PlatformError::Lost(e.to_string()))?;
        Ok(Response::from_parts(parts, body))
    }

    /// Timeout for a whole call.
    pub fn total_timeout(&self) -> Duration {
        self.timeouts.total
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<Response<Bytes>, PlatformError> {
        let (parts, body) = self.open(req).await?.into_parts();
        let body = collect_bounded(body, self.max_answer_bytes)
            .await
            .map_err(|e| PlatformError::Lost(e.to_string()))?;
        Ok(Response::from_parts(parts, body))
    }

    /// Sends a request and waits for the head of the answer.
    async fn open(
        &self,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, PlatformError> {
        let flooded = too_many_interim_answers(&mut req);
        let res = tokio::select! {
            () = flooded => return Err(PlatformError::Lost("interim answers only".into())),
            res = self.client.request(req) => res,
        };
        let res = res.map_err(|e| {
            if e.is_connect() {
                PlatformError::Refused(e.to_string())
            } else {
                PlatformError::Lost(e.to_string())
            }
        })?;
        match is_readable_answer(res.status(), res.headers()) {
            true => Ok(res),
            false => Err(PlatformError::Lost(format!(
                "status {} or its transfer coding is not known",
                res.status().as_str()
            ))),
        }
    }
}

/// Creates a client that detects a dead network path within seconds.
fn pooled_client(
    connect_timeout: Duration,
    max_idle_connections: usize,
) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    // With these a network path that drops packets is detected within seconds, not only at the
    // timeout of a long poll.
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle_connections)
        .http1_max_buf_size(MAX_ANSWER_HEAD_BYTES)
        .build(connector)
}

/// Builds a request for `path_and_query` at `addr`.
pub(super) fn request(
    method: Method,
    addr: SocketAddr,
    path_and_query: &str,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, PlatformError> {
    Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path_and_query}"))
        .body(Full::new(body.into()))
        .map_err(|e| PlatformError::Refused(e.to_string()))
}

/// Percent-encodes a name for use in a path or a query.
pub(crate) fn escape(name: &str) -> String {
    utf8_percent_encode(name, PATH_ESCAPES).to_string()
}

/// Returns an answer with status 200 and turns any other into an error.
pub(crate) fn expect_ok(res: Response<Bytes>) -> Result<Response<Bytes>, PlatformError> {
    match res.status() {
        StatusCode::OK => Ok(res),
        StatusCode::NOT_FOUND => Err(PlatformError::Missing),
        status @ (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {
            Err(PlatformError::Refused(status.to_string()))
        }
        status => Err(PlatformError::Invalid(status.to_string())),
    }
}

/// Parses the body of an answer as JSON.
pub(super) fn parse<T: serde::de::DeserializeOwned>(
    res: &Response<Bytes>,
) -> Result<T, PlatformError> {
    serde_json::from_slice(res.body()).map_err(|e| PlatformError::Invalid(e.to_string()))
}
