//! The request core: admission, choice of an endpoint, attempts, outcome.

mod outcome;
mod place;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::codes::Code;
use crate::delivery::{Attempts, Quarantine, QuarantineStatus, RetryLimit, RetryWindow};
use crate::types::{EndpointId, InstanceId, Refusal, RegionId, TargetId, ZoneId};

use super::configuration::{Configuration, Customer, Route};
use super::endpoint::{Endpoint, EndpointLoad, ListedEndpoint};
use super::fleet::Fleet;
use super::patterns::{Mitigations, Returns, come_back, come_back_later, hold};
use super::work::{Assignment, CallerRequest, TicketId, Work};

/// Entries that are assumed to share the fleet until agents tell how many do.
const USUAL_ENTRIES: u32 = 4;

/// Settings of the request core.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// Availability zone of this entry.
    pub zone: ZoneId,
    /// Region of this entry.
    pub region: RegionId,
    /// Bound on repeats over all entries.
    pub retry: RetryLimit,
    /// Factor and addend on a cold endpoint's declared rate, both with the margin taken off.
    pub cold_rate_adjustment: (f64, f64),
    /// Time after which an older version than the newest named one begins nothing.
    pub version_grace: Duration,
    /// Patterns of load that are answered.
    pub mitigations: Mitigations,
    /// Seed of the random choices.
    pub seed: u64,
}

/// What becomes of a request that waits for a place.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It may be sent.
    Send(Assignment),
    /// It gets its final answer.
    Refuse(Refusal, DecisionInputs),
}

/// What a refusal was decided by.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DecisionInputs {
    /// Version of the configuration.
    pub configuration: u64,
    /// Endpoints that could have run the request, whatever their load.
    pub eligible: usize,
    /// Earliest predicted start among those that were compared.
    pub earliest_start: Option<Duration>,
    /// Latest start that would have been accepted.
    pub start_budget: Option<Duration>,
    /// Time for which the caller had been asking, from its first attempt that this entry refused.
    pub since_first_attempt: Duration,
}

/// What follows the end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// The answer stands, whatever it was.
    Finish,
    /// It waits for another place; [`Dispatcher::dispatch_waiting`] tells when.
    Wait,
    /// It gets its final answer.
    Refuse(Refusal),
}

/// Figures of the state, for dumps and metrics.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Snapshot {
    /// Version of the configuration; 0 before the first.
    #[serde(rename = "desired")]
    pub configuration: u64,
    /// Entries that share the fleet.
    pub entries: u32,
    /// Requests under way.
    pub requests: usize,
    /// Requests that wait for a place.
    pub waiting: usize,
    /// Endpoints on the list.
    pub endpoints: Vec<EndpointView>,
    /// Fingerprints under suspicion or quarantine.
    pub fingerprints: usize,
}

/// State of one endpoint in a dump.
#[derive(Clone, Debug, serde::Serialize)]
pub struct EndpointView {
    /// Name.
    pub id: EndpointId,
    /// Model or service.
    pub target: TargetId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests believed to be there.
    pub in_system: u32,
    /// Requests of this entry that are there.
    pub own: u32,
    /// Age of the last load report in milliseconds.
    pub load_age_ms: Option<u64>,
    /// Newest version that it serves.
    pub version: Option<u64>,
    /// True once it is about to leave.
    pub is_leaving: bool,
    /// Share of attempts that failed lately.
    pub failing: f64,
}

/// A broken attempt whose endpoint may turn out to have crashed.
#[derive(Clone, Debug)]
struct Break {
    at: Instant,
    endpoint: EndpointId,
    incarnation: InstanceId,
    fingerprint: u64,
}

/// Decision logic of one entry's requests.
pub struct Dispatcher {
    cfg: DispatchConfig,
    rng: SmallRng,
    configuration: Option<Arc<Configuration>>,
    fleet: Fleet,
    works: HashMap<TicketId, Work>,
    /// Requests that wait for a place, those that can still be on time first, then by age.
    ///
    /// Invariant: exactly the works with `waiting` set.
    queue: BTreeSet<(bool, Instant, TicketId)>,
    next: TicketId,
    budgets: HashMap<TargetId, RetryWindow>,
    quarantine: Quarantine,
    breaks: VecDeque<Break>,
    returns: Returns,
    entries: u32,
}

impl Dispatcher {
    /// A core that knows nothing yet.
    pub fn new(cfg: DispatchConfig) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(cfg.seed),
            fleet: Fleet::new(cfg.mitigations),
            cfg,
            configuration: None,
            works: HashMap::new(),
            queue: BTreeSet::new(),
            next: 0,
            budgets: HashMap::new(),
            quarantine: Quarantine::default(),
            breaks: VecDeque::new(),
            returns: Returns::default(),
            entries: USUAL_ENTRIES,
        }
    }

    /// Takes in a configuration; false when one as new is in force already.
    pub fn set_configuration(&mut self, configuration: Arc<Configuration>) -> bool {
        let newer = self
            .configuration
            .as_ref()
            .is_none_or(|old| old.version < configuration.version);
        if newer {
            self.configuration = Some(configuration);
        }
        newer
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// The endpoints.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Takes in an entry of the list of endpoints.
    pub fn update_endpoint(&mut self, now: Instant, listed: ListedEndpoint) -> bool {
        let id = listed.id.clone();
        let before = self.fleet.get(&id).map(|e| e.listed.incarnation);
        let changed = self.fleet.update_endpoint(now, listed);
        if changed && let Some(before) = before {
            self.crashed(now, &id, before);
        }
        changed
    }

    /// An endpoint has left the list. `after_outage` when the list could not be read before: leases
    /// run out then, and endpoints that live come back to the list within two seconds.
    pub fn remove_endpoint(&mut self, now: Instant, id: &str, after_outage: bool) {
        let gone = self.fleet.get(id);
        if after_outage && gone.is_some_and(|e| !e.listed.is_leaving) {
            self.fleet.lapse(now, id);
            return;
        }
        if let Some((incarnation, false)) =
            gone.map(|e| (e.listed.incarnation, e.listed.is_leaving))
        {
            self.crashed(now, id, incarnation);
        }
        self.fleet.remove_endpoint(id);
    }

    /// Sets the zones whose endpoints get nothing.
    pub fn set_evacuated_zones(&mut self, zones: BTreeSet<ZoneId>) {
        self.fleet.set_evacuated_zones(zones);
    }

    /// A version of a model was named, at `since` if that is known; true when it is newer than
    /// those before.
    pub fn announce_version(&mut self, model: &str, version: u64, since: Option<Instant>) -> bool {
        self.fleet.announce_version(model, version, since)
    }

    /// Takes in a load report from the agent of a host.
    pub fn update_load(&mut self, now: Instant, host: IpAddr, load: EndpointLoad) -> bool {
        let restarted = self
            .fleet
            .endpoints()
            .find(|e| e.listed.addr.ip() == host && e.listed.incarnation < load.incarnation)
            .map(|e| (e.listed.id.clone(), e.listed.incarnation));
        if let Some((id, before)) = restarted {
            self.crashed(now, &id, before);
        }
        self.fleet.update_load(now, host, load)
    }

    /// Sets how many entries share the fleet.
    pub fn set_entry_count(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Entries that share the fleet.
    pub fn entry_count(&self) -> u32 {
        self.entries
    }

    /// Fingerprints with the endpoint incarnations that crashed while they ran.
    pub fn crashes(&self, now: Instant) -> Vec<(u64, InstanceId)> {
        let entries = self.quarantine.entries(now);
        let pairs = entries.iter().filter_map(|entry| {
            let fingerprint = u64::from_str_radix(&entry.fingerprint, 16).ok()?;
            Some(entry.crashed.iter().map(move |id| (fingerprint, *id)))
        });
        pairs.flatten().collect()
    }

    /// Takes in crashes that other entries saw.
    pub fn merge_crashes(&mut self, now: Instant, crashes: &[(u64, InstanceId)]) {
        for (fingerprint, instance) in crashes {
            self.quarantine
                .record_crash(now, &digest(*fingerprint), *instance);
        }
    }

    /// Takes in a request, which then waits for a place.
    ///
    /// # Errors
    ///
    /// The refusal when it may not run at all.
    pub fn admit(&mut self, now: Instant, req: &CallerRequest) -> Result<TicketId, Refusal> {
        let Some(configuration) = self.configuration.clone() else {
            return Err(self.later(Code::NoConfiguration));
        };
        let route = configuration
            .route(&req.host, &req.path)
            .ok_or_else(|| Refusal::new(Code::UnknownRoute))?
            .clone();
        let customer = customer(&configuration, &route, req)?;
        let fingerprint = digest(req.fingerprint);
        if self.quarantine.status(&fingerprint) == QuarantineStatus::Quarantined {
            return Err(self.later(Code::Quarantined));
        }
        let target = self.target(&route);
        let patience = req.timeout.unwrap_or(route.timeout);
        let first = self.returns.take(now, req.fingerprint);
        let first = first.filter(|_| self.cfg.mitigations.retry_abuse);
        let returned = first.is_some();
        let asked = first.unwrap_or(now);
        let work = Work {
            target: target.clone(),
            customer,
            model: req.model.clone(),
            prompt: req.prompt_tokens,
            answer: req.answer_tokens,
            fingerprint: req.fingerprint,
            deadline: now + patience.min(route.timeout),
            asked,
            returned,
            hold_until: now + hold(route.start_goal),
            tried: Vec::new(),
            attempts: Attempts::default(),
            version: None,
            running: None,
            waiting: true,
            route,
        };
        let window = self.cfg.retry.window;
        self.budgets
            .entry(target)
            .or_insert_with(|| RetryWindow::new(window))
            .record_request(now);
        self.next += 1;
        self.queue.insert((work.returned, work.asked, self.next));
        self.works.insert(self.next, work);
        Ok(self.next)
    }

    /// Places the waiting requests that can be placed, and refuses those that wait in vain.
    pub fn dispatch_waiting(&mut self, now: Instant) -> Vec<(TicketId, Decision)> {
        let queue: Vec<_> = self.queue.iter().copied().collect();
        let mut placed = Vec::new();
        for at in queue {
            if let Some(placing) = self.place(now, at.2) {
                self.queue.remove(&at);
                placed.push((at.2, placing));
            }
        }
        placed
    }

    /// Time at which [`Self::dispatch_waiting`] has to be called at the latest.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let waiting = self.queue.iter().filter_map(|at| self.works.get(&at.2));
        waiting.map(|work| work.hold_until.min(work.deadline)).min()
    }

    /// Latest time for the whole answer.
    pub fn deadline(&self, ticket: TicketId) -> Option<Instant> {
        self.works.get(&ticket).map(|work| work.deadline)
    }

    /// The route of a request.
    pub fn route(&self, ticket: TicketId) -> Option<Arc<Route>> {
        self.works.get(&ticket).map(|work| work.route.clone())
    }

    /// Draws one of a route's targets by weight, of those that have endpoints if any has.
    fn target(&mut self, route: &Route) -> TargetId {
        let has_endpoints = |id: &TargetId| self.fleet.endpoints().any(|e| e.listed.target == *id);
        let served: Vec<&(TargetId, u32)> = route
            .targets
            .iter()
            .filter(|(id, weight)| *weight > 0 && (route.targets.len() == 1 || has_endpoints(id)))
            .collect();
        let total: u32 = served.iter().map(|(_, weight)| weight).sum();
        let mut at = self.rng.random_range(0..total.max(1));
        for (id, weight) in &served {
            if at < *weight {
                return id.clone();
            }
            at -= weight;
        }
        route.targets[0].0.clone()
    }

    fn soon(&mut self, code: Code) -> Refusal {
        Refusal::new(code).with_retry_after(come_back(&mut self.rng))
    }

    fn later(&mut self, code: Code) -> Refusal {
        Refusal::new(code).with_retry_after(come_back_later(&mut self.rng))
    }

    /// Figures of the state.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let view = |e: &Endpoint| EndpointView {
            id: e.listed.id.clone(),
            target: e.listed.target.clone(),
            zone: e.listed.zone.clone(),
            in_system: e.in_system(now, self.entries),
            own: e.occupancy.own(),
            load_age_ms: e.load_age(now).map(|age| age.as_millis() as u64),
            version: e.version(None),
            is_leaving: e.listed.is_leaving,
            failing: e.health.failing(),
        };
        Snapshot {
            configuration: self
                .configuration
                .as_ref()
                .map_or(0, |configuration| configuration.version),
            entries: self.entries,
            requests: self.works.len(),
            waiting: self.queue.len(),
            endpoints: self.fleet.endpoints().map(view).collect(),
            fingerprints: self.quarantine.len(),
        }
    }
}

fn customer(
    configuration: &Configuration,
    route: &Route,
    req: &CallerRequest,
) -> Result<Option<Arc<Customer>>, Refusal> {
    let held = req
        .key
        .as_deref()
        .and_then(|key| configuration.customer(key));
    match held {
        Some(customer) => Ok(Some(customer.clone())),
        None if route.anonymous || !configuration.has_customers => Ok(None),
        None => Err(Refusal::new(Code::KeyNotHeld)),
    }
}

fn digest(fingerprint: u64) -> Arc<str> {
    format!("{fingerprint:016x}").into()
}
