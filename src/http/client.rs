//! HTTP client for requests to agents and endpoints.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an unused connection is closed; shorter than the listeners' own timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP client that never retries a request by itself.
pub type TrafficClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client with its own connection pool.
pub fn traffic_client() -> TrafficClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .retry_canceled_requests(false)
        .build(connector)
}
