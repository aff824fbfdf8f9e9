//! A running site.

use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use limpetloom::agent::{self, AgentHandle};
use limpetloom::config::Targets;
use limpetloom::entry::{self, EntryHandle};
use limpetloom::settings::{
    AgentSettings, EndpointKind, EndpointSettings, EntrySettings, LimitsSettings, ListenSettings,
    LogSettings, PlatformSettings, ProcessSettings, Secret, SecuritySettings,
};
use limpetloom_fakes::engine::{Engine, EngineConfig};
use limpetloom_fakes::hosts::{Host, Hosts, Role};
use limpetloom_fakes::objects::Objects;
use limpetloom_fakes::origin::Origin;
use limpetloom_fakes::server::ANY_PORT;
use limpetloom_fakes::service::Service;

use super::builder::SiteBuilder;
use super::{Balancer, Caller};

type BoxError = Box<dyn Error + Send + Sync>;

/// Key of the configuration in the object API.
const CONFIG_KEY: &str = "config/current";
/// Interval at which readiness is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An entry of the site.
pub struct SiteEntry {
    /// Settings that the entry was started with.
    pub settings: EntrySettings,
    /// Handle of the running entry; `None` while it is stopped.
    pub entry: Option<EntryHandle>,
}

/// An engine of the site and its agent.
pub struct ModelEndpoint {
    /// Settings that the agent was started with.
    pub settings: AgentSettings,
    /// The fake engine.
    pub engine: Engine,
    /// The agent; `None` while it is stopped.
    pub agent: Option<AgentHandle>,
}

/// An endpoint of the plain service and its agent.
pub struct ServiceEndpoint {
    /// Settings that the agent was started with.
    pub settings: AgentSettings,
    /// The fake service.
    pub service: Service,
    /// The agent; `None` while it is stopped.
    pub agent: Option<AgentHandle>,
}

/// A running site: fakes, entries and agents in this process.
pub struct Site {
    /// Fake object API.
    pub objects: Objects,
    /// Fake host list.
    pub hosts: Hosts,
    /// Fake origin of the weights.
    pub origin: Origin,
    /// Fake weight store, with the same versions as the origin.
    pub store: Origin,
    /// Entries.
    pub entries: Vec<SiteEntry>,
    /// Model endpoints.
    pub models: Vec<ModelEndpoint>,
    /// Endpoints of the plain service.
    pub services: Vec<ServiceEndpoint>,
    builder: SiteBuilder,
}

impl Site {
    /// Returns a builder with the default configuration.
    pub fn builder() -> SiteBuilder {
        SiteBuilder::default()
    }

    pub(super) async fn start(builder: SiteBuilder) -> Result<Self, BoxError> {
        let mut site = Self {
            objects: Objects::spawn(builder.objects.clone())?,
            hosts: Hosts::spawn(builder.hosts.clone())?,
            origin: Origin::spawn(builder.origin.clone())?,
            store: Origin::spawn(builder.store.clone())?,
            entries: Vec::new(),
            models: Vec::new(),
            services: Vec::new(),
            builder,
        };
        let digest = site.publish("v1");
        let targets = site.builder.initial_targets("v1", &digest);
        site.write_targets(&targets)?;
        for index in 0..site.builder.models {
            site.add_model(index, &digest).await?;
        }
        for index in 0..site.builder.services {
            site.add_service(index).await?;
        }
        for index in 0..site.builder.entries {
            site.add_entry(index).await?;
        }
        Ok(site)
    }

    /// Publishes a version of the model at the origin and the weight store, and returns the digest
    /// of its manifest.
    pub fn publish(&self, version: &str) -> String {
        let seed = version.bytes().fold(self.builder.seed, |seed, byte| {
            seed.wrapping_mul(31).wrapping_add(byte.into())
        });
        let (bytes, chunk_bytes) = (self.builder.weight_bytes, self.builder.chunk_bytes);
        self.store
            .publish(super::MODEL, version, seed, bytes, chunk_bytes);
        self.origin
            .publish(super::MODEL, version, seed, bytes, chunk_bytes)
    }

    /// Size of a version, in bytes.
    pub fn weight_bytes(&self) -> u64 {
        self.builder.weight_bytes
    }

    /// Returns the targets stored in the object API; the default if there are none.
    pub fn targets(&self) -> Targets {
        let (_, value) = self.objects.peek(CONFIG_KEY).unwrap_or_default();
        serde_json::from_str(&value).unwrap_or_default()
    }

    /// Changes the stored targets, as an operator would, and returns the new generation.
    ///
    /// # Errors
    /// Fails if the targets cannot be serialised as JSON.
    pub fn apply(&self, change: impl FnOnce(&mut Targets)) -> Result<u64, BoxError> {
        let mut targets = self.targets();
        change(&mut targets);
        self.write_targets(&targets)
    }

    /// Makes a published version the desired one of the model.
    ///
    /// # Errors
    /// As [`Site::apply`].
    pub fn push_version(&self, version: &str, digest: &str) -> Result<u64, BoxError> {
        self.apply(|targets| {
            for model in &mut targets.models {
                model.version = version.into();
                model.manifest = digest.into();
            }
        })
    }

    /// Takes a zone out of service.
    ///
    /// # Errors
    /// As [`Site::apply`].
    pub fn zone_out(&self, zone: &str) -> Result<u64, BoxError> {
        self.apply(|targets| {
            targets.zones_out.insert(zone.into());
        })
    }

    /// Brings a zone back into service.
    ///
    /// # Errors
    /// As [`Site::apply`].
    pub fn zone_in(&self, zone: &str) -> Result<u64, BoxError> {
        self.apply(|targets| {
            targets.zones_out.remove(zone);
        })
    }

    /// Returns the traffic addresses of the running entries.
    pub fn entry_addrs(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .filter_map(|entry| entry.entry.as_ref())
            .map(EntryHandle::traffic)
            .collect()
    }

    /// Starts a balancer over the running entries.
    pub fn balancer(&self) -> Balancer {
        Balancer::spawn(self.entry_addrs())
    }

    /// Returns the number of engines on which a version is active.
    pub fn replicas(&self, digest: &str) -> usize {
        self.models
            .iter()
            .filter(|model| model.engine.version().as_deref() == Some(digest))
            .count()
    }

    /// Returns the digest of the desired version of the model.
    pub fn wanted_version(&self) -> Option<String> {
        let targets = self.targets();
        Some(targets.model(super::MODEL)?.manifest.to_string())
    }

    /// Waits until every engine has the desired version and every entry is ready and answers a
    /// request; returns how long that took.
    ///
    /// # Errors
    /// Fails after `limit` with the first condition that is not met.
    pub async fn wait_ready(&self, limit: Duration) -> Result<Duration, BoxError> {
        let start = Instant::now();
        let caller = Caller::new();
        loop {
            let unmet = self.unmet_condition(&caller).await;
            if unmet.is_empty() {
                return Ok(start.elapsed());
            }
            if start.elapsed() > limit {
                return Err(format!("not ready after {limit:?}: {unmet}").into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the first condition that keeps the site from being ready; empty if it is ready.
    async fn unmet_condition(&self, caller: &Caller) -> String {
        let digest = self.wanted_version().unwrap_or_default();
        let replicas = self.replicas(&digest);
        if replicas < self.models.len() {
            return format!(
                "{replicas} of {} engines have the desired version",
                self.models.len()
            );
        }
        for addr in self.entry_addrs() {
            match caller.get(addr, "/ready").await {
                Some((200, _)) => {}
                answer => return format!("readiness check of entry {addr} returned {answer:?}"),
            }
            if self.models.is_empty() {
                continue;
            }
            let outcome = caller.chat(addr, &super::Chat::new("ready?")).await;
            if outcome.answer().is_none() {
                return format!("request to entry {addr} ended as {outcome:?}");
            }
        }
        String::new()
    }

    /// Starts a stopped entry with its previous settings, as a new incarnation.
    ///
    /// # Errors
    /// Fails if its address cannot be bound.
    pub async fn start_entry(&mut self, index: usize) -> Result<(), BoxError> {
        let entry = entry::spawn(self.entries[index].settings.clone()).await?;
        let process = &self.entries[index].settings.process;
        let host = host_record(process, Role::Entry, entry.control(), entry.traffic());
        self.hosts.add(host);
        self.entries[index].entry = Some(entry);
        Ok(())
    }

    /// Removes an entry's handle from the site, for the caller to stop or kill the entry.
    pub fn take_entry(&mut self, index: usize) -> Option<EntryHandle> {
        self.entries[index].entry.take()
    }

    /// Starts the stopped agent of a model endpoint with its previous settings, as a new
    /// incarnation.
    ///
    /// # Errors
    /// Fails if its address cannot be bound.
    pub async fn start_model_agent(&mut self, index: usize) -> Result<(), BoxError> {
        let agent = self.spawn_agent(&self.models[index].settings).await?;
        self.models[index].agent = Some(agent);
        Ok(())
    }

    /// Starts the stopped agent of a service endpoint with its previous settings, as a new
    /// incarnation.
    ///
    /// # Errors
    /// Fails if its address cannot be bound.
    pub async fn start_service_agent(&mut self, index: usize) -> Result<(), BoxError> {
        let agent = self.spawn_agent(&self.services[index].settings).await?;
        self.services[index].agent = Some(agent);
        Ok(())
    }

    /// Returns the number of keys that took effect more than once at a service.
    pub fn duplicated_keys(&self) -> u64 {
        self.services
            .iter()
            .map(|service| service.service.counters().duplicated_keys)
            .sum()
    }

    /// Returns how often a key took effect, over all services.
    pub fn runs(&self, key: &str) -> u64 {
        self.services
            .iter()
            .map(|service| service.service.runs(key))
            .sum()
    }

    /// Gracefully stops all entries and then all agents.
    pub async fn stop(mut self) {
        let entries = self
            .entries
            .iter_mut()
            .filter_map(|entry| entry.entry.take())
            .map(|entry| tokio::spawn(entry.stop()));
        futures_util::future::join_all(entries).await;
        let models = self
            .models
            .iter_mut()
            .filter_map(|model| model.agent.take());
        let services = self
            .services
            .iter_mut()
            .filter_map(|service| service.agent.take());
        let agents = models
            .chain(services)
            .map(|agent| tokio::spawn(agent.stop()));
        futures_util::future::join_all(agents).await;
    }

    fn write_targets(&self, targets: &Targets) -> Result<u64, BoxError> {
        Ok(self
            .objects
            .force_put(CONFIG_KEY, &serde_json::to_string(targets)?))
    }

    async fn add_entry(&mut self, index: usize) -> Result<(), BoxError> {
        let mut settings = EntrySettings {
            process: self.process_settings(&format!("entry-{index}"), index),
            listen: ListenSettings::new(ANY_PORT, ANY_PORT),
            platform: self.platform_settings(),
            limits: LimitsSettings::new(),
            log: LogSettings::new(),
            security: security_settings(),
        };
        (self.builder.entry_override)(index, &mut settings);
        self.entries.push(SiteEntry {
            settings,
            entry: None,
        });
        self.start_entry(index).await
    }

    async fn add_model(&mut self, index: usize, digest: &str) -> Result<(), BoxError> {
        let mut cfg = EngineConfig::default();
        if self.builder.preloaded {
            cfg.version = Some(digest.to_owned());
        }
        (self.builder.engine_override)(index, &mut cfg);
        let engine = Engine::spawn(cfg.clone())?;
        let mut endpoint = EndpointSettings::new(
            format!("{}-{index}", super::MODEL).into(),
            super::MODEL.into(),
            EndpointKind::Model,
            engine.addr(),
        );
        endpoint.cold_limit = cfg.cold_limit;
        endpoint.warm_up = cfg.warm_up_requests;
        endpoint.limit = cfg.warm_limit;
        endpoint.checks_fencing = cfg.checks_fencing;
        endpoint.idle_power = cfg.idle_mw;
        endpoint.energy_per_token = cfg.token_mj;
        let mut settings = self.agent_settings(&format!("model-host-{index}"), index, endpoint);
        (self.builder.agent_override)(index, &mut settings);
        let agent = self.spawn_agent(&settings).await?;
        self.models.push(ModelEndpoint {
            settings,
            engine,
            agent: Some(agent),
        });
        Ok(())
    }

    async fn add_service(&mut self, index: usize) -> Result<(), BoxError> {
        let service = Service::spawn(self.builder.service.clone())?;
        let mut endpoint = EndpointSettings::new(
            format!("{}-{index}", super::SERVICE).into(),
            super::SERVICE.into(),
            EndpointKind::Service,
            service.addr(),
        );
        endpoint.cold_limit = 64;
        endpoint.limit = 64;
        let mut settings = self.agent_settings(&format!("service-host-{index}"), index, endpoint);
        (self.builder.agent_override)(self.builder.models + index, &mut settings);
        let agent = self.spawn_agent(&settings).await?;
        self.services.push(ServiceEndpoint {
            settings,
            service,
            agent: Some(agent),
        });
        Ok(())
    }

    async fn spawn_agent(&self, settings: &AgentSettings) -> Result<AgentHandle, BoxError> {
        let agent = agent::spawn(settings.clone()).await?;
        let host = host_record(
            &settings.process,
            Role::Agent,
            agent.control(),
            agent.traffic(),
        );
        self.hosts.add(host);
        Ok(agent)
    }

    fn agent_settings(
        &self,
        name: &str,
        index: usize,
        endpoint: EndpointSettings,
    ) -> AgentSettings {
        AgentSettings {
            process: self.process_settings(name, index),
            listen: ListenSettings::new(ANY_PORT, ANY_PORT),
            platform: self.platform_settings(),
            limits: LimitsSettings::new(),
            log: LogSettings::new(),
            security: security_settings(),
            endpoints: vec![endpoint],
        }
    }

    fn process_settings(&self, name: &str, index: usize) -> ProcessSettings {
        let mut process = ProcessSettings::new(
            name.into(),
            name.into(),
            self.builder.zone_name(index).into(),
            self.builder.region_name(index).into(),
        );
        let hash = name.bytes().fold(self.builder.seed, |seed, byte| {
            seed.wrapping_mul(131).wrapping_add(byte.into())
        });
        process.seed = Some(hash);
        process
    }

    fn platform_settings(&self) -> PlatformSettings {
        PlatformSettings::new(
            self.objects.addr(),
            self.hosts.addr(),
            self.store.addr(),
            self.origin.addr(),
            self.builder.region_name(0).into(),
        )
    }
}

fn security_settings() -> SecuritySettings {
    SecuritySettings::new(Secret::new(super::TOKEN))
}

fn host_record(
    process: &ProcessSettings,
    role: Role,
    control: SocketAddr,
    traffic: SocketAddr,
) -> Host {
    Host {
        host: process.host.to_string(),
        zone: process.zone.to_string(),
        region: process.region.to_string(),
        role,
        control,
        traffic,
        leaving: false,
    }
}
