//! Sans-IO core of the agent: it uses neither sockets nor clocks.
//!
//! The driver calls [`AgentCore::handle`] with each [`AgentEvent`] and the current time, and
//! performs the [`AgentAction`]s that it returns.

mod action;
mod attempts;
mod crash;
mod event;
pub mod gate;
mod heartbeat;
mod reports;
mod settings;
mod versions;

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

use crash::CrashTracker;
use gate::Gate;
use reports::ReportRevisions;
use versions::Versions;

/// Load and limit of an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointLoad {
    /// Requests that are queued or occupy a slot.
    pub in_flight: u32,
    /// Maximum number of concurrent requests.
    pub limit: u32,
}

/// The newest placement received from an entry; only its part for this host.
#[derive(Debug)]
struct HeldPlacement {
    /// Version of the placement; also the fencing number of load orders that follow from it.
    version: Generation,
    placement: Placement,
}

impl HeldPlacement {
    fn assignment(&self, endpoint: &str) -> Option<&Assignment> {
        self.placement.endpoints.get(endpoint)
    }
}

/// Decision logic of one agent. See the module documentation.
#[derive(Debug)]
pub struct AgentCore {
    cfg: AgentCoreConfig,
    config_state: ConfigState,
    /// Invariant: its version never decreases.
    placement: Option<HeldPlacement>,
    gates: BTreeMap<EndpointId, Gate>,
    /// Endpoint of each attempt that is queued or runs.
    attempts: BTreeMap<AttemptId, EndpointId>,
    ledger: Ledger,
    quarantine: Quarantine,
    crash_tracker: CrashTracker,
    versions: Versions,
    report_revisions: ReportRevisions,
    /// True once the process was asked to stop.
    leaving: bool,
    /// True once [`AgentAction::Drained`] was returned.
    drained: bool,
}

impl AgentCore {
    /// Creates a core without a configuration and with every endpoint down.
    pub fn new(cfg: AgentCoreConfig, now: Instant) -> Self {
        let gates = cfg
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.id.clone(), Gate::new(endpoint.clone(), now)))
            .collect();
        Self {
            config_state: ConfigState::new(cfg.config.clone(), cfg.instance, now),
            cfg,
            placement: None,
            gates,
            attempts: BTreeMap::new(),
            ledger: Ledger::default(),
            quarantine: Quarantine::default(),
            crash_tracker: CrashTracker::default(),
            versions: Versions::default(),
            report_revisions: ReportRevisions::default(),
            leaving: false,
            drained: false,
        }
    }

    /// Handles an event and returns the actions for the driver, in order.
    pub fn handle(&mut self, now: Instant, event: AgentEvent) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        match event {
            AgentEvent::Offered(offer) => self.on_offered(now, offer, &mut actions),
            AgentEvent::Started { attempt } => self.on_started(now, &attempt, &mut actions),
            AgentEvent::Answered {
                attempt,
                tokens,
                answer,
            } => self.on_answered(now, &attempt, tokens, answer),
            AgentEvent::Broken {
                attempt,
                maybe_sent,
            } => self.on_broken(now, &attempt, maybe_sent, &mut actions),
            AgentEvent::Paused { attempt } => self.on_paused(&attempt),
            AgentEvent::Cancelled { attempt } => self.on_cancelled(&attempt),
            AgentEvent::EntryGone { attempt } => self.on_entry_gone(&attempt, &mut actions),
            AgentEvent::Probed { endpoint, probe } => {
                self.on_probed(now, &endpoint, probe, &mut actions);
            }
            AgentEvent::Loaded {
                endpoint,
                version,
                fence,
            } => self.on_loaded(now, &endpoint, version, fence, &mut actions),
            AgentEvent::VersionHeld { version } => self.versions.record_held(version),
            AgentEvent::VersionProgress { version, permille } => {
                self.on_version_progress(&version, permille);
            }
            AgentEvent::Synced(request) => self.on_synced(now, *request, &mut actions),
            AgentEvent::Settle(request) => self.on_settle(now, &request, &mut actions),
            AgentEvent::Stop => self.on_stop(now, &mut actions),
            AgentEvent::Tick => self.quarantine.expire(now),
        }
        self.update_versions(now, &mut actions);
        self.schedule(now, &mut actions);
        actions
    }

    /// Latest time for the next [`AgentEvent::Tick`]; `None` when none is needed.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let queues = self.gates.values().filter_map(Gate::next_wakeup);
        queues.chain(self.versions.next_wakeup()).min()
    }

    /// Load and limit of an endpoint; zeros when this host has no such endpoint.
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

    /// Generation of the configuration that the agent holds; 0 when it holds none.
    pub fn generation(&self) -> Generation {
        self.config_state.generation()
    }

    /// Targets of the configuration that the agent holds; empty when it holds none.
    fn targets(&self) -> &Targets {
        static EMPTY: LazyLock<Targets> = LazyLock::new(Targets::default);
        self.config_state
            .held()
            .map_or(&*EMPTY, |held| &held.targets)
    }

    /// State of the agent as JSON, for operators.
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
