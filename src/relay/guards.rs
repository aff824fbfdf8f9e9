//! What a relay checks before it lets the core decide on a request.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, EXPECT, HeaderValue};
use hyper::{Request, Response};
use tokio::sync::{mpsc, oneshot};

use crate::codes::Code;
use crate::http::{AnswerBody, BodyBudget, BodyLimits, discard_body};
use crate::log_fields;
use crate::overload::{LoadShedder, Pulse, Verdict};
use crate::telemetry::{Event, Loop, Metrics, RequestResult};
use crate::types::Refusal;

use super::dialect::Dialect;
use super::handle::Relay;

/// Limits of the body of a request that is refused on arrival.
const REFUSED_BODY_LIMITS: BodyLimits = BodyLimits {
    bytes: 64 * 1024,
    timeout: Duration::from_secs(1),
};

/// Memory in bytes for the bodies of requests when nothing else is said.
const DEFAULT_BODY_MEMORY: usize = 64 << 20;

/// Answered with a time up to which the configuration in force is known to be the newest; dropped
/// where that can't be told.
pub type ConfigurationCheck = oneshot::Sender<Instant>;

/// Shared checks of the requests that arrive.
#[derive(Debug)]
pub struct Guards {
    shedder: Mutex<LoadShedder>,
    pulse: Option<Arc<Pulse>>,
    checks: Option<mpsc::Sender<ConfigurationCheck>>,
    /// Age from which the confirmation of a configuration is not used any more.
    max_confirmation_age: Duration,
    /// Time up to which the configuration in force was known to be the newest.
    confirmed_at: Mutex<Option<Instant>>,
    /// Memory for the bodies of requests.
    bodies: BodyBudget,
}

impl Guards {
    /// Creates guards that shed load, and check neither the age of the state nor the configuration.
    pub fn new(now: Instant, seed: u64) -> Self {
        Self {
            shedder: Mutex::new(LoadShedder::new(now, seed)),
            pulse: None,
            checks: None,
            max_confirmation_age: Duration::ZERO,
            confirmed_at: Mutex::new(None),
            bodies: BodyBudget::new(DEFAULT_BODY_MEMORY),
        }
    }

    /// Replaces the memory for the bodies of requests.
    pub fn with_bodies(mut self, bodies: BodyBudget) -> Self {
        self.bodies = bodies;
        self
    }

    /// Memory for the bodies of requests.
    pub fn bodies(&self) -> &BodyBudget {
        &self.bodies
    }

    /// Refuses requests while the control loop does not run in time.
    pub fn with_pulse(mut self, pulse: Arc<Pulse>) -> Self {
        self.pulse = Some(pulse);
        self
    }

    /// Refuses a request for what the configuration lacks only while the configuration is known to be
    /// the newest; a confirmation is used up to `max_age`. `checks` must be answered soon.
    pub fn with_checks(
        mut self,
        checks: mpsc::Sender<ConfigurationCheck>,
        max_age: Duration,
    ) -> Self {
        self.checks = Some(checks);
        self.max_confirmation_age = max_age;
        self
    }

    /// Records a tick of the traffic loop, expected each [`crate::overload::SHEDDER_TICK`].
    pub fn tick(&self, now: Instant, metrics: &Metrics) {
        metrics.record_body_memory(self.bodies.used());
        let delay = self.shedder().tick(now);
        metrics.record_loop_delay(Loop::Traffic, delay);
    }

    /// Logs how many requests were refused on arrival since the last call.
    pub fn log_shed(&self, now: Instant) {
        let report = self.shedder().take_report();
        if let Some(report) = report {
            let age = self.pulse.as_ref().map(|pulse| pulse.age(now));
            log_fields!(Event::LoadShed, {
                count: report.count,
                admitted_permille: (report.admitted_share * 1_000.0) as u64,
                traffic_delay_ms: report.delay.as_millis() as u64,
                control_age_ms: age.map_or(-1, |age| age.as_millis() as i64)
            });
        }
    }

    fn shedder(&self) -> MutexGuard<'_, LoadShedder> {
        self.shedder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Refusal of a request that arrives; `None` when it is handled.
    fn refusal(&self, now: Instant) -> Option<Refusal> {
        let is_current = self
            .pulse
            .as_ref()
            .is_none_or(|pulse| pulse.is_current(now));
        let mut shedder = self.shedder();
        if !is_current {
            return Some(Refusal::new(Code::StateOutdated).with_retry_after(shedder.shed()));
        }
        match shedder.decide(now) {
            Verdict::Admit => None,
            Verdict::Shed(wait) => Some(Refusal::new(Code::Overloaded).with_retry_after(wait)),
        }
    }

    fn is_confirmed(&self, now: Instant) -> bool {
        let confirmed_at = *self
            .confirmed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        confirmed_at.is_some_and(|at| now < at + self.max_confirmation_age)
    }

    /// Waits until the configuration is known to be the newest. Returns whether that could be told, and
    /// whether the configuration may have changed meanwhile.
    async fn confirm(&self) -> Confirmation {
        let Some(checks) = &self.checks else {
            return Confirmation::Unchanged;
        };
        if self.is_confirmed(Instant::now()) {
            return Confirmation::Unchanged;
        }
        let (tx, rx) = oneshot::channel();
        if checks.send(tx).await.is_err() {
            return Confirmation::Unknown;
        }
        match rx.await {
            Ok(at) => {
                let mut confirmed_at = self
                    .confirmed_at
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                *confirmed_at = (*confirmed_at).max(Some(at));
                Confirmation::Newest
            }
            Err(_) => Confirmation::Unknown,
        }
    }
}

/// What is known of the configuration in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Confirmation {
    /// It was the newest when it was last asked for, a short time ago.
    Unchanged,
    /// It is the newest, and may have been put in force just now.
    Newest,
    /// There may be a newer one.
    Unknown,
}

impl<D: Dialect> Relay<D> {
    /// Checks of the requests that arrive.
    pub fn guards(&self) -> &Guards {
        &self.inner.guards
    }

    /// Refuses a request on arrival, without a log line of its own; returns it when it is handled.
    ///
    /// A body that is on its way is read: a connection that closes over it is reset, and the refusal may be
    /// lost. Where that takes too much, the refusal says that the connection closes.
    pub(super) async fn refuse_on_arrival(
        &self,
        now: Instant,
        req: Request<Incoming>,
    ) -> Result<Request<Incoming>, Response<AnswerBody>> {
        let Some(refusal) = self.guards().refusal(now) else {
            return Ok(req);
        };
        let result = RequestResult::Refused(refusal.code);
        self.inner.metrics.count_request("", result);
        let id = self.inner.dialect.request_id(req.headers());
        let mut answer = self.inner.dialect.refusal_response(id.as_ref(), &refusal);
        // The body of a caller that waits for permission to send it is not read.
        let is_read = req.body().is_end_stream()
            || !req.headers().contains_key(EXPECT)
                && discard_body(req.into_body(), REFUSED_BODY_LIMITS).await;
        if !is_read {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        Err(answer)
    }

    /// Replaces a refusal that says what the configuration lacks, unless the configuration is known to
    /// be the newest. `None` when the request has to be decided on again.
    pub(super) async fn confirmed(&self, refusal: Refusal) -> Option<Refusal> {
        if !matches!(refusal.code, Code::UnknownRoute | Code::KeyNotHeld) {
            return Some(refusal);
        }
        match self.guards().confirm().await {
            Confirmation::Unchanged => Some(refusal),
            Confirmation::Newest => None,
            Confirmation::Unknown => Some(self.core().refuse_outdated()),
        }
    }
}
