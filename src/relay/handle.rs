//! The way of one request.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use tokio::sync::{Notify, oneshot};

use crate::codes::{Code, RunState};
use crate::dispatch::{
    Assignment, AttemptOutcome, CallerRequest, Decision, DecisionInputs, Dispatcher, NextStep,
    Route, TicketId,
};
use crate::http::{AnswerBody, BodyLimits, full, read_body};
use crate::log_fields;
use crate::telemetry::{AttemptResult, Event, Metrics, RequestResult};
use crate::types::Refusal;

use super::answer::{Opened, Outgoing, open, read_whole};
use super::dialect::{Dialect, RequestHead, ResumePoint};
use super::stream;

/// Silence before the first event after which a stream is tried elsewhere, as a multiple of the
/// goal; callers leave after about six goals.
const SILENT_GOALS: f64 = 4.5;
/// Bounds on a body until a configuration is known.
const FIRST_LIMITS: BodyLimits = BodyLimits {
    bytes: 4 << 20,
    timeout: Duration::from_secs(3),
};

/// Ways in which the core's decisions reach the requests that wait.
type Waiting = HashMap<TicketId, Slot>;

/// Meeting point of a request and its placing, whichever comes first.
enum Slot {
    /// The request waits.
    Waits(oneshot::Sender<Decision>),
    /// The core has decided; the request has not asked yet.
    Placed(Decision),
}

/// Shell that carries requests; clones share it.
pub struct Relay<D> {
    pub(super) inner: Arc<Inner<D>>,
}

impl<D> Clone for Relay<D> {
    fn clone(&self) -> Self {
        Self {
            inner: self.inner.clone(),
        }
    }
}

pub(super) struct Inner<D> {
    pub dialect: D,
    core: Mutex<Dispatcher>,
    waiting: Mutex<Waiting>,
    /// Rung when the time of the next pump may have changed.
    queued: Notify,
    pub metrics: Metrics,
}

/// Request as it is carried.
pub(super) struct Carried {
    pub caller: CallerRequest,
    pub last_event_id: Option<u64>,
    pub headers: HeaderMap,
    pub out: Outgoing,
    pub route: Arc<Route>,
    pub arrived: Instant,
    /// Latest time for the whole answer.
    pub deadline: Instant,
    /// Latest time that the caller waits.
    pub patience: Instant,
}

/// Ends a request in the core when its handler goes away.
pub(super) struct Ticket<D: Dialect> {
    pub relay: Relay<D>,
    pub id: TicketId,
}

impl<D: Dialect> Drop for Ticket<D> {
    fn drop(&mut self) {
        let now = Instant::now();
        self.relay.core().finish(now, self.id);
        self.relay.lock_waiting().remove(&self.id);
        self.relay.dispatch_waiting();
    }
}

impl<D: Dialect> Relay<D> {
    /// A relay around a core.
    pub fn new(dialect: D, core: Dispatcher, metrics: Metrics) -> Self {
        let inner = Inner {
            dialect,
            core: Mutex::new(core),
            waiting: Mutex::new(Waiting::new()),
            queued: Notify::new(),
            metrics,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// The request core.
    pub fn core(&self) -> MutexGuard<'_, Dispatcher> {
        self.inner
            .core
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// What requests and answers look like.
    pub fn dialect(&self) -> &D {
        &self.inner.dialect
    }

    fn lock_waiting(&self) -> MutexGuard<'_, Waiting> {
        self.inner
            .waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Places what can be placed.
    pub fn dispatch_waiting(&self) {
        let placed = self.core().dispatch_waiting(Instant::now());
        if !placed.is_empty() {
            let mut waiting = self.lock_waiting();
            for (ticket, placing) in placed {
                match waiting.remove(&ticket) {
                    // A handler that is gone ends its ticket itself.
                    Some(Slot::Waits(tx)) => drop(tx.send(placing)),
                    Some(Slot::Placed(_)) | None => {
                        waiting.insert(ticket, Slot::Placed(placing));
                    }
                }
            }
        }
        self.inner.queued.notify_one();
    }

    /// Pumps whenever the core asks for it; runs for ever.
    pub async fn run_dispatch_loop(&self) {
        loop {
            let wake = self.core().next_wakeup();
            tokio::select! {
                () = self.inner.queued.notified() => {}
                () = crate::timer::sleep_until(wake) => {
                    self.dispatch_waiting();
                    // The core may ask for the same instant again.
                    tokio::task::yield_now().await;
                }
            }
        }
    }

    /// Answers one request.
    pub async fn handle(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        if let Some(answer) = self.inner.dialect.local_answer(&req) {
            return answer;
        }
        let arrived = Instant::now();
        let (head, body) = req.into_parts();
        let mut caller = match self.inner.dialect.parse_request_head(&head) {
            Ok(caller) => caller,
            Err(code) => return self.refuse(arrived, None, "", &Refusal::new(code)),
        };
        let limits = self
            .core()
            .configuration()
            .map_or(FIRST_LIMITS, |configuration| BodyLimits {
                bytes: configuration.limits.body_bytes,
                timeout: FIRST_LIMITS.timeout,
            });
        let name = caller.req.name.clone();
        let body = match read_body(body, limits).await {
            Ok(body) => body,
            Err(code) => return self.refuse(arrived, Some(&name), "", &Refusal::new(code)),
        };
        caller.req.fingerprint = fingerprint(&caller.req, &body);
        self.carry(arrived, caller, head, body).await
    }

    async fn carry(
        &self,
        arrived: Instant,
        head: RequestHead,
        parts: hyper::http::request::Parts,
        body: Bytes,
    ) -> Response<AnswerBody> {
        let RequestHead { req, last_event_id } = head;
        let admitted = {
            let mut core = self.core();
            core.admit(Instant::now(), &req).map(|id| {
                let deadline = core.deadline(id).unwrap_or(arrived);
                (id, deadline, core.route(id))
            })
        };
        let (id, deadline, route) = match admitted {
            Ok((id, deadline, Some(route))) => (id, deadline, route),
            Ok((_, _, None)) => {
                return self.refuse(
                    arrived,
                    Some(&req.name),
                    "",
                    &Refusal::new(Code::UnknownRoute),
                );
            }
            Err(refusal) => return self.refuse(arrived, Some(&req.name), "", &refusal),
        };
        let ticket = Ticket {
            relay: self.clone(),
            id,
        };
        let patience = req.timeout.map_or(deadline, |patience| arrived + patience);
        let carried = Carried {
            last_event_id,
            headers: parts.headers,
            out: Outgoing {
                method: parts.method,
                uri: parts.uri,
                body,
            },
            route,
            arrived,
            deadline,
            patience,
            caller: req,
        };
        self.attempts(ticket, carried).await
    }

    /// Waits for a place in the core's order.
    pub(super) async fn place(&self, id: TicketId) -> Decision {
        let rx = {
            let mut waiting = self.lock_waiting();
            if let Some(Slot::Placed(placing)) = waiting.remove(&id) {
                return placing;
            }
            let (tx, rx) = oneshot::channel();
            waiting.insert(id, Slot::Waits(tx));
            rx
        };
        self.dispatch_waiting();
        // The sender is dropped only with the ticket.
        rx.await.unwrap_or_else(|_| {
            Decision::Refuse(Refusal::new(Code::NoEndpoint), DecisionInputs::default())
        })
    }

    async fn attempts(&self, ticket: Ticket<D>, carried: Carried) -> Response<AnswerBody> {
        let name = carried.caller.name.clone();
        let route = carried.route.name.clone();
        // An endpoint's own failure is passed on when no other endpoint does better.
        let mut failure = None;
        loop {
            let lease = match self.place(ticket.id).await {
                Decision::Send(lease) => lease,
                Decision::Refuse(refusal, grounds) => {
                    return failure.unwrap_or_else(|| {
                        self.refuse_for(carried.arrived, Some(&name), &route, &refusal, grounds)
                    });
                }
            };
            let resume = ResumePoint {
                last_event_id: carried.last_event_id,
                version: None,
            };
            let end = match self.open(&carried, &lease, resume).await {
                Ok(opened) if carried.route.is_stream && opened.head.status.is_success() => {
                    match stream::first(self, &carried, opened).await {
                        Ok(flow) => return stream::spawn(ticket, carried, lease, flow),
                        Err(end) => end,
                    }
                }
                Ok(opened) => match self.whole(&carried, opened).await {
                    Ok((end, answer)) => {
                        failure = Some(answer);
                        end
                    }
                    Err(end) => end,
                },
                Err(end) => end,
            };
            let end = timed(end, carried.deadline);
            self.note_end(&carried, &lease, end);
            let step = self.core().attempt_ended(Instant::now(), ticket.id, end);
            self.dispatch_waiting();
            let answer = match (step, end) {
                (NextStep::Wait, _) => continue,
                (NextStep::Finish, AttemptOutcome::Answered | AttemptOutcome::Failed) => {
                    failure.take()
                }
                (NextStep::Finish, _) => None,
                (NextStep::Refuse(refusal), _) => failure
                    .take()
                    .or_else(|| Some(self.refuse(carried.arrived, Some(&name), &route, &refusal))),
            };
            if answer.is_some() && matches!(end, AttemptOutcome::Answered | AttemptOutcome::Failed)
            {
                self.count_result(&carried, RequestResult::Answered);
                let metrics = &self.inner.metrics;
                metrics.record_first_byte(&carried.route.name, carried.arrived.elapsed());
            }
            return answer.unwrap_or_else(|| {
                let refusal = Refusal::new(Code::OutcomeUnknown);
                self.refuse(carried.arrived, Some(&name), &route, &refusal)
            });
        }
    }

    /// Sends an attempt and waits for the head of its answer.
    pub(super) async fn open(
        &self,
        carried: &Carried,
        lease: &Assignment,
        resume: ResumePoint,
    ) -> Result<Opened, AttemptOutcome> {
        let now = Instant::now();
        let left = carried.patience.saturating_duration_since(now);
        let dialect = &self.inner.dialect;
        let headers = dialect.attempt_headers(&carried.headers, lease, left, resume);
        let until = self.silence_until(carried, now);
        let name = &carried.caller.name;
        open(dialect, &carried.out, headers, lease, name, until).await
    }

    /// Time until which the start of an answer is awaited.
    pub(super) fn silence_until(&self, carried: &Carried, now: Instant) -> Instant {
        let again = carried.route.repeat != crate::dispatch::Repeat::Never
            && carried.route.max_attempts > 1;
        match again {
            true => carried
                .deadline
                .min(now + carried.route.start_goal.mul_f64(SILENT_GOALS)),
            false => carried.deadline,
        }
    }

    /// Reads an answer that is no stream until it is whole.
    async fn whole(
        &self,
        carried: &Carried,
        opened: Opened,
    ) -> Result<(AttemptOutcome, Response<AnswerBody>), AttemptOutcome> {
        let Opened { head, body, .. } = opened;
        // These promise that the request has not run, which only the endpoint's mark can tell.
        if matches!(head.status.as_u16(), 408 | 421 | 429 | 503) {
            return Err(AttemptOutcome::Broken);
        }
        let body = read_whole(body, carried.deadline).await?;
        let end = match head.status.is_server_error() {
            true => AttemptOutcome::Failed,
            false => AttemptOutcome::Answered,
        };
        let mut answer = Response::new(full(body));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = self.inner.dialect.answer_headers(&head.headers);
        Ok((end, answer))
    }

    pub(super) fn count_result(&self, carried: &Carried, result: RequestResult) {
        self.inner
            .metrics
            .count_request(&carried.route.name, result);
    }

    /// Logs and counts the end of an attempt.
    pub(super) fn note_end(&self, carried: &Carried, lease: &Assignment, end: AttemptOutcome) {
        let result = AttemptResult::from(end);
        self.inner.metrics.count_attempt(&lease.endpoint, result);
        let event = match end {
            AttemptOutcome::Answered => Event::AttemptAnswered,
            _ => Event::AttemptFailed,
        };
        log_fields!(event, {
            request: &*carried.caller.name,
            route: &*carried.route.name,
            endpoint: &*lease.endpoint,
            attempt: lease.attempt,
            end: format!("{end:?}"),
            predicted_ms: lease.predicted.as_millis() as u64,
            asking_for_ms: lease.since_first_attempt.as_millis() as u64,
            in_system: lease.in_system,
            load_age_ms: lease.load_age.map_or(-1, |age| age.as_millis() as i64),
            took_ms: carried.arrived.elapsed().as_millis() as u64
        });
    }

    pub(super) fn refuse(
        &self,
        arrived: Instant,
        name: Option<&Arc<str>>,
        route: &str,
        refusal: &Refusal,
    ) -> Response<AnswerBody> {
        let configuration = self
            .core()
            .configuration()
            .map_or(0, |configuration| configuration.version);
        let grounds = DecisionInputs {
            configuration,
            ..DecisionInputs::default()
        };
        self.refuse_for(arrived, name, route, refusal, grounds)
    }

    /// Answers with a refusal and logs what it was decided by.
    fn refuse_for(
        &self,
        arrived: Instant,
        name: Option<&Arc<str>>,
        route: &str,
        refusal: &Refusal,
        grounds: DecisionInputs,
    ) -> Response<AnswerBody> {
        let result = RequestResult::Refused(refusal.code);
        self.inner.metrics.count_request(route, result);
        log_fields!(Event::RequestRefused, {
            request: name.map_or("", |name| name),
            route: route,
            code: refusal.code.number(),
            not_run: refusal.code.run_state() == RunState::NotRun,
            retry_after_ms: refusal.retry_after.map_or(-1, |wait| wait.as_millis() as i64),
            config: grounds.configuration,
            fitting: grounds.eligible,
            best_ms: grounds.earliest_start.map_or(-1, |best| best.as_millis() as i64),
            room_ms: grounds.start_budget.map_or(-1, |room| room.as_millis() as i64),
            asking_for_ms: grounds.since_first_attempt.as_millis() as u64,
            held_ms: arrived.elapsed().as_millis() as u64
        });
        self.inner.dialect.refusal_response(name, refusal)
    }
}

impl From<AttemptOutcome> for AttemptResult {
    fn from(end: AttemptOutcome) -> Self {
        match end {
            AttemptOutcome::Answered => Self::Answered,
            AttemptOutcome::Failed => Self::Failed,
            AttemptOutcome::NotRun { is_full: true } => Self::Refused(Code::EndpointFull),
            AttemptOutcome::NotRun { is_full: false } => Self::Refused(Code::EndpointLeaving),
            AttemptOutcome::NotSent => Self::NotSent,
            AttemptOutcome::Broken => Self::Broken,
            AttemptOutcome::Silent => Self::Silent,
            AttemptOutcome::CallerGone => Self::CallerGone,
            AttemptOutcome::TimedOut => Self::TimedOut,
        }
    }
}

/// An attempt that ends when the time for the answer is over has timed out.
pub(super) fn timed(end: AttemptOutcome, deadline: Instant) -> AttemptOutcome {
    match end {
        AttemptOutcome::Silent if Instant::now() >= deadline => AttemptOutcome::TimedOut,
        end => end,
    }
}

/// Digest of path, customer and body; the same for every copy of a request in every process.
fn fingerprint(req: &CallerRequest, body: &[u8]) -> u64 {
    let mut hash = blake3::Hasher::new();
    for part in [&req.path, req.key.as_ref().unwrap_or(&req.host)] {
        hash.update(part.as_bytes()).update(&[0]);
    }
    hash.update(body);
    let mut short = [0; 8];
    short.copy_from_slice(&hash.finalize().as_bytes()[..8]);
    u64::from_le_bytes(short)
}

/// Reads the next frame of data; `None` at the end.
pub(super) async fn next_data(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => match frame.into_data() {
                Ok(data) => return Some(Ok(data)),
                // Trailers carry nothing that is passed on.
                Err(_) => continue,
            },
            Err(err) => return Some(Err(err)),
        }
    }
}
