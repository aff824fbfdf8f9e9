//! Carries an admitted attempt to its endpoint and the answer back.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};

use crate::answer::{EventCheck, StoredAnswer, is_event_stream};
use crate::codes::Code;
use crate::http::{self, AnswerBody, TrafficClient, header_text, names};
use crate::settings::{EndpointKind, EndpointSettings};
use crate::telemetry::{AttemptResult, Metrics};
use crate::types::{AttemptId, EndpointId, Refusal};
use crate::wire::VersionedDocument;

use super::control::{Control, Decided, Decision};
use super::core::{AgentEvent, EndpointLoad, Offer};
use super::offer::OfferedRequest;
use super::relay::Relay;

/// What every attempt of an agent shares.
pub(super) struct AttemptContext {
    pub(super) control: Control,
    pub(super) metrics: Metrics,
    pub(super) client: TrafficClient,
    pub(super) endpoints: Vec<EndpointSettings>,
    pub(super) limits: AttemptLimits,
}

/// Bounds of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptLimits {
    /// Bytes of an answer that is not streamed.
    pub(super) answer_bytes: usize,
    /// Silence of the endpoint after which the attempt is given up.
    pub(super) silence: Duration,
}

/// Reports the end of an attempt, whichever way its task ends.
pub(super) struct AttemptGuard {
    control: Control,
    metrics: Metrics,
    attempt: AttemptId,
    endpoint: EndpointId,
    is_over: bool,
}

impl AttemptGuard {
    fn new(cx: &AttemptContext, offer: &Offer) -> Self {
        Self {
            control: cx.control.clone(),
            metrics: cx.metrics.clone(),
            attempt: offer.attempt.clone(),
            endpoint: offer.endpoint.clone(),
            is_over: false,
        }
    }

    /// Reports the first byte of the answer.
    pub(super) fn started(&self) {
        self.control.event(AgentEvent::Started {
            attempt: self.attempt.clone(),
        });
    }

    /// Reports a whole answer.
    pub(super) fn answered(&mut self, tokens: u64, answer: Option<Arc<str>>) {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        let event = AgentEvent::Answered {
            attempt: self.attempt.clone(),
            tokens,
            answer,
        };
        self.end(AttemptResult::Answered, Some(event));
    }

    /// Reports that the endpoint did not give a whole answer.
    pub(super) fn broken(&mut self, maybe_sent: bool) {
        let event = AgentEvent::Broken {
            attempt: self.attempt.clone(),
            maybe_sent,
        };
        self.end(AttemptResult::Broken, Some(event));
    }

    /// The decision logic has refused the attempt.
    fn refused(&mut self, code: Code) {
        self.end(AttemptResult::Refused(code), None);
    }

    /// The decision logic has answered the attempt.
    fn replayed(&mut self) {
        self.end(AttemptResult::Answered, None);
    }

    fn end(&mut self, result: AttemptResult, event: Option<AgentEvent>) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        // An endpoint that an entry made up must not become a label.
        let is_known = !matches!(result, AttemptResult::Refused(Code::NoEndpoint));
        self.metrics
            .attempt(if is_known { &self.endpoint } else { "" }, result);
        if let Some(event) = event {
            self.control.event(event);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let event = AgentEvent::EntryGone {
            attempt: self.attempt.clone(),
        };
        self.end(AttemptResult::EntryGone, Some(event));
    }
}

/// Runs an offered attempt to the head of its answer.
pub(super) async fn run(cx: &AttemptContext, request: OfferedRequest) -> Response<AnswerBody> {
    let attempt = request.offer.attempt.clone();
    let mut guard = AttemptGuard::new(cx, &request.offer);
    let Ok(Decided { decision, load }) = cx.control.offer(request.offer.clone()).await else {
        return label(
            refuse(Code::Stopping, None),
            &attempt,
            EndpointLoad::default(),
        );
    };
    let response = match decision {
        Decision::Admit { priority } => forward(cx, request, priority, guard).await,
        Decision::Refuse { code, config } => {
            guard.refused(code);
            refuse(code, config.as_ref())
        }
        Decision::Replay(text) => {
            guard.replayed();
            replay(&text)
        }
    };
    label(response, &attempt, load)
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
    let req = endpoint.and_then(|endpoint| build(endpoint, &request, priority));
    let (Some(endpoint), Some(req)) = (endpoint, req) else {
        guard.broken(false);
        return refuse(Code::NoEndpoint, None);
    };
    match tokio::time::timeout(cx.limits.silence, cx.client.request(req)).await {
        Ok(Ok(response)) => receive(cx, endpoint, &request, response, guard).await,
        Ok(Err(err)) if err.is_connect() => {
            guard.broken(false);
            refuse(Code::NoEndpoint, None)
        }
        Ok(Err(_)) | Err(_) => {
            guard.broken(true);
            refuse(Code::OutcomeUnknown, None)
        }
    }
}

fn build(
    endpoint: &EndpointSettings,
    request: &OfferedRequest,
    priority: u8,
) -> Option<Request<Full<Bytes>>> {
    let body = match request.resume_from {
        0 => request.body.clone(),
        from => with_resume(&request.body, from)?,
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
        builder = builder.header(names::KEY, &**key);
    }
    builder.body(Full::new(body)).ok()
}

fn with_resume(body: &[u8], from: u64) -> Option<Bytes> {
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
    if endpoint.kind == EndpointKind::Model && response.status() == StatusCode::SERVICE_UNAVAILABLE
    {
        // A model engine refuses before it runs anything.
        guard.broken(false);
        return refuse(Code::NoEndpoint, None);
    }
    if let Err(code) = check(endpoint, request, &response) {
        guard.broken(true);
        return refuse(code, None);
    }
    if is_event_stream(response.headers()) {
        stream(request, response, guard).await
    } else {
        collect(cx, request, response, guard).await
    }
}

/// Checks that the answer is one to this attempt and from the pinned version.
fn check(
    endpoint: &EndpointSettings,
    request: &OfferedRequest,
    response: &Response<Incoming>,
) -> Result<(), Code> {
    let headers = response.headers();
    let echoed = header_text(headers, names::REQUEST_ID);
    if echoed.is_some_and(|echoed| echoed != &*request.offer.attempt) {
        return Err(Code::AnswerBroken);
    }
    let is_pinned = header_text(headers, names::ENGINE_VERSION) == request.offer.version.as_deref();
    match endpoint.kind == EndpointKind::Service || is_pinned {
        true => Ok(()),
        false => Err(Code::AnswerBroken),
    }
}

async fn stream(
    request: &OfferedRequest,
    response: Response<Incoming>,
    guard: AttemptGuard,
) -> Response<AnswerBody> {
    let (head, body) = response.into_parts();
    let mut relay = Relay::new(body, check_of(request), guard);
    if relay.wait_first().await.is_err() {
        return refuse(Code::AnswerBroken, None);
    }
    answer_head(request, head.status, head.headers.get(CONTENT_TYPE)).map(|()| relay.boxed())
}

async fn collect(
    cx: &AttemptContext,
    request: &OfferedRequest,
    response: Response<Incoming>,
    mut guard: AttemptGuard,
) -> Response<AnswerBody> {
    let (head, body) = response.into_parts();
    guard.started();
    let body = Limited::new(body, cx.limits.answer_bytes).collect();
    let Ok(Ok(body)) = tokio::time::timeout(cx.limits.silence, body).await else {
        guard.broken(true);
        return refuse(Code::OutcomeUnknown, None);
    };
    let body = body.to_bytes();
    let is_whole = check_of(request).is_none_or(|check| check.passes_whole(&body));
    if head.status.is_success() && !is_whole {
        guard.broken(true);
        return refuse(Code::OutcomeUnknown, None);
    }
    let kind = head.headers.get(CONTENT_TYPE);
    let is_keyed = request.offer.key.is_some();
    let record = is_keyed.then(|| StoredAnswer::new(head.status, kind, &body).to_text());
    guard.answered(u64::from(request.offer.tokens), record);
    answer_head(request, head.status, kind).map(|()| http::full(body))
}

/// Check of an answer that is pinned to a version; none for a plain service.
fn check_of(request: &OfferedRequest) -> Option<EventCheck> {
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
        insert(&mut head, names::VERSION, version);
    }
    head
}

fn refuse(code: Code, config: Option<&VersionedDocument>) -> Response<AnswerBody> {
    let response = http::refuse(&Refusal::new(code));
    match config {
        Some(doc) => {
            let body = serde_json::to_vec(doc).expect("plain data");
            response.map(|_| http::full(body))
        }
        None => response,
    }
}

fn replay(text: &str) -> Response<AnswerBody> {
    let answer = StoredAnswer::from_text(text).and_then(StoredAnswer::into_response);
    match answer {
        Some(response) => response.map(http::full),
        None => refuse(Code::OutcomeUnknown, None),
    }
}

fn label(
    mut response: Response<AnswerBody>,
    attempt: &AttemptId,
    load: EndpointLoad,
) -> Response<AnswerBody> {
    insert(&mut response, names::ATTEMPT, attempt);
    insert(
        &mut response,
        names::LOAD,
        &format!("{}/{}", load.in_flight, load.limit),
    );
    response
}

fn insert<B>(response: &mut Response<B>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}
