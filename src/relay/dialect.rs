//! Interface between the relay and the wire format of requests and answers.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::http::{request, response};
use hyper::{Request, Response};

use crate::codes::Code;
use crate::dispatch::{Assignment, CallerRequest, Statement};
use crate::http::AnswerBody;
use crate::types::Refusal;

/// Parsed head of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The request; its fingerprint is 0 until the body has been read.
    pub req: CallerRequest,
    /// Number of the event after which the caller wants to resume the stream.
    pub last_event_id: Option<u64>,
}

/// Parsed head of an endpoint's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerHead {
    /// True when the endpoint reports that it has not run the request.
    pub not_run: bool,
    /// True when another endpoint than the intended one answered at the address.
    pub wrong_instance: bool,
    /// False when the answer belongs to another request or was not produced by the endpoint.
    pub is_authentic: bool,
    /// Version of the weights with which the answer started.
    pub version: Option<u64>,
    /// What the endpoint says of itself; nothing when another one answered.
    pub statement: Option<Statement>,
}

/// Point from which an endpoint continues a stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ResumePoint {
    /// Number of the last event that the caller has received.
    pub last_event_id: Option<u64>,
    /// Version of the weights that must produce the rest.
    pub version: Option<u64>,
}

/// Wire format of requests and answers.
pub trait Dialect: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the code of the refusal when the head is malformed.
    fn parse_request_head(&self, head: &request::Parts) -> Result<RequestHead, Code>;

    /// Id of a caller's request; `None` where its head names none.
    fn request_id(&self, headers: &HeaderMap) -> Option<Arc<str>>;

    /// Builds the headers of an attempt from those of the caller. `time_left` is the time that the
    /// caller still waits.
    fn attempt_headers(
        &self,
        caller: &HeaderMap,
        assignment: &Assignment,
        time_left: Duration,
        resume: ResumePoint,
    ) -> HeaderMap;

    /// Parses the head of an endpoint's answer to the request `request_id`.
    fn parse_answer_head(&self, head: &response::Parts, request_id: &str) -> AnswerHead;

    /// Builds the headers of the answer to the caller from those of the endpoint.
    fn answer_headers(&self, endpoint: &HeaderMap) -> HeaderMap;

    /// Builds the response for a refused request.
    fn refusal_response(
        &self,
        request_id: Option<&Arc<str>>,
        refusal: &Refusal,
    ) -> Response<AnswerBody>;

    /// Answers a request that is not sent to an endpoint, such as a load balancer's health check;
    /// `None` for all others.
    fn local_answer<B>(&self, req: &Request<B>) -> Option<Response<AnswerBody>>;
}
