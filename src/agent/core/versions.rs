//! Fetches the versions that the placement assigns to the host's endpoints, and switches the
//! endpoints to them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::config::Model;
use crate::telemetry::Event;
use crate::types::{Digest, EndpointId, Generation, TargetId};

use super::gate::{Gate, Phase};
use super::{AgentAction, AgentCore, EndpointKind};

/// Wait after the load of one endpoint before the next endpoint of the same model switches. It ends
/// early when no endpoint of the model is cold any more.
const SWITCH_SETTLE_TIME: Duration = Duration::from_secs(5);

/// Versions that the host is fetching or holds, and the spacing of switches.
#[derive(Debug, Default)]
pub(super) struct Versions {
    /// Version whose fetch was started last, by model.
    fetching: BTreeMap<TargetId, Digest>,
    /// Versions of which the host holds every chunk.
    held: BTreeSet<Digest>,
    /// Time until which no further serving endpoint of a model switches while one is cold.
    settle_until: BTreeMap<TargetId, Instant>,
}

impl Versions {
    /// Records that the host holds every chunk of a version.
    pub(super) fn record_held(&mut self, version: Digest) {
        self.held.insert(version);
    }

    /// Earliest time at which a delayed switch may start.
    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        self.settle_until.values().min().copied()
    }
}

impl AgentCore {
    /// Starts the fetches and switches that are due.
    pub(super) fn update_versions(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        self.versions.settle_until.retain(|_, at| *at > now);
        self.fetch_wanted(actions);
        for model in self.model_ids() {
            self.start_next_switch(now, &model, actions);
        }
        for gate in self.gates.values_mut() {
            if let Some((version, fence)) = gate.take_due_load_order(now) {
                let endpoint = gate.cfg().id.clone();
                actions.push(AgentAction::Load {
                    endpoint,
                    version,
                    fence,
                });
            }
        }
    }

    /// Handles fetch progress; progress of a version that is no longer being fetched is ignored.
    pub(super) fn on_version_progress(&mut self, version: &Digest, permille: u32) {
        let fetching = &self.versions.fetching;
        let gates = self.gates.values_mut();
        gates
            .filter(|gate| fetching.get(&gate.cfg().target) == Some(version))
            .for_each(|gate| gate.set_progress(permille));
    }

    /// Handles the result of a load order.
    pub(super) fn on_loaded(
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
        gate.on_loaded(now, version, fence);
        let state = gate.phase().state();
        let settle_until = (gate.cfg().target.clone(), now + SWITCH_SETTLE_TIME);
        self.versions.settle_until.extend([settle_until]);
        actions.push(AgentAction::Log {
            event: Event::VersionReady,
            detail: format!("{endpoint}: {state}"),
        });
    }

    /// Fencing number of load orders: the version of the placement, or the generation without a
    /// placement.
    fn current_fence(&self) -> Generation {
        self.placement
            .as_ref()
            .map_or(self.generation(), |held| held.version)
    }

    /// Models that the host's endpoints serve.
    fn model_ids(&self) -> BTreeSet<TargetId> {
        let gates = self
            .gates
            .values()
            .filter(|gate| gate.cfg().kind == EndpointKind::Model);
        gates.map(|gate| gate.cfg().target.clone()).collect()
    }

    /// Version that an endpoint must serve: from the placement, or from the targets while no
    /// placement is known.
    fn version_to_serve(&self, gate: &Gate) -> Option<Digest> {
        match &self.placement {
            Some(held) => held.assignment(&gate.cfg().id).map(|a| a.version.clone()),
            None => self
                .targets()
                .model(&gate.cfg().target)
                .map(|model| model.manifest.clone()),
        }
    }

    /// Version that the host must hold for an endpoint: with a placement, possibly its next one, so
    /// that it is fetched before the switch.
    fn version_to_hold(&self, gate: &Gate) -> Option<Digest> {
        match &self.placement {
            Some(held) => held
                .assignment(&gate.cfg().id)
                .map(|a| a.version_to_hold().clone()),
            None => self.version_to_serve(gate),
        }
    }

    /// Starts the fetches of versions that the host must hold and that were not started yet. Only
    /// the version that the targets name can be fetched, because the name of an older one is not
    /// known any more.
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
        let previous = self
            .versions
            .fetching
            .insert(model.id.clone(), model.manifest.clone());
        if previous.as_ref() == Some(&model.manifest) {
            return;
        }
        self.reset_progress(&model.id);
        actions.push(AgentAction::Fetch {
            model: model.id.clone(),
            name: model.version.clone(),
            version: model.manifest.clone(),
        });
    }

    /// Resets the reported progress when the fetch of another version of the model starts.
    fn reset_progress(&mut self, model: &TargetId) {
        let gates = self
            .gates
            .values_mut()
            .filter(|gate| gate.cfg().target == *model);
        gates.for_each(|gate| gate.set_progress(0));
    }

    /// Starts the next switch of an endpoint of the model, if one is due.
    fn start_next_switch(
        &mut self,
        now: Instant,
        model: &TargetId,
        actions: &mut Vec<AgentAction>,
    ) {
        let outdated = self.outdated_endpoints(model);
        let Some(endpoint) = self.next_endpoint_to_switch(now, model, &outdated) else {
            return;
        };
        let fence = self.current_fence();
        let version = self
            .gates
            .get(&endpoint)
            .and_then(|gate| self.version_to_serve(gate));
        let Some((gate, version)) = self.gates.get_mut(&endpoint).zip(version) else {
            return;
        };
        let gate_actions = gate.start_load(version, fence);
        self.apply(now, gate_actions, actions);
    }

    /// Endpoints that do not serve their assigned version although the host holds it.
    fn outdated_endpoints(&self, model: &TargetId) -> Vec<EndpointId> {
        let gates = self
            .gates
            .values()
            .filter(|gate| gate.cfg().target == *model);
        let outdated = gates.filter(|gate| {
            self.version_to_serve(gate).is_some_and(|version| {
                gate.phase().version() != Some(&version) && self.versions.held.contains(&version)
            })
        });
        outdated.map(|gate| gate.cfg().id.clone()).collect()
    }

    /// Chooses the endpoint that switches next. One that serves nothing goes first; those that
    /// serve switch one at a time, so that the model keeps serving.
    fn next_endpoint_to_switch(
        &self,
        now: Instant,
        model: &TargetId,
        outdated: &[EndpointId],
    ) -> Option<EndpointId> {
        let mut switchable = outdated
            .iter()
            .filter_map(|id| self.gates.get(id))
            .filter(|gate| gate.can_load(now));
        let down = switchable
            .clone()
            .find(|gate| matches!(gate.phase(), Phase::Down(_)));
        if let Some(gate) = down {
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
        switchable.next().map(|gate| gate.cfg().id.clone())
    }
}
