//! Heartbeats and settle requests from entries: exchange of configuration, placement, store
//! contact, quarantine and endpoint reports.

use std::time::Instant;

use crate::codes::Code;
use crate::config::Observation;
use crate::placement::Placement;
use crate::power::PowerModel;
use crate::telemetry::Event;
use crate::wire::{SettleReply, SettleRequest, SyncReply, SyncRequest, VersionedDocument};

use super::reports::revision_seen_by;
use super::{AgentAction, AgentCore, HeldPlacement};

impl AgentCore {
    /// Applies a heartbeat of an entry and replies to it.
    pub(super) fn on_synced(
        &mut self,
        now: Instant,
        request: SyncRequest,
        actions: &mut Vec<AgentAction>,
    ) {
        let entry_generation = request.generation;
        let seen = revision_seen_by(&request, self.cfg.instance);
        if let Some(doc) = request.config {
            self.adopt_config(now, &doc, actions);
        }
        if let Some(doc) = request.placement {
            self.adopt_placement(&doc);
        }
        self.config_state
            .apply_peer_contact(now, &request.entry, entry_generation, &request.store);
        self.quarantine.merge(now, &request.quarantine);
        let reply = self.build_sync_reply(now, &request.entry, entry_generation, seen);
        actions.push(AgentAction::SyncReply(Box::new(reply)));
    }

    /// Replies with the recorded outcome of a keyed attempt.
    pub(super) fn on_settle(
        &mut self,
        now: Instant,
        request: &SettleRequest,
        actions: &mut Vec<AgentAction>,
    ) {
        let attempt = request.attempt.as_str().into();
        let (state, answer) = self.ledger.settle(now, &attempt);
        actions.push(AgentAction::SettleReply(SettleReply {
            agent_instance: self.cfg.instance,
            state,
            answer: answer.map(|text| text.to_string()),
        }));
    }

    /// Adopts a configuration of a higher generation; ignores an older or malformed one.
    fn adopt_config(
        &mut self,
        now: Instant,
        doc: &VersionedDocument,
        actions: &mut Vec<AgentAction>,
    ) {
        if self.config_state.observe(doc) != Observation::Adopted {
            return;
        }
        actions.push(AgentAction::Log {
            event: Event::ConfigAdopted,
            detail: format!("generation {}", self.generation()),
        });
        self.update_power_grants();
        self.refuse_queues_if_zone_out(now, actions);
    }

    /// Refuses the queued attempts when the host's zone is out: admitting them would be new work in
    /// that zone.
    fn refuse_queues_if_zone_out(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        if !self.targets().zones_out.contains(&self.cfg.zone) {
            return;
        }
        let gate_actions = self
            .gates
            .values_mut()
            .flat_map(|gate| gate.refuse_queue(Code::ZoneOut));
        let gate_actions = gate_actions.collect();
        self.apply(now, gate_actions, actions);
    }

    /// Adopts a placement of a higher version; ignores an older or malformed one.
    fn adopt_placement(&mut self, doc: &VersionedDocument) {
        if self
            .placement
            .as_ref()
            .is_some_and(|held| doc.generation <= held.version)
        {
            return;
        }
        let Ok(placement) = Placement::from_json(&doc.body) else {
            return;
        };
        self.placement = Some(HeldPlacement {
            version: doc.generation,
            placement,
        });
        self.update_power_grants();
    }

    /// Sets the power grants of the placement. Under a site power cap, an endpoint without a grant
    /// gets no work, because its draw is not part of the site's budget.
    fn update_power_grants(&mut self) {
        let has_cap = self.targets().site_power > 0;
        let grants = self.placement.as_ref().map(|held| &held.placement.grants);
        for (id, gate) in &mut self.gates {
            let grant = grants.and_then(|grants| grants.get(id));
            let needs_grant = has_cap && PowerModel::full_load(gate.cfg()) > 0;
            let granted = grant.map(|grant| grant.power);
            gate.set_grant(granted.or(needs_grant.then_some(0)));
        }
    }

    fn build_sync_reply(
        &mut self,
        now: Instant,
        entry: &str,
        entry_generation: u64,
        seen: u64,
    ) -> SyncReply {
        let reports = self.gates.values().map(|gate| gate.report(now)).collect();
        let endpoints = self.report_revisions.changed_since(seen, reports);
        SyncReply {
            host: self.cfg.host.to_string(),
            zone: self.cfg.zone.to_string(),
            agent_instance: self.cfg.instance,
            generation: self.generation(),
            config: self.config_state.doc_newer_than(entry_generation),
            placement: None,
            placement_version: self.placement.as_ref().map(|held| held.version),
            store: self.config_state.contact_for(now, entry),
            leaving: self.leaving,
            endpoints,
            revision: Some(self.report_revisions.revision()),
            quarantine: self.quarantine.entries(now),
        }
    }
}
