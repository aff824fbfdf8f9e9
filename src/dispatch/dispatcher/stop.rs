//! Planned stop of the entry: nothing is begun that may not end before it.
//!
//! The caller of a refused request can try another entry at once; a request that the stop interrupts has
//! run in part, and its outcome is unknown. So bounds on the time of a request are cautious,
//! most of all where it must run once.

use std::time::{Duration, Instant};

use crate::codes::Code;
use crate::dispatch::configuration::Repeat;
use crate::dispatch::endpoint::Endpoint;
use crate::dispatch::estimate::EngineModel;
use crate::dispatch::patterns::retry_after_stop;
use crate::dispatch::request::{RequestState, TicketId};
use crate::types::Refusal;

use super::Dispatcher;

/// Factor on the expected time of a request that may be repeated.
const UNCERTAINTY: u32 = 2;
/// Factor on the longest recent time of requests that must run once.
const UNCERTAINTY_ONCE: u32 = 4;
/// Time that a request needs besides: its connection, and short stalls on the way.
const OVERHEAD: Duration = Duration::from_millis(250);
/// Pause after which waiting requests are looked at again, since predictions change.
const CHECK_PAUSE: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Begins the stop: every request ends by `stop_at`, and none is sent that may not end before. A
    /// later call changes nothing.
    pub fn begin_stop(&mut self, stop_at: Instant) {
        self.stop_at.get_or_insert(stop_at);
        self.is_changed = true;
    }

    /// Time by which every request ends because the entry stops; `None` before a stop.
    pub fn stop_at(&self) -> Option<Instant> {
        self.stop_at
    }

    /// Refusal of a request that can't end before the stop.
    pub fn refuse_stopping(&mut self) -> Refusal {
        Refusal::new(Code::Stopping).with_retry_after(retry_after_stop(&mut self.rng))
    }

    /// Deadline for the whole answer of a request.
    pub fn deadline(&self, ticket: TicketId) -> Option<Instant> {
        self.requests
            .get(&ticket)
            .map(|request| self.bounded(request.deadline))
    }

    /// A deadline, or the stop if that is sooner.
    pub(super) fn bounded(&self, deadline: Instant) -> Instant {
        self.stop_at.map_or(deadline, |at| at.min(deadline))
    }

    /// True when a request is expected to end before the stop if it is sent now, to an endpoint or, if
    /// none is named, to one that begins it at once.
    pub(super) fn ends_before_stop(
        &self,
        now: Instant,
        request: &RequestState,
        engine: Option<&EngineModel>,
        endpoint: Option<&Endpoint>,
    ) -> bool {
        self.stop_at.is_none_or(|at| {
            now < at && now + self.longest_run(now, request, engine, endpoint) <= at
        })
    }

    /// The endpoints at which a request is expected to end before the stop; `None` when there is none,
    /// and waiting for another one is of no use.
    pub(super) fn ending_before_stop<'a>(
        &self,
        now: Instant,
        request: &RequestState,
        engine: Option<&EngineModel>,
        mut endpoints: Vec<&'a Endpoint>,
    ) -> Option<Vec<&'a Endpoint>> {
        if !self.ends_before_stop(now, request, engine, None) {
            return None;
        }
        let had_any = !endpoints.is_empty();
        endpoints.retain(|e| self.ends_before_stop(now, request, engine, Some(e)));
        (!had_any || !endpoints.is_empty()).then_some(endpoints)
    }

    /// Time after which waiting requests have to be looked at again because of the stop.
    pub(super) fn next_stop_check(&self) -> Option<Instant> {
        let stop_at = self.stop_at.filter(|_| !self.queue.is_empty())?;
        let last = self.last_dispatch.unwrap_or(stop_at);
        Some(stop_at.min(last + CHECK_PAUSE).max(last))
    }

    /// Cautious bound on the time of a request from sending to the end of the answer. Its deadline
    /// bounds it too, and is all that is known of one that must run once on a route without answers.
    fn longest_run(
        &self,
        now: Instant,
        request: &RequestState,
        engine: Option<&EngineModel>,
        endpoint: Option<&Endpoint>,
    ) -> Duration {
        let left = request.deadline.saturating_duration_since(now);
        let predicted = endpoint.map_or(Duration::ZERO, |e| {
            e.predict(now, engine, request.prompt_tokens, self.entries)
        });
        let expected = match engine {
            Some(engine) => {
                let tokens = request.answer_tokens.map(f64::from);
                let tokens = tokens.unwrap_or(engine.mean_answer_tokens);
                let slowdown = endpoint.map_or(1.0, |e| e.slowdown(now).max(1.0));
                predicted + engine.decode_time(tokens).mul_f64(slowdown)
            }
            None => predicted,
        };
        let is_continued = request.version.is_some();
        let run = match request.route.repeat {
            Repeat::Never => {
                let times = &self.work_times;
                match times.longest(now, &request.route.name, &request.target) {
                    Some(longest) => expected.max(longest) * UNCERTAINTY_ONCE + OVERHEAD,
                    None => left,
                }
            }
            // The caller has the beginning; an end that is missing loses nothing more.
            Repeat::Safe | Repeat::Resumable if is_continued => expected,
            Repeat::Safe | Repeat::Resumable => expected * UNCERTAINTY + OVERHEAD,
        };
        run.min(left)
    }
}
