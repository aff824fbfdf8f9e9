//! The request core: admission, choice of an endpoint, attempts, outcome.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::codes::Code;
use crate::delivery::{Quarantine, Standing};
use crate::types::{EndpointId, InstanceId, Refusal, RegionId, TargetId, ZoneId};

use super::budget::{RetryLimit, RetryWindow};
use super::desired::{Customer, Desired, Repeat, Route};
use super::endpoint::{Endpoint, EndpointLoad, Listed};
use super::fleet::{Ask, Fleet};
use super::work::{CallerRequest, End, Lease, Running, TicketId, Work};

/// Part of the goal that a prediction may take, for what it does not see.
const GOAL_USED: f64 = 0.85;
/// Part of the goal for which a request may wait for a place before it is refused.
const HOLD: f64 = 0.125;
/// The same for a caller that was refused before and gets no other turn.
const HOLD_RETURNED: f64 = 0.5;
/// Predicted wait up to which a broken stream goes on elsewhere; its caller leaves after two
/// seconds without an event.
const RESUME_WAIT: Duration = Duration::from_millis(1_200);
/// Time for which a broken stream may wait for a place to go on.
const RESUME_HOLD: Duration = Duration::from_millis(500);
/// Part of the goal that the prediction for a request that is late already may take: it must not
/// make others late, whose service counts for more.
const LATE_USED: f64 = 0.7;
/// Load below which a request is sent whatever the prediction says.
const IDLE_LOAD: f64 = 0.5;
/// Endpoints that are compared for one request; few, so that entries do not all pick the same.
const COMPARED: usize = 5;
/// Cost of leaving the region, in time; bytes between regions are dear.
const REGION_COST: Duration = Duration::from_millis(12);
/// Cost of leaving the zone, in time.
const ZONE_COST: Duration = Duration::from_millis(4);
/// Shorter patience than usual by this much tells a caller that has come back.
const RETURN_MARGIN: Duration = Duration::from_millis(15);
/// Bounds of the advice when to come back after an overload.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(1_900));
/// Bounds of the advice while nothing can serve the request.
const COME_BACK_LATER: (Duration, Duration) =
    (Duration::from_millis(1_200), Duration::from_millis(2_000));
/// Entries that are assumed to share the fleet until agents tell how many do.
const USUAL_ENTRIES: u32 = 4;
/// Time within which a dead endpoint explains a broken attempt.
const CRASH_WINDOW: Duration = Duration::from_secs(3);
/// Broken attempts that are remembered until their endpoint is known to be dead or alive.
const BREAKS_MAX: usize = 256;

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
    pub cold: (f64, f64),
    /// Time after which an older version than the newest named one begins nothing.
    pub version_grace: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}

/// What becomes of a request that waits for a place.
#[derive(Clone, Debug, PartialEq)]
pub enum Placing {
    /// It may be sent.
    Send(Lease),
    /// It gets its final answer.
    Refuse(Refusal, Grounds),
}

/// What a refusal was decided by.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Grounds {
    /// Version of the desired state.
    pub desired: u64,
    /// Endpoints that could have run the request, whatever their load.
    pub fitting: usize,
    /// Earliest predicted start among those that were compared.
    pub best: Option<Duration>,
    /// Latest start that would have been accepted.
    pub room: Option<Duration>,
}

/// What follows the end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The answer stands, whatever it was.
    Finish,
    /// It waits for another place; [`Dispatcher::pump`] tells when.
    Wait,
    /// It gets its final answer.
    Refuse(Refusal),
}

/// Figures of the state, for dumps and metrics.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Snapshot {
    /// Version of the desired state; 0 before the first.
    pub desired: u64,
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
    desired: Option<Arc<Desired>>,
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
    /// Longest patience seen on each route; callers that come back have less.
    patience: HashMap<Arc<str>, Duration>,
    entries: u32,
}

impl Dispatcher {
    /// A core that knows nothing yet.
    pub fn new(cfg: DispatchConfig) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(cfg.seed),
            cfg,
            desired: None,
            fleet: Fleet::default(),
            works: HashMap::new(),
            queue: BTreeSet::new(),
            next: 0,
            budgets: HashMap::new(),
            quarantine: Quarantine::default(),
            breaks: VecDeque::new(),
            patience: HashMap::new(),
            entries: USUAL_ENTRIES,
        }
    }

    /// Takes in a desired state; false when one as new is in force already.
    pub fn set_desired(&mut self, desired: Arc<Desired>) -> bool {
        let newer = self
            .desired
            .as_ref()
            .is_none_or(|old| old.version < desired.version);
        if newer {
            self.desired = Some(desired);
        }
        newer
    }

    /// The desired state in force.
    pub fn desired(&self) -> Option<&Arc<Desired>> {
        self.desired.as_ref()
    }

    /// The endpoints.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Takes in an entry of the list of endpoints.
    pub fn list(&mut self, now: Instant, listed: Listed) -> bool {
        let id = listed.id.clone();
        let before = self.fleet.get(&id).map(|e| e.listed.incarnation);
        let changed = self.fleet.list(now, listed);
        if changed && let Some(before) = before {
            self.crashed(now, &id, before);
        }
        changed
    }

    /// An endpoint has left the list. `after_outage` when the list could not be read before: leases
    /// run out then, and endpoints that live come back to the list within two seconds.
    pub fn unlist(&mut self, now: Instant, id: &str, after_outage: bool) {
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
        self.fleet.unlist(id);
    }

    /// Sets the zones whose endpoints get nothing.
    pub fn evacuate(&mut self, zones: BTreeSet<ZoneId>) {
        self.fleet.evacuate(zones);
    }

    /// A version of a model was named, at `since` if that is known; true when it is newer than
    /// those before.
    pub fn name_version(&mut self, model: &str, version: u64, since: Option<Instant>) -> bool {
        self.fleet.name_version(model, version, since)
    }

    /// Takes in a load report from the agent of a host.
    pub fn report(&mut self, now: Instant, host: IpAddr, load: EndpointLoad) -> bool {
        let restarted = self
            .fleet
            .endpoints()
            .find(|e| e.listed.addr.ip() == host && e.listed.incarnation < load.incarnation)
            .map(|e| (e.listed.id.clone(), e.listed.incarnation));
        if let Some((id, before)) = restarted {
            self.crashed(now, &id, before);
        }
        self.fleet.report(now, host, load)
    }

    /// Sets how many entries share the fleet.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Entries that share the fleet.
    pub fn entries(&self) -> u32 {
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
                .crashed(now, &digest(*fingerprint), *instance);
        }
    }

    /// Takes in a request, which then waits for a place.
    ///
    /// # Errors
    ///
    /// The refusal when it may not run at all.
    pub fn admit(&mut self, now: Instant, req: &CallerRequest) -> Result<TicketId, Refusal> {
        let Some(desired) = self.desired.clone() else {
            return Err(self.later(Code::NoConfiguration));
        };
        let route = desired
            .route(&req.host, &req.path)
            .ok_or_else(|| Refusal::new(Code::UnknownRoute))?
            .clone();
        let customer = customer(&desired, &route, req)?;
        let fingerprint = digest(req.fingerprint);
        if self.quarantine.standing(&fingerprint) == Standing::Quarantined {
            return Err(self.later(Code::Quarantined));
        }
        let target = self.target(&route);
        let usual = self.patience.entry(route.name.clone()).or_default();
        let patience = req.patience.unwrap_or(route.timeout);
        *usual = (*usual).max(patience);
        let spent = *usual - patience;
        let returned = spent > RETURN_MARGIN;
        let hold = match returned {
            true => HOLD_RETURNED,
            false => HOLD,
        };
        let asked = now.checked_sub(spent).unwrap_or(now);
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
            hold_until: now + route.goal.mul_f64(hold),
            tried: Vec::new(),
            sent: 0,
            may_have_run: false,
            version: None,
            running: None,
            waiting: true,
            route,
        };
        let window = self.cfg.retry.window;
        self.budgets
            .entry(target)
            .or_insert_with(|| RetryWindow::new(window))
            .request(now);
        self.next += 1;
        self.queue.insert((work.returned, work.asked, self.next));
        self.works.insert(self.next, work);
        Ok(self.next)
    }

    /// Places the waiting requests that can be placed, and refuses those that wait in vain.
    pub fn pump(&mut self, now: Instant) -> Vec<(TicketId, Placing)> {
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

    /// Time at which [`Self::pump`] has to be called at the latest.
    pub fn wake(&self) -> Option<Instant> {
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

    fn place(&mut self, now: Instant, ticket: TicketId) -> Option<Placing> {
        let work = self.works.get(&ticket)?;
        let desired = self.desired.as_ref()?;
        let target = desired.targets.get(&work.target);
        let engine = target.and_then(|target| target.engine.as_ref());
        let ask = Ask {
            target: &work.target,
            model: work.model.as_deref(),
            version: work.version,
            answer_tokens: work.answer,
            engine,
            route_regions: &work.route.regions,
            customer_regions: work.customer.as_ref().map_or(&[], |c| &c.regions),
            tried: &work.tried,
        };
        let fitting: Vec<&Endpoint> = self
            .fleet
            .fitting(now, ask, self.cfg.version_grace)
            .collect();
        let mut grounds = Grounds {
            desired: desired.version,
            fitting: fitting.len(),
            ..Grounds::default()
        };
        let compared: Vec<&&Endpoint> = fitting.choose_multiple(&mut self.rng, COMPARED).collect();
        let goal = work.route.goal;
        let best = compared
            .into_iter()
            .map(|e| {
                let predicted = e.predict(now, engine, work.prompt, self.entries);
                (predicted, self.cost(e, predicted, goal), *e)
            })
            .min_by_key(|(_, cost, _)| *cost);
        let exhausted = now >= work.hold_until || now >= work.deadline;
        let Some((predicted, _, endpoint)) = best else {
            return exhausted.then(|| self.give_up(now, ticket, Code::NoEndpoint, grounds));
        };
        let left = work.deadline.saturating_duration_since(now);
        let on_time = work.asked + goal.mul_f64(GOAL_USED);
        let is_resumed = work.version.is_some();
        let room = match on_time.checked_duration_since(now) {
            Some(room) if !work.returned && work.tried.is_empty() => room,
            _ if is_resumed => RESUME_WAIT.min(left),
            _ => goal.mul_f64(LATE_USED).min(left),
        };
        grounds.best = Some(predicted);
        grounds.room = Some(room);
        let load = endpoint.load(now, self.entries);
        if predicted > room && load >= IDLE_LOAD {
            return exhausted
                .then(|| self.give_up(now, ticket, Code::DeadlineUnreachable, grounds));
        }
        let id = endpoint.listed.id.clone();
        let rate = target.map_or(0.0, |target| target.cold_rate);
        if !self.cold_admits(now, &id, rate) {
            return exhausted.then(|| self.give_up(now, ticket, Code::NoEndpoint, grounds));
        }
        Some(Placing::Send(self.lease(now, ticket, &id, predicted)?))
    }

    fn cost(&self, endpoint: &Endpoint, predicted: Duration, goal: Duration) -> Duration {
        let far = match endpoint {
            e if e.listed.region != self.cfg.region => REGION_COST,
            e if e.listed.zone != self.cfg.zone => ZONE_COST,
            _ => Duration::ZERO,
        };
        predicted + far + goal.mul_f64(endpoint.failing())
    }

    fn cold_admits(&mut self, now: Instant, id: &str, rate: f64) -> bool {
        let (factor, addend) = self.cfg.cold;
        let entries = self.entries;
        let Some(endpoint) = self.fleet.get_mut(id) else {
            return false;
        };
        let is_cold = endpoint.cold_until.is_some_and(|until| now < until);
        !is_cold || rate <= 0.0 || endpoint.cold.admits(now, rate * factor + addend, entries)
    }

    fn lease(
        &mut self,
        now: Instant,
        ticket: TicketId,
        id: &EndpointId,
        predicted: Duration,
    ) -> Option<Lease> {
        let entries = self.entries;
        let work = self.works.get_mut(&ticket)?;
        let endpoint = self.fleet.get_mut(id)?;
        let lease = Lease {
            endpoint: id.clone(),
            addr: endpoint.listed.addr,
            customer: work.customer.as_ref().map(|customer| customer.id.clone()),
            attempt: work.sent + 1,
            at: now,
            predicted,
            in_system: endpoint.in_system(now, entries),
            load_age: endpoint.load_age(now),
        };
        endpoint.sent(now, work.prompt);
        work.waiting = false;
        work.tried.push(id.clone());
        work.sent += 1;
        work.running = Some(Running {
            endpoint: id.clone(),
            since: now,
            predicted,
            started: false,
        });
        Some(lease)
    }

    /// Final answer to a request that waited in vain; it has ended.
    fn give_up(&mut self, now: Instant, ticket: TicketId, code: Code, grounds: Grounds) -> Placing {
        let may_have_run = self
            .works
            .get(&ticket)
            .is_some_and(|work| work.may_have_run);
        self.finish(now, ticket);
        let refusal = match (may_have_run, code) {
            (true, _) => Refusal::new(Code::OutcomeUnknown),
            (false, Code::NoEndpoint) => self.later(code),
            (false, _) => self.soon(code),
        };
        Placing::Refuse(refusal, grounds)
    }

    /// The first event of the running attempt has come.
    pub fn started(&mut self, now: Instant, ticket: TicketId, version: Option<u64>) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };
        work.version = work.version.or(version);
        let Some(running) = work.running.as_mut().filter(|running| !running.started) else {
            return;
        };
        running.started = true;
        let took = now.saturating_duration_since(running.since);
        if let Some(endpoint) = self.fleet.get_mut(&running.endpoint) {
            endpoint.started(work.prompt, took, running.predicted);
        }
    }

    /// The running attempt has ended. The request has ended too unless the step says otherwise.
    pub fn ended(&mut self, now: Instant, ticket: TicketId, end: End) -> Step {
        let Some(work) = self.works.get_mut(&ticket) else {
            return Step::Finish;
        };
        let Some(running) = work.running.take() else {
            return Step::Finish;
        };
        let (fingerprint, prompt) = (work.fingerprint, work.prompt);
        if !matches!(end, End::NotRun { .. } | End::NotSent) {
            work.may_have_run = true;
        }
        if matches!(end, End::NotSent) {
            work.sent -= 1;
        }
        self.note_end(now, &running, prompt, fingerprint, end);
        match end {
            End::Answered | End::CallerGone => {
                self.finish(now, ticket);
                Step::Finish
            }
            End::TimedOut => {
                self.finish(now, ticket);
                Step::Refuse(Refusal::new(Code::AnswerTimeout))
            }
            End::Failed | End::NotRun { .. } | End::NotSent | End::Broken | End::Silent => {
                self.again(now, ticket, end)
            }
        }
    }

    fn note_end(
        &mut self,
        now: Instant,
        running: &Running,
        prompt: u32,
        fingerprint: u64,
        end: End,
    ) {
        let Some(endpoint) = self.fleet.get_mut(&running.endpoint) else {
            return;
        };
        endpoint.left(prompt, running.started);
        let incarnation = endpoint.listed.incarnation;
        match end {
            End::Answered => {
                endpoint.succeeded();
                endpoint.worked(now.saturating_duration_since(running.since));
            }
            End::NotRun { is_full: true } => endpoint.was_full(now),
            End::NotRun { is_full: false } | End::CallerGone | End::TimedOut | End::Failed => {}
            End::NotSent => {
                endpoint.failed(now);
                self.crashed(now, &running.endpoint, incarnation);
            }
            End::Broken => {
                endpoint.failed(now);
                self.breaks.push_back(Break {
                    at: now,
                    endpoint: running.endpoint.clone(),
                    incarnation,
                    fingerprint,
                });
                if self.breaks.len() > BREAKS_MAX {
                    self.breaks.pop_front();
                }
            }
            End::Silent => endpoint.failed(now),
        }
        self.fleet.sweep();
    }

    /// Decides whether a request goes to another endpoint after a failed attempt.
    fn again(&mut self, now: Instant, ticket: TicketId, end: End) -> Step {
        let entries = self.entries;
        let Some(work) = self.works.get_mut(&ticket) else {
            return Step::Finish;
        };
        let repeatable = !work.may_have_run || work.route.repeat != Repeat::Never;
        let suspected = self.quarantine.standing(&digest(work.fingerprint));
        let allowed = repeatable
            && suspected != Standing::Quarantined
            && work.sent < work.route.max_attempts
            && now < work.deadline;
        let limit = self.cfg.retry;
        let budget = self.budgets.get_mut(&work.target);
        // Nothing arrived when no connection was made, so that another try is no repeat.
        let drawn = allowed
            && (work.sent == 0 || budget.is_some_and(|budget| budget.draw(now, limit, entries)));
        if drawn {
            work.waiting = true;
            work.hold_until = match work.version {
                Some(_) => now + RESUME_HOLD,
                None => now + work.route.goal.mul_f64(HOLD_RETURNED),
            };
            self.queue.insert((false, work.asked, ticket));
            return Step::Wait;
        }
        let code = match (work.may_have_run, end) {
            // The endpoint's own answer is passed on.
            (_, End::Failed) => None,
            (true, _) => Some(Code::OutcomeUnknown),
            (false, End::NotRun { .. }) => Some(Code::EndpointFull),
            (false, _) => Some(Code::NoEndpoint),
        };
        self.finish(now, ticket);
        match code {
            None => Step::Finish,
            Some(code @ Code::OutcomeUnknown) => Step::Refuse(Refusal::new(code)),
            Some(code) => Step::Refuse(self.soon(code)),
        }
    }

    /// Forgets a request; a running attempt counts as left by the caller.
    pub fn finish(&mut self, now: Instant, ticket: TicketId) {
        let Some(work) = self.works.remove(&ticket) else {
            return;
        };
        if work.waiting {
            self.queue.remove(&(work.returned, work.asked, ticket));
            self.queue.remove(&(false, work.asked, ticket));
        }
        if let Some(running) = work.running {
            self.note_end(
                now,
                &running,
                work.prompt,
                work.fingerprint,
                End::CallerGone,
            );
        }
    }

    /// An incarnation of an endpoint is dead: what broke there lately is suspected.
    fn crashed(&mut self, now: Instant, id: &str, incarnation: InstanceId) {
        let mut kept = VecDeque::new();
        for broken in std::mem::take(&mut self.breaks) {
            if now.saturating_duration_since(broken.at) > CRASH_WINDOW {
                continue;
            }
            if &*broken.endpoint == id && broken.incarnation == incarnation {
                let fingerprint = digest(broken.fingerprint);
                let instance = instance(id, incarnation);
                self.quarantine.crashed(now, &fingerprint, instance);
            } else {
                kept.push_back(broken);
            }
        }
        self.breaks = kept;
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
        Refusal::new(code).after(self.rng.random_range(COME_BACK.0..COME_BACK.1))
    }

    fn later(&mut self, code: Code) -> Refusal {
        Refusal::new(code).after(self.rng.random_range(COME_BACK_LATER.0..COME_BACK_LATER.1))
    }

    /// Figures of the state.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let view = |e: &Endpoint| EndpointView {
            id: e.listed.id.clone(),
            target: e.listed.target.clone(),
            zone: e.listed.zone.clone(),
            in_system: e.in_system(now, self.entries),
            own: e.own,
            load_age_ms: e.load_age(now).map(|age| age.as_millis() as u64),
            version: e.version(None),
            is_leaving: e.listed.is_leaving,
            failing: e.failing(),
        };
        Snapshot {
            desired: self.desired.as_ref().map_or(0, |desired| desired.version),
            entries: self.entries,
            requests: self.works.len(),
            waiting: self.queue.len(),
            endpoints: self.fleet.endpoints().map(view).collect(),
            fingerprints: self.quarantine.len(),
        }
    }
}

fn customer(
    desired: &Desired,
    route: &Route,
    req: &CallerRequest,
) -> Result<Option<Arc<Customer>>, Refusal> {
    let held = req.key.as_deref().and_then(|key| desired.customer(key));
    match held {
        Some(customer) => Ok(Some(customer.clone())),
        None if route.anonymous || !desired.has_customers => Ok(None),
        None => Err(Refusal::new(Code::KeyNotHeld)),
    }
}

/// One life of one endpoint; endpoints that start together have the same incarnation.
fn instance(id: &str, incarnation: InstanceId) -> InstanceId {
    let mut hash = blake3::Hasher::new();
    hash.update(&incarnation.to_le_bytes())
        .update(id.as_bytes());
    let mut short = [0; 8];
    short.copy_from_slice(&hash.finalize().as_bytes()[..8]);
    InstanceId::from_le_bytes(short)
}

fn digest(fingerprint: u64) -> Arc<str> {
    format!("{fingerprint:016x}").into()
}
