//! Brings the endpoints of a host to the versions that the configuration names.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::config::Model;
use crate::telemetry::Event;
use crate::types::{Digest, EndpointId, Generation, TargetId};

use super::gate::Phase;
use super::{AgentAction, AgentCore, EndpointKind};

/// Wait after a switch before the next endpoint of the same model switches, unless the first one
/// is warm earlier.
const SWITCH_SETTLE: Duration = Duration::from_secs(5);

/// Versions that the host fetches and holds.
#[derive(Debug, Default)]
pub(super) struct Versions {
    /// Version that was last asked for, by model.
    fetching: BTreeMap<TargetId, Digest>,
    /// Versions that are wholly held.
    held: BTreeSet<Digest>,
    /// Time before which no further endpoint of a model switches.
    settle_until: BTreeMap<TargetId, Instant>,
}

impl Versions {
    /// All chunks of a version are held.
    pub(super) fn held(&mut self, version: Digest) {
        self.held.insert(version);
    }

    /// Time at which the next switch may start.
    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        self.settle_until.values().min().copied()
    }
}

impl AgentCore {
    /// Orders the fetches and switches that are due.
    pub(super) fn drive_versions(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        self.versions.settle_until.retain(|_, at| *at > now);
        for model in self.wanted_models().into_values() {
            self.drive_model(now, &model, actions);
        }
        for gate in self.gates.values_mut() {
            if let Some((version, fence)) = gate.due_order() {
                let endpoint = gate.cfg().id.clone();
                actions.push(AgentAction::Load {
                    endpoint,
                    version,
                    fence,
                });
            }
        }
    }

    pub(super) fn progressed(&mut self, version: &Digest, permille: u32) {
        let fetching = &self.versions.fetching;
        let gates = self.gates.values_mut();
        gates
            .filter(|gate| fetching.get(&gate.cfg().target) == Some(version))
            .for_each(|gate| gate.set_progress(permille));
    }

    pub(super) fn loaded(
        &mut self,
        now: Instant,
        endpoint: &str,
        version: Option<Digest>,
        fence: Generation,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(gate) = self.gates.get_mut(endpoint) else {
            return;
        };
        gate.loaded(now, version, fence);
        let state = gate.phase().state();
        let settle = (gate.cfg().target.clone(), now + SWITCH_SETTLE);
        self.versions.settle_until.extend([settle]);
        actions.push(AgentAction::Log {
            event: Event::VersionReady,
            detail: format!("{endpoint}: {state}"),
        });
    }

    /// Fencing number of orders: the placement's version, or the generation without a placement.
    fn fence(&self) -> Generation {
        self.placement
            .as_ref()
            .map_or(self.generation(), |doc| doc.generation)
    }

    fn wanted_models(&self) -> BTreeMap<TargetId, Model> {
        self.gates
            .values()
            .filter(|gate| gate.cfg().kind == EndpointKind::Model)
            .filter_map(|gate| self.targets().model(&gate.cfg().target))
            .map(|model| (model.id.clone(), model.clone()))
            .collect()
    }

    fn drive_model(&mut self, now: Instant, model: &Model, actions: &mut Vec<AgentAction>) {
        let wanted = &model.manifest;
        let behind = self.gates_behind(&model.id, wanted);
        if behind.is_empty() {
            return;
        }
        if !self.versions.held.contains(wanted) {
            let asked = self
                .versions
                .fetching
                .insert(model.id.clone(), wanted.clone());
            if asked.as_ref() != Some(wanted) {
                actions.push(AgentAction::Fetch {
                    model: model.id.clone(),
                    name: model.version.clone(),
                    version: wanted.clone(),
                });
            }
            return;
        }
        if let Some(endpoint) = self.next_switch(now, &model.id, &behind) {
            let fence = self.fence();
            let Some(gate) = self.gates.get_mut(&endpoint) else {
                return;
            };
            let steps = gate.load(wanted.clone(), fence);
            self.apply(now, steps, actions);
        }
    }

    fn gates_behind(&self, model: &TargetId, wanted: &Digest) -> Vec<EndpointId> {
        self.gates
            .values()
            .filter(|gate| gate.cfg().target == *model)
            .filter(|gate| gate.phase().version() != Some(wanted))
            .map(|gate| gate.cfg().id.clone())
            .collect()
    }

    /// An endpoint that serves nothing goes first; those that serve switch one after another.
    fn next_switch(
        &self,
        now: Instant,
        model: &TargetId,
        behind: &[EndpointId],
    ) -> Option<EndpointId> {
        let mut ready = behind
            .iter()
            .filter_map(|id| self.gates.get(id))
            .filter(|gate| gate.can_load(now));
        let idle = ready
            .clone()
            .find(|gate| matches!(gate.phase(), Phase::Down(_)));
        if let Some(gate) = idle {
            return Some(gate.cfg().id.clone());
        }
        let mut siblings = self
            .gates
            .values()
            .filter(|gate| gate.cfg().target == *model);
        let switching = siblings
            .clone()
            .any(|gate| matches!(gate.phase(), Phase::Loading(_)));
        let cold = siblings.any(|gate| matches!(gate.phase(), Phase::Cold(_)));
        let settling = cold && self.versions.settle_until.contains_key(model);
        if switching || settling {
            return None;
        }
        ready.next().map(|gate| gate.cfg().id.clone())
    }
}
