//! The attempts of one request: one, and another beside it while the first is silent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Response;
use tokio::sync::oneshot;

use crate::codes::Code;
use crate::delivery::RetryDenied;
use crate::dispatch::{
    Assignment, AttemptOutcome, Decision, DecisionInputs, NextStep, Recall, Repeat,
};
use crate::http::AnswerBody;
use crate::log_fields;
use crate::telemetry::{Event, News};
use crate::timer::sleep_until;
use crate::types::{EndpointId, Refusal};

use super::attempt::{Attempt, Received};
use super::dialect::{Dialect, ResumePoint};
use super::events::StreamEvent;
use super::handle::{AdmittedRequest, Relay};
use super::stop::Stop;
use super::ticket::Ticket;

/// Time without the start of an answer after which another endpoint is tried too, as a multiple of the
/// route's start goal. Callers disconnect after about six times the goal.
const START_TIMEOUT_GOALS: f64 = 4.5;
/// Time without an event after which another endpoint is tried too, as a multiple of the route's
/// goal for the gap between events. Callers disconnect after eight times the goal.
const EVENT_TIMEOUT_GAPS: f64 = 3.0;
/// The same time when the route has no goal for the gap.
const DEFAULT_EVENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay of a timer from which this process may have stood still, so that what arrived meanwhile is not
/// read yet. A busy process is as late each time, so the timer is put off once.
const STALL_DELAY: Duration = Duration::from_millis(100);

/// Runs the attempts of an admitted request.
pub(super) struct Race<D: Dialect> {
    pub relay: Relay<D>,
    pub ticket: Ticket<D>,
    pub admitted: Arc<AdmittedRequest>,
    /// The running attempt, as in the core.
    running: Option<Attempt<D>>,
    /// The silent attempt, as in the core.
    silent: Option<Attempt<D>>,
    /// Delivers the core's decision while the request waits for an endpoint.
    decision: Option<oneshot::Receiver<Decision>>,
    stop: Stop,
    /// Time from which the running attempt counts as silent.
    silent_at: Option<Instant>,
    /// True once `silent_at` was put off, until something arrives.
    is_put_off: bool,
    /// The last whole answer that reports a failure of the endpoint. It is forwarded only when no other
    /// attempt gets an answer.
    failure: Option<Response<AnswerBody>>,
    /// Number of the last event that the caller has from this request.
    last_event_id: Option<u64>,
    /// Weight version of the stream, once it has started.
    version: Option<u64>,
    /// Number of events that were returned.
    pub events: u32,
    /// Endpoint of the last attempt that ended, and how it ended.
    last_end: Option<(EndpointId, AttemptOutcome)>,
}

/// Progress of a request.
pub(super) enum Progress {
    /// The next event of its stream.
    Event(StreamEvent),
    /// Its stream is complete.
    End,
    /// A whole answer, which ends it.
    Answer(Response<AnswerBody>),
    /// It has ended without an answer.
    Refused(Refused),
}

/// End of a request without an answer.
pub(super) struct Refused {
    pub refusal: Refusal,
    /// Inputs of the decision; `None` when an attempt's end decided.
    pub inputs: Option<DecisionInputs>,
}

impl Refused {
    /// Nothing more is known of the attempts than that one may have run.
    pub fn unknown() -> Self {
        Self {
            refusal: Refusal::new(Code::OutcomeUnknown),
            inputs: None,
        }
    }
}

/// What a race waits for.
enum Input {
    /// The core takes an attempt back.
    Recalled(Recall),
    Decided(Decision),
    Running(Received),
    Silent(Received),
    Silence,
    Deadline,
    /// The process begins to stop, so the deadline may have changed.
    Stopping,
}

impl<D: Dialect> Race<D> {
    /// Waits for the core's decision on an admitted request.
    pub fn new(ticket: Ticket<D>, admitted: AdmittedRequest) -> Self {
        let relay = ticket.relay.clone();
        let decision = Some(relay.request_decision(ticket.id));
        Self {
            stop: relay.stop(),
            relay,
            ticket,
            admitted: Arc::new(admitted),
            running: None,
            silent: None,
            decision,
            silent_at: None,
            is_put_off: false,
            failure: None,
            last_event_id: None,
            version: None,
            events: 0,
            last_end: None,
        }
    }

    /// The running attempt, which sent the last event.
    pub fn running(&self) -> Option<&Attempt<D>> {
        self.running.as_ref()
    }

    /// Takes the last whole answer that reports a failure of the endpoint.
    pub fn take_failure(&mut self) -> Option<Response<AnswerBody>> {
        self.failure.take()
    }

    /// Runs attempts until the request makes progress.
    pub async fn next(&mut self) -> Progress {
        loop {
            let progress = match self.wait().await {
                Input::Recalled(recall) => self.end_recalled(&recall),
                Input::Decided(decision) => self.decided(decision),
                Input::Running(Received::Head(statement)) => {
                    self.await_silence();
                    if let Some(statement) = statement {
                        let mut core = self.relay.core();
                        core.record_statement(Instant::now(), self.ticket.id, &statement);
                    }
                    None
                }
                Input::Silent(Received::Head(statement)) => {
                    if let Some(statement) = statement {
                        let mut core = self.relay.core();
                        core.record_silent_statement(Instant::now(), self.ticket.id, &statement);
                    }
                    None
                }
                Input::Running(received) => self.received(received),
                Input::Silent(Received::Ended(outcome)) => self.end_silent(outcome),
                Input::Silent(Received::Answer(AttemptOutcome::Failed, answer)) => {
                    self.failure = Some(answer);
                    self.end_silent(AttemptOutcome::Failed)
                }
                // It has no event, so it does not go on.
                Input::Silent(Received::End) if self.events == 0 => {
                    self.end_silent(AttemptOutcome::Broken)
                }
                Input::Silent(received) => {
                    self.resume_silent();
                    self.received(received)
                }
                Input::Silence => {
                    self.fall_silent();
                    None
                }
                Input::Deadline => self.time_out(),
                Input::Stopping => None,
            };
            if let Some(progress) = progress {
                return progress;
            }
        }
    }

    async fn wait(&mut self) -> Input {
        let has_attempt = self.running.is_some() || self.silent.is_some();
        let deadline = has_attempt.then(|| self.stop.bound(self.admitted.deadline));
        // Data that is always there never lets a timer run.
        if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
            return Input::Deadline;
        }
        let silent_at = self.silent_at.filter(|_| self.running.is_some());
        tokio::select! {
            biased;
            // An attempt that is taken back may not be known here before its decision is received.
            decision = receive(&mut self.decision) => Input::Decided(decision),
            // An answer that has begun is not taken back.
            received = next_of(&mut self.running) => Input::Running(received),
            received = next_of(&mut self.silent) => Input::Silent(received),
            recall = self.relay.recalled(self.ticket.id) => Input::Recalled(recall),
            () = sleep_until(silent_at) => Input::Silence,
            () = sleep_until(deadline) => Input::Deadline,
            () = self.stop.begun() => Input::Stopping,
        }
    }

    fn decided(&mut self, decision: Decision) -> Option<Progress> {
        self.decision = None;
        match decision {
            Decision::Send(assignment) => {
                self.running = Some(self.start(assignment));
                self.await_silence();
                None
            }
            Decision::KeepSilent(code, inputs) => {
                self.log_kept(code, inputs);
                self.keep_silent();
                None
            }
            Decision::Refuse(refusal, inputs) => Some(Progress::Refused(Refused {
                refusal,
                inputs: Some(inputs),
            })),
        }
    }

    fn start(&self, assignment: Assignment) -> Attempt<D> {
        let is_continuation = self.events > 0;
        let resume = match is_continuation {
            true => ResumePoint {
                last_event_id: self.last_event_id,
                version: self.version,
            },
            false => ResumePoint {
                last_event_id: self.admitted.last_event_id,
                version: None,
            },
        };
        Attempt::start(
            &self.relay,
            self.ticket.id,
            &self.admitted,
            assignment,
            resume,
            is_continuation,
        )
    }

    /// Handles what the running attempt received after its head.
    fn received(&mut self, received: Received) -> Option<Progress> {
        match received {
            Received::Head(_) => None,
            Received::Event(event) => {
                self.end_silent(AttemptOutcome::Superseded);
                self.record_start();
                self.last_event_id = event.id.or(self.last_event_id);
                self.events += 1;
                self.await_silence();
                Some(Progress::Event(event))
            }
            // The answer has begun, and no event came.
            Received::End if self.events == 0 => self.end_running(AttemptOutcome::Broken),
            Received::End => {
                self.end_silent(AttemptOutcome::Superseded);
                self.end_running(AttemptOutcome::Answered);
                Some(Progress::End)
            }
            Received::Answer(AttemptOutcome::Failed, answer) => {
                self.failure = Some(answer);
                self.end_running(AttemptOutcome::Failed)
            }
            Received::Answer(outcome, answer) => {
                self.end_silent(AttemptOutcome::Superseded);
                self.end_running(outcome);
                Some(Progress::Answer(answer))
            }
            Received::Ended(outcome) => self.end_running(outcome),
        }
    }

    /// Records in the core that the answer of the running attempt has started.
    fn record_start(&mut self) {
        let Some(attempt) = self.running.as_mut().filter(|attempt| !attempt.is_started) else {
            return;
        };
        attempt.is_started = true;
        self.version = self.version.or(attempt.version);
        self.relay
            .core()
            .attempt_started(Instant::now(), self.ticket.id, self.version);
    }

    /// Ends the running attempt; `None` when the request goes on.
    fn end_running(&mut self, outcome: AttemptOutcome) -> Option<Progress> {
        let attempt = self.running.take()?;
        self.close(attempt, outcome);
        let step = self
            .relay
            .core()
            .attempt_ended(Instant::now(), self.ticket.id, outcome);
        let refused = match step {
            // Without the number of the last event, no endpoint can continue the stream.
            NextStep::Wait if self.events > 0 && self.last_event_id.is_none() => Refused::unknown(),
            NextStep::Wait => {
                self.decision = Some(self.relay.request_decision(self.ticket.id));
                return None;
            }
            NextStep::KeepSilent => {
                self.keep_silent();
                return None;
            }
            NextStep::Finish => Refused::unknown(),
            NextStep::Refuse(refusal) => Refused {
                refusal,
                inputs: None,
            },
        };
        self.relay.dispatch_waiting();
        Some(Progress::Refused(refused))
    }

    /// Ends the silent attempt, if there is one; `None` when the request goes on.
    fn end_silent(&mut self, outcome: AttemptOutcome) -> Option<Progress> {
        let attempt = self.silent.take()?;
        let is_silent =
            self.relay
                .core()
                .silent_attempt_ended(Instant::now(), self.ticket.id, outcome);
        if is_silent {
            self.close(attempt, outcome);
            // Another attempt may be sent beside the running one again.
            self.silent_at = self.silent_at.or_else(|| self.silence_deadline());
            self.relay.dispatch_waiting();
            return None;
        }
        // The core has decided to keep it, and the decision was not received yet.
        self.decision = None;
        self.running = Some(attempt);
        self.end_running(outcome)
    }

    /// Ends an attempt that the core takes back; `None` when the request goes on.
    fn end_recalled(&mut self, recall: &Recall) -> Option<Progress> {
        self.ticket.log_recall(recall);
        let is_recalled = |attempt: &&Attempt<D>| attempt.assignment.endpoint == recall.endpoint;
        if let Some(attempt) = self.running.as_ref().filter(is_recalled) {
            return self.end_running(attempt.recalled());
        }
        let attempt = self.silent.as_ref().filter(is_recalled)?;
        self.end_silent(attempt.recalled())
    }

    /// Logs the end of an attempt and closes its connection, before another endpoint gets the request.
    fn close(&mut self, attempt: Attempt<D>, outcome: AttemptOutcome) {
        self.relay
            .record_outcome(&self.admitted, &attempt.assignment, outcome);
        self.last_end = Some((attempt.assignment.endpoint.clone(), outcome));
    }

    /// Closes all attempts because the caller left.
    pub fn leave(&mut self) {
        let attempts = [self.running.take(), self.silent.take()];
        for attempt in attempts.into_iter().flatten() {
            self.close(attempt, AttemptOutcome::CallerGone);
        }
    }

    /// Endpoint of the last attempt that ended, and how it ended.
    pub fn last_end(&self) -> Option<&(EndpointId, AttemptOutcome)> {
        self.last_end.as_ref()
    }

    /// Makes the silent attempt, which goes on, the running one.
    fn resume_silent(&mut self) {
        if let Some(attempt) = self.running.take() {
            self.close(attempt, AttemptOutcome::Superseded);
        }
        self.decision = None;
        let id = self.ticket.id;
        self.relay
            .without_decision(id, |core| core.silent_attempt_resumed(Instant::now(), id));
        self.keep_silent();
        self.relay.dispatch_waiting();
    }

    /// Makes the silent attempt the running one, as the core has.
    fn keep_silent(&mut self) {
        self.running = self.silent.take();
        self.await_silence();
    }

    /// Lets the request wait for another endpoint beside the running attempt, if that is allowed.
    fn fall_silent(&mut self) {
        let now = Instant::now();
        let delay = self
            .silent_at
            .take()
            .map(|due| now.saturating_duration_since(due));
        if delay.is_some_and(|delay| delay >= STALL_DELAY) && !self.is_put_off {
            self.is_put_off = true;
            self.silent_at = Some(now + STALL_DELAY);
            return;
        }
        let id = self.ticket.id;
        let allowed = self.relay.core().attempt_silent(now, id);
        self.log_silence(allowed);
        match allowed {
            Ok(()) => {
                self.silent = self.running.take();
                self.decision = Some(self.relay.request_decision(id));
            }
            Err(RetryDenied::OverBudget) => self.await_silence(),
            Err(_) => {}
        }
    }

    /// Ends all attempts at the deadline of the request.
    fn time_out(&mut self) -> Option<Progress> {
        let late = self.stop.bound(self.admitted.deadline).elapsed();
        let metrics = &self.relay.inner.metrics;
        metrics.record_news_age(News::Deadline, late);
        match self.running {
            Some(_) => {
                self.end_silent(AttemptOutcome::TimedOut);
            }
            None => self.resume_silent(),
        }
        self.end_running(AttemptOutcome::TimedOut)
    }

    /// Begins to wait until the running attempt counts as silent.
    fn await_silence(&mut self) {
        self.silent_at = self.silence_deadline();
        self.is_put_off = false;
    }

    /// Time from which the running attempt counts as silent; `None` when the request can't be sent to
    /// another endpoint.
    fn silence_deadline(&self) -> Option<Instant> {
        let route = &self.admitted.route;
        let timeout = match self.events {
            0 if route.max_attempts > 1 => route.start_goal.mul_f64(START_TIMEOUT_GOALS),
            0 => return None,
            _ if self.last_event_id.is_none() => return None,
            _ => route
                .gap_goal
                .map_or(DEFAULT_EVENT_TIMEOUT, |gap| gap.mul_f64(EVENT_TIMEOUT_GAPS)),
        };
        (route.repeat != Repeat::Never).then(|| Instant::now() + timeout)
    }

    fn log_silence(&self, allowed: Result<(), RetryDenied>) {
        let Some(attempt) = &self.running else {
            return;
        };
        log_fields!(Event::AttemptSilent, {
            request: &*self.admitted.caller.request_id,
            route: &*self.admitted.route.name,
            endpoint: &*attempt.assignment.endpoint,
            attempt: attempt.assignment.attempt,
            events: self.events,
            denied: allowed.err().map_or(String::new(), |denied| format!("{denied:?}")),
            took_ms: self.admitted.arrived.elapsed().as_millis() as u64
        });
    }

    fn log_kept(&self, code: Code, inputs: DecisionInputs) {
        log_fields!(Event::SecondAttemptRefused, {
            request: &*self.admitted.caller.request_id,
            route: &*self.admitted.route.name,
            code: code.number(),
            config: inputs.configuration,
            fitting: inputs.eligible,
            best_ms: inputs.predicted_start.map_or(-1, |start| start.as_millis() as i64),
            room_ms: inputs.start_budget.map_or(-1, |budget| budget.as_millis() as i64),
            took_ms: self.admitted.arrived.elapsed().as_millis() as u64
        });
    }
}

/// Waits for the next part of an attempt's answer, forever if there is none.
async fn next_of<D: Dialect>(attempt: &mut Option<Attempt<D>>) -> Received {
    match attempt {
        Some(attempt) => attempt.next().await,
        None => std::future::pending().await,
    }
}

/// Waits for a decision, forever if none is asked for.
async fn receive(decision: &mut Option<oneshot::Receiver<Decision>>) -> Decision {
    let Some(rx) = decision else {
        return std::future::pending().await;
    };
    // The sender is dropped unsent only when the ticket is dropped.
    rx.await.unwrap_or_else(|_| {
        Decision::Refuse(Refusal::new(Code::NoEndpoint), DecisionInputs::default())
    })
}
