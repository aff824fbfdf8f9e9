//! Decision logic of the agent, free of sockets and clocks.
//!
//! [`AgentEvent`]s go in with the time, [`AgentAction`]s come out.

mod action;
mod control;
mod crash;
mod event;
pub mod gate;
mod reports;
mod settings;
mod versions;
mod work;

#[cfg(test)]
mod tests;

pub use action::AgentAction;
pub use event::{AgentEvent, EndpointProbe, Offer};
pub use settings::{AgentCoreConfig, EndpointConfig, EndpointKind};

use std::collections::BTreeMap;
use std::sync::LazyLock;
use std::time::Instant;

use serde_json::{Value, json};

use crate::config::{ConfigState, Targets};
use crate::delivery::{Ledger, Quarantine};
use crate::placement::{Assignment, Placement};
use crate::types::{AttemptId, EndpointId, Generation};

use crash::CrashWatch;
use gate::Gate;
use reports::Reports;
use versions::Versions;

/// Requests in flight at an endpoint and its limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that the endpoint bears at once.
    pub limit: u32,
}

/// The host's own part of a placement.
#[derive(Debug)]
struct HeldPlacement {
    /// Version of the placement; the fencing number of orders that follow from it.
    version: Generation,
    placement: Placement,
}

impl HeldPlacement {
    fn assignment(&self, endpoint: &str) -> Option<&Assignment> {
        self.placement.endpoints.get(endpoint)
    }
}

/// Decision logic of one agent.
#[derive(Debug)]
pub struct AgentCore {
    cfg: AgentCoreConfig,
    config: ConfigState,
    /// Invariant: its version never falls.
    placement: Option<HeldPlacement>,
    gates: BTreeMap<EndpointId, Gate>,
    /// Endpoint of each attempt that waits or runs.
    attempts: BTreeMap<AttemptId, EndpointId>,
    ledger: Ledger,
    quarantine: Quarantine,
    crashes: CrashWatch,
    versions: Versions,
    reports: Reports,
    leaving: bool,
    drained: bool,
}

impl AgentCore {
    /// Starts without a configuration and with every endpoint down.
    pub fn new(cfg: AgentCoreConfig, now: Instant) -> Self {
        let gates = cfg
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.id.clone(), Gate::new(endpoint.clone(), now)))
            .collect();
        Self {
            config: ConfigState::new(cfg.config.clone(), cfg.instance, now),
            cfg,
            placement: None,
            gates,
            attempts: BTreeMap::new(),
            ledger: Ledger::default(),
            quarantine: Quarantine::default(),
            crashes: CrashWatch::default(),
            versions: Versions::default(),
            reports: Reports::default(),
            leaving: false,
            drained: false,
        }
    }

    /// Takes in an event and says what to do.
    pub fn handle(&mut self, now: Instant, event: AgentEvent) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        match event {
            AgentEvent::Offered(offer) => self.offered(now, offer, &mut actions),
            AgentEvent::Started { attempt } => self.started(now, &attempt, &mut actions),
            AgentEvent::Answered {
                attempt,
                tokens,
                answer,
            } => self.answered(now, &attempt, tokens, answer),
            AgentEvent::Broken {
                attempt,
                maybe_sent,
            } => self.broken(now, &attempt, maybe_sent, &mut actions),
            AgentEvent::Paused { attempt } => self.paused(&attempt),
            AgentEvent::Cancelled { attempt } => self.cancelled(&attempt),
            AgentEvent::EntryGone { attempt } => self.entry_gone(&attempt, &mut actions),
            AgentEvent::Probed { endpoint, probe } => {
                self.probed(now, &endpoint, probe, &mut actions);
            }
            AgentEvent::Loaded {
                endpoint,
                version,
                fence,
            } => self.loaded(now, &endpoint, version, fence, &mut actions),
            AgentEvent::VersionHeld { version } => self.versions.held(version),
            AgentEvent::VersionProgress { version, permille } => {
                self.progressed(&version, permille);
            }
            AgentEvent::Synced(request) => self.synced(now, *request, &mut actions),
            AgentEvent::Settle(request) => self.settle(now, &request, &mut actions),
            AgentEvent::Stop => self.stop(now, &mut actions),
            AgentEvent::Tick => self.quarantine.expire(now),
        }
        self.drive_versions(now, &mut actions);
        self.pump(now, &mut actions);
        actions
    }

    /// Time at which [`AgentEvent::Tick`] is due at the latest.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let queues = self.gates.values().filter_map(Gate::next_wakeup);
        queues.chain(self.versions.next_wakeup()).min()
    }

    /// Load of an endpoint; nothing for one that is not of this host.
    pub fn load(&self, now: Instant, endpoint: &str) -> EndpointLoad {
        self.gates
            .get(endpoint)
            .map_or_else(EndpointLoad::default, |gate| {
                let report = gate.report(now);
                EndpointLoad {
                    in_flight: report.in_flight + report.queued,
                    limit: report.limit,
                }
            })
    }

    /// Generation in force; 0 when none is known.
    pub fn generation(&self) -> Generation {
        self.config.generation()
    }

    /// Targets of the generation held.
    fn targets(&self) -> &Targets {
        static NONE: LazyLock<Targets> = LazyLock::new(Targets::default);
        self.config.held().map_or(&*NONE, |held| &held.targets)
    }

    /// State for operators.
    pub fn dump(&self) -> Value {
        let endpoints: Vec<Value> = self.gates.values().map(dump_gate).collect();
        json!({
            "host": &*self.cfg.host,
            "zone": &*self.cfg.zone,
            "region": &*self.cfg.region,
            "instance": self.cfg.instance,
            "generation": self.generation(),
            "placement": self.placement.as_ref().map(|held| held.version),
            "leaving": self.leaving,
            "attempts": self.attempts.len(),
            "ledger": self.ledger.len(),
            "quarantine": self.quarantine.len(),
            "endpoints": endpoints,
        })
    }
}

fn dump_gate(gate: &Gate) -> Value {
    json!({
        "endpoint": &*gate.cfg().id,
        "target": &*gate.cfg().target,
        "state": gate.phase().state().to_string(),
        "version": gate.phase().version().map(|version| &**version),
        "instance": gate.instance(),
        "running": gate.running().keys().map(|id| &**id).collect::<Vec<_>>(),
    })
}
