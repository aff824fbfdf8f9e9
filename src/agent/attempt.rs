//! Forwards an admitted attempt to its endpoint and returns the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};

use crate::answer::{EventCheck, StoredAnswer, is_event_stream};
use crate::codes::Code;
use crate::http::{self, AnswerBody, TrafficClient, names};
use crate::settings::EndpointSettings;
use crate::telemetry::{AttemptResult, Metrics};
use crate::types::{AttemptId, EndpointId, Refusal};
use crate::wire::VersionedDocument;

use super::answer_head::ExpectedAnswer;
use super::control::{Control, Decision, DecisionWithLoad};
use super::core::{AgentEvent, EndpointLoad, Offer};
use super::offer::OfferedRequest;
use super::relay::Relay;

/// State shared by all attempts of an agent.
pub(super) struct AttemptContext {
    pub(super) control: Control,
    pub(super) metrics: Metrics,
    pub(super) client: TrafficClient,
    pub(super) endpoints: Vec<EndpointSettings>,
    pub(super) limits: AttemptLimits,
}

/// Limits for an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptLimits {
    /// Maximum size of an answer that is not streamed, in bytes.
    pub(super) max_answer_bytes: usize,
    /// Time to wait for the head of an answer, and for the body of one that is not streamed.
    pub(super) answer_timeout: Duration,
}

/// Reports the outcome of an attempt exactly once, also when its task is cancelled.
pub(super) struct AttemptGuard {
    control: Control,
    metrics: Metrics,
    attempt: AttemptId,
    endpoint: EndpointId,
    is_finished: bool,
}

impl AttemptGuard {
    fn new(cx: &AttemptContext, offer: &Offer) -> Self {
        Self {
            control: cx.control.clone(),
            metrics: cx.metrics.clone(),
            attempt: offer.attempt.clone(),
            endpoint: offer.endpoint.clone(),
            is_finished: false,
        }
    }

    /// Reports the first byte of the answer.
    pub(super) fn report_started(&self) {
        self.control.send_event(AgentEvent::Started {
            attempt: self.attempt.clone(),
        });
    }

    /// Reports a complete answer.
    pub(super) fn report_answered(&mut self, tokens: u64, answer: Option<Arc<str>>) {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        let event = AgentEvent::Answered {
            attempt: self.attempt.clone(),
            tokens,
            answer,
        };
        self.finish(AttemptResult::Answered, Some(event));
    }

    /// Reports that the endpoint gave no complete answer.
    pub(super) fn report_broken(&mut self, maybe_sent: bool) {
        let event = AgentEvent::Broken {
            attempt: self.attempt.clone(),
            maybe_sent,
        };
        self.finish(AttemptResult::Broken, Some(event));
    }

    /// Records that the core refused the attempt; the core needs no event for it.
    fn record_refused(&mut self, code: Code) {
        self.finish(AttemptResult::Refused(code), None);
    }

    /// Records that the core replayed a stored answer; the core needs no event for it.
    fn record_replayed(&mut self) {
        self.finish(AttemptResult::Answered, None);
    }

    fn finish(&mut self, result: AttemptResult, event: Option<AgentEvent>) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        // The name of an endpoint that does not exist must not become a metric label.
        let is_known = !matches!(result, AttemptResult::Refused(Code::NoEndpoint));
        self.metrics
            .count_attempt(if is_known { &self.endpoint } else { "" }, result);
        if let Some(event) = event {
            self.control.send_event(event);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let event = AgentEvent::EntryGone {
            attempt: self.attempt.clone(),
        };
        self.finish(AttemptResult::EntryGone, Some(event));
    }
}

/// Handles an offered attempt until the head of its answer is known.
pub(super) async fn run(cx: &AttemptContext, request: OfferedRequest) -> Response<AnswerBody> {
    let attempt = request.offer.attempt.clone();
    let mut guard = AttemptGuard::new(cx, &request.offer);
    let Ok(DecisionWithLoad { decision, load }) = cx.control.offer(request.offer.clone()).await
    else {
        return add_headers(
            refuse(Code::Stopping, None),
            &attempt,
            EndpointLoad::default(),
        );
    };
    let response = match decision {
        Decision::Admit { priority } => forward(cx, request, priority, guard).await,
        Decision::Refuse { code, config } => {
            guard.record_refused(code);
            refuse(code, config.as_ref())
        }
        Decision::Replay(text) => {
            guard.record_replayed();
            replay(&text)
        }
    };
    add_headers(response, &attempt, load)
}

async fn forward(
    cx: &AttemptContext,
    request: OfferedRequest,
    priority: u8,
    mut guard: AttemptGuard,
) -> Response<AnswerBody> {
    let endpoint = cx
        .endpoints
        .iter()
        .find(|e| e.name == request.offer.endpoint);
    let req = endpoint.and_then(|endpoint| build_request(endpoint, &request, priority));
    let (Some(endpoint), Some(req)) = (endpoint, req) else {
        guard.report_broken(false);
        return refuse(Code::NoEndpoint, None);
    };
    match tokio::time::timeout(cx.limits.answer_timeout, cx.client.request(req)).await {
        Ok(Ok(response)) => receive(cx, endpoint, &request, response, guard).await,
        Ok(Err(err)) if err.is_connect() => {
            guard.report_broken(false);
            refuse(Code::NoEndpoint, None)
        }
        Ok(Err(_)) | Err(_) => {
            guard.report_broken(true);
            refuse(Code::OutcomeUnknown, None)
        }
    }
}

/// Builds the request to the endpoint; `None` when its parts are invalid.
fn build_request(
    endpoint: &EndpointSettings,
    request: &OfferedRequest,
    priority: u8,
) -> Option<Request<Full<Bytes>>> {
    let body = match request.resume_from {
        0 => request.body.clone(),
        from => with_resume_from(&request.body, from)?,
    };
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(format!("http://{}{}", endpoint.address, request.path))
        .header(names::REQUEST_ID, &*request.offer.attempt)
        .header(names::PRIORITY, u16::from(priority));
    if let Some(kind) = &request.content_type {
        builder = builder.header(CONTENT_TYPE, kind);
    }
    if let Some(key) = &request.offer.key {
        builder = builder.header(names::IDEMPOTENCY_KEY, &**key);
    }
    builder.body(Full::new(body)).ok()
}

fn with_resume_from(body: &[u8], from: u64) -> Option<Bytes> {
    let mut body: serde_json::Value = serde_json::from_slice(body).ok()?;
    body.as_object_mut()?
        .insert("resume_from".into(), from.into());
    serde_json::to_vec(&body).ok().map(Bytes::from)
}

async fn receive(
    cx: &AttemptContext,
    endpoint: &EndpointSettings,
    request: &OfferedRequest,
    response: Response<Incoming>,
    mut guard: AttemptGuard,
) -> Response<AnswerBody> {
    let expected = ExpectedAnswer {
        endpoint: endpoint.kind,
        attempt: &request.offer.attempt,
        version: request.offer.version.as_deref(),
    };
    if let Err(rejected) = expected.check(response.status(), response.headers()) {
        guard.report_broken(rejected.maybe_run);
        return refuse(rejected.code, None);
    }
    if is_event_stream(response.headers()) {
        forward_stream(request, response, guard).await
    } else {
        forward_whole(cx, request, response, guard).await
    }
}

/// Forwards a streamed answer.
async fn forward_stream(
    request: &OfferedRequest,
    response: Response<Incoming>,
    guard: AttemptGuard,
) -> Response<AnswerBody> {
    let (head, body) = response.into_parts();
    let mut relay = Relay::new(body, event_check(request), guard);
    if relay.wait_for_first_events().await.is_err() {
        return refuse(Code::AnswerBroken, None);
    }
    answer_head(request, head.status, head.headers.get(CONTENT_TYPE)).map(|()| relay.boxed())
}

/// Receives a whole answer before it is returned.
async fn forward_whole(
    cx: &AttemptContext,
    request: &OfferedRequest,
    response: Response<Incoming>,
    mut guard: AttemptGuard,
) -> Response<AnswerBody> {
    let (head, body) = response.into_parts();
    guard.report_started();
    let body = http::collect_bounded(body, cx.limits.max_answer_bytes);
    let Ok(Ok(body)) = tokio::time::timeout(cx.limits.answer_timeout, body).await else {
        guard.report_broken(true);
        return refuse(Code::OutcomeUnknown, None);
    };
    let is_whole = event_check(request).is_none_or(|check| check.passes_completion(&body));
    if head.status.is_success() && !is_whole {
        guard.report_broken(true);
        return refuse(Code::OutcomeUnknown, None);
    }
    let kind = head.headers.get(CONTENT_TYPE);
    let is_keyed = request.offer.key.is_some();
    let stored = is_keyed.then(|| StoredAnswer::new(head.status, kind, &body).to_text());
    guard.report_answered(u64::from(request.offer.tokens), stored);
    answer_head(request, head.status, kind).map(|()| http::full(body))
}

/// Check for the events of an answer that is pinned to a version; none for a plain service.
fn event_check(request: &OfferedRequest) -> Option<EventCheck> {
    let version = request.offer.version.clone()?;
    Some(EventCheck::new(request.offer.attempt.clone(), version))
}

fn answer_head(
    request: &OfferedRequest,
    status: StatusCode,
    kind: Option<&HeaderValue>,
) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = status;
    if let Some(kind) = kind {
        head.headers_mut().insert(CONTENT_TYPE, kind.clone());
    }
    if let Some(version) = &request.offer.version {
        insert_header(&mut head, names::VERSION, version);
    }
    head
}

/// Response that refuses an attempt, with a newer configuration for the entry if there is one.
fn refuse(code: Code, config: Option<&VersionedDocument>) -> Response<AnswerBody> {
    let response = http::refusal_response(&Refusal::new(code));
    match config {
        Some(doc) => {
            let body = serde_json::to_vec(doc).expect("plain data");
            response.map(|_| http::full(body))
        }
        None => response,
    }
}

/// Response with a stored answer.
fn replay(text: &str) -> Response<AnswerBody> {
    let answer = StoredAnswer::from_text(text).and_then(StoredAnswer::into_response);
    match answer {
        Some(response) => response.map(http::full),
        None => refuse(Code::OutcomeUnknown, None),
    }
}

fn add_headers(
    mut response: Response<AnswerBody>,
    attempt: &AttemptId,
    load: EndpointLoad,
) -> Response<AnswerBody> {
    insert_header(&mut response, names::ATTEMPT, attempt);
    insert_header(
        &mut response,
        names::LOAD,
        &format!("{}/{}", load.in_flight, load.limit),
    );
    response
}

fn insert_header<B>(response: &mut Response<B>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}
