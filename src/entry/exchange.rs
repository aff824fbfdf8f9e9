//! Serves one request from its arrival to its final answer.

use std::sync::Arc;
use std::time::Instant;

use hyper::Response;
use tokio::sync::oneshot;

use crate::answer::StoredAnswer;
use crate::codes::Code;
use crate::http::{AnswerBody, TrafficClient};
use crate::telemetry::{InFlight, Metrics, RequestResult};
use crate::types::{EntryId, Refusal, RequestId};

use super::attempt::{Attempt, AttemptLimits, AttemptRun};
use super::caller::Caller;
use super::control::{Command, CommandReceiver, ControlHandle};
use super::core::{Dispatch, EntryEvent};
use super::request::ParsedRequest;

/// Dependencies that all exchanges of an entry share.
pub(super) struct ExchangeContext {
    pub(super) client: TrafficClient,
    pub(super) control: ControlHandle,
    pub(super) entry: EntryId,
    pub(super) limits: AttemptLimits,
    pub(super) metrics: Metrics,
}

/// A request in progress, with the connection to its caller.
pub(super) struct Exchange {
    cx: Arc<ExchangeContext>,
    req: RequestId,
    request: ParsedRequest,
    commands: CommandReceiver,
    caller: Caller,
    /// Number of stream events that the caller has received.
    delivered: u64,
    /// Answer that is sent when the core reports the request as complete. For a keyed request, that
    /// is after its outcome was recorded.
    pending_answer: Option<StoredAnswer>,
    arrived_at: Instant,
    _in_flight: InFlight,
}

impl Exchange {
    /// Submits the request to the control thread.
    pub(super) fn new(
        cx: Arc<ExchangeContext>,
        request: ParsedRequest,
        tx: oneshot::Sender<Response<AnswerBody>>,
    ) -> Self {
        let (req, commands) = cx.control.submit(request.meta.clone());
        let caller = Caller::Waiting(tx);
        let in_flight = cx.metrics.track_in_flight();
        Self {
            cx,
            req,
            request,
            commands,
            caller,
            delivered: 0,
            pending_answer: None,
            arrived_at: Instant::now(),
            _in_flight: in_flight,
        }
    }

    /// Executes commands until the request has ended.
    pub(super) async fn run(mut self) {
        let mut next = self.next_command().await;
        while let Some(command) = next {
            next = match command {
                Command::Dispatch(dispatch) => match self.run_attempt(&dispatch).await {
                    Some(command) => Some(command),
                    None => self.next_command().await,
                },
                Command::Refuse(refusal) => return self.refuse(refusal).await,
                Command::Replay(text) => return self.replay(&text).await,
                Command::Complete => return self.complete().await,
            };
        }
    }

    fn is_keyed(&self) -> bool {
        self.request.meta.key.is_some()
    }

    /// Waits for the next command; `None` when the caller has left or the control thread has ended.
    async fn next_command(&mut self) -> Option<Command> {
        let is_caller_watched = !self.is_keyed() && self.caller.is_connected();
        tokio::select! {
            biased;
            command = self.commands.recv() => command,
            () = self.caller.closed(), if is_caller_watched => {
                self.report_caller_gone();
                None
            }
        }
    }

    /// Runs an attempt to its end, or until the entry stops, with a command that is returned.
    async fn run_attempt(&mut self, dispatch: &Dispatch) -> Option<Command> {
        let attempt = Attempt {
            client: &self.cx.client,
            control: &self.cx.control,
            entry: &self.cx.entry,
            limits: self.cx.limits,
            metrics: &self.cx.metrics,
            arrived_at: self.arrived_at,
            request: &self.request,
            dispatch,
        };
        let is_keyed = self.is_keyed();
        let run = tokio::select! {
            biased;
            run = attempt.run(&mut self.caller, &mut self.delivered) => run,
            Some(command) = self.commands.recv(), if !is_keyed => return Some(command),
        };
        match run {
            AttemptRun::CallerGone => {
                self.caller = Caller::Gone;
                self.cx
                    .control
                    .send_event(EntryEvent::CallerGone { req: self.req });
            }
            AttemptRun::Ended(outcome, answer) => {
                let record = answer
                    .as_ref()
                    .filter(|_| self.is_keyed())
                    .map(StoredAnswer::to_text);
                self.pending_answer = answer;
                self.cx.control.send_event(EntryEvent::AttemptEnded {
                    req: self.req,
                    attempt: dispatch.attempt.clone(),
                    outcome,
                    answer: record,
                });
            }
        }
        None
    }

    fn report_caller_gone(&self) {
        self.cx
            .control
            .send_event(EntryEvent::CallerGone { req: self.req });
        self.count_result(RequestResult::CallerGone);
    }

    fn count_result(&self, result: RequestResult) {
        self.cx
            .metrics
            .count_request(&self.request.meta.class, result);
    }

    async fn complete(mut self) {
        match self.pending_answer.take() {
            Some(answer) => self.send_stored(answer, RequestResult::Answered).await,
            None => {
                self.count_result(RequestResult::Answered);
                self.caller.finish().await;
            }
        }
    }

    async fn replay(self, text: &str) {
        match StoredAnswer::from_text(text) {
            Some(answer) => self.send_stored(answer, RequestResult::Replayed).await,
            None => self.refuse(Refusal::new(Code::OutcomeUnknown)).await,
        }
    }

    /// Sends a whole answer. One that is no HTTP response is not replaced by an empty success.
    async fn send_stored(self, answer: StoredAnswer, result: RequestResult) {
        match answer.into_response() {
            Some(response) => {
                self.count_result(result);
                self.caller.send_answer(response);
            }
            None => self.refuse(Refusal::new(Code::OutcomeUnknown)).await,
        }
    }

    async fn refuse(self, refusal: Refusal) {
        self.count_result(RequestResult::Refused(refusal.code));
        self.caller
            .refuse(&refusal, self.cx.limits.write_timeout)
            .await;
    }
}
