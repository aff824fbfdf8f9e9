//! Attempts that the core takes back.

use std::pin::pin;

use crate::dispatch::{Recall, TicketId};
use crate::log_fields;
use crate::telemetry::Event;

use super::dialect::Dialect;
use super::handle::Relay;
use super::ticket::Ticket;

impl<D: Dialect> Relay<D> {
    /// Waits until the core takes back an attempt of a request, whose connection must then be closed:
    /// the endpoint drops a request that it has not begun.
    pub(super) async fn recalled(&self, id: TicketId) -> Recall {
        loop {
            let mut notified = pin!(self.inner.recalled.notified());
            // A recall between the check and the wait is not missed.
            notified.as_mut().enable();
            let recall = self.core().recall(id);
            match recall {
                Some(recall) => return recall,
                None => notified.await,
            }
        }
    }
}

impl<D: Dialect> Ticket<D> {
    /// Logs that the core takes back an attempt.
    pub(super) fn log_recall(&self, recall: &Recall) {
        log_fields!(Event::AttemptRecalled, {
            request: &*self.request_id,
            endpoint: &*recall.endpoint,
            version: recall.version.map_or(-1, |version| version as i64),
            allowed_ms: recall.allowed.as_millis() as u64,
            way_ms: recall.way.as_millis() as u64,
            waited_ms: recall.waited.as_millis() as u64
        });
    }
}
