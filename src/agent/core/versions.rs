//! Brings the endpoints of a host to the versions that the placement names.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::config::Model;
use crate::telemetry::Event;
use crate::types::{Digest, EndpointId, Generation, TargetId};

use super::gate::{Gate, Phase};
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
        self.fetch_wanted(actions);
        for model in self.models() {
            self.switch_next(now, &model, actions);
        }
        for gate in self.gates.values_mut() {
            if let Some((version, fence)) = gate.due_order(now) {
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
            .map_or(self.generation(), |held| held.version)
    }

    fn models(&self) -> BTreeSet<TargetId> {
        let gates = self
            .gates
            .values()
            .filter(|gate| gate.cfg().kind == EndpointKind::Model);
        gates.map(|gate| gate.cfg().target.clone()).collect()
    }

    /// Version that an endpoint has to serve: as the placement says, or as the targets say while
    /// no placement is known.
    fn version_to_serve(&self, gate: &Gate) -> Option<Digest> {
        match &self.placement {
            Some(held) => held.assignment(&gate.cfg().id).map(|a| a.version.clone()),
            None => self
                .targets()
                .model(&gate.cfg().target)
                .map(|model| model.manifest.clone()),
        }
    }

    /// Version that the host has to hold for an endpoint.
    fn version_to_hold(&self, gate: &Gate) -> Option<Digest> {
        match &self.placement {
            Some(held) => held
                .assignment(&gate.cfg().id)
                .map(|a| a.version_to_hold().clone()),
            None => self.version_to_serve(gate),
        }
    }

    /// Fetches what the host has to hold and what was not asked for yet. Only the version that the
    /// targets name can be fetched: an older one has no name any more.
    fn fetch_wanted(&mut self, actions: &mut Vec<AgentAction>) {
        let gates = self
            .gates
            .values()
            .filter(|gate| gate.cfg().kind == EndpointKind::Model);
        let wanted: Vec<Model> = gates
            .filter_map(|gate| Some((gate, self.version_to_hold(gate)?)))
            .filter(|(gate, version)| gate.phase().version() != Some(version))
            .filter_map(|(gate, version)| {
                let model = self.targets().model(&gate.cfg().target)?;
                (model.manifest == version).then(|| model.clone())
            })
            .collect();
        for model in wanted {
            self.fetch(&model, actions);
        }
    }

    fn fetch(&mut self, model: &Model, actions: &mut Vec<AgentAction>) {
        if self.versions.held.contains(&model.manifest) {
            return;
        }
        let asked = self
            .versions
            .fetching
            .insert(model.id.clone(), model.manifest.clone());
        if asked.as_ref() == Some(&model.manifest) {
            return;
        }
        self.reset_progress(&model.id);
        actions.push(AgentAction::Fetch {
            model: model.id.clone(),
            name: model.version.clone(),
            version: model.manifest.clone(),
        });
    }

    /// Progress is that of the version that is fetched now.
    fn reset_progress(&mut self, model: &TargetId) {
        let gates = self
            .gates
            .values_mut()
            .filter(|gate| gate.cfg().target == *model);
        gates.for_each(|gate| gate.set_progress(0));
    }

    /// Starts the next switch of a model's endpoints.
    fn switch_next(&mut self, now: Instant, model: &TargetId, actions: &mut Vec<AgentAction>) {
        let behind = self.gates_behind(model);
        let Some(endpoint) = self.next_switch(now, model, &behind) else {
            return;
        };
        let fence = self.fence();
        let version = self
            .gates
            .get(&endpoint)
            .and_then(|gate| self.version_to_serve(gate));
        let Some((gate, version)) = self.gates.get_mut(&endpoint).zip(version) else {
            return;
        };
        let steps = gate.load(version, fence);
        self.apply(now, steps, actions);
    }

    /// Endpoints that do not serve their version while the host holds it.
    fn gates_behind(&self, model: &TargetId) -> Vec<EndpointId> {
        let gates = self
            .gates
            .values()
            .filter(|gate| gate.cfg().target == *model);
        let behind = gates.filter(|gate| {
            self.version_to_serve(gate).is_some_and(|version| {
                gate.phase().version() != Some(&version) && self.versions.held.contains(&version)
            })
        });
        behind.map(|gate| gate.cfg().id.clone()).collect()
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
