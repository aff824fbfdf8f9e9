//! Follows one request from its arrival to its final answer.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use hyper::Response;
use tokio::sync::oneshot;

use crate::answer::StoredAnswer;
use crate::codes::Code;
use crate::http::{AnswerBody, TrafficClient};
use crate::telemetry::{InFlight, Metrics, RequestResult};
use crate::types::{EntryId, Refusal, RequestId};

use super::attempt::{Attempt, AttemptLimits, Attempted};
use super::caller::Caller;
use super::control::{Command, Commands, Control};
use super::core::{Dispatch, EntryEvent};
use super::request::ParsedRequest;

/// What every exchange of an entry shares.
pub(super) struct ExchangeContext {
    pub(super) client: TrafficClient,
    pub(super) control: Control,
    pub(super) entry: EntryId,
    pub(super) limits: AttemptLimits,
    pub(super) metrics: Metrics,
}

/// A request in progress.
pub(super) struct Exchange {
    cx: Arc<ExchangeContext>,
    req: RequestId,
    request: ParsedRequest,
    commands: Commands,
    caller: Caller,
    /// Events of a stream that the caller already has.
    delivered: u64,
    /// Answer of a keyed request that waits for its record.
    held: Option<StoredAnswer>,
    since: Instant,
    _in_flight: InFlight,
}

impl Exchange {
    /// Hands the request to the decision logic.
    pub(super) fn new(
        cx: Arc<ExchangeContext>,
        request: ParsedRequest,
        tx: oneshot::Sender<Response<AnswerBody>>,
    ) -> Self {
        let (req, commands) = cx.control.request(request.meta.clone());
        let caller = Caller::Waiting(tx);
        let in_flight = cx.metrics.in_flight();
        Self {
            cx,
            req,
            request,
            commands,
            caller,
            delivered: 0,
            held: None,
            since: Instant::now(),
            _in_flight: in_flight,
        }
    }

    /// Follows the commands to the end.
    pub(super) async fn run(mut self) {
        while let Some(command) = self.next_command().await {
            match command {
                Command::Dispatch(dispatch) => self.dispatch(&dispatch).await,
                Command::Refuse(refusal) => return self.refuse(refusal).await,
                Command::Replay(text) => return self.replay(&text).await,
                Command::Complete => return self.complete().await,
            }
        }
    }

    fn is_keyed(&self) -> bool {
        self.request.meta.key.is_some()
    }

    /// The next command; `None` when the caller or the control thread is gone.
    async fn next_command(&mut self) -> Option<Command> {
        let may_abandon = !self.is_keyed() && self.caller.is_there();
        tokio::select! {
            biased;
            command = self.commands.recv() => command,
            () = self.caller.closed(), if may_abandon => {
                self.caller_gone();
                None
            }
        }
    }

    async fn dispatch(&mut self, dispatch: &Dispatch) {
        let attempt = Attempt {
            client: &self.cx.client,
            control: &self.cx.control,
            entry: &self.cx.entry,
            limits: self.cx.limits,
            metrics: &self.cx.metrics,
            since: self.since,
            request: &self.request,
            dispatch,
        };
        match attempt.run(&mut self.caller, &mut self.delivered).await {
            Attempted::CallerGone => {
                self.caller = Caller::Gone;
                self.cx
                    .control
                    .event(EntryEvent::CallerGone { req: self.req });
            }
            Attempted::Ended(end, answer) => {
                let record = answer
                    .as_ref()
                    .filter(|_| self.is_keyed())
                    .map(StoredAnswer::to_text);
                self.held = answer;
                self.cx.control.event(EntryEvent::AttemptEnded {
                    req: self.req,
                    attempt: dispatch.attempt.clone(),
                    outcome: end,
                    answer: record,
                });
            }
        }
    }

    fn caller_gone(&self) {
        self.cx
            .control
            .event(EntryEvent::CallerGone { req: self.req });
        self.count(RequestResult::CallerGone);
    }

    fn count(&self, result: RequestResult) {
        self.cx.metrics.request(&self.request.meta.class, result);
    }

    async fn complete(self) {
        self.count(RequestResult::Answered);
        match self.held {
            Some(answer) => respond(self.caller, answer),
            None => self.caller.finish().await,
        }
    }

    async fn replay(self, text: &str) {
        match StoredAnswer::from_text(text) {
            Some(answer) => {
                self.count(RequestResult::Replayed);
                respond(self.caller, answer);
            }
            None => self.refuse(Refusal::new(Code::OutcomeUnknown)).await,
        }
    }

    async fn refuse(self, refusal: Refusal) {
        self.count(RequestResult::Refused(refusal.code));
        self.caller
            .refuse(&refusal, self.cx.limits.write_timeout)
            .await;
    }
}

fn respond(caller: Caller, answer: StoredAnswer) {
    let response = answer
        .into_response()
        .unwrap_or_else(|| Response::new(Bytes::new()));
    caller.answer(response);
}
