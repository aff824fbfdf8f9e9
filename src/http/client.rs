//! HTTP client for requests to agents and endpoints.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::MAX_ANSWER_HEAD_BYTES;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an unused connection is closed; shorter than the listeners' own timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP client that never retries a request by itself.
pub type TrafficClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client with its own connection pool, for servers of this project.
pub fn traffic_client() -> TrafficClient {
    client(usize::MAX)
}

/// Creates a client that opens a connection for each request, for endpoints. What one sends late or
/// twice on a kept connection would be taken for the answer to the next request.
pub fn endpoint_client() -> TrafficClient {
    client(0)
}

fn client(max_idle_connections: usize) -> TrafficClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle_connections)
        .retry_canceled_requests(false)
        .http1_max_buf_size(MAX_ANSWER_HEAD_BYTES)
        .build(connector)
}
