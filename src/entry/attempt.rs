//! One attempt: carries a request to an agent and the answer back.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Request, Response};

use crate::answer::{EventScanner, EventSplitter, StoredAnswer, is_event_stream};
use crate::codes::Code;
use crate::http::{TrafficClient, header_number, header_text, names};
use crate::telemetry::Metrics;
use crate::types::{AttemptEnd, EntryId};
use crate::wire::ConfigDoc;

use super::caller::Caller;
use super::control::Control;
use super::core::{Dispatch, EntryEvent};
use super::request::ParsedRequest;

/// Bounds of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptLimits {
    /// Bytes of an answer that is not streamed.
    pub(super) answer_bytes: usize,
    /// Silence of the agent after which the attempt is given up.
    pub(super) silence: Duration,
    /// Time within which the caller must take a part of the answer.
    pub(super) write_timeout: Duration,
}

/// How an attempt went.
#[derive(Debug)]
pub(super) enum Attempted {
    /// It ended; the answer, if any, was passed on or is held here.
    Ended(AttemptEnd, Option<StoredAnswer>),
    /// The caller went away.
    CallerGone,
}

/// An attempt that is about to run.
pub(super) struct Attempt<'a> {
    pub(super) client: &'a TrafficClient,
    pub(super) control: &'a Control,
    pub(super) entry: &'a EntryId,
    pub(super) limits: AttemptLimits,
    pub(super) metrics: &'a Metrics,
    /// Arrival of the request.
    pub(super) since: Instant,
    pub(super) request: &'a ParsedRequest,
    pub(super) dispatch: &'a Dispatch,
}

/// Why an attempt did not give an answer.
enum Failure {
    End(AttemptEnd),
    CallerGone,
}

impl Attempt<'_> {
    /// Runs the attempt; `delivered` counts the events that the caller already has.
    pub(super) async fn run(&self, caller: &mut Caller, delivered: &mut u64) -> Attempted {
        match self.try_run(caller, delivered).await {
            Ok(stored) => Attempted::Ended(AttemptEnd::Answered, stored),
            Err(Failure::End(end)) => Attempted::Ended(end, None),
            Err(Failure::CallerGone) => Attempted::CallerGone,
        }
    }

    async fn try_run(
        &self,
        caller: &mut Caller,
        delivered: &mut u64,
    ) -> Result<Option<StoredAnswer>, Failure> {
        let response = self.send(caller, *delivered).await?;
        let response = self.check(response).await?;
        if is_event_stream(response.headers()) && !self.is_keyed() {
            self.stream(response, caller, delivered)
                .await
                .map(|()| None)
        } else {
            self.collect(response, caller).await.map(Some)
        }
    }

    fn is_keyed(&self) -> bool {
        self.request.meta.key.is_some()
    }

    /// A keyed request runs on when its caller goes, so that a resend finds its outcome.
    async fn abandoned(&self, caller: &mut Caller) {
        match self.is_keyed() {
            true => std::future::pending().await,
            false => caller.closed().await,
        }
    }

    async fn send(
        &self,
        caller: &mut Caller,
        delivered: u64,
    ) -> Result<Response<Incoming>, Failure> {
        let Ok(req) = self.build() else {
            return Err(Failure::End(AttemptEnd::NotSent));
        };
        tokio::select! {
            () = self.abandoned(caller) => Err(Failure::CallerGone),
            sent = tokio::time::timeout(self.head_limit(), self.client.request(req)) => match sent {
                Err(_) => Err(Failure::End(AttemptEnd::TimedOut)),
                Ok(Err(err)) if err.is_connect() => Err(Failure::End(AttemptEnd::NotSent)),
                Ok(Err(_)) => Err(broken(delivered)),
                Ok(Ok(response)) => Ok(response),
            },
        }
    }

    /// Time within which the head of the answer must arrive.
    fn head_limit(&self) -> Duration {
        match self.request.is_streamed {
            true => (self.dispatch.start_budget + self.stream_silence()).min(self.limits.silence),
            false => self.limits.silence,
        }
    }

    /// Silence after which a stream has broken off.
    fn stream_silence(&self) -> Duration {
        let silence = self.dispatch.stall_timeout.unwrap_or(self.limits.silence);
        silence.min(self.limits.silence)
    }

    fn build(&self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
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
            .header(names::TOKENS, meta.tokens)
            .header(names::PATIENCE, patience_ms(self.dispatch.start_budget))
            .header(names::RESUME_FROM, self.dispatch.resume_from);
        if let Some(version) = &self.dispatch.version {
            builder = builder.header(names::VERSION, &**version);
        }
        if let Some(key) = &meta.key {
            builder = builder.header(names::KEY, &**key);
        }
        if self.dispatch.suspect {
            builder = builder.header(names::SUSPECT, "1");
        }
        if let Some(kind) = &self.request.content_type {
            builder = builder.header(CONTENT_TYPE, kind);
        }
        builder.body(Full::new(self.request.body.clone()))
    }

    /// Checks that the answer is one to this attempt and from the pinned version.
    async fn check(&self, response: Response<Incoming>) -> Result<Response<Incoming>, Failure> {
        let headers = response.headers();
        if header_text(headers, names::ATTEMPT) != Some(&*self.dispatch.attempt) {
            return Err(Failure::End(AttemptEnd::Mismatch(Code::AnswerBroken)));
        }
        self.report_load(headers);
        if let Some(number) = header_number::<u16>(headers, names::CODE) {
            let code = Code::from_number(number).unwrap_or(Code::OutcomeUnknown);
            self.learn(code, response).await;
            return Err(Failure::End(AttemptEnd::Refused(code)));
        }
        if header_text(headers, names::VERSION) != self.dispatch.version.as_deref() {
            return Err(Failure::End(AttemptEnd::Mismatch(Code::WrongVersion)));
        }
        Ok(response)
    }

    fn report_load(&self, headers: &HeaderMap) {
        let load = header_text(headers, names::LOAD).and_then(|load| load.split_once('/'));
        let Some((in_flight, limit)) = load else {
            return;
        };
        if let (Ok(in_flight), Ok(limit)) = (in_flight.parse(), limit.parse()) {
            let endpoint = self.dispatch.endpoint.clone();
            self.control.event(EntryEvent::LoadReported {
                endpoint,
                in_flight,
                limit,
            });
        }
    }

    /// Takes the newer configuration from an agent that is ahead.
    async fn learn(&self, code: Code, response: Response<Incoming>) {
        if code != Code::StaleConfiguration {
            return;
        }
        let body = Limited::new(response.into_body(), self.limits.answer_bytes).collect();
        let Ok(Ok(body)) = tokio::time::timeout(self.limits.silence, body).await else {
            return;
        };
        if let Ok(doc) = serde_json::from_slice::<ConfigDoc>(&body.to_bytes()) {
            self.control.event(EntryEvent::ConfigReceived(doc));
        }
    }

    /// Passes a stream on, whole event by whole event.
    async fn stream(
        &self,
        response: Response<Incoming>,
        caller: &mut Caller,
        delivered: &mut u64,
    ) -> Result<(), Failure> {
        let head = stream_head(&response);
        let mut body = response.into_body();
        let mut splitter = EventSplitter::default();
        let mut scanner = EventScanner::new();
        let already = *delivered;
        while let Some(chunk) = self.next_chunk(&mut body, caller, *delivered).await? {
            let events = splitter.push(chunk).map_err(|_| broken(*delivered))?;
            if events.is_empty() {
                continue;
            }
            scanner.scan(&events);
            if *delivered == already {
                self.started();
                caller.start(head.clone());
            }
            *delivered = already + scanner.events();
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
            () = self.abandoned(caller) => return Err(Failure::CallerGone),
            frame = tokio::time::timeout(self.stream_silence(), body.frame()) => frame,
        };
        match frame {
            // A stalled stream goes on elsewhere, like one that broke.
            Err(_) => Err(broken(delivered)),
            Ok(None) => Ok(None),
            Ok(Some(Err(_))) => Err(broken(delivered)),
            Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
        }
    }

    /// Takes a whole answer that is not streamed.
    async fn collect(
        &self,
        response: Response<Incoming>,
        caller: &mut Caller,
    ) -> Result<StoredAnswer, Failure> {
        let (head, body) = response.into_parts();
        let body = Limited::new(body, self.limits.answer_bytes).collect();
        let body = tokio::select! {
            () = self.abandoned(caller) => return Err(Failure::CallerGone),
            body = tokio::time::timeout(self.limits.silence, body) => body,
        };
        let body = body.map_err(|_| Failure::End(AttemptEnd::TimedOut))?;
        let body = body.map_err(|_| broken(0))?.to_bytes();
        self.started();
        Ok(StoredAnswer::new(
            head.status,
            head.headers.get(CONTENT_TYPE),
            &body,
        ))
    }

    fn started(&self) {
        self.metrics
            .first_byte(&self.request.meta.class, self.since.elapsed());
        let Dispatch { req, attempt, .. } = self.dispatch;
        self.control.event(EntryEvent::AnswerStarted {
            req: *req,
            attempt: attempt.clone(),
        });
    }
}

fn broken(delivered: u64) -> Failure {
    Failure::End(AttemptEnd::Broken { delivered })
}

fn patience_ms(patience: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(patience.as_millis()).unwrap_or(u64::MAX))
}

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
