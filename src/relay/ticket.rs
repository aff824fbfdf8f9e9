//! Life of an admitted request in the core.

use std::sync::Arc;
use std::time::Instant;

use crate::dispatch::{Departure, Route, TicketId};
use crate::log_fields;
use crate::telemetry::{AttemptResult, Event, RequestResult};

use super::dialect::Dialect;
use super::handle::Relay;

/// Removes a request from the core when dropped, also when its handler is cancelled because the
/// caller left.
pub(super) struct Ticket<D: Dialect> {
    pub relay: Relay<D>,
    pub id: TicketId,
    pub request_id: Arc<str>,
    pub route: Arc<Route>,
    pub arrived: Instant,
}

impl<D: Dialect> Drop for Ticket<D> {
    fn drop(&mut self) {
        let departure = self
            .relay
            .without_decision(self.id, |core| core.finish(Instant::now(), self.id));
        if let Some(departure) = departure {
            self.record_departure(&departure);
        }
        self.relay.dispatch_waiting();
    }
}

impl<D: Dialect> Ticket<D> {
    /// Logs and counts a caller that left before its answer started.
    fn record_departure(&self, departure: &Departure) {
        let metrics = &self.relay.inner.metrics;
        metrics.count_request(&self.route.name, RequestResult::CallerGone);
        for (endpoint, _) in &departure.open {
            metrics.count_attempt(endpoint, AttemptResult::CallerGone);
        }
        let running = departure.open.first();
        log_fields!(Event::CallerLeft, {
            request: &*self.request_id,
            route: &*self.route.name,
            endpoint: running.map_or("", |(endpoint, _)| endpoint),
            attempt: departure.attempts,
            attempt_ms: running.map_or(-1, |(_, since)| since.as_millis() as i64),
            took_ms: self.arrived.elapsed().as_millis() as u64
        });
    }
}
