//! Small helpers to read requests and to build answers.

use std::io;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use percent_encoding::percent_decode_str;

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Outcome of a handler; `None` closes the connection without an answer.
pub type Reply = Option<Response<Body>>;

/// Turns bytes into a body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Answers with a status and a body.
pub fn answer(status: StatusCode, bytes: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(full(bytes));
    *res.status_mut() = status;
    res
}

/// Answers with status 200 and a JSON body.
pub fn json(value: &serde_json::Value) -> Response<Body> {
    answer(StatusCode::OK, value.to_string())
}

/// Reads a whole body; `None` when the connection broke.
pub async fn read(req: Request<Incoming>) -> Option<Bytes> {
    Some(req.into_body().collect().await.ok()?.to_bytes())
}

/// Undoes percent escapes.
pub fn unescape(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

/// Reads one parameter of a query.
pub fn query(req: &Request<Incoming>, name: &str) -> Option<String> {
    req.uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| unescape(value))
}

/// Reads a numeric parameter of a query; 0 when it is absent.
pub fn query_number(req: &Request<Incoming>, name: &str) -> u64 {
    query(req, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or_default()
}

/// Reads a header as text; empty when it is absent.
pub fn header<'a, T>(req: &'a Request<T>, name: &str) -> &'a str {
    req.headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
