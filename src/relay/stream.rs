//! Forwards event streams event by event, and continues a broken one at another endpoint.

use std::time::{Duration, Instant};

use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response;

use crate::codes::Code;
use crate::dispatch::{Assignment, AttemptOutcome, Decision, DecisionInputs, NextStep, Repeat};
use crate::http::{AnswerBody, BodySender, channel};
use crate::log_fields;
use crate::telemetry::{Event, RequestResult};

use super::answer::OpenedAnswer;
use super::dialect::{Dialect, ResumePoint};
use super::events::{EventSplitter, StreamEvent};
use super::handle::{AdmittedRequest, Relay, apply_deadline, next_data};
use super::ticket::Ticket;

/// Time without an event after which a stream is continued elsewhere, as a multiple of the route's
/// goal for the gap between events. Callers disconnect after eight times the goal.
const EVENT_TIMEOUT_GAPS: f64 = 3.0;
/// Time without an event after which a stream is continued elsewhere when the route has no goal for
/// the gap.
const DEFAULT_EVENT_TIMEOUT: Duration = Duration::from_secs(1);

/// A stream whose first event has arrived.
pub(super) struct StartedStream {
    head: response::Parts,
    version: Option<u64>,
    reader: EventReader,
    first: StreamEvent,
}

/// Reader of the events from one endpoint.
struct EventReader {
    body: Incoming,
    splitter: EventSplitter,
    /// True once the body has ended.
    has_ended: bool,
}

/// Why a stream is not continued: code and inputs of the refusal, if the core gave any.
type Refused = Option<(Code, DecisionInputs)>;

/// Result of reading from a stream.
enum Read {
    Event(StreamEvent),
    /// The stream ended after a whole event.
    End,
}

impl EventReader {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            splitter: EventSplitter::default(),
            has_ended: false,
        }
    }

    /// Waits for the next whole event, until `deadline`.
    async fn read(&mut self, deadline: Instant) -> Result<Read, AttemptOutcome> {
        // Events that are always there never let a timeout run.
        if Instant::now() >= deadline {
            return Err(AttemptOutcome::Silent);
        }
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Ok(Read::Event(event));
            }
            if self.has_ended {
                return Ok(Read::End);
            }
            let data = tokio::time::timeout_at(deadline.into(), next_data(&mut self.body)).await;
            match data {
                Err(_) => return Err(AttemptOutcome::Silent),
                Ok(Some(Ok(data))) if self.splitter.push(&data) => {}
                Ok(None) if self.splitter.is_between_events() => {
                    self.has_ended = true;
                    if let Some(rest) = self.splitter.take_unnumbered() {
                        return Ok(Read::Event(rest));
                    }
                }
                Ok(_) => return Err(AttemptOutcome::Broken),
            }
        }
    }
}

/// Waits for the first whole event. Until it is forwarded, another endpoint can answer instead
/// without the caller noticing.
pub(super) async fn read_first_event<D: Dialect>(
    relay: &Relay<D>,
    admitted: &AdmittedRequest,
    opened: OpenedAnswer,
) -> Result<StartedStream, AttemptOutcome> {
    let OpenedAnswer { head, parsed, body } = opened;
    let mut reader = EventReader::new(body);
    let deadline = relay.start_deadline(admitted, Instant::now());
    match reader.read(deadline).await? {
        Read::Event(first) => Ok(StartedStream {
            head,
            version: parsed.version,
            reader,
            first,
        }),
        Read::End => Err(AttemptOutcome::Broken),
    }
}

/// Builds the response to the caller and forwards the stream in a new task.
pub(super) fn spawn<D: Dialect>(
    ticket: Ticket<D>,
    admitted: AdmittedRequest,
    assignment: Assignment,
    started: StartedStream,
) -> Response<AnswerBody> {
    let relay = ticket.relay.clone();
    let (tx, body) = channel();
    let mut answer = Response::new(body);
    *answer.status_mut() = started.head.status;
    *answer.headers_mut() = relay.dialect().answer_headers(&started.head.headers);
    let now = Instant::now();
    relay
        .core()
        .attempt_started(now, ticket.id, started.version);
    log_fields!(Event::StreamStarted, {
        request: &*admitted.caller.request_id,
        endpoint: &*assignment.endpoint,
        predicted_ms: assignment.predicted.as_millis() as u64,
        in_system: assignment.in_system,
        first_ms: now.saturating_duration_since(assignment.assigned_at).as_millis() as u64,
        prompt: admitted.caller.prompt_tokens
    });
    relay
        .inner
        .metrics
        .record_first_byte(&admitted.route.name, admitted.arrived.elapsed());
    let forwarder = StreamForwarder {
        ticket,
        admitted,
        assignment,
        version: started.version,
        last_event_id: None,
        events: 0,
    };
    tokio::spawn(forwarder.run(started.reader, started.first, tx));
    answer
}

/// Forwards one stream to the caller, across the endpoints that produce it.
struct StreamForwarder<D: Dialect> {
    ticket: Ticket<D>,
    admitted: AdmittedRequest,
    assignment: Assignment,
    version: Option<u64>,
    /// Number of the last forwarded event.
    last_event_id: Option<u64>,
    /// Number of forwarded events.
    events: u32,
}

impl<D: Dialect> StreamForwarder<D> {
    /// Forwards the stream to its end, or until it can't be continued.
    async fn run(mut self, mut reader: EventReader, first: StreamEvent, tx: BodySender) {
        let relay = self.ticket.relay.clone();
        let mut next = Some(first);
        loop {
            let outcome = self.forward(&mut reader, next.take(), &tx).await;
            let outcome = apply_deadline(outcome, self.admitted.deadline);
            relay.record_outcome(&self.admitted, &self.assignment, outcome);
            let step = relay
                .core()
                .attempt_ended(Instant::now(), self.ticket.id, outcome);
            relay.dispatch_waiting();
            match (outcome, step) {
                (AttemptOutcome::Answered, _) => {
                    relay.count_result(&self.admitted, RequestResult::Answered);
                    tx.finish().await;
                    return;
                }
                (_, NextStep::Wait) if self.last_event_id.is_some() => {}
                (_, step) => return self.abort(outcome, refused_step(step)),
            }
            tokio::select! {
                () = tx.closed() => return self.abort(AttemptOutcome::CallerGone, None),
                resumed = self.resume() => match resumed {
                    Ok(resumed) => reader = resumed,
                    Err(refused) => return self.abort(outcome, refused),
                },
            }
        }
    }

    /// Counts and logs a stream that ends early. The caller sees an incomplete body, because its
    /// sender is dropped without being finished.
    fn abort(&self, outcome: AttemptOutcome, refused: Refused) {
        let relay = &self.ticket.relay;
        relay.core().finish(Instant::now(), self.ticket.id);
        let result = match outcome {
            AttemptOutcome::CallerGone => RequestResult::CallerGone,
            _ => RequestResult::Refused(Code::AnswerBroken),
        };
        relay.count_result(&self.admitted, result);
        let (code, inputs) = refused.unzip();
        let inputs = inputs.unwrap_or_default();
        log_fields!(Event::StreamCut, {
            request: &*self.admitted.caller.request_id,
            endpoint: &*self.assignment.endpoint,
            end: format!("{outcome:?}"),
            events: self.events,
            code: code.map_or(-1, |code| i32::from(code.number())),
            config: inputs.configuration,
            fitting: inputs.eligible,
            best_ms: inputs.predicted_start.map_or(-1, |start| start.as_millis() as i64),
            room_ms: inputs.start_budget.map_or(-1, |budget| budget.as_millis() as i64),
            took_ms: self.admitted.arrived.elapsed().as_millis() as u64
        });
    }

    /// Forwards events, `next` first, until the attempt ends.
    async fn forward(
        &mut self,
        reader: &mut EventReader,
        mut next: Option<StreamEvent>,
        tx: &BodySender,
    ) -> AttemptOutcome {
        let mut repeated = 0;
        loop {
            if let Some(event) = next.take() {
                match self.should_forward(&event) {
                    Some(true) => {
                        if !tx.send(event.bytes).await {
                            return AttemptOutcome::CallerGone;
                        }
                        self.last_event_id = event.id.or(self.last_event_id);
                        self.events += 1;
                    }
                    // The caller already has this event. An engine that begins anew sends each of
                    // them once.
                    Some(false) => {
                        repeated += 1;
                        if Some(repeated) > self.last_event_id {
                            return AttemptOutcome::Broken;
                        }
                    }
                    None => return AttemptOutcome::Broken,
                }
            }
            let deadline = self.event_deadline();
            let read = tokio::select! {
                () = tx.closed() => return AttemptOutcome::CallerGone,
                read = reader.read(deadline) => read,
            };
            match read {
                Ok(Read::Event(event)) => next = Some(event),
                Ok(Read::End) => return AttemptOutcome::Answered,
                Err(outcome) => return outcome,
            }
        }
    }

    /// True when an event comes after the last forwarded one, false when it was forwarded before.
    /// `None` when an event between the two is missing.
    fn should_forward(&self, event: &StreamEvent) -> Option<bool> {
        match (self.last_event_id, event.id) {
            (Some(last), Some(id)) if id <= last => Some(false),
            (Some(last), Some(id)) if id > last + 1 => None,
            _ => Some(true),
        }
    }

    /// Time by which the next event must arrive. Earlier than the request's deadline only when the
    /// route allows the request to be repeated.
    fn event_deadline(&self) -> Instant {
        let route = &self.admitted.route;
        let timeout = route
            .gap_goal
            .map_or(DEFAULT_EVENT_TIMEOUT, |gap| gap.mul_f64(EVENT_TIMEOUT_GAPS));
        match route.repeat {
            Repeat::Never => self.admitted.deadline,
            Repeat::Safe | Repeat::Resumable => {
                self.admitted.deadline.min(Instant::now() + timeout)
            }
        }
    }

    /// Continues the stream at another endpoint, after the last forwarded event.
    async fn resume(&mut self) -> Result<EventReader, Refused> {
        let relay = self.ticket.relay.clone();
        loop {
            self.assignment = match relay.await_decision(self.ticket.id).await {
                Decision::Send(assignment) => assignment,
                Decision::Refuse(refusal, inputs) => return Err(Some((refusal.code, inputs))),
            };
            let resume = ResumePoint {
                last_event_id: self.last_event_id,
                version: self.version,
            };
            let outcome = match relay
                .send_attempt(self.ticket.id, &self.admitted, &self.assignment, resume)
                .await
            {
                Ok(opened) if opened.head.status.is_success() => {
                    relay
                        .core()
                        .attempt_started(Instant::now(), self.ticket.id, self.version);
                    return Ok(EventReader::new(opened.body));
                }
                Ok(_) => AttemptOutcome::Failed,
                Err(outcome) => apply_deadline(outcome, self.admitted.deadline),
            };
            relay.record_outcome(&self.admitted, &self.assignment, outcome);
            let step = relay
                .core()
                .attempt_ended(Instant::now(), self.ticket.id, outcome);
            relay.dispatch_waiting();
            if step != NextStep::Wait {
                return Err(refused_step(step));
            }
        }
    }
}

fn refused_step(step: NextStep) -> Refused {
    match step {
        NextStep::Refuse(refusal) => Some((refusal.code, DecisionInputs::default())),
        NextStep::Finish | NextStep::Wait => None,
    }
}
