//! Asks an entry where a request would go. The request is in the query of the URL, as escaped JSON.

use std::net::SocketAddr;

use hyper::Method;
use percent_encoding::percent_decode_str;

use crate::dispatch::{ExplainQuery, Explanation};

use super::PlatformError;
use super::http::{HttpClient, HttpTimeouts, escape, expect_ok, parse, request};

/// Path on the status address of an entry.
pub(crate) const EXPLAIN_PATH: &str = "/explain";

/// Reads the request from the query of a URL.
///
/// # Errors
/// When it is not the JSON of an [`ExplainQuery`].
pub(crate) fn parse_query(query: &str) -> Result<ExplainQuery, serde_json::Error> {
    let json: Vec<u8> = percent_decode_str(query).collect();
    serde_json::from_slice(&json)
}

/// Returns the explanation of the entry with the status address `addr`.
///
/// # Errors
/// As [`HttpClient::send`], and `Invalid` when the answer is not an explanation.
pub async fn explain(addr: SocketAddr, query: &ExplainQuery) -> Result<Explanation, PlatformError> {
    let json = serde_json::to_string(query).map_err(|e| PlatformError::Invalid(e.to_string()))?;
    let url = format!("{EXPLAIN_PATH}?{}", escape(&json));
    let req = request(Method::GET, addr, &url, "")?;
    let client = HttpClient::without_reuse(HttpTimeouts::default());
    parse(&expect_ok(client.send(req).await?)?)
}
