//! One attempt at an endpoint.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::CONTENT_ENCODING;
use hyper::http::response;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use hyper_util::rt::TokioIo;

use crate::dispatch::{Assignment, AttemptOutcome};
use crate::http::connect;

use super::dialect::{AnswerHead, Dialect};

/// Time within which an endpoint accepts a connection; a dropped opening packet is sent again only
/// after a second, so another endpoint is the better try.
const CONNECT_LIMIT: Duration = Duration::from_millis(200);
/// Largest answer that is not a stream, in bytes.
const ANSWER_LIMIT: usize = 8 << 20;

/// What is sent in every attempt of a request.
#[derive(Clone, Debug)]
pub(super) struct Outgoing {
    pub method: Method,
    pub uri: Uri,
    pub body: Bytes,
}

/// Head of an answer, with its body still to come.
pub(super) struct Opened {
    pub head: response::Parts,
    pub says: AnswerHead,
    pub body: Incoming,
}

/// Sends a request and waits for the head of the answer until `until`.
pub(super) async fn open<D: Dialect>(
    dialect: &D,
    out: &Outgoing,
    headers: HeaderMap,
    lease: &Assignment,
    name: &str,
    until: Instant,
) -> Result<Opened, AttemptOutcome> {
    let stream = connect(lease.addr, CONNECT_LIMIT)
        .await
        .map_err(|_| AttemptOutcome::NotSent)?;
    let (mut sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| AttemptOutcome::NotSent)?;
    // The task ends with the connection, which closes when the sender and the body are dropped.
    tokio::spawn(connection);
    let mut req = Request::new(Full::new(out.body.clone()));
    *req.method_mut() = out.method.clone();
    *req.uri_mut() = out.uri.clone();
    *req.headers_mut() = headers;
    let sent = tokio::time::timeout_at(until.into(), sender.try_send_request(req)).await;
    let res: Response<Incoming> = match sent {
        Err(_) => return Err(AttemptOutcome::Silent),
        Ok(Ok(res)) => res,
        Ok(Err(mut err)) => {
            return Err(match err.take_message() {
                Some(_) => AttemptOutcome::NotSent,
                None => AttemptOutcome::Broken,
            });
        }
    };
    let (head, body) = res.into_parts();
    let says = dialect.parse_answer_head(&head, name);
    let foreign = !says.is_authentic || head.headers.contains_key(CONTENT_ENCODING);
    match (says.not_run || says.wrong_instance, foreign) {
        (true, _) => Err(AttemptOutcome::NotRun {
            is_full: !says.wrong_instance,
        }),
        (false, true) => Err(AttemptOutcome::Broken),
        (false, false) => Ok(Opened { head, says, body }),
    }
}

/// Reads the whole body of an answer.
pub(super) async fn read_whole(body: Incoming, until: Instant) -> Result<Bytes, AttemptOutcome> {
    let read = Limited::new(body, ANSWER_LIMIT).collect();
    match tokio::time::timeout_at(until.into(), read).await {
        Err(_) => Err(AttemptOutcome::Silent),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) => Err(AttemptOutcome::Broken),
    }
}
