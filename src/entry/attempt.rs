//! Sends one attempt at a request to an agent and forwards the answer to the caller.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Request, Response};

use crate::answer::{EventScanner, EventSplitter, StoredAnswer, is_event_stream};
use crate::codes::Code;
use crate::http::{
    TrafficClient, collect_bounded, header_number, header_text, is_readable_answer, names,
};
use crate::telemetry::Metrics;
use crate::types::{EntryAttemptOutcome, EntryId};
use crate::wire::VersionedDocument;

use super::caller::Caller;
use super::control::ControlHandle;
use super::core::{Dispatch, EntryEvent};
use super::request::ParsedRequest;

/// Limits of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptLimits {
    /// Maximum size in bytes of an answer that is not streamed.
    pub(super) max_answer_bytes: usize,
    /// Longest wait for the response head, for the next part of a stream, or for the body of an
    /// answer that is not streamed.
    pub(super) answer_timeout: Duration,
    /// Time within which the caller must read each part of the answer.
    pub(super) write_timeout: Duration,
}

/// Result of running an attempt.
#[derive(Debug)]
pub(super) enum AttemptRun {
    /// The attempt ended. Holds the answer unless there is none or it was streamed to the caller.
    Ended(EntryAttemptOutcome, Option<StoredAnswer>),
    /// The caller closed its connection.
    CallerGone,
}

/// An attempt with everything needed to run it.
pub(super) struct Attempt<'a> {
    pub(super) client: &'a TrafficClient,
    pub(super) control: &'a ControlHandle,
    pub(super) entry: &'a EntryId,
    pub(super) limits: AttemptLimits,
    pub(super) metrics: &'a Metrics,
    /// Time at which the request arrived.
    pub(super) arrived_at: Instant,
    pub(super) request: &'a ParsedRequest,
    pub(super) dispatch: &'a Dispatch,
}

/// Reason why an attempt gave no answer.
enum Failure {
    Ended(EntryAttemptOutcome),
    CallerGone,
}

impl Attempt<'_> {
    /// Runs the attempt. `delivered` is the number of stream events that the caller has received,
    /// and is updated.
    pub(super) async fn run(&self, caller: &mut Caller, delivered: &mut u64) -> AttemptRun {
        match self.try_run(caller, delivered).await {
            Ok(stored) => AttemptRun::Ended(EntryAttemptOutcome::Answered, stored),
            Err(Failure::Ended(outcome)) => AttemptRun::Ended(outcome, None),
            Err(Failure::CallerGone) => AttemptRun::CallerGone,
        }
    }

    async fn try_run(
        &self,
        caller: &mut Caller,
        delivered: &mut u64,
    ) -> Result<Option<StoredAnswer>, Failure> {
        let response = self.send_request(caller, *delivered).await?;
        let response = self.check_response(response).await?;
        if is_event_stream(response.headers()) && !self.is_keyed() {
            self.forward_stream(response, caller, delivered)
                .await
                .map(|()| None)
        } else {
            self.collect_answer(response, caller).await.map(Some)
        }
    }

    fn is_keyed(&self) -> bool {
        self.request.meta.key.is_some()
    }

    /// Waits until the caller closes its connection; never ends for a keyed request, which runs to
    /// its end so that a repeated request finds the outcome.
    async fn caller_closed(&self, caller: &mut Caller) {
        match self.is_keyed() {
            true => std::future::pending().await,
            false => caller.closed().await,
        }
    }

    async fn send_request(
        &self,
        caller: &mut Caller,
        delivered: u64,
    ) -> Result<Response<Incoming>, Failure> {
        let Ok(req) = self.build_request() else {
            return Err(Failure::Ended(EntryAttemptOutcome::NotSent));
        };
        tokio::select! {
            () = self.caller_closed(caller) => Err(Failure::CallerGone),
            sent = tokio::time::timeout(self.head_timeout(), self.client.request(req)) => match sent {
                Err(_) => Err(Failure::Ended(EntryAttemptOutcome::TimedOut)),
                Ok(Err(err)) if err.is_connect() => Err(Failure::Ended(EntryAttemptOutcome::NotSent)),
                Ok(Err(_)) => Err(broken(delivered)),
                Ok(Ok(response)) => Ok(response),
            },
        }
    }

    /// Time within which the response head must arrive.
    fn head_timeout(&self) -> Duration {
        match self.request.is_streamed {
            true => {
                (self.dispatch.start_budget + self.stall_timeout()).min(self.limits.answer_timeout)
            }
            false => self.limits.answer_timeout,
        }
    }

    /// Time without data after which a stream counts as broken.
    fn stall_timeout(&self) -> Duration {
        let timeout = self
            .dispatch
            .stall_timeout
            .unwrap_or(self.limits.answer_timeout);
        timeout.min(self.limits.answer_timeout)
    }

    fn build_request(&self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let Dispatch {
            traffic,
            attempt,
            endpoint,
            agent_instance,
            generation,
            ..
        } = self.dispatch;
        let meta = &self.request.meta;
        let mut builder = Request::builder()
            .method(self.request.method.clone())
            .uri(format!("http://{traffic}{}", self.request.path))
            .header(names::ATTEMPT, &**attempt)
            .header(names::ENTRY, &**self.entry)
            .header(names::ENDPOINT, &**endpoint)
            .header(names::AGENT_INSTANCE, *agent_instance)
            .header(names::GENERATION, *generation)
            .header(names::CLASS, &*meta.class)
            .header(names::CUSTOMER, &*meta.customer)
            .header(names::FINGERPRINT, &*meta.fingerprint)
            .header(names::ANSWER_TOKENS, meta.tokens)
            .header(
                names::START_BUDGET,
                millis_value(self.dispatch.start_budget),
            )
            .header(names::RESUME_FROM, self.dispatch.resume_from);
        if let Some(version) = &self.dispatch.version {
            builder = builder.header(names::VERSION, &**version);
        }
        if let Some(key) = &meta.key {
            builder = builder.header(names::IDEMPOTENCY_KEY, &**key);
        }
        if self.dispatch.suspect {
            builder = builder.header(names::SUSPECT, "1");
        }
        if let Some(kind) = &self.request.content_type {
            builder = builder.header(CONTENT_TYPE, kind);
        }
        builder.body(Full::new(self.request.body.clone()))
    }

    /// Checks that the response is an answer to this attempt from the requested version.
    async fn check_response(
        &self,
        response: Response<Incoming>,
    ) -> Result<Response<Incoming>, Failure> {
        let headers = response.headers();
        let is_own = header_text(headers, names::ATTEMPT) == Some(&*self.dispatch.attempt);
        if !is_own || !is_readable_answer(response.status(), headers) {
            return Err(Failure::Ended(EntryAttemptOutcome::Mismatch(
                Code::AnswerBroken,
            )));
        }
        self.report_load(headers);
        if let Some(number) = header_number::<u16>(headers, names::CODE) {
            let code = Code::from_number(number).unwrap_or(Code::OutcomeUnknown);
            self.read_newer_config(code, response).await;
            return Err(Failure::Ended(EntryAttemptOutcome::Refused(code)));
        }
        if header_text(headers, names::VERSION) != self.dispatch.version.as_deref() {
            return Err(Failure::Ended(EntryAttemptOutcome::Mismatch(
                Code::WrongVersion,
            )));
        }
        Ok(response)
    }

    /// Reports the endpoint load that the response header states.
    fn report_load(&self, headers: &HeaderMap) {
        let load = header_text(headers, names::LOAD).and_then(|load| load.split_once('/'));
        let Some((in_flight, limit)) = load else {
            return;
        };
        if let (Ok(in_flight), Ok(limit)) = (in_flight.parse(), limit.parse()) {
            let endpoint = self.dispatch.endpoint.clone();
            self.control.send_event(EntryEvent::LoadReported {
                endpoint,
                in_flight,
                limit,
            });
        }
    }

    /// Reads the configuration that an agent with a newer generation sends with its refusal.
    async fn read_newer_config(&self, code: Code, response: Response<Incoming>) {
        if code != Code::StaleConfiguration {
            return;
        }
        let body = collect_bounded(response.into_body(), self.limits.max_answer_bytes);
        let Ok(Ok(body)) = tokio::time::timeout(self.limits.answer_timeout, body).await else {
            return;
        };
        if let Ok(doc) = serde_json::from_slice::<VersionedDocument>(&body) {
            self.control.send_event(EntryEvent::ConfigReceived(doc));
        }
    }

    /// Forwards a stream in units of complete events.
    async fn forward_stream(
        &self,
        response: Response<Incoming>,
        caller: &mut Caller,
        delivered: &mut u64,
    ) -> Result<(), Failure> {
        let head = stream_head(&response);
        let mut body = response.into_body();
        let mut splitter = EventSplitter::default();
        let mut scanner = EventScanner::new();
        let delivered_before = *delivered;
        while let Some(chunk) = self.next_chunk(&mut body, caller, *delivered).await? {
            let events = splitter.push(chunk).map_err(|_| broken(*delivered))?;
            if events.is_empty() {
                continue;
            }
            scanner.scan(&events);
            if *delivered == delivered_before {
                self.report_started();
                caller.start_stream(head.clone());
            }
            *delivered = delivered_before + scanner.events();
            if !caller.send(events, self.limits.write_timeout).await {
                return Err(Failure::CallerGone);
            }
        }
        match scanner.is_ended() {
            true => Ok(()),
            false => Err(broken(*delivered)),
        }
    }

    async fn next_chunk(
        &self,
        body: &mut Incoming,
        caller: &mut Caller,
        delivered: u64,
    ) -> Result<Option<Bytes>, Failure> {
        let frame = tokio::select! {
            () = self.caller_closed(caller) => return Err(Failure::CallerGone),
            frame = tokio::time::timeout(self.stall_timeout(), body.frame()) => frame,
        };
        match frame {
            // A stalled stream is handled like a broken one: another endpoint continues it.
            Err(_) => Err(broken(delivered)),
            Ok(None) => Ok(None),
            Ok(Some(Err(_))) => Err(broken(delivered)),
            Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
        }
    }

    /// Reads a whole answer that is not streamed.
    async fn collect_answer(
        &self,
        response: Response<Incoming>,
        caller: &mut Caller,
    ) -> Result<StoredAnswer, Failure> {
        let (head, body) = response.into_parts();
        let body = collect_bounded(body, self.limits.max_answer_bytes);
        let body = tokio::select! {
            () = self.caller_closed(caller) => return Err(Failure::CallerGone),
            body = tokio::time::timeout(self.limits.answer_timeout, body) => body,
        };
        let body = body.map_err(|_| Failure::Ended(EntryAttemptOutcome::TimedOut))?;
        let body = body.map_err(|_| broken(0))?;
        self.report_started();
        Ok(StoredAnswer::new(
            head.status,
            head.headers.get(CONTENT_TYPE),
            &body,
        ))
    }

    /// Reports the first token or byte of the answer.
    fn report_started(&self) {
        self.metrics
            .record_first_byte(&self.request.meta.class, self.arrived_at.elapsed());
        let Dispatch { req, attempt, .. } = self.dispatch;
        self.control.send_event(EntryEvent::AnswerStarted {
            req: *req,
            attempt: attempt.clone(),
        });
    }
}

fn broken(delivered: u64) -> Failure {
    Failure::Ended(EntryAttemptOutcome::Broken { delivered })
}

fn millis_value(duration: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

/// Head of the response to the caller.
fn stream_head(response: &Response<Incoming>) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = response.status();
    for name in [CONTENT_TYPE.as_str(), names::VERSION] {
        if let Some(value) = response.headers().get(name) {
            let name = hyper::header::HeaderName::from_static(name);
            head.headers_mut().insert(name, value.clone());
        }
    }
    head
}
