//! Recall of attempts that wait at an engine until its version ends.
//!
//! Whether an engine has begun an attempt is known from its first event only. One without it may have
//! run, and is repeated or refused as such.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::dispatch::endpoint::Endpoint;
use crate::dispatch::estimate::EngineModel;
use crate::dispatch::fleet::Fleet;
use crate::dispatch::request::{Recall, RequestState, RunningAttempt, TicketId};
use crate::dispatch::shared_places::Sharing;

use super::Dispatcher;
use super::assign::engine_model;

/// Factor on the predicted time to the first event, for an engine whose version ends: a prediction that
/// is too short costs an attempt.
const START_UNCERTAINTY: u32 = 2;
/// Assumed wait at an engine whose load is not known: a full queue takes about as long.
const UNKNOWN_WAIT: Duration = Duration::from_secs(2);

/// Requests with attempts that have to begin by some time, earliest first.
///
/// Invariant: contains exactly the requests with
/// [`start_bound`](crate::dispatch::request::RequestState::start_bound) set.
pub(super) type StartBounds = BTreeSet<(Instant, TicketId)>;

impl Dispatcher {
    /// Takes back the attempts that have not begun by the time at which they must have, and returns
    /// their requests. The driver closes their connections and ends each with
    /// [`AttemptOutcome::Recalled`](crate::dispatch::AttemptOutcome::Recalled).
    pub fn recall_overdue(&mut self, now: Instant) -> Vec<TicketId> {
        let mut recalled = Vec::new();
        while let Some((_, ticket)) = self.start_bounds.first().filter(|(at, _)| *at <= now) {
            let ticket = *ticket;
            // The engine may have changed its version since.
            self.update_start_bound(now, ticket);
            let Some(request) = self.requests.get_mut(&ticket) else {
                continue;
            };
            let mut is_recalled = false;
            for attempt in request.open_attempts_mut().filter(|a| a.may_be_queued()) {
                if let Some(bound) = attempt.start_bound.filter(|bound| *bound <= now) {
                    attempt.recall = Some(Recall {
                        endpoint: attempt.endpoint.clone(),
                        version: attempt.version,
                        waited: now.saturating_duration_since(attempt.since),
                        allowed: bound.saturating_duration_since(attempt.since),
                        way: attempt.way,
                    });
                    is_recalled = true;
                }
            }
            if is_recalled {
                recalled.push(ticket);
                self.update_start_bound(now, ticket);
            }
        }
        recalled
    }

    /// How an attempt of a request was taken back that has not ended since; `None` without one.
    pub fn recall(&self, ticket: TicketId) -> Option<Recall> {
        let mut attempts = self.requests.get(&ticket)?.open_attempts();
        attempts.find_map(|attempt| attempt.recall.clone())
    }

    /// True when an attempt that was assigned to an endpoint, and whose connection stands now, may still be
    /// sent there. The process may have stood still since, and the connection takes time.
    pub fn may_send(&mut self, now: Instant, ticket: TicketId, endpoint: &str) -> bool {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return false;
        };
        for attempt in request.open_attempts_mut() {
            if *attempt.endpoint == *endpoint {
                attempt.way = now.saturating_duration_since(attempt.since);
            }
        }
        self.update_start_bound(now, ticket);
        let Some(request) = self.requests.get(&ticket) else {
            return false;
        };
        let mut attempts = request.open_attempts();
        let Some(attempt) = attempts.find(|attempt| *attempt.endpoint == *endpoint) else {
            return false;
        };
        let listed = self.fleet.get(endpoint);
        let version = attempt.model.as_deref().zip(attempt.version);
        let end = version.and_then(|(model, version)| {
            let grace = self.cfg.version_grace;
            self.fleet.version_end(now, model, version, grace)
        });
        let configuration = self.configuration.as_deref();
        let engine = configuration.and_then(|cfg| engine_model(cfg, request));
        attempt.recall.is_none()
            && self.ends_before_stop(now, request, engine, listed)
            && end.is_none_or(|end| now < end)
            && attempt.start_bound.is_none_or(|bound| now < bound)
            && listed
                .is_some_and(|e| self.fleet.is_in_service(now, e) && self.fleet.accepts(now, e))
    }

    /// True when an attempt of a request must begin by some time.
    pub fn has_start_bound(&self, ticket: TicketId) -> bool {
        let request = self.requests.get(&ticket);
        request.is_some_and(|request| request.start_bound.is_some())
    }

    /// Computes the bounds of all attempts anew, as another naming time of a version is known.
    pub(super) fn update_start_bounds(&mut self, now: Instant) {
        let open = self
            .requests
            .iter()
            .filter(|(_, request)| request.open_attempts().any(RunningAttempt::may_be_queued));
        let open: Vec<TicketId> = open.map(|(ticket, _)| *ticket).collect();
        for ticket in open {
            self.update_start_bound(now, ticket);
        }
    }

    /// Computes by when the attempts of a request must have begun.
    pub(super) fn update_start_bound(&mut self, now: Instant, ticket: TicketId) {
        self.clear_start_bound(ticket);
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let (fleet, grace) = (&self.fleet, self.cfg.version_start_grace);
        let queued = request.open_attempts_mut().filter(|a| a.may_be_queued());
        let bounds = queued.filter_map(|attempt| {
            attempt.start_bound = start_bound(fleet, now, attempt, grace);
            attempt.start_bound
        });
        request.start_bound = bounds.min();
        if let Some(bound) = request.start_bound {
            self.start_bounds.insert((bound, ticket));
        }
    }

    /// Removes the bound of a request, if any.
    pub(super) fn clear_start_bound(&mut self, ticket: TicketId) {
        let request = self.requests.get_mut(&ticket);
        if let Some(bound) = request.and_then(|request| request.start_bound.take()) {
            self.start_bounds.remove(&(bound, ticket));
        }
    }

    /// True when an engine is expected to begin a request before its version ends, though the other
    /// entries may send to it at the same time.
    pub(super) fn starts_in_time(
        &self,
        now: Instant,
        endpoint: &Endpoint,
        engine: Option<&EngineModel>,
        request: &RequestState,
        sharing: Sharing,
    ) -> bool {
        let model = request.model.as_deref();
        let version = endpoint.model(model).zip(endpoint.version(model));
        let grace = self.cfg.version_start_grace;
        let end =
            version.and_then(|(model, version)| self.fleet.version_end(now, model, version, grace));
        let Some((end, engine)) = end.zip(engine) else {
            return true;
        };
        let predicted = endpoint.predict_crowded(now, engine, request.prompt_tokens, sharing);
        let uncertainty = endpoint.load_age(now).unwrap_or(UNKNOWN_WAIT);
        now + predicted * START_UNCERTAINTY + uncertainty < end
    }
}

/// Time by which an attempt must have begun; `None` for no bound.
fn start_bound(
    fleet: &Fleet,
    now: Instant,
    attempt: &mut RunningAttempt,
    grace: Duration,
) -> Option<Instant> {
    let endpoint = fleet.get(&attempt.endpoint);
    if let Some(endpoint) = endpoint.filter(|e| e.process() == attempt.process) {
        // A queued request begins on the version that the engine has by then.
        let version = endpoint.version(attempt.model.as_deref());
        attempt.version = attempt.version.max(version);
    }
    let (model, version) = attempt.model.as_deref().zip(attempt.version)?;
    let end = fleet.version_end(now, model, version, grace)?;
    // A close is as late as the request was: this process is busy, or the link is.
    Some(end.checked_sub(attempt.way).unwrap_or(end))
}
