//! Handles one request from its arrival to its answer.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use tokio::sync::{Notify, oneshot, watch};

use crate::codes::Code;
use crate::dispatch::{
    Assignment, AttemptOutcome, CallerRequest, Decision, Dispatcher, Notice, Pass, PassPacing,
    Route, TicketId,
};
use crate::http::{AnswerBody, BodyLimits, read_body, refuse_body};
use crate::log_fields;
use crate::telemetry::{AttemptResult, Event, Metrics, RequestResult};
use crate::types::Refusal;

use super::answer::{BodyReader, OutgoingRequest};
use super::dialect::{Dialect, RequestHead};
use super::guards::Guards;
use super::notice::{count_notice, digest_text, log_notice, prompt_parts_text};
use super::race::{Progress, Race, Refused};
use super::stream;
use super::ticket::Ticket;

/// Limits of a request body. A configuration replaces the size, and may lengthen the timeout.
const DEFAULT_BODY_LIMITS: BodyLimits = BodyLimits {
    bytes: 4 << 20,
    timeout: Duration::from_secs(3),
};

/// Decisions of the core that are delivered to the tasks that handle the requests.
type PendingDecisions = HashMap<TicketId, PendingDecision>;

/// Decision on one request; its task may start to wait before or after the core decides.
enum PendingDecision {
    /// The task waits for the decision.
    Awaited(oneshot::Sender<Decision>),
    /// The core has decided and the task does not wait yet.
    Decided(Decision),
}

/// Times at which [`Relay::run_dispatch_loop`] calls the core.
#[derive(Default)]
struct Pacing {
    passes: PassPacing,
    /// Time until which the loop sleeps; `None` when it sleeps until it is woken.
    wakeup: Option<Instant>,
}

/// Driver that sends requests to endpoints; clones share its state.
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
    pending: Mutex<PendingDecisions>,
    pacing: Mutex<Pacing>,
    /// Notified when the core's next wake-up time may have changed.
    wakeup_changed: Notify,
    /// Wakes the requests when the core takes back an attempt of some of them.
    pub recalled: Notify,
    /// Time by which every request ends because the process stops; `None` before a stop.
    pub stop_tx: watch::Sender<Option<Instant>>,
    pub body_reader: BodyReader,
    pub guards: Guards,
    pub metrics: Metrics,
}

/// An admitted request.
pub(super) struct AdmittedRequest {
    pub caller: CallerRequest,
    pub last_event_id: Option<u64>,
    pub headers: HeaderMap,
    pub outgoing: OutgoingRequest,
    pub route: Arc<Route>,
    pub arrived: Instant,
    /// Time by which the whole answer must have arrived.
    pub deadline: Instant,
    /// Time until which the caller waits; endpoints receive the time left until then.
    pub caller_deadline: Instant,
}

impl<D: Dialect> Relay<D> {
    /// Creates a relay that drives `core`.
    pub fn new(dialect: D, core: Dispatcher, guards: Guards, metrics: Metrics) -> Self {
        let inner = Inner {
            dialect,
            core: Mutex::new(core),
            pending: Mutex::new(PendingDecisions::new()),
            pacing: Mutex::default(),
            wakeup_changed: Notify::new(),
            recalled: Notify::new(),
            stop_tx: watch::Sender::new(None),
            body_reader: BodyReader::default(),
            guards,
            metrics,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Locks the dispatcher, the core of the relay.
    pub fn core(&self) -> MutexGuard<'_, Dispatcher> {
        self.inner
            .core
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Wire format of requests and answers.
    pub fn dialect(&self) -> &D {
        &self.inner.dialect
    }

    fn lock_pending(&self) -> MutexGuard<'_, PendingDecisions> {
        self.inner
            .pending
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes a request in the core so that it waits for no endpoint, and discards a decision on it
    /// that was not taken yet.
    pub(super) fn without_decision<T>(
        &self,
        id: TicketId,
        change: impl FnOnce(&mut Dispatcher) -> T,
    ) -> T {
        let mut core = self.core();
        let changed = change(&mut core);
        self.lock_pending().remove(&id);
        changed
    }

    /// Takes back attempts that are overdue, and lets [`Relay::run_dispatch_loop`] decide on the waiting
    /// requests soon if something may have changed for them.
    pub fn dispatch_waiting(&self) {
        let notices = {
            let now = Instant::now();
            let mut core = self.core();
            self.recall_overdue(&mut core, now);
            core.settle(now);
            self.wake_if_sooner(&core, now);
            core.take_notices()
        };
        self.record_notices(&notices);
    }

    fn recall_overdue(&self, core: &mut Dispatcher, now: Instant) {
        if !core.recall_overdue(now).is_empty() {
            self.inner.recalled.notify_waiters();
        }
    }

    fn record_notices(&self, notices: &[Notice]) {
        for notice in notices {
            log_notice(notice);
            count_notice(&self.inner.metrics, notice);
        }
    }

    /// Delivers decisions to the requests' tasks. The core stays locked, so that no task discards a decision
    /// before it is here.
    fn deliver(&self, _core: &Dispatcher, decisions: Vec<(TicketId, Decision)>) {
        let mut pending = self.lock_pending();
        for (ticket, decision) in decisions {
            match pending.remove(&ticket) {
                // Sending fails when the task is gone; its `Ticket` then ends the request.
                Some(PendingDecision::Awaited(tx)) => drop(tx.send(decision)),
                Some(PendingDecision::Decided(_)) | None => {
                    pending.insert(ticket, PendingDecision::Decided(decision));
                }
            }
        }
    }

    fn lock_pacing(&self) -> MutexGuard<'_, Pacing> {
        self.inner
            .pacing
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes [`Relay::run_dispatch_loop`] if it sleeps beyond the time at which the core has to be called.
    fn wake_if_sooner(&self, core: &Dispatcher, now: Instant) {
        let mut pacing = self.lock_pacing();
        let next = next_turn(core, &pacing.passes, now);
        if let Some(next) = next
            && pacing.wakeup.is_none_or(|wakeup| next < wakeup)
        {
            pacing.wakeup = Some(next);
            self.inner.wakeup_changed.notify_one();
        }
    }

    /// Lets [`Relay::run_dispatch_loop`] look at the core's wake-up time again, which may be sooner.
    pub(super) fn start_bound_changed(&self) {
        self.inner.wakeup_changed.notify_one();
    }

    /// Lets the core take back attempts and decide on waiting requests, at the times that it asks for and
    /// the pacing allows; never returns.
    pub async fn run_dispatch_loop(&self) {
        loop {
            let wakeup = self.dispatch_due();
            tokio::select! {
                () = self.inner.wakeup_changed.notified() => {}
                () = crate::timer::sleep_until(wakeup) => {}
            }
            // The core may return the same instant again; let other tasks run first.
            tokio::task::yield_now().await;
        }
    }

    /// Makes the pass over waiting requests that is due, if any, and returns the time of the next turn.
    fn dispatch_due(&self) -> Option<Instant> {
        let now = Instant::now();
        let (notices, wakeup) = {
            let mut core = self.core();
            self.recall_overdue(&mut core, now);
            let mut pacing = self.lock_pacing();
            let due = pacing
                .passes
                .due(now, core.is_pass_wanted(now), core.next_deadline());
            if let Some(pass) = due {
                let decisions = match pass {
                    Pass::Full => core.dispatch_waiting(now),
                    Pass::Expired => core.dispatch_expired(now),
                };
                self.deliver(&core, decisions);
                pacing.passes.passed(pass, now, Instant::now());
            }
            pacing.wakeup = next_turn(&core, &pacing.passes, now);
            (core.take_notices(), pacing.wakeup)
        };
        self.record_notices(&notices);
        wakeup
    }

    /// Handles one request and returns its response.
    pub async fn handle(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        if let Some(answer) = self.inner.dialect.local_answer(&req) {
            return answer;
        }
        let arrived = Instant::now();
        let req = match self.refuse_on_arrival(arrived, req).await {
            Ok(req) => req,
            Err(answer) => return answer,
        };
        let (parts, body) = req.into_parts();
        let mut head = match self.inner.dialect.parse_request_head(&parts) {
            Ok(head) => head,
            Err(code) => return self.refuse(arrived, None, "", &Refusal::new(code)),
        };
        let limits = self
            .core()
            .configuration()
            .map_or(DEFAULT_BODY_LIMITS, |configuration| BodyLimits {
                bytes: configuration.limits.body_bytes,
                // Bodies are also delayed on their way, which callers do not see.
                timeout: DEFAULT_BODY_LIMITS
                    .timeout
                    .max(configuration.limits.header_timeout),
            });
        let body = tokio::select! {
            body = read_body(body, limits, self.guards().bodies(), parts.extensions.get()) => body,
            () = self.stop().passed() => {
                let refusal = self.core().refuse_stopping();
                return self.refuse(arrived, Some(&head.req), "", &refusal);
            }
        };
        let body = match body {
            Ok(body) => body,
            Err(code) => {
                let refusal = refuse_body(code);
                return self.refuse(arrived, Some(&head.req), "", &refusal);
            }
        };
        head.req.fingerprint = fingerprint(&head.req, &body);
        self.admit(arrived, head, parts, body).await
    }

    /// Admits a request to the core and runs its attempts.
    async fn admit(
        &self,
        arrived: Instant,
        head: RequestHead,
        parts: hyper::http::request::Parts,
        body: Bytes,
    ) -> Response<AnswerBody> {
        let RequestHead { req, last_event_id } = head;
        let admission = match self.admit_to_core(arrived, &req) {
            Err(refusal) => match self.confirmed(refusal).await {
                Some(refusal) => Err(refusal),
                None => self.admit_to_core(arrived, &req),
            },
            admitted => admitted,
        };
        let (id, deadline, route) = match admission {
            Ok(admitted) => admitted,
            Err(refusal) => return self.refuse(arrived, Some(&req), "", &refusal),
        };
        let ticket = Ticket {
            relay: self.clone(),
            id,
            request_id: req.request_id.clone(),
            route: route.clone(),
            arrived,
        };
        let caller_deadline = req.timeout.map_or(deadline, |timeout| arrived + timeout);
        let admitted = AdmittedRequest {
            last_event_id,
            headers: parts.headers,
            outgoing: OutgoingRequest {
                method: parts.method,
                uri: parts.uri,
                body,
            },
            route,
            arrived,
            deadline,
            caller_deadline,
            caller: req,
        };
        self.run_attempts(ticket, admitted).await
    }

    /// Admits a request to the core, and returns its deadline and route.
    fn admit_to_core(
        &self,
        arrived: Instant,
        req: &CallerRequest,
    ) -> Result<(TicketId, Instant, Arc<Route>), Refusal> {
        let mut core = self.core();
        let id = core.admit(Instant::now(), req)?;
        let route = core.route(id);
        let route = route.ok_or_else(|| Refusal::new(Code::UnknownRoute))?;
        Ok((id, core.deadline(id).unwrap_or(arrived), route))
    }

    /// Asks for the core's decision on a request.
    pub(super) fn request_decision(&self, id: TicketId) -> oneshot::Receiver<Decision> {
        let (tx, rx) = oneshot::channel();
        {
            let mut pending = self.lock_pending();
            match pending.remove(&id) {
                // Sending can't fail, as the receiver is here.
                Some(PendingDecision::Decided(decision)) => drop(tx.send(decision)),
                Some(PendingDecision::Awaited(_)) | None => {
                    pending.insert(id, PendingDecision::Awaited(tx));
                }
            }
        }
        let notices = {
            let now = Instant::now();
            let mut core = self.core();
            self.recall_overdue(&mut core, now);
            if let Some(decision) = core.dispatch_alone(now, id) {
                self.deliver(&core, vec![(id, decision)]);
            }
            self.wake_if_sooner(&core, now);
            core.take_notices()
        };
        self.record_notices(&notices);
        rx
    }

    /// Runs the attempts of a request until it is answered or refused, and returns the response to the
    /// caller.
    async fn run_attempts(
        &self,
        ticket: Ticket<D>,
        admitted: AdmittedRequest,
    ) -> Response<AnswerBody> {
        let mut race = Race::new(ticket, admitted);
        match race.next().await {
            Progress::Event(first) => stream::spawn(race, first),
            Progress::Answer(answer) => self.count_answer(&race.admitted, answer),
            Progress::End => self.refuse_admitted(&race.admitted, Refused::unknown()),
            Progress::Refused(refused) => match race.take_failure() {
                Some(answer) => self.count_answer(&race.admitted, answer),
                None => self.refuse_admitted(&race.admitted, refused),
            },
        }
    }

    fn count_answer(
        &self,
        admitted: &AdmittedRequest,
        answer: Response<AnswerBody>,
    ) -> Response<AnswerBody> {
        self.count_result(admitted, RequestResult::Answered);
        let metrics = &self.inner.metrics;
        metrics.record_first_byte(&admitted.route.name, admitted.arrived.elapsed());
        answer
    }

    fn refuse_admitted(
        &self,
        admitted: &AdmittedRequest,
        refused: Refused,
    ) -> Response<AnswerBody> {
        let Refused { refusal, inputs } = refused;
        let (req, route) = (Some(&admitted.caller), &admitted.route.name);
        match inputs {
            Some(inputs) => self.refuse_with_inputs(admitted.arrived, req, route, &refusal, inputs),
            None => self.refuse(admitted.arrived, req, route, &refusal),
        }
    }

    pub(super) fn count_result(&self, admitted: &AdmittedRequest, result: RequestResult) {
        self.inner
            .metrics
            .count_request(&admitted.route.name, result);
    }

    /// Logs and counts the outcome of an attempt.
    pub(super) fn record_outcome(
        &self,
        admitted: &AdmittedRequest,
        assignment: &Assignment,
        outcome: AttemptOutcome,
    ) {
        let result = AttemptResult::from(outcome);
        self.inner
            .metrics
            .count_attempt(&assignment.endpoint, result);
        let event = match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Rejected => Event::AttemptAnswered,
            _ => Event::AttemptFailed,
        };
        log_fields!(event, {
            request: &*admitted.caller.request_id,
            digest: digest_text(admitted.caller.fingerprint),
            route: &*admitted.route.name,
            endpoint: &*assignment.endpoint,
            zone: &*assignment.zone,
            attempt: assignment.attempt,
            end: format!("{outcome:?}"),
            predicted_ms: assignment.predicted.as_millis() as u64,
            asking_for_ms: assignment.since_first_attempt.as_millis() as u64,
            in_system: assignment.in_system,
            load_age_ms: assignment.load_age.map_or(-1, |age| age.as_millis() as i64),
            version: assignment.version.map_or(-1, |version| version as i64),
            prompt_parts: prompt_parts_text(&*admitted.caller.prompt_parts),
            took_ms: admitted.arrived.elapsed().as_millis() as u64
        });
    }
}

impl From<AttemptOutcome> for AttemptResult {
    fn from(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Rejected => Self::Answered,
            AttemptOutcome::Failed => Self::Failed,
            AttemptOutcome::NotRun { is_full: true } => Self::Refused(Code::EndpointFull),
            AttemptOutcome::NotRun { is_full: false } => Self::Refused(Code::EndpointLeaving),
            AttemptOutcome::NotSent | AttemptOutcome::Withdrawn => Self::NotSent,
            AttemptOutcome::Broken => Self::Broken,
            AttemptOutcome::Silent => Self::Silent,
            AttemptOutcome::Superseded => Self::Superseded,
            AttemptOutcome::Recalled => Self::Recalled,
            AttemptOutcome::CallerGone => Self::CallerGone,
            AttemptOutcome::TimedOut => Self::TimedOut,
        }
    }
}

/// Next time at which [`Relay::run_dispatch_loop`] has to call the core.
fn next_turn(core: &Dispatcher, passes: &PassPacing, now: Instant) -> Option<Instant> {
    let pass = passes.next(now, core.is_pass_wanted(now), core.next_deadline());
    // What has changed already is in the next pass.
    let change = core.next_change().filter(|at| *at > now);
    let times = [pass, change, core.next_recall()];
    times.into_iter().flatten().min()
}

/// Digest of the path, the customer's key (without one, the host name) and the body; every process
/// computes the same for every copy of a request.
fn fingerprint(req: &CallerRequest, body: &[u8]) -> u64 {
    let mut hash = blake3::Hasher::new();
    for part in [&req.path, req.key.as_ref().unwrap_or(&req.host)] {
        hash.update(part.as_bytes()).update(&[0]);
    }
    hash.update(body);
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}

/// Reads the next data frame; `None` at the end of the body.
pub(super) async fn next_data(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => match frame.into_data() {
                Ok(data) => return Some(Ok(data)),
                // Trailers are not forwarded.
                Err(_) => continue,
            },
            Err(err) => return Some(Err(err)),
        }
    }
}
