//! Sends one attempt to an endpoint and reads the answer.

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
use crate::http::{MAX_ANSWER_HEAD_BYTES, connect, too_many_interim_answers};

use super::dialect::{AnswerHead, Dialect};

/// Timeout for opening a connection to an endpoint. A lost SYN is retransmitted only after a
/// second, so trying another endpoint is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest body of an answer that is not an event stream.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Parts of a request that are the same in every attempt.
#[derive(Clone, Debug)]
pub(super) struct OutgoingRequest {
    pub method: Method,
    pub uri: Uri,
    pub body: Bytes,
}

/// An answer whose head has been read and whose body has not.
pub(super) struct OpenedAnswer {
    pub head: response::Parts,
    /// What the dialect reads from `head`.
    pub parsed: AnswerHead,
    pub body: Incoming,
}

/// Sends the request `request_id` and waits for the head of the answer until `deadline`.
pub(super) async fn send_attempt<D: Dialect>(
    dialect: &D,
    request: &OutgoingRequest,
    headers: HeaderMap,
    assignment: &Assignment,
    request_id: &str,
    deadline: Instant,
) -> Result<OpenedAnswer, AttemptOutcome> {
    let stream = connect(assignment.addr, CONNECT_TIMEOUT)
        .await
        .map_err(|_| AttemptOutcome::NotSent)?;
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_ANSWER_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| AttemptOutcome::NotSent)?;
    // The connection closes, and the task ends, when the sender and the body are dropped.
    tokio::spawn(connection);
    let mut req = Request::new(Full::new(request.body.clone()));
    *req.method_mut() = request.method.clone();
    *req.uri_mut() = request.uri.clone();
    *req.headers_mut() = headers;
    let flooded = too_many_interim_answers(&mut req);
    let sent = tokio::select! {
        () = flooded => return Err(AttemptOutcome::Broken),
        sent = tokio::time::timeout_at(deadline.into(), sender.try_send_request(req)) => sent,
    };
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
    let parsed = dialect.parse_answer_head(&head, request_id);
    let is_foreign = !parsed.is_authentic || head.headers.contains_key(CONTENT_ENCODING);
    match (parsed.not_run || parsed.wrong_instance, is_foreign) {
        (true, _) => Err(AttemptOutcome::NotRun {
            is_full: !parsed.wrong_instance,
        }),
        (false, true) => Err(AttemptOutcome::Broken),
        (false, false) => Ok(OpenedAnswer { head, parsed, body }),
    }
}

/// Reads the whole body of an answer, until `deadline`.
pub(super) async fn read_full_body(
    body: Incoming,
    deadline: Instant,
) -> Result<Bytes, AttemptOutcome> {
    let read = Limited::new(body, MAX_ANSWER_BYTES).collect();
    match tokio::time::timeout_at(deadline.into(), read).await {
        Err(_) => Err(AttemptOutcome::Silent),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) => Err(AttemptOutcome::Broken),
    }
}
