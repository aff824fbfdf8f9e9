//! What endpoints say of themselves, in answers and in reports to their agents.

use std::time::Instant;

use rand::Rng;

use crate::dispatch::crash_watch::EndpointProcess;
use crate::dispatch::endpoint::EndpointKey;
use crate::dispatch::limit::LimitChange;
use crate::dispatch::notice::Notice;
use crate::dispatch::request::{RunningAttempt, TicketId};
use crate::dispatch::rest::RestChange;
use crate::dispatch::statement::{LimitStatement, RestStatement, Statement, StatementSource};
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
        self.is_changed = true;
        let (id, process) = (attempt.endpoint.clone(), attempt.process);
        let key = (process.incarnation, id.clone());
        self.record_rest(now, key.clone(), &statement.rest);
        if statement.is_leaving {
            self.record_leaving(key, process, StatementSource::Answer);
        }
        // An earlier incarnation does not speak for the current one.
        let endpoint = self.fleet.get(&id);
        if endpoint.is_some_and(|e| e.process() == process) {
            self.record_limit(now, &id, StatementSource::Answer, &statement.limit);
        }
    }

    /// Applies what an endpoint says of itself in a report of its current incarnation. A rest that it asks of
    /// its agent says nothing to this entry.
    pub(super) fn record_report(&mut self, now: Instant, id: &EndpointId, statement: &Statement) {
        let Some(endpoint) = self.fleet.get(id) else {
            return;
        };
        let (key, process) = (endpoint.key(), endpoint.process());
        if statement.is_leaving {
            self.record_leaving(key, process, StatementSource::Agent);
        }
        self.record_limit(now, id, StatementSource::Agent, &statement.limit);
    }

    fn record_rest(&mut self, now: Instant, key: EndpointKey, statement: &RestStatement) {
        let phase = || self.rng.random_range(0.0..1.0);
        let change = self.fleet.rests.record(now, key.clone(), statement, phase);
        let (incarnation, endpoint) = key;
        let notice = match (change, statement) {
            (Some(RestChange::Began(kept)), RestStatement::For(named)) => Notice::RestBegan {
                endpoint,
                incarnation,
                named: *named,
                kept,
            },
            (Some(RestChange::Invalid(text)), _) => Notice::RestInvalid { endpoint, text },
            _ => return,
        };
        self.notify(notice);
    }

    /// Ends the rests whose time has passed.
    pub(super) fn end_rests(&mut self, now: Instant) {
        for ((incarnation, endpoint), answers) in self.fleet.rests.end_passed(now) {
            self.is_changed = true;
            self.notify(Notice::RestEnded {
                endpoint,
                incarnation,
                answers,
            });
        }
    }

    fn record_leaving(
        &mut self,
        key: EndpointKey,
        process: EndpointProcess,
        source: StatementSource,
    ) {
        // Its end is not a crash.
        self.crash_watch.leaving(process);
        if self.fleet.leaving.insert(key.clone()) {
            let (incarnation, endpoint) = key;
            self.notify(Notice::LeavingAnnounced {
                endpoint,
                incarnation,
                source,
            });
        }
    }

    fn record_limit(
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
