//! Forwards event streams event by event, across the endpoints that produce them.

use std::time::Instant;

use hyper::Response;

use crate::codes::Code;
use crate::http::{AnswerBody, BodySender, channel};
use crate::log_fields;
use crate::telemetry::{Event, RequestResult};

use super::dialect::Dialect;
use super::events::StreamEvent;
use super::race::{Progress, Race, Refused};

/// Builds the response to the caller and forwards the stream, which begins with `first`, in a new
/// task.
pub(super) fn spawn<D: Dialect>(mut race: Race<D>, first: StreamEvent) -> Response<AnswerBody> {
    let relay = race.relay.clone();
    let (tx, body) = channel();
    let mut answer = Response::new(body);
    if let Some(attempt) = race.running() {
        if let Some(head) = &attempt.head {
            *answer.status_mut() = head.status;
            *answer.headers_mut() = relay.dialect().answer_headers(&head.headers);
        }
        let assignment = &attempt.assignment;
        log_fields!(Event::StreamStarted, {
            request: &*race.admitted.caller.request_id,
            endpoint: &*assignment.endpoint,
            predicted_ms: assignment.predicted.as_millis() as u64,
            in_system: assignment.in_system,
            first_ms: assignment.assigned_at.elapsed().as_millis() as u64,
            prompt: race.admitted.caller.prompt_tokens
        });
    }
    relay
        .inner
        .metrics
        .record_first_byte(&race.admitted.route.name, race.admitted.arrived.elapsed());
    tokio::spawn(async move { forward(&mut race, first, tx).await });
    answer
}

/// Forwards a stream to its end, or until it can't be continued.
async fn forward<D: Dialect>(race: &mut Race<D>, first: StreamEvent, tx: BodySender) {
    let mut progress = Progress::Event(first);
    loop {
        match progress {
            Progress::Event(event) => {
                if !tx.send(event.bytes).await {
                    return abort(race, None);
                }
            }
            Progress::End => {
                race.relay
                    .count_result(&race.admitted, RequestResult::Answered);
                tx.finish().await;
                return;
            }
            Progress::Refused(refused) => return abort(race, Some(refused)),
            // A stream has no whole answer.
            Progress::Answer(_) => return abort(race, Some(Refused::unknown())),
        }
        progress = tokio::select! {
            () = tx.closed() => return abort(race, None),
            progress = race.next() => progress,
        };
    }
}

/// Counts and logs a stream that ends early, without `refused` because its caller left. The caller sees
/// an incomplete body, because its sender is dropped without being finished.
fn abort<D: Dialect>(race: &mut Race<D>, refused: Option<Refused>) {
    let result = match refused {
        None => RequestResult::CallerGone,
        Some(_) => RequestResult::Refused(Code::AnswerBroken),
    };
    if refused.is_none() {
        race.leave();
    }
    let relay = &race.relay;
    relay.core().finish(Instant::now(), race.ticket.id);
    relay.count_result(&race.admitted, result);
    let last = race.last_end();
    let code = refused.as_ref().map(|refused| refused.refusal.code);
    let inputs = refused
        .and_then(|refused| refused.inputs)
        .unwrap_or_default();
    log_fields!(Event::StreamCut, {
        request: &*race.admitted.caller.request_id,
        endpoint: last.map_or("", |(endpoint, _)| &**endpoint),
        end: last.map_or(String::new(), |(_, outcome)| format!("{outcome:?}")),
        events: race.events,
        code: code.map_or(-1, |code| i32::from(code.number())),
        config: inputs.configuration,
        fitting: inputs.eligible,
        best_ms: inputs.predicted_start.map_or(-1, |start| start.as_millis() as i64),
        room_ms: inputs.start_budget.map_or(-1, |budget| budget.as_millis() as i64),
        took_ms: race.admitted.arrived.elapsed().as_millis() as u64
    });
}
