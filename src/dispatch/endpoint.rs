//! An entry's view of one endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::types::{EndpointId, InstanceId, RegionId, TargetId, ZoneId};

use super::crash_watch::EndpointProcess;
use super::estimate::EngineModel;
use super::limit::Limit;
use super::patterns::{ColdRateLimiter, Health, Mitigations, Occupancy};
use super::shared_places::{Rounding, Sharing};
use super::statement::Statement;

/// Age from which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Weight of the newest sample in exponentially weighted moving averages.
const EWMA_WEIGHT: f64 = 0.15;
/// Bounds of the correction factor between predicted and observed time to the first event.
const BIAS_BOUNDS: (f64, f64) = (0.6, 8.0);
/// Assumed answer time of a plain service before its first answer.
const INITIAL_WORK_TIME: Duration = Duration::from_millis(30);

/// A process of an endpoint: its incarnation and the endpoint's name. Those that started first come first.
pub(super) type EndpointKey = (InstanceId, EndpointId);

/// An endpoint as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Unique name.
    pub id: EndpointId,
    /// Model or service that it serves.
    pub target: TargetId,
    /// Address that requests are sent to.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region of the zone.
    pub region: RegionId,
    /// Maximum number of concurrently running requests.
    pub slots: u32,
    /// True once it is shutting down.
    pub is_leaving: bool,
    /// Remaining time for which it is cold.
    pub cold_left: Duration,
    /// Start of its process in milliseconds since 1970; distinguishes restarts under one name.
    pub incarnation: u64,
    /// Models that it holds with all layers, with their versions.
    pub models: Vec<(Arc<str>, u64)>,
}

/// Load of an endpoint as reported by its agent.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLoad {
    /// Start of the endpoint's process in milliseconds since 1970.
    pub incarnation: u64,
    /// Running requests.
    pub running: u32,
    /// Requests queued at the endpoint.
    pub waiting: u32,
    /// Observed over modelled step time; above 1 when it is slower than its [`EngineModel`].
    pub slowdown: f64,
    /// Models that it holds with all layers, with their versions.
    pub models: Vec<(Arc<str>, u64)>,
    /// True while it takes no new requests because it is switching its weight version.
    pub is_switching: bool,
    /// Time left until it is ordered to switch its weight version.
    pub switch_in: Option<Duration>,
    /// What the endpoint says of itself in its report.
    pub statement: Statement,
}

/// An entry's view of one endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Last entry of the platform's list; the agent's reports update incarnation and models.
    pub listed: ListedEndpoint,
    /// True once it has left the list; it is then not used.
    pub(super) is_unlisted: bool,
    /// Time until which it is still used although its lease on the list has expired.
    pub(super) grace_deadline: Option<Instant>,
    /// Time at which it is no longer cold.
    pub(super) cold_deadline: Option<Instant>,
    pub(super) cold: ColdRateLimiter,
    /// Last load report, with the time of its arrival.
    report: Option<(Instant, EndpointLoad)>,
    pub(super) occupancy: Occupancy,
    /// Decides whether this entry's part of its free places is rounded up.
    pub(super) rounding: Rounding,
    /// Last time at which an answer of it began or ended.
    answered_at: Option<Instant>,
    pub(super) health: Health,
    /// What the current incarnation says of the requests that it takes.
    pub(super) limit: Limit,
    /// Moving average of observed over predicted time to the first event.
    bias: f64,
    /// Moving average of a plain service's answer time in seconds.
    mean_work_time: f64,
}

impl Endpoint {
    /// Creates an endpoint from its first listing.
    pub fn new(now: Instant, listed: ListedEndpoint, mitigations: Mitigations) -> Self {
        let mut endpoint = Self {
            listed,
            is_unlisted: false,
            grace_deadline: None,
            cold_deadline: None,
            cold: ColdRateLimiter::default(),
            report: None,
            occupancy: Occupancy::new(mitigations.departures),
            rounding: Rounding::default(),
            answered_at: None,
            health: Health::new(mitigations.zone_loss),
            limit: Limit::default(),
            bias: 1.0,
            mean_work_time: INITIAL_WORK_TIME.as_secs_f64(),
        };
        endpoint.update_cold_deadline(now);
        endpoint
    }

    /// Applies a newer listing. Returns true when the process has restarted.
    pub fn update_listing(&mut self, now: Instant, listed: ListedEndpoint) -> bool {
        let restarted = listed.incarnation != self.listed.incarnation;
        let models = std::mem::take(&mut self.listed.models);
        self.listed = listed;
        if !restarted && self.load_age(now).is_some() {
            // The agent's reports are newer than the list.
            self.listed.models = models;
        }
        self.is_unlisted = false;
        self.grace_deadline = None;
        if restarted {
            self.restarted();
        }
        self.update_cold_deadline(now);
        restarted
    }

    /// The process that answers there, by the last listing or report.
    pub fn process(&self) -> EndpointProcess {
        EndpointProcess {
            host: self.listed.addr.ip(),
            incarnation: self.listed.incarnation,
        }
    }

    /// The same process by the endpoint's name.
    pub(super) fn key(&self) -> EndpointKey {
        (self.listed.incarnation, self.listed.id.clone())
    }

    fn update_cold_deadline(&mut self, now: Instant) {
        if !self.listed.cold_left.is_zero() {
            self.cold_deadline = Some(now + self.listed.cold_left);
        }
    }

    fn restarted(&mut self) {
        self.report = None;
        self.answered_at = None;
        self.occupancy.restarted();
        self.health.restarted();
        self.limit = Limit::default();
        self.bias = 1.0;
    }

    /// Applies a load report of its agent; reports of an earlier incarnation are ignored.
    pub fn update_load(&mut self, now: Instant, load: EndpointLoad) {
        if load.incarnation < self.listed.incarnation {
            return;
        }
        if load.incarnation > self.listed.incarnation {
            self.restarted();
            self.listed.incarnation = load.incarnation;
        }
        self.listed.models.clone_from(&load.models);
        self.report = Some((now, load));
        self.occupancy.reported(now);
    }

    /// Age of the last load report; `None` when it is too old to be used.
    pub fn load_age(&self, now: Instant) -> Option<Duration> {
        let (at, _) = self.report.as_ref()?;
        let age = now.saturating_duration_since(*at);
        (age < MAX_REPORT_AGE).then_some(age)
    }

    /// True when its load reports have stopped and it has not answered either for that time: its host may
    /// stand still. False before its first report.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MAX_REPORT_AGE;
        self.report.as_ref().is_some_and(|(at, _)| !is_recent(*at))
            && !self.answered_at.is_some_and(is_recent)
    }

    /// Records that an answer of it began or ended.
    pub(super) fn answered(&mut self, now: Instant) {
        self.answered_at = Some(now);
    }

    fn fresh_report(&self, now: Instant) -> Option<&EndpointLoad> {
        self.load_age(now)?;
        self.report.as_ref().map(|(_, load)| load)
    }

    /// Estimated number of requests running or queued there, `entries` being the number of entries.
    pub fn in_system(&self, now: Instant, entries: u32) -> u32 {
        match self.fresh_report(now) {
            Some(load) => {
                let reported = load.running.saturating_add(load.waiting);
                self.occupancy.with_report(reported)
            }
            None => self.occupancy.without_report(entries),
        }
    }

    /// True while it takes no new requests because it is switching its weight version.
    pub fn is_switching(&self, now: Instant) -> bool {
        self.fresh_report(now).is_some_and(|load| load.is_switching)
    }

    /// Time at which it will be ordered to switch its weight version; `None` when no switch is
    /// planned or the last load report is too old.
    pub fn switch_at(&self, now: Instant) -> Option<Instant> {
        let (at, load) = self.report.as_ref()?;
        let is_fresh = self.load_age(now).is_some();
        load.switch_in.filter(|_| is_fresh).map(|left| *at + left)
    }

    /// A model, or its first one when `model` is `None`; `None` for a plain service.
    pub(super) fn model<'a>(&'a self, model: Option<&'a str>) -> Option<&'a str> {
        model.or_else(|| self.listed.models.first().map(|(name, _)| &**name))
    }

    /// Version that it serves of a model; of its first model when `model` is `None`.
    pub fn version(&self, model: Option<&str>) -> Option<u64> {
        let mut models = self.listed.models.iter();
        models
            .find(|(name, _)| model.is_none_or(|model| model == &**name))
            .map(|(_, version)| *version)
    }

    /// Predicted time to the first event of the answer, for a prompt of `prompt` tokens; `engine`
    /// is `None` for a plain service.
    pub fn predict(
        &self,
        now: Instant,
        engine: Option<&EngineModel>,
        prompt: u32,
        entries: u32,
    ) -> Duration {
        let in_system = self.in_system(now, entries);
        let modelled = match engine {
            Some(engine) => self.modelled_start(
                now,
                engine,
                in_system,
                self.occupancy.pending_prefill(),
                prompt,
            ),
            None => {
                let slots = self.listed.slots.max(1);
                let ahead = in_system.saturating_add(1).saturating_sub(slots);
                let rounds = 1.0 + f64::from(ahead) / f64::from(slots);
                Duration::from_secs_f64(self.mean_work_time * rounds)
            }
        };
        modelled.mul_f64(self.bias)
    }

    /// Predicted time to the first event if each of the other entries fills its part of the free places.
    ///
    /// Entries see the same free place at the same time and not each other's requests, and a load report
    /// is some hundred milliseconds old when it is sent.
    pub(super) fn predict_shared(
        &self,
        now: Instant,
        engine: &EngineModel,
        prompt: u32,
        sharing: Sharing,
    ) -> Duration {
        let in_system = self.in_system_shared(now, sharing);
        let pending = self.occupancy.pending_prefill();
        self.modelled_start(now, engine, in_system, pending, prompt)
            .mul_f64(self.bias)
    }

    /// Number of requests there if each entry fills its part of the free places.
    fn in_system_shared(&self, now: Instant, sharing: Sharing) -> u32 {
        // The last report counts however old it is: a silent engine does not become free.
        let running = self.report.as_ref().map_or(0, |(_, load)| load.running);
        let unstarted = self.occupancy.unstarted();
        let own = self.occupancy.own().saturating_sub(unstarted);
        let part = sharing.part_of_places(own, running);
        let uncounted = self.occupancy.uncounted();
        let uncounted_of_all = uncounted.saturating_add(self.rounding.others(uncounted, part));
        let shared = running.saturating_add(uncounted_of_all);
        self.in_system(now, sharing.entries).max(shared)
    }

    /// Predicted time to the first event if each of the entries has sent as much since the last
    /// load report as this one.
    pub(super) fn predict_crowded(
        &self,
        now: Instant,
        engine: &EngineModel,
        prompt: u32,
        sharing: Sharing,
    ) -> Duration {
        let entries = sharing.entries;
        let of_others = (entries - 1).saturating_mul(self.occupancy.since_report());
        let in_system = self.in_system(now, entries).saturating_add(of_others);
        let in_system = in_system.max(self.in_system_shared(now, sharing));
        let pending = self.occupancy.pending_prefill() * f64::from(entries);
        self.modelled_start(now, engine, in_system, pending, prompt)
            .mul_f64(self.bias)
    }

    fn modelled_start(
        &self,
        now: Instant,
        engine: &EngineModel,
        in_system: u32,
        pending_prefill: f64,
        prompt: u32,
    ) -> Duration {
        engine
            .time_to_first_event(in_system, pending_prefill, f64::from(prompt))
            .mul_f64(self.slowdown(now))
    }

    /// Observed over modelled step time; 1 without a recent load report.
    pub(super) fn slowdown(&self, now: Instant) -> f64 {
        self.fresh_report(now)
            .map_or(1.0, |load| load.slowdown.max(0.1))
    }

    /// Estimated requests per slot; above 1 when requests are queued.
    pub fn load(&self, now: Instant, entries: u32) -> f64 {
        f64::from(self.in_system(now, entries)) / f64::from(self.listed.slots.max(1))
    }

    /// The same if each entry fills its part of the free places, where this entry has an unstarted request
    /// there.
    pub(super) fn load_shared(&self, now: Instant, sharing: Sharing) -> f64 {
        match self.occupancy.unstarted() {
            0 => self.load(now, sharing.entries),
            _ => {
                f64::from(self.in_system_shared(now, sharing)) / f64::from(self.listed.slots.max(1))
            }
        }
    }

    /// Counts a request of this entry that is being sent; `is_stream` when its answer is a stream.
    pub(super) fn sent(&mut self, now: Instant, prompt: u32, is_stream: bool) {
        self.occupancy.sent(prompt, is_stream);
        if self.cold_deadline.is_some_and(|until| now < until) {
            self.cold.sent(now);
        }
    }

    /// Records that the first event of a request of this entry has arrived.
    pub(super) fn started(&mut self, prompt: u32, is_stream: bool) {
        self.occupancy.started(prompt, is_stream);
        self.health.started();
    }

    /// Records the time from sending to the first event.
    pub(super) fn record_start_time(&mut self, took: Duration, predicted: Duration) {
        let modelled = predicted.as_secs_f64() / self.bias;
        let ratio = took.as_secs_f64() / modelled.max(0.001);
        self.bias =
            (self.bias + (ratio - self.bias) * EWMA_WEIGHT).clamp(BIAS_BOUNDS.0, BIAS_BOUNDS.1);
    }

    /// Records the time from sending to the end of an answer.
    pub(super) fn record_work_time(&mut self, took: Duration) {
        self.mean_work_time += (took.as_secs_f64() - self.mean_work_time) * EWMA_WEIGHT;
    }
}
