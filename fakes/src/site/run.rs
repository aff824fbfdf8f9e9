//! Requests that a back end ran.

use std::time::Instant;

use bytes::Bytes;
use hyper::HeaderMap;

/// A request that a back end ran.
#[derive(Clone, Debug)]
pub struct SiteRun {
    /// Id of the request, from its `request-id` header.
    pub request_id: String,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// Path and query of the request.
    pub path: String,
    /// Time at which it began to run.
    pub begun_at: Instant,
    /// Version of the weights with which it began; `None` for a plain service.
    pub version: Option<u64>,
}
