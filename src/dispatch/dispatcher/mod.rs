//! Dispatcher of an entry: admission, endpoint selection, attempts and their outcomes.

mod assign;
mod backlogs;
mod crashes;
mod explain;
mod outcome;
mod recall;
mod silence;
mod snapshot;
mod statements;
mod stop;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::codes::Code;
use crate::delivery::{Attempts, Blamed, RetryLimit, RetryWindow, Suspect, Suspects};
use crate::types::{ChangeTime, PromptPart, Refusal, RegionId, TargetId, ZoneId};

use super::configuration::{Configuration, Customer, Route};
use super::crash_watch::{CrashWatch, EndpointProcess};
use super::endpoint::{Endpoint, EndpointLoad, ListedEndpoint};
use super::fleet::{Fleet, VersionUpdate};
use super::notice::{CrashSign, Notice};
use super::patterns::{
    Backlog, Mitigations, RankTraffic, RefusedCallers, ZoneDemand, max_queue_time,
    retry_after_overload, retry_after_unavailable,
};
use super::request::{Assignment, CallerRequest, RequestState, TicketId};
use super::waiting::{Place, WaitingRequests};
use super::work_times::WorkTimes;

pub use explain::{Candidate, ExplainQuery, Explanation, Outcome};
pub use snapshot::{EndpointView, Snapshot};

use backlogs::Class;
use recall::StartBounds;

/// Number of entries assumed to share the fleet until agents report it.
const DEFAULT_ENTRY_COUNT: u32 = 4;
/// Maximum number of notices kept for a driver that does not take them; later ones are dropped.
const MAX_NOTICES: usize = 256;
/// Time after a pass over all waiting requests for which it counts; predictions change slowly.
const PASS_VALIDITY: Duration = Duration::from_millis(20);

/// Settings of the dispatcher.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// Availability zone of this entry.
    pub zone: ZoneId,
    /// Region of this entry.
    pub region: RegionId,
    /// Retry budget over all entries.
    pub retry: RetryLimit,
    /// Factor on a cold endpoint's declared request rate, and requests per second added to it; both
    /// include the safety margin.
    pub cold_rate_adjustment: (f64, f64),
    /// Time after a version became the wanted one from which nothing is sent to older ones.
    pub version_grace: Duration,
    /// Time after a version became the wanted one by which an attempt on an older one must have begun;
    /// it is taken back otherwise. The rest of what is allowed covers the way of the close to the
    /// engine.
    pub version_start_grace: Duration,
    /// Load patterns that are mitigated.
    pub mitigations: Mitigations,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Decision about a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It is sent to an endpoint.
    Send(Assignment),
    /// It is refused and has ended.
    Refuse(Refusal, DecisionInputs),
    /// No endpoint can be tried beside the silent attempt, which is the running one again.
    KeepSilent(Code, DecisionInputs),
}

/// Inputs recorded with a refusal.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DecisionInputs {
    /// Version of the configuration in force.
    pub configuration: u64,
    /// Number of endpoints that may run the request, regardless of their load.
    pub eligible: usize,
    /// Predicted time to the start of the answer at the endpoint with the lowest cost.
    pub predicted_start: Option<Duration>,
    /// Longest predicted time to the start that would have been accepted.
    pub start_budget: Option<Duration>,
    /// Time since the caller's first attempt, counting earlier ones that this entry refused.
    pub since_first_attempt: Duration,
}

/// What follows an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// The request has ended with the outcome of the attempt.
    Finish,
    /// It waits for another endpoint; [`Dispatcher::dispatch_waiting`] returns the decision.
    Wait,
    /// It goes on with its silent attempt, which is the running one again.
    KeepSilent,
    /// It is refused and has ended.
    Refuse(Refusal),
}

/// Sans-IO dispatcher for the requests of one entry.
#[derive(Clone)]
pub struct Dispatcher {
    cfg: DispatchConfig,
    rng: SmallRng,
    /// Random numbers of [`Endpoint::rounding`], which do not change the other choices.
    rounding_rng: SmallRng,
    /// Random numbers that decide which requests may leave the zone.
    zone_rng: SmallRng,
    configuration: Option<Arc<Configuration>>,
    fleet: Fleet,
    requests: HashMap<TicketId, RequestState>,
    start_bounds: StartBounds,
    /// Invariant: contains exactly the requests with `is_waiting` set.
    queue: WaitingRequests,
    /// True when something may have changed for waiting requests since the last
    /// [`Self::dispatch_waiting`].
    is_changed: bool,
    last_ticket: TicketId,
    retry_budgets: HashMap<TargetId, RetryWindow>,
    rank_traffic: HashMap<TargetId, RankTraffic>,
    /// By target and priority of the route.
    zone_demands: HashMap<(TargetId, u8), ZoneDemand>,
    /// Waiting requests that have a rank.
    ///
    /// Invariant: at most one entry for each target, priority and kind of caller that has come.
    backlogs: BTreeMap<Class, Backlog>,
    crash_watch: CrashWatch,
    suspects: Suspects,
    refused_callers: RefusedCallers,
    work_times: WorkTimes,
    entries: u32,
    /// Time by which every request ends because the entry stops; `None` before a stop.
    ///
    /// Invariant: once set, it does not change.
    stop_at: Option<Instant>,
    /// Time of the last [`Self::dispatch_waiting`].
    last_dispatch: Option<Instant>,
    /// Notices that the driver has not taken yet.
    ///
    /// Invariant: at most [`MAX_NOTICES`].
    notices: Vec<Notice>,
}

impl Dispatcher {
    /// Creates a dispatcher without configuration and endpoints.
    pub fn new(cfg: DispatchConfig) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(cfg.seed),
            rounding_rng: SmallRng::seed_from_u64(!cfg.seed),
            zone_rng: SmallRng::seed_from_u64(cfg.seed.rotate_left(32)),
            fleet: Fleet::new(cfg.mitigations),
            cfg,
            configuration: None,
            requests: HashMap::new(),
            start_bounds: StartBounds::new(),
            queue: WaitingRequests::default(),
            is_changed: false,
            last_ticket: 0,
            retry_budgets: HashMap::new(),
            rank_traffic: HashMap::new(),
            zone_demands: HashMap::new(),
            backlogs: BTreeMap::new(),
            crash_watch: CrashWatch::default(),
            suspects: Suspects::default(),
            refused_callers: RefusedCallers::default(),
            work_times: WorkTimes::default(),
            entries: DEFAULT_ENTRY_COUNT,
            stop_at: None,
            last_dispatch: None,
            notices: Vec::new(),
        }
    }

    /// Applies a configuration. Returns false when the one in force is at least as new.
    pub fn set_configuration(&mut self, configuration: Arc<Configuration>) -> bool {
        let newer = self
            .configuration
            .as_ref()
            .is_none_or(|old| old.version < configuration.version);
        if newer {
            self.configuration = Some(configuration);
            self.is_changed = true;
        }
        newer
    }

    /// Time after a version became the wanted one from which older ones start no request.
    pub fn version_grace(&self) -> Duration {
        self.cfg.version_grace
    }

    /// Configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Chooses the preferred endpoints, if those that may be used have changed.
    pub fn refresh_subset(&mut self) {
        self.fleet.refresh_subset(self.cfg.seed, &self.cfg.region);
    }

    /// Known endpoints.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Adds or updates an endpoint from the list. Returns true when it is new or has restarted.
    pub fn update_endpoint(&mut self, now: Instant, listed: ListedEndpoint) -> bool {
        self.is_changed = true;
        let id = listed.id.clone();
        if listed.is_leaving {
            self.crash_watch.leaving(EndpointProcess {
                host: listed.addr.ip(),
                incarnation: listed.incarnation,
            });
        }
        let before = self.fleet.get(&id).map(Endpoint::process);
        let changed = self.fleet.update_endpoint(now, listed);
        if let Some(endpoint) = self.fleet.get_mut(&id).filter(|_| changed) {
            endpoint.rounding.draw(now, self.rounding_rng.random());
        }
        if changed && let Some(before) = before {
            self.record_unattested_end(now, before, CrashSign::Listing);
        }
        changed
    }

    /// Handles the removal of an endpoint from the list.
    ///
    /// `after_outage` is true when the list could not be read before. Leases expire during an
    /// outage, and live endpoints are back on the list within two seconds, so the endpoint stays in
    /// use for a grace period.
    pub fn remove_endpoint(&mut self, now: Instant, id: &str, after_outage: bool) {
        self.is_changed = true;
        let endpoint = self.fleet.get(id);
        let is_leaving = |e: &Endpoint| self.fleet.leaving.contains(&e.key());
        if after_outage && endpoint.is_some_and(|e| !is_leaving(e)) {
            self.fleet.start_lease_grace(now, id);
            return;
        }
        if let Some(process) = endpoint.map(Endpoint::process) {
            self.record_unattested_end(now, process, CrashSign::Listing);
        }
        self.fleet.remove_endpoint(id);
    }

    /// Sets the zones whose endpoints get no new requests.
    pub fn set_evacuated_zones(&mut self, zones: BTreeSet<ZoneId>) {
        self.fleet.set_evacuated_zones(zones);
        self.is_changed = true;
    }

    /// Records a report on the time at which a version became the wanted one of a model.
    pub fn set_wanted_version(
        &mut self,
        now: Instant,
        model: &str,
        version: u64,
        named: ChangeTime,
    ) -> VersionUpdate {
        let update = self.fleet.set_wanted_version(model, version, named);
        if update.is_changed {
            self.is_changed = true;
            self.update_start_bounds(now);
        }
        update
    }

    /// Forgets the wanted versions of a model, so that any version of it may run.
    pub fn forget_model(&mut self, model: &str) {
        self.fleet.forget_model(model);
        self.is_changed = true;
    }

    /// Applies a load report from the agent of a host. Returns false when no endpoint is listed
    /// there.
    pub fn update_load(&mut self, now: Instant, host: IpAddr, load: EndpointLoad) -> bool {
        let (statement, incarnation) = (load.statement.clone(), load.incarnation);
        let Some(endpoint) = self.fleet.update_load(now, host, load) else {
            return false;
        };
        if endpoint.rounding.is_due(now) {
            endpoint.rounding.draw(now, self.rounding_rng.random());
        }
        self.is_changed = true;
        let (id, current) = (endpoint.listed.id.clone(), endpoint.listed.incarnation);
        // An earlier incarnation does not speak for the current one.
        if incarnation == current {
            self.record_report(now, &id, &statement);
        }
        true
    }

    /// Sets the number of entries that share the fleet.
    pub fn set_entry_count(&mut self, now: Instant, entries: u32) {
        let entries = entries.max(1);
        if entries != self.entries {
            self.fleet.settle_limits(now, self.entries);
            self.entries = entries;
            self.is_changed = true;
        }
    }

    /// Takes the notices for the log.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    fn notify(&mut self, notice: Notice) {
        if self.notices.len() < MAX_NOTICES {
            self.notices.push(notice);
        }
    }

    /// Number of entries that share the fleet.
    pub fn entry_count(&self) -> u32 {
        self.entries
    }

    /// Admits a request, which then waits for an endpoint.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the request may not run at any endpoint.
    pub fn admit(&mut self, now: Instant, req: &CallerRequest) -> Result<TicketId, Refusal> {
        if self.stop_at.is_some_and(|at| now >= at) {
            return Err(self.refuse_stopping());
        }
        let Some(configuration) = self.configuration.clone() else {
            // Other entries may have one.
            return Err(match self.stop_at {
                Some(_) => self.refuse_stopping(),
                None => self.refuse_unavailable(Code::NoConfiguration),
            });
        };
        let route = configuration
            .route(&req.host, &req.path)
            .ok_or_else(|| Refusal::new(Code::UnknownRoute))?
            .clone();
        let customer = customer(&configuration, &route, req)?;
        let suspects = req.suspects();
        if let Some(blamed) = self.suspects.blamed_among(&suspects).cloned() {
            let refusal = self.refuse_unavailable(Code::Quarantined);
            return Err(refusal.with_prompt_parts(prompt_parts(&blamed)));
        }
        let target = self.choose_target(&route);
        let admitted = target.and_then(|id| Some((configuration.targets.get(&id)?.clone(), id)));
        let Some((admitted_target, target)) = admitted else {
            return Err(self.refuse_unavailable(Code::NoEndpoint));
        };
        let timeout = req.timeout.unwrap_or(route.timeout);
        let first = self.refused_callers.take(now, req.fingerprint);
        let first = first.filter(|_| self.cfg.mitigations.retry_abuse);
        let is_returning = first.is_some();
        let first_attempt_at = first.unwrap_or(now);
        let rank = match self.cfg.mitigations.ranks {
            true => self.rank_traffic.entry(target.clone()).or_default().record(
                now,
                route.priority,
                customer.as_ref().and_then(|customer| customer.priority),
                route.start_goal,
            ),
            false => None,
        };
        let request = RequestState {
            rank,
            target: target.clone(),
            admitted_target,
            customer,
            model: req.model.clone(),
            prompt_tokens: req.prompt_tokens,
            answer_tokens: req.answer_tokens,
            suspects,
            fingerprint: req.fingerprint,
            deadline: now + timeout.min(route.timeout),
            first_attempt_at,
            is_returning,
            queue_deadline: now + max_queue_time(route.start_goal),
            tried: Vec::new(),
            attempts: Attempts::default(),
            version: None,
            running: None,
            start_bound: None,
            silent: None,
            is_waiting: true,
            route,
        };
        let window = self.cfg.retry.window;
        self.retry_budgets
            .entry(target)
            .or_insert_with(|| RetryWindow::new(window))
            .record_request(now);
        self.last_ticket += 1;
        let place = (
            request.rank,
            request.is_returning,
            request.first_attempt_at,
            self.last_ticket,
        );
        self.queue.insert(place, request.latest_decision());
        self.requests.insert(self.last_ticket, request);
        self.join_backlog(now, self.last_ticket);
        Ok(self.last_ticket)
    }

    /// Assigns endpoints to waiting requests where possible, and refuses those that have waited too
    /// long.
    pub fn dispatch_waiting(&mut self, now: Instant) -> Vec<(TicketId, Decision)> {
        self.last_dispatch = Some(now);
        let places = self.queue.places();
        let decided = self.dispatch(now, places);
        self.is_changed = false;
        decided
    }

    /// Decides on a request that has just begun to wait, without the others: none of those before it could
    /// be sent when they were decided on last, and nothing has changed for them since. Returns
    /// `None` when it keeps waiting, also for the next [`Self::dispatch_waiting`].
    pub fn dispatch_alone(&mut self, now: Instant, ticket: TicketId) -> Option<Decision> {
        let place = self.place(ticket)?;
        let is_valid = |last: Instant| now.saturating_duration_since(last) < PASS_VALIDITY;
        self.is_changed |= !self.last_dispatch.is_some_and(is_valid);
        if self.is_pass_wanted(now) && !self.queue.is_first(&place) {
            return None;
        }
        let decided = self.dispatch(now, vec![place]).pop();
        decided.map(|(_, decision)| decision)
    }

    /// Decides on the requests that may wait no longer, and on those that come before them if something may
    /// have changed for these.
    pub fn dispatch_expired(&mut self, now: Instant) -> Vec<(TicketId, Decision)> {
        let expired = self.queue.expired(now);
        let places = match expired.last() {
            Some(last) if self.is_pass_wanted(now) => self.queue.places_up_to(*last),
            _ => expired,
        };
        self.dispatch(now, places)
    }

    /// Applies what has become certain since the last call, also while no request waits. The driver calls it
    /// after each report and each end of an attempt.
    pub fn settle(&mut self, now: Instant) {
        self.settle_answers(now);
        self.end_rests(now);
        self.refresh_subset();
    }

    fn dispatch(&mut self, now: Instant, places: Vec<Place>) -> Vec<(TicketId, Decision)> {
        self.settle(now);
        let mut decided = Vec::new();
        for place in places {
            let (.., ticket) = place;
            if let Some(decision) = self.try_assign(now, ticket) {
                self.queue.remove(&place);
                decided.push((ticket, decision));
            }
        }
        decided
    }

    /// Place of a waiting request.
    fn place(&self, ticket: TicketId) -> Option<Place> {
        let request = self.requests.get(&ticket)?;
        let places = request.possible_places(ticket);
        places.into_iter().find(|place| self.queue.contains(place))
    }

    /// True when waiting requests have to be decided on again, since something may have changed for them.
    pub fn is_pass_wanted(&self, now: Instant) -> bool {
        let is_due = |at: Option<Instant>| at.is_some_and(|at| at <= now);
        !self.queue.is_empty() && (self.is_changed || is_due(self.next_change()))
    }

    /// Earliest time until which a waiting request may wait.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.queue.next_deadline()
    }

    /// Next time at which time alone changes something for waiting requests.
    pub fn next_change(&self) -> Option<Instant> {
        let rest_end = self.fleet.rests.next_end();
        let rest_end = rest_end.filter(|_| !self.queue.is_empty());
        rest_end.into_iter().chain(self.next_stop_check()).min()
    }

    /// Next time at which [`Self::recall_overdue`] takes back an attempt.
    pub fn next_recall(&self) -> Option<Instant> {
        self.start_bounds.first().map(|(at, _)| *at)
    }

    /// Latest time at which [`Self::dispatch_waiting`] and [`Self::recall_overdue`] must be called
    /// again.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let times = [self.next_deadline(), self.next_change(), self.next_recall()];
        times.into_iter().flatten().min()
    }

    /// Route of a request.
    pub fn route(&self, ticket: TicketId) -> Option<Arc<Route>> {
        self.requests
            .get(&ticket)
            .map(|request| request.route.clone())
    }

    /// Selects one of a route's targets at random by weight, preferring those that have endpoints. One of
    /// weight 0 is never selected: operators take its traffic away. `None` when all have weight 0.
    fn choose_target(&mut self, route: &Route) -> Option<TargetId> {
        let has_endpoints = |id: &TargetId| self.fleet.endpoints().any(|e| e.listed.target == *id);
        let weighted = || route.targets.iter().filter(|(_, weight)| *weight > 0);
        let mut candidates: Vec<_> = weighted().filter(|(id, _)| has_endpoints(id)).collect();
        if candidates.is_empty() {
            candidates = weighted().collect();
        }
        let total: u32 = candidates.iter().map(|(_, weight)| weight).sum();
        let mut remaining = self.rng.random_range(0..total.max(1));
        for (id, weight) in &candidates {
            if remaining < *weight {
                return Some(id.clone());
            }
            remaining -= weight;
        }
        None
    }

    /// Refusal with the retry delay for overload.
    fn refuse_overload(&mut self, code: Code) -> Refusal {
        Refusal::new(code).with_retry_after(retry_after_overload(&mut self.rng))
    }

    /// Refusal of a request that can't be decided on by the state of this process.
    pub fn refuse_outdated(&mut self) -> Refusal {
        self.refuse_unavailable(Code::StateOutdated)
    }

    /// Refusal with the retry delay for when nothing can serve the request.
    fn refuse_unavailable(&mut self, code: Code) -> Refusal {
        Refusal::new(code).with_retry_after(retry_after_unavailable(&mut self.rng))
    }
}

/// Finds the customer by the request's API key; `None` when no customer holds the key and none is
/// required.
fn customer(
    configuration: &Configuration,
    route: &Route,
    req: &CallerRequest,
) -> Result<Option<Arc<Customer>>, Refusal> {
    let customer = req
        .key
        .as_deref()
        .and_then(|key| configuration.customer(key));
    match customer {
        Some(customer) => Ok(Some(customer.clone())),
        None if route.anonymous || !configuration.requires_key => Ok(None),
        None => Err(Refusal::new(Code::KeyNotHeld)),
    }
}

fn prompt_parts(blamed: &Blamed) -> impl Iterator<Item = PromptPart> {
    blamed.iter().filter_map(|suspect| suspect.part())
}

fn names(blamed: &Blamed) -> Vec<String> {
    let names = blamed.iter().map(|suspect| match suspect {
        Suspect::Part(part) => format!("part {part:x}"),
        Suspect::Request(digest) => format!("request {digest:016x}"),
    });
    names.collect()
}
