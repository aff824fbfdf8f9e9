//! Waiting requests by class: target, rank, and whether their callers return after a refusal.

use std::time::{Duration, Instant};

use crate::dispatch::patterns::Rank;
use crate::dispatch::request::{RequestState, TicketId};
use crate::types::TargetId;

use super::Dispatcher;

/// Requests that are decided on in the order of their first attempts.
pub(super) type Class = (TargetId, Rank, bool);

/// Class of a request; `None` without ranks.
fn class(request: &RequestState) -> Option<Class> {
    let rank = request.rank?;
    Some((request.target.clone(), rank, request.is_returning))
}

impl Dispatcher {
    /// Counts a request that begins to wait.
    pub(super) fn join_backlog(&mut self, now: Instant, ticket: TicketId) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        if let Some(class) = class(request).filter(|_| self.cfg.mitigations.backlog) {
            let backlog = self.backlogs.entry(class).or_default();
            backlog.insert(now, request.first_attempt_at, ticket);
        }
    }

    /// Removes a request that waits no longer; `is_sent` unless it was refused or its caller left.
    pub(super) fn leave_backlog(&mut self, now: Instant, ticket: TicketId, is_sent: bool) {
        let request = self.requests.get(&ticket);
        let Some((class, first)) = request.and_then(|r| Some((class(r)?, r.first_attempt_at)))
        else {
            return;
        };
        if let Some(backlog) = self.backlogs.get_mut(&class) {
            backlog.remove(now, first, ticket, is_sent);
        }
    }

    /// True when a waiting request is not sent within `left` for all those of its class that wait before it.
    pub(super) fn backlog_outlasts(&self, now: Instant, ticket: TicketId, left: Duration) -> bool {
        let Some(request) = self.requests.get(&ticket) else {
            return false;
        };
        let backlog = class(request).and_then(|class| self.backlogs.get(&class));
        request.attempts.sent == 0
            && backlog.is_some_and(|b| b.outlasts(now, request.first_attempt_at, ticket, left))
    }
}
