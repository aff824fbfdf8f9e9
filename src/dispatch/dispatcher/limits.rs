//! Limits that endpoints name, in answers and in reports to their agents.

use std::time::Instant;

use rand::Rng;

use crate::dispatch::limit::LimitChange;
use crate::dispatch::notice::Notice;
use crate::dispatch::request::{RunningAttempt, TicketId};
use crate::dispatch::statement::{LimitStatement, Statement, StatementSource};
use crate::types::EndpointId;

use super::Dispatcher;

impl Dispatcher {
    /// Applies what the endpoint of a request's running attempt says of itself in its answer.
    pub fn record_statement(&mut self, now: Instant, ticket: TicketId, statement: &Statement) {
        let request = self.requests.get(&ticket);
        if let Some(running) = request.and_then(|r| r.running.clone()) {
            self.record_statement_of(now, &running, statement);
        }
    }

    /// The same for a request's silent attempt.
    pub fn record_silent_statement(
        &mut self,
        now: Instant,
        ticket: TicketId,
        statement: &Statement,
    ) {
        let request = self.requests.get(&ticket);
        // The driver may not know yet that it is the running one again.
        if let Some(silent) = request.and_then(|r| r.silent.clone().or(r.running.clone())) {
            self.record_statement_of(now, &silent, statement);
        }
    }

    fn record_statement_of(
        &mut self,
        now: Instant,
        attempt: &RunningAttempt,
        statement: &Statement,
    ) {
        let endpoint = self.fleet.get(&attempt.endpoint);
        // An earlier incarnation does not speak for the current one.
        if endpoint.is_some_and(|e| e.process() == attempt.process) {
            let source = StatementSource::Answer;
            self.record_limit(now, &attempt.endpoint, source, &statement.limit);
        }
    }

    pub(super) fn record_limit(
        &mut self,
        now: Instant,
        id: &EndpointId,
        source: StatementSource,
        statement: &LimitStatement,
    ) {
        let Some(endpoint) = self.fleet.get_mut(id) else {
            return;
        };
        let entries = self.entries;
        let phase = || self.rng.random_range(0.0..1.0);
        let change = endpoint
            .limit
            .record(now, source, statement, entries, phase);
        let notice = match change {
            Some(LimitChange::InForce(limit)) => Notice::LimitChanged {
                endpoint: id.clone(),
                incarnation: endpoint.listed.incarnation,
                limit,
                source,
                entries,
            },
            Some(LimitChange::Invalid(text)) => Notice::LimitInvalid {
                endpoint: id.clone(),
                text,
                source,
            },
            None => return,
        };
        self.notify(notice);
    }
}
