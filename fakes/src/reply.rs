//! Helpers to read requests and to build answers.

use std::io;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use percent_encoding::percent_decode_str;

/// Body of an answer, whole or streamed.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Result of a handler; `None` closes the connection without an answer.
pub type Reply = Option<Response<Body>>;

/// Makes a whole body of bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Answers with a status and a body.
pub fn answer(status: StatusCode, bytes: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(full_body(bytes));
    *res.status_mut() = status;
    res
}

/// Answers with status 200 and a JSON body.
pub fn json(value: &serde_json::Value) -> Response<Body> {
    answer(StatusCode::OK, value.to_string())
}

/// Reads the whole body of a request; `None` when the connection broke first.
pub async fn read_body(req: Request<Incoming>) -> Option<Bytes> {
    Some(req.into_body().collect().await.ok()?.to_bytes())
}

/// Decodes percent escapes; invalid UTF-8 is replaced.
pub fn percent_decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

/// Reads a parameter of the query; `None` when it is absent.
pub fn query_param(req: &Request<Incoming>, name: &str) -> Option<String> {
    req.uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| percent_decode(value))
}

/// Reads a numeric parameter of the query; 0 when it is absent or malformed.
pub fn query_number(req: &Request<Incoming>, name: &str) -> u64 {
    query_param(req, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or_default()
}

/// Reads a header as text; empty when it is absent or not plain text.
pub fn header<'a, T>(req: &'a Request<T>, name: &str) -> &'a str {
    req.headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
