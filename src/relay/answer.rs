//! Sends one attempt to an endpoint and reads the answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::CONTENT_ENCODING;
use hyper::http::response;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use hyper_util::rt::TokioIo;
use tokio::sync::Semaphore;

use crate::dispatch::AttemptOutcome;
use crate::http::{MAX_ANSWER_HEAD_BYTES, connect, is_readable_answer, too_many_interim_answers};

use super::dialect::{AnswerHead, Dialect};
use super::handle::next_data;

/// Timeout for opening a connection to an endpoint. A lost SYN is retransmitted only after a
/// second, so trying another endpoint is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest body of an answer that is not an event stream; endpoints send less than 1 KB.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Size in bytes up to which an answer is read whatever others take.
const SMALL_ANSWER_BYTES: usize = 16 * 1024;
/// Number of answers above `SMALL_ANSWER_BYTES` that are read at the same time, so that they take
/// 4 MB at most; the smallest hosts have 160 MB.
const MAX_LARGE_ANSWERS: usize = 4;

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

impl OpenedAnswer {
    /// Returns the answer if it may be forwarded, otherwise how the attempt ended.
    pub fn checked(self) -> Result<Self, AttemptOutcome> {
        let Self { head, parsed, .. } = &self;
        let is_foreign = !parsed.is_authentic
            || head.headers.contains_key(CONTENT_ENCODING)
            || !is_readable_answer(head.status, &head.headers);
        match (parsed.not_run || parsed.wrong_instance, is_foreign) {
            (true, _) => Err(AttemptOutcome::NotRun {
                is_full: !parsed.wrong_instance,
            }),
            (false, true) => Err(AttemptOutcome::Broken),
            (false, false) => Ok(self),
        }
    }
}

/// Sends the request `request_id` to an endpoint and waits for the head of the answer. `may_send` is asked
/// once the connection stands.
pub(super) async fn send_attempt<D: Dialect>(
    dialect: &D,
    request: &OutgoingRequest,
    headers: HeaderMap,
    addr: SocketAddr,
    request_id: &str,
    may_send: impl FnOnce() -> bool,
) -> Result<OpenedAnswer, AttemptOutcome> {
    let stream = connect(addr, CONNECT_TIMEOUT)
        .await
        .map_err(|_| AttemptOutcome::NotSent)?;
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_ANSWER_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| AttemptOutcome::NotSent)?;
    if !may_send() {
        return Err(AttemptOutcome::Withdrawn);
    }
    // The connection closes, and the task ends, when the sender and the body are dropped.
    tokio::spawn(connection);
    let mut req = Request::new(Full::new(request.body.clone()));
    *req.method_mut() = request.method.clone();
    *req.uri_mut() = request.uri.clone();
    *req.headers_mut() = headers;
    let flooded = too_many_interim_answers(&mut req);
    let sent = tokio::select! {
        () = flooded => return Err(AttemptOutcome::Broken),
        sent = sender.try_send_request(req) => sent,
    };
    let res: Response<Incoming> = match sent {
        Ok(res) => res,
        Err(mut err) => {
            return Err(match err.take_message() {
                Some(_) => AttemptOutcome::NotSent,
                None => AttemptOutcome::Broken,
            });
        }
    };
    let (head, body) = res.into_parts();
    let parsed = dialect.parse_answer_head(&head, request_id);
    Ok(OpenedAnswer { head, parsed, body })
}

/// Reader of the bodies of answers that are not event streams, which bounds the memory for all.
#[derive(Debug)]
pub(super) struct BodyReader {
    large: Semaphore,
}

impl Default for BodyReader {
    fn default() -> Self {
        Self {
            large: Semaphore::new(MAX_LARGE_ANSWERS),
        }
    }
}

impl BodyReader {
    /// Reads the whole body of an answer; `None` when it breaks or is too large. The bytes are
    /// copied: pieces of a few bytes would each keep the buffer that they arrived in.
    pub async fn read(&self, mut body: Incoming) -> Option<Bytes> {
        if body.size_hint().lower() > MAX_ANSWER_BYTES as u64 {
            return None;
        }
        let mut bytes = BytesMut::new();
        let mut permit = None;
        while let Some(data) = next_data(&mut body).await {
            let data = data.ok()?;
            let length = bytes.len() + data.len();
            if length > MAX_ANSWER_BYTES {
                return None;
            }
            if length > SMALL_ANSWER_BYTES && permit.is_none() {
                permit = Some(self.large.acquire().await.ok()?);
                // A buffer that grows by doubling would take twice as much.
                bytes.reserve(MAX_ANSWER_BYTES - bytes.len());
            }
            bytes.extend_from_slice(&data);
        }
        Some(bytes.freeze())
    }
}
