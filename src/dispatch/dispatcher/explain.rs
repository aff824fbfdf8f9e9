//! Explains where a request would go now, without sending it.

use std::time::{Duration, Instant};

use crate::codes::Code;
use crate::dispatch::endpoint::Endpoint;
use crate::dispatch::exclusion::Exclusion;
use crate::dispatch::fleet::EndpointQuery;
use crate::dispatch::request::{CallerRequest, RequestState};
use crate::types::{EndpointId, Refusal, TargetId, ZoneId};

use super::assign::engine_model;
use super::{Decision, Dispatcher};

/// A request to explain.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct ExplainQuery {
    /// Host name that the caller asks for.
    pub host: String,
    /// Path without the query string.
    pub path: String,
    /// Customer that it belongs to; `None` for an anonymous request.
    pub customer: Option<String>,
    /// Model that it names; `None` for the first one of its target.
    pub model: Option<String>,
    /// Length of the prompt in tokens; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Expected length of the answer in tokens; `None` for the usual one.
    pub answer_tokens: Option<u32>,
}

/// Where a request would go, and what else was considered.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Explanation {
    /// Version of the configuration in force; 0 before the first.
    pub configuration: u64,
    /// Name of the route; `None` when the request is refused before one is found.
    pub route: Option<String>,
    /// Model or service that the request would go to.
    pub target: Option<TargetId>,
    /// Number of requests that wait now.
    pub waiting: usize,
    /// Share of the requests for the target on routes of this priority that may leave the zone of this entry, from 0 to
    /// 1; `None` where this is not decided.
    pub zone_share: Option<f64>,
    /// What would happen to it.
    pub outcome: Outcome,
    /// Endpoints of the target, those that may run the request first, then by predicted start.
    pub candidates: Vec<Candidate>,
}

/// What would happen to a request.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Outcome {
    /// It would be sent at once.
    Sent {
        /// Endpoint that it would be sent to.
        endpoint: EndpointId,
    },
    /// It would wait for an endpoint.
    Waits {
        /// Time after which it would be refused, in milliseconds.
        longest_ms: u64,
    },
    /// It would be refused at once.
    Refused {
        /// Number of the refusal.
        code: u16,
        /// Meaning of the number.
        reason: String,
        /// Time after which the caller may return, in milliseconds; `None` without such a time.
        retry_after_ms: Option<u64>,
    },
}

/// An endpoint of the request's target.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Candidate {
    /// Unique name.
    pub endpoint: EndpointId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Estimated number of requests running or queued there.
    pub in_system: u32,
    /// Predicted time to the start of the answer, in milliseconds.
    pub predicted_ms: u64,
    /// Age of the last load report in milliseconds; `None` without a recent one.
    pub load_age_ms: Option<u64>,
    /// Weight version that it serves; `None` without one.
    pub version: Option<u64>,
    /// Why it is not considered; `None` when it is.
    pub excluded: Option<String>,
}

impl Dispatcher {
    /// Explains where a request would go. The decision is made on a copy of this dispatcher, so nothing is sent,
    /// counted or remembered. Targets by weight and engines that are compared are drawn at random, as for a request.
    pub fn explain(&self, now: Instant, query: &ExplainQuery) -> Explanation {
        let req = self.example_request(query);
        let mut copy = self.clone();
        let mut explanation = Explanation {
            configuration: self.configuration.as_ref().map_or(0, |c| c.version),
            route: None,
            target: None,
            waiting: self.queue.len(),
            zone_share: None,
            outcome: Outcome::Waits { longest_ms: 0 },
            candidates: Vec::new(),
        };
        copy.settle(now);
        let ticket = match copy.admit(now, &req) {
            Ok(ticket) => ticket,
            Err(refusal) => {
                explanation.outcome = Outcome::from(&refusal);
                return explanation;
            }
        };
        if let Some(request) = copy.requests.get(&ticket) {
            let left = request.latest_decision().saturating_duration_since(now);
            explanation.outcome = Outcome::Waits {
                longest_ms: millis(left),
            };
            explanation.route = Some(request.route.name.to_string());
            explanation.target = Some(request.target.clone());
            let key = (request.target.clone(), request.route.priority);
            explanation.zone_share = self.zone_demands.get(&key).map(|demand| demand.share());
            explanation.candidates = copy.candidates(now, request);
        }
        // Those that wait before it are decided on first, as by the process.
        let decided = copy.dispatch_waiting(now);
        let own = decided.into_iter().find(|(decided, _)| *decided == ticket);
        match own {
            Some((_, Decision::Send(assignment))) => {
                explanation.outcome = Outcome::Sent {
                    endpoint: assignment.endpoint,
                };
            }
            Some((_, Decision::Refuse(refusal, _))) => {
                explanation.outcome = Outcome::from(&refusal);
            }
            Some((_, Decision::KeepSilent(..))) | None => {}
        }
        explanation
    }

    /// A request as described by `query`, with a key of its customer.
    fn example_request(&self, query: &ExplainQuery) -> CallerRequest {
        let customer = query.customer.as_deref();
        let configuration = self.configuration.as_ref();
        CallerRequest {
            request_id: "explained".into(),
            host: query.host.to_ascii_lowercase().into(),
            path: query.path.as_str().into(),
            key: customer.and_then(|id| configuration?.key_of(id)),
            timeout: None,
            model: query.model.as_deref().map(Into::into),
            prompt_tokens: query.prompt_tokens,
            answer_tokens: query.answer_tokens,
            prompt_parts: [].into(),
            fingerprint: 0,
        }
    }

    fn candidates(&self, now: Instant, request: &RequestState) -> Vec<Candidate> {
        let Some(configuration) = &self.configuration else {
            return Vec::new();
        };
        let engine = engine_model(configuration, request);
        let query = self.endpoint_query(configuration, request);
        let candidate = |e: &Endpoint| Candidate {
            endpoint: e.listed.id.clone(),
            zone: e.listed.zone.clone(),
            in_system: e.in_system(now, self.entries),
            predicted_ms: millis(e.predict(now, engine, request.prompt_tokens, self.entries)),
            load_age_ms: e.load_age(now).map(millis),
            version: e.version(request.model.as_deref()),
            excluded: self
                .exclusion(now, e, query, request)
                .map(|exclusion| exclusion.to_string()),
        };
        let mut candidates: Vec<_> = self
            .fleet
            .of_target(&request.target)
            .map(candidate)
            .collect();
        candidates.sort_by_key(|c| (c.excluded.is_some(), c.predicted_ms));
        candidates
    }

    /// Why a request is not sent to an endpoint of its target, regardless of the endpoint's load.
    pub(super) fn exclusion(
        &self,
        now: Instant,
        endpoint: &Endpoint,
        query: EndpointQuery,
        request: &RequestState,
    ) -> Option<Exclusion> {
        let engine = query.engine;
        let grace = self.cfg.version_grace;
        if let Some(exclusion) = self.fleet.exclusion(now, endpoint, query, grace) {
            return Some(exclusion);
        }
        let sharing = self.fleet.sharing(now, &request.target, self.entries);
        if !self.starts_in_time(now, endpoint, engine, request, sharing) {
            Some(Exclusion::StartsTooLate)
        } else if self.cfg.mitigations.zone_loss && endpoint.is_silent(now) {
            Some(Exclusion::Silent)
        } else if !endpoint.limit.admits(now, self.entries) {
            Some(Exclusion::Limit)
        } else if !self.ends_before_stop(now, request, engine, Some(endpoint)) {
            Some(Exclusion::StopsBefore)
        } else {
            None
        }
    }
}

impl From<&Refusal> for Outcome {
    fn from(refusal: &Refusal) -> Self {
        let code: Code = refusal.code;
        Self::Refused {
            code: code.number(),
            reason: code.to_string(),
            retry_after_ms: refusal.retry_after.map(millis),
        }
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
