//! Configuration of a site before it starts.

use std::error::Error;
use std::time::Duration;

use limpetloom::config::{Class, Customer, Model, Service as ServiceTarget, Targets};
use limpetloom::settings::{AgentSettings, EntrySettings};
use limpetloom_fakes::engine::EngineConfig;
use limpetloom_fakes::hosts::HostsConfig;
use limpetloom_fakes::objects::ObjectsConfig;
use limpetloom_fakes::origin::OriginConfig;
use limpetloom_fakes::service::ServiceConfig;

use super::site::Site;

/// Names of the availability zones, in the order in which they are used.
const ZONES: [&str; 6] = [
    "kochi-a",
    "kozhikode-a",
    "trivandrum-a",
    "bkk-a",
    "cnx-a",
    "hdy-a",
];
/// Names of the regions.
const REGIONS: [&str; 2] = ["kerala", "thailand"];
/// Default power cap of a site, in milliwatts.
const SITE_POWER_MW: u64 = 1_000_000_000;

type EngineOverride = Box<dyn Fn(usize, &mut EngineConfig) + Send + Sync>;
type EntryOverride = Box<dyn Fn(usize, &mut EntrySettings) + Send + Sync>;
type AgentOverride = Box<dyn Fn(usize, &mut AgentSettings) + Send + Sync>;
type TargetsOverride = Box<dyn Fn(&mut Targets) + Send + Sync>;

/// Builder of a [`Site`].
pub struct SiteBuilder {
    pub(super) zones: usize,
    pub(super) regions: usize,
    pub(super) entries: usize,
    pub(super) models: usize,
    pub(super) services: usize,
    pub(super) customers: usize,
    pub(super) seed: u64,
    pub(super) preloaded: bool,
    pub(super) weight_bytes: u64,
    pub(super) chunk_bytes: u32,
    pub(super) objects: ObjectsConfig,
    pub(super) hosts: HostsConfig,
    pub(super) origin: OriginConfig,
    pub(super) store: OriginConfig,
    pub(super) service: ServiceConfig,
    pub(super) engine_override: EngineOverride,
    pub(super) entry_override: EntryOverride,
    pub(super) agent_override: AgentOverride,
    pub(super) targets_override: TargetsOverride,
}

impl Default for SiteBuilder {
    fn default() -> Self {
        Self {
            zones: 3,
            regions: 1,
            entries: 2,
            models: 2,
            services: 1,
            customers: 10,
            seed: 1,
            preloaded: false,
            weight_bytes: 1 << 20,
            chunk_bytes: 64 << 10,
            objects: ObjectsConfig::default(),
            hosts: HostsConfig::default(),
            origin: OriginConfig::default(),
            store: OriginConfig::default(),
            service: ServiceConfig::default(),
            engine_override: Box::new(|_, _| {}),
            entry_override: Box::new(|_, _| {}),
            agent_override: Box::new(|_, _| {}),
            targets_override: Box::new(|_| {}),
        }
    }
}

impl SiteBuilder {
    /// Sets the number of availability zones, six at most.
    pub fn zones(mut self, zones: usize) -> Self {
        self.zones = zones.clamp(1, ZONES.len());
        self
    }

    /// Sets the number of regions among which the zones are divided, two at most.
    pub fn regions(mut self, regions: usize) -> Self {
        self.regions = regions.clamp(1, REGIONS.len());
        self
    }

    /// Sets the number of entries.
    pub fn entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Sets the number of model endpoints; each has its own host and agent.
    pub fn models(mut self, models: usize) -> Self {
        self.models = models;
        self
    }

    /// Sets the number of endpoints of the plain service; each has its own host and agent.
    pub fn services(mut self, services: usize) -> Self {
        self.services = services;
        self
    }

    /// Sets the number of customers, named `customer-1` and so on.
    pub fn customers(mut self, customers: usize) -> Self {
        self.customers = customers;
        self
    }

    /// Sets the seed for the random choices of the processes and the content of the weights.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Starts the engines with the first version active, so that no weights are transferred.
    pub fn preloaded(mut self) -> Self {
        self.preloaded = true;
        self
    }

    /// Sets the size of a version and of its chunks, in bytes.
    pub fn weights(mut self, bytes: u64, chunk_bytes: u32) -> Self {
        self.weight_bytes = bytes;
        self.chunk_bytes = chunk_bytes;
        self
    }

    /// Sets the configuration of the object API.
    pub fn objects(mut self, cfg: ObjectsConfig) -> Self {
        self.objects = cfg;
        self
    }

    /// Sets the delay with which the host list shows changes.
    pub fn host_list_lag(mut self, lag: Duration) -> Self {
        self.hosts.lag = lag;
        self
    }

    /// Sets the rate of the origin's link, in bytes a second.
    pub fn origin_link(mut self, bytes_per_s: u64) -> Self {
        self.origin.link_bytes_per_s = bytes_per_s;
        self
    }

    /// Sets the rate of the weight store's link, in bytes a second.
    pub fn store_link(mut self, bytes_per_s: u64) -> Self {
        self.store.link_bytes_per_s = bytes_per_s;
        self
    }

    /// Sets the time that a call of the plain service takes.
    pub fn service_delay(mut self, delay: Duration) -> Self {
        self.service.delay = delay;
        self
    }

    /// Sets a function that changes the configuration of each engine; it gets the engine's index.
    pub fn engine(mut self, f: impl Fn(usize, &mut EngineConfig) + Send + Sync + 'static) -> Self {
        self.engine_override = Box::new(f);
        self
    }

    /// Sets a function that changes the settings of each entry; it gets the entry's index.
    pub fn entry_settings(
        mut self,
        f: impl Fn(usize, &mut EntrySettings) + Send + Sync + 'static,
    ) -> Self {
        self.entry_override = Box::new(f);
        self
    }

    /// Sets a function that changes the settings of each agent; it gets the agent's index. The
    /// agents of services come after those of models.
    pub fn agent_settings(
        mut self,
        f: impl Fn(usize, &mut AgentSettings) + Send + Sync + 'static,
    ) -> Self {
        self.agent_override = Box::new(f);
        self
    }

    /// Sets a function that changes the initial targets.
    pub fn targets(mut self, f: impl Fn(&mut Targets) + Send + Sync + 'static) -> Self {
        self.targets_override = Box::new(f);
        self
    }

    /// Starts the site. The endpoints become ready later; see [`Site::wait_ready`].
    ///
    /// # Errors
    /// Fails if a listener cannot be bound.
    pub async fn start(self) -> Result<Site, Box<dyn Error + Send + Sync>> {
        Site::start(self).await
    }

    pub(super) fn zone_name(&self, index: usize) -> String {
        ZONES[index % self.zones].to_owned()
    }

    pub(super) fn region_name(&self, index: usize) -> String {
        let zone = index % self.zones;
        REGIONS[zone * self.regions / self.zones].to_owned()
    }

    /// Returns the initial targets, with the given version of the model.
    pub(super) fn initial_targets(&self, version: &str, manifest: &str) -> Targets {
        let mut targets = Targets {
            site_power: SITE_POWER_MW,
            classes: classes(),
            customers: (1..=self.customers).map(customer).collect(),
            models: vec![Model {
                id: super::MODEL.into(),
                version: version.into(),
                manifest: manifest.into(),
                replicas: None,
            }],
            services: vec![ServiceTarget {
                id: super::SERVICE.into(),
            }],
            ..Targets::default()
        };
        (self.targets_override)(&mut targets);
        targets
    }
}

fn customer(number: usize) -> Customer {
    Customer {
        id: format!("customer-{number}").into(),
        weight: 1,
    }
}

fn classes() -> Vec<Class> {
    let class = |id: &str, target: &str| Class {
        id: id.into(),
        target: target.into(),
        first_token: Duration::from_millis(890),
        power: SITE_POWER_MW / 4,
        priority: 10,
        keyed: false,
        deferrable: false,
    };
    vec![
        class("chat", super::MODEL),
        Class {
            first_token: Duration::from_secs(30),
            priority: 100,
            deferrable: true,
            ..class("batch", super::MODEL)
        },
        Class {
            keyed: true,
            ..class("booking", super::SERVICE)
        },
        class("lookup", super::SERVICE),
    ]
}
