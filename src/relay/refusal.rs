//! Refusals to callers.

use std::time::Instant;

use hyper::Response;

use crate::codes::RunState;
use crate::dispatch::{CallerRequest, DecisionInputs};
use crate::http::AnswerBody;
use crate::log_fields;
use crate::telemetry::{Event, RequestResult};
use crate::types::Refusal;

use super::dialect::Dialect;
use super::handle::Relay;
use super::notice::{digest_text, prompt_parts_text};

impl<D: Dialect> Relay<D> {
    /// Answers with a refusal for which the core gave no decision inputs.
    pub(super) fn refuse(
        &self,
        arrived: Instant,
        req: Option<&CallerRequest>,
        route: &str,
        refusal: &Refusal,
    ) -> Response<AnswerBody> {
        let configuration = self
            .core()
            .configuration()
            .map_or(0, |configuration| configuration.version);
        let inputs = DecisionInputs {
            configuration,
            ..DecisionInputs::default()
        };
        self.refuse_with_inputs(arrived, req, route, refusal, inputs)
    }

    /// Answers with a refusal and logs the inputs of the decision.
    pub(super) fn refuse_with_inputs(
        &self,
        arrived: Instant,
        req: Option<&CallerRequest>,
        route: &str,
        refusal: &Refusal,
        inputs: DecisionInputs,
    ) -> Response<AnswerBody> {
        let result = RequestResult::Refused(refusal.code);
        self.inner.metrics.count_request(route, result);
        log_fields!(Event::RequestRefused, {
            request: req.map_or("", |req| &*req.request_id),
            digest: req.map_or(String::new(), |req| digest_text(req.fingerprint)),
            route: route,
            code: refusal.code.number(),
            not_run: refusal.code.run_state() == RunState::NotRun,
            retry_after_ms: refusal.retry_after.map_or(-1, |wait| wait.as_millis() as i64),
            config: inputs.configuration,
            fitting: inputs.eligible,
            best_ms: inputs.predicted_start.map_or(-1, |start| start.as_millis() as i64),
            room_ms: inputs.start_budget.map_or(-1, |budget| budget.as_millis() as i64),
            prompt_parts: prompt_parts_text(&refusal.prompt_parts),
            asking_for_ms: inputs.since_first_attempt.as_millis() as u64,
            held_ms: arrived.elapsed().as_millis() as u64
        });
        let request_id = req.map(|req| &req.request_id);
        self.inner.dialect.refusal_response(request_id, refusal)
    }
}
