//! What requests and answers look like on the wire.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::http::{request, response};
use hyper::{Request, Response};

use crate::codes::Code;
use crate::dispatch::{Assignment, CallerRequest};
use crate::http::AnswerBody;
use crate::types::Refusal;

/// What the head of a caller's request says.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The request; its fingerprint is filled in once the body is known.
    pub req: CallerRequest,
    /// Event after which the caller wants the stream to go on.
    pub last_event_id: Option<u64>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerHead {
    /// True when the endpoint says that it has not run the request.
    pub not_run: bool,
    /// True when another endpoint has the address.
    pub wrong_instance: bool,
    /// False when the answer belongs to another request, or its bytes are not the endpoint's own.
    pub is_authentic: bool,
    /// Version of the weights that began the answer.
    pub version: Option<u64>,
}

/// Where a stream goes on at another endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ResumePoint {
    /// Last event that the caller has.
    pub last_event_id: Option<u64>,
    /// Version of the weights that the rest must come from.
    pub version: Option<u64>,
}

/// What requests and answers look like on the wire.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// The code of the refusal when the head is malformed.
    fn parse_request_head(&self, head: &request::Parts) -> Result<RequestHead, Code>;

    /// Headers of an attempt, from those of the caller. `left` is the time that the caller waits.
    fn attempt_headers(
        &self,
        caller: &HeaderMap,
        lease: &Assignment,
        left: Duration,
        resume: ResumePoint,
    ) -> HeaderMap;

    /// Reads the head of an endpoint's answer to the request called `name`.
    fn parse_answer_head(&self, head: &response::Parts, name: &str) -> AnswerHead;

    /// Headers of an answer as the caller gets them.
    fn answer_headers(&self, endpoint: &HeaderMap) -> HeaderMap;

    /// The answer that tells a caller of a refusal.
    fn refusal_response(&self, name: Option<&Arc<str>>, refusal: &Refusal) -> Response<AnswerBody>;

    /// Answers a request that is no caller's work, such as a check by a balancer.
    fn local_answer<B>(&self, req: &Request<B>) -> Option<Response<AnswerBody>>;
}
