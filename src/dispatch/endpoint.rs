//! What an entry knows of one endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::types::{EndpointId, RegionId, TargetId, ZoneId};

use super::estimate::EngineModel;
use super::patterns::{ColdBound, Health, Mitigations, Occupancy};

/// Age beyond which a load report says nothing any more.
const REPORT_LIFE: Duration = Duration::from_millis(1_500);
/// Weight of the newest sample in moving averages.
const NEWEST: f64 = 0.15;
/// Bounds of the learned factor between predicted and observed time to the first event.
const BIAS: (f64, f64) = (0.6, 8.0);
/// Work time of a plain service before the first answer was seen.
const UNMEASURED_WORK: Duration = Duration::from_millis(30);

/// An endpoint as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Name.
    pub id: EndpointId,
    /// Model or service that it serves.
    pub target: TargetId,
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True once it is about to leave.
    pub is_leaving: bool,
    /// How much longer it stays cold.
    pub cold_left: Duration,
    /// Start of its process in milliseconds since 1970; tells two lives under one name apart.
    pub incarnation: u64,
    /// Models that it serves with all layers, with their versions.
    pub models: Vec<(Arc<str>, u64)>,
}

/// Load of an endpoint as its agent reported it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLoad {
    /// Start of the endpoint's process in milliseconds since 1970.
    pub incarnation: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the endpoint.
    pub waiting: u32,
    /// Factor by which the endpoint is slower than its model says.
    pub slowdown: f64,
    /// Models that it serves with all layers, with their versions.
    pub models: Vec<(Arc<str>, u64)>,
    /// True while it takes no new work because it changes its version.
    pub is_switching: bool,
    /// Time left until it is told to change its version.
    pub switch_in: Option<Duration>,
}

/// What an entry knows of one endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// As the platform lists it.
    pub listed: ListedEndpoint,
    /// True once the list has lost it; it is then not used.
    pub(super) gone: bool,
    /// Latest time at which it gets work although its lease on the list has run out.
    pub(super) lapsed_until: Option<Instant>,
    pub(super) cold_until: Option<Instant>,
    pub(super) cold: ColdBound,
    report: Option<(Instant, EndpointLoad)>,
    pub(super) occupancy: Occupancy,
    pub(super) health: Health,
    /// Observed over predicted time to the first event.
    bias: f64,
    /// Mean work time of a plain service in seconds.
    work: f64,
}

impl Endpoint {
    /// An endpoint that was listed for the first time.
    pub fn new(now: Instant, listed: ListedEndpoint, mitigations: Mitigations) -> Self {
        let mut endpoint = Self {
            listed,
            gone: false,
            lapsed_until: None,
            cold_until: None,
            cold: ColdBound::default(),
            report: None,
            occupancy: Occupancy::new(mitigations.departures),
            health: Health::new(mitigations.zone_loss),
            bias: 1.0,
            work: UNMEASURED_WORK.as_secs_f64(),
        };
        endpoint.note_cold(now);
        endpoint
    }

    /// Takes in a newer entry of the list. Returns true when the process is another.
    pub fn update_listing(&mut self, now: Instant, listed: ListedEndpoint) -> bool {
        let restarted = listed.incarnation != self.listed.incarnation;
        let models = std::mem::take(&mut self.listed.models);
        self.listed = listed;
        if !restarted && self.load_age(now).is_some() {
            // The list lags behind what the agent reports.
            self.listed.models = models;
        }
        self.gone = false;
        self.lapsed_until = None;
        if restarted {
            self.restarted();
        }
        self.note_cold(now);
        restarted
    }

    fn note_cold(&mut self, now: Instant) {
        if !self.listed.cold_left.is_zero() {
            self.cold_until = Some(now + self.listed.cold_left);
        }
    }

    fn restarted(&mut self) {
        self.report = None;
        self.occupancy.reported();
        self.health.restarted();
        self.bias = 1.0;
    }

    /// Takes in a load report of the agent beside it.
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
        self.occupancy.reported();
    }

    /// Age of the last load report, unless it is too old to be used.
    pub fn load_age(&self, now: Instant) -> Option<Duration> {
        let (at, _) = self.report.as_ref()?;
        let age = now.saturating_duration_since(*at);
        (age < REPORT_LIFE).then_some(age)
    }

    fn fresh(&self, now: Instant) -> Option<&EndpointLoad> {
        self.load_age(now)?;
        self.report.as_ref().map(|(_, load)| load)
    }

    /// Requests that are at the endpoint as far as this entry, one of `entries`, knows.
    pub fn in_system(&self, now: Instant, entries: u32) -> u32 {
        match self.fresh(now) {
            Some(load) => self.occupancy.with_report(load.running + load.waiting),
            None => self.occupancy.without_report(entries),
        }
    }

    /// True while it takes no work because it changes its version.
    pub fn is_switching(&self, now: Instant) -> bool {
        self.fresh(now).is_some_and(|load| load.is_switching)
    }

    /// Time at which it will be told to change its version.
    pub fn switch_at(&self, now: Instant) -> Option<Instant> {
        let (at, load) = self.report.as_ref()?;
        let is_fresh = self.load_age(now).is_some();
        load.switch_in.filter(|_| is_fresh).map(|left| *at + left)
    }

    /// Version of a model that it serves; the only one when the request names none.
    pub fn version(&self, model: Option<&str>) -> Option<u64> {
        let mut models = self.listed.models.iter();
        models
            .find(|(name, _)| model.is_none_or(|model| model == &**name))
            .map(|(_, version)| *version)
    }

    /// Predicted time to the start of the answer.
    pub fn predict(
        &self,
        now: Instant,
        engine: Option<&EngineModel>,
        prompt: u32,
        entries: u32,
    ) -> Duration {
        let in_system = self.in_system(now, entries);
        let clean = match engine {
            Some(engine) => {
                let pace = self.fresh(now).map_or(1.0, |load| load.slowdown.max(0.1));
                engine
                    .time_to_first_event(in_system, self.occupancy.unread(), f64::from(prompt))
                    .mul_f64(pace)
            }
            None => {
                let slots = self.listed.slots.max(1);
                let ahead = (in_system + 1).saturating_sub(slots);
                let turns = 1.0 + f64::from(ahead) / f64::from(slots);
                Duration::from_secs_f64(self.work * turns)
            }
        };
        clean.mul_f64(self.bias)
    }

    /// Share of its places that are taken.
    pub fn load(&self, now: Instant, entries: u32) -> f64 {
        f64::from(self.in_system(now, entries)) / f64::from(self.listed.slots.max(1))
    }

    pub(super) fn sent(&mut self, now: Instant, prompt: u32) {
        self.occupancy.sent(prompt);
        if self.cold_until.is_some_and(|until| now < until) {
            self.cold.sent(now);
        }
    }

    /// The first event of an own request came `took` after it was sent.
    pub(super) fn started(&mut self, prompt: u32, took: Duration, predicted: Duration) {
        self.occupancy.started(prompt);
        self.health.started();
        let clean = predicted.as_secs_f64() / self.bias;
        let ratio = took.as_secs_f64() / clean.max(0.001);
        self.bias = (self.bias + (ratio - self.bias) * NEWEST).clamp(BIAS.0, BIAS.1);
    }

    pub(super) fn worked(&mut self, took: Duration) {
        self.work += (took.as_secs_f64() - self.work) * NEWEST;
    }
}
