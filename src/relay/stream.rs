//! Event streams: passed on event by event, and continued at another endpoint when one breaks.

use std::time::{Duration, Instant};

use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response;

use crate::dispatch::{Assignment, AttemptOutcome, Decision, NextStep, Repeat};
use crate::http::{AnswerBody, BodySender, channel};
use crate::log_fields;
use crate::telemetry::{Event, RequestResult};

use super::answer::Opened;
use super::dialect::{Dialect, ResumePoint};
use super::events::{EventSplitter, StreamEvent};
use super::handle::{Carried, Relay, Ticket, next_data, timed};

/// Silence between events after which a stream is continued elsewhere, as a multiple of the
/// route's longest pause; callers leave after eight.
const SILENT_GAPS: f64 = 3.0;
/// The same where the route names no pause.
const SILENT_DEFAULT: Duration = Duration::from_secs(1);

/// A stream that has begun.
pub(super) struct Flow {
    head: response::Parts,
    version: Option<u64>,
    source: Source,
    first: StreamEvent,
}

/// What is read from one endpoint.
struct Source {
    body: Incoming,
    splitter: EventSplitter,
}

/// What a source gave.
enum Read {
    Event(StreamEvent),
    /// The stream is complete.
    End,
}

impl Source {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            splitter: EventSplitter::default(),
        }
    }

    /// The next whole event, until `until`.
    async fn read(&mut self, until: Instant) -> Result<Read, AttemptOutcome> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Ok(Read::Event(event));
            }
            let data = tokio::time::timeout_at(until.into(), next_data(&mut self.body)).await;
            match data {
                Err(_) => return Err(AttemptOutcome::Silent),
                Ok(Some(Ok(data))) if self.splitter.push(&data) => {}
                Ok(None) if self.splitter.is_empty() => return Ok(Read::End),
                Ok(_) => return Err(AttemptOutcome::Broken),
            }
        }
    }
}

/// Waits for the first whole event, before which another endpoint may still take over unnoticed.
pub(super) async fn first<D: Dialect>(
    relay: &Relay<D>,
    carried: &Carried,
    opened: Opened,
) -> Result<Flow, AttemptOutcome> {
    let Opened { head, says, body } = opened;
    let mut source = Source::new(body);
    let until = relay.silence_until(carried, Instant::now());
    match source.read(until).await? {
        Read::Event(first) => Ok(Flow {
            head,
            version: says.version,
            source,
            first,
        }),
        Read::End => Err(AttemptOutcome::Broken),
    }
}

/// Starts the answer and goes on with it in a task of its own.
pub(super) fn spawn<D: Dialect>(
    ticket: Ticket<D>,
    carried: Carried,
    lease: Assignment,
    flow: Flow,
) -> Response<AnswerBody> {
    let relay = ticket.relay.clone();
    let (tx, body) = channel();
    let mut answer = Response::new(body);
    *answer.status_mut() = flow.head.status;
    *answer.headers_mut() = relay.dialect().answer_headers(&flow.head.headers);
    let now = Instant::now();
    relay.core().attempt_started(now, ticket.id, flow.version);
    log_fields!(Event::StreamStarted, {
        request: &*carried.caller.name,
        endpoint: &*lease.endpoint,
        predicted_ms: lease.predicted.as_millis() as u64,
        in_system: lease.in_system,
        first_ms: now.saturating_duration_since(lease.assigned_at).as_millis() as u64,
        prompt: carried.caller.prompt_tokens
    });
    relay
        .inner
        .metrics
        .record_first_byte(&carried.route.name, carried.arrived.elapsed());
    let pass = Pass {
        ticket,
        carried,
        lease,
        version: flow.version,
        last: None,
        events: 0,
    };
    tokio::spawn(pass.run(flow.source, flow.first, tx));
    answer
}

/// A stream on its way to the caller.
struct Pass<D: Dialect> {
    ticket: Ticket<D>,
    carried: Carried,
    lease: Assignment,
    version: Option<u64>,
    /// Number of the last event that was passed on.
    last: Option<u64>,
    events: u32,
}

impl<D: Dialect> Pass<D> {
    async fn run(mut self, mut source: Source, first: StreamEvent, tx: BodySender) {
        let relay = self.ticket.relay.clone();
        let mut next = Some(first);
        loop {
            let end = self.pass_on(&mut source, next.take(), &tx).await;
            let end = timed(end, self.carried.deadline);
            relay.note_end(&self.carried, &self.lease, end);
            let step = relay
                .core()
                .attempt_ended(Instant::now(), self.ticket.id, end);
            relay.dispatch_waiting();
            match (end, step) {
                (AttemptOutcome::Answered, _) => {
                    relay.count_result(&self.carried, RequestResult::Answered);
                    tx.finish().await;
                    return;
                }
                (_, NextStep::Wait) if self.last.is_some() => {}
                _ => return self.cut(end),
            }
            tokio::select! {
                () = tx.closed() => return self.cut(AttemptOutcome::CallerGone),
                resumed = self.resume() => match resumed {
                    Some(from) => source = from,
                    None => return self.cut(end),
                },
            }
        }
    }

    /// Ends the answer so that the caller sees that it is not whole.
    fn cut(&self, end: AttemptOutcome) {
        let result = match end {
            AttemptOutcome::CallerGone => RequestResult::CallerGone,
            _ => RequestResult::Refused(crate::Code::AnswerBroken),
        };
        self.ticket.relay.count_result(&self.carried, result);
        log_fields!(Event::StreamCut, {
            request: &*self.carried.caller.name,
            endpoint: &*self.lease.endpoint,
            end: format!("{end:?}"),
            events: self.events,
            took_ms: self.carried.arrived.elapsed().as_millis() as u64
        });
    }

    /// Passes events on until the source ends.
    async fn pass_on(
        &mut self,
        source: &mut Source,
        mut next: Option<StreamEvent>,
        tx: &BodySender,
    ) -> AttemptOutcome {
        loop {
            if let Some(event) = next.take() {
                match self.follows(&event) {
                    Some(true) => {
                        if !tx.send(event.bytes).await {
                            return AttemptOutcome::CallerGone;
                        }
                        self.last = event.id.or(self.last);
                        self.events += 1;
                    }
                    // The caller has it already.
                    Some(false) => {}
                    None => return AttemptOutcome::Broken,
                }
            }
            let until = self.silence_until();
            let read = tokio::select! {
                () = tx.closed() => return AttemptOutcome::CallerGone,
                read = source.read(until) => read,
            };
            match read {
                Ok(Read::Event(event)) => next = Some(event),
                Ok(Read::End) => return AttemptOutcome::Answered,
                Err(end) => return end,
            }
        }
    }

    /// Whether an event goes on where the last one ended; `None` when one between is missing.
    fn follows(&self, event: &StreamEvent) -> Option<bool> {
        match (self.last, event.id) {
            (Some(last), Some(id)) if id <= last => Some(false),
            (Some(last), Some(id)) if id > last + 1 => None,
            _ => Some(true),
        }
    }

    fn silence_until(&self) -> Instant {
        let route = &self.carried.route;
        let pause = route
            .gap_goal
            .map_or(SILENT_DEFAULT, |gap| gap.mul_f64(SILENT_GAPS));
        match route.repeat {
            Repeat::Never => self.carried.deadline,
            Repeat::Safe | Repeat::Resumable => self.carried.deadline.min(Instant::now() + pause),
        }
    }

    /// Goes on at another endpoint, after the last event that was passed on.
    async fn resume(&mut self) -> Option<Source> {
        let relay = self.ticket.relay.clone();
        loop {
            self.lease = match relay.place(self.ticket.id).await {
                Decision::Send(lease) => lease,
                Decision::Refuse(..) => return None,
            };
            let resume = ResumePoint {
                last_event_id: self.last,
                version: self.version,
            };
            let end = match relay.open(&self.carried, &self.lease, resume).await {
                Ok(opened) if opened.head.status.is_success() => {
                    relay
                        .core()
                        .attempt_started(Instant::now(), self.ticket.id, self.version);
                    return Some(Source::new(opened.body));
                }
                Ok(_) => AttemptOutcome::Failed,
                Err(end) => timed(end, self.carried.deadline),
            };
            relay.note_end(&self.carried, &self.lease, end);
            let step = relay
                .core()
                .attempt_ended(Instant::now(), self.ticket.id, end);
            relay.dispatch_waiting();
            if step != NextStep::Wait {
                return None;
            }
        }
    }
}
