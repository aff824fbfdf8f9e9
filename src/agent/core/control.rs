//! Heartbeats: configuration, placement, store contact, quarantine, reports.

use std::time::Instant;

use crate::codes::Code;
use crate::config::Observation;
use crate::placement::Placement;
use crate::power::PowerModel;
use crate::telemetry::Event;
use crate::wire::{SettleReply, SettleRequest, SyncReply, SyncRequest, VersionedDocument};

use super::reports::seen_by;
use super::{AgentAction, AgentCore, HeldPlacement};

impl AgentCore {
    pub(super) fn synced(
        &mut self,
        now: Instant,
        request: SyncRequest,
        actions: &mut Vec<AgentAction>,
    ) {
        let theirs = request.generation;
        let seen = seen_by(&request, self.cfg.instance);
        if let Some(doc) = request.config {
            self.adopt(now, &doc, actions);
        }
        if let Some(doc) = request.placement {
            self.adopt_placement(&doc);
        }
        self.config
            .apply_peer_contact(now, &request.entry, theirs, &request.store);
        self.quarantine.merge(now, &request.quarantine);
        let reply = self.sync_reply(now, &request.entry, theirs, seen);
        actions.push(AgentAction::SyncReply(Box::new(reply)));
    }

    pub(super) fn settle(
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

    /// Adopts a configuration of a higher generation; an older or malformed one changes nothing.
    fn adopt(&mut self, now: Instant, doc: &VersionedDocument, actions: &mut Vec<AgentAction>) {
        if self.config.observe(doc) != Observation::Adopted {
            return;
        }
        actions.push(AgentAction::Log {
            event: Event::ConfigAdopted,
            detail: format!("generation {}", self.generation()),
        });
        self.share_power();
        self.refuse_if_zone_out(now, actions);
    }

    /// Waiting work would be new work to a zone that is out.
    fn refuse_if_zone_out(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        if !self.targets().zones_out.contains(&self.cfg.zone) {
            return;
        }
        let steps = self
            .gates
            .values_mut()
            .flat_map(|gate| gate.refuse_queue(Code::ZoneOut));
        let steps = steps.collect();
        self.apply(now, steps, actions);
    }

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
        self.share_power();
    }

    /// Without a share, an endpoint under a cap gets no work: nobody counts what it draws.
    fn share_power(&mut self) {
        let has_cap = self.targets().site_power > 0;
        let grants = self.placement.as_ref().map(|held| &held.placement.grants);
        for (id, gate) in &mut self.gates {
            let grant = grants.and_then(|grants| grants.get(id));
            let is_counted = has_cap && PowerModel::full_load(gate.cfg()) > 0;
            let share = grant.map(|grant| grant.power);
            gate.set_grant(share.or(is_counted.then_some(0)));
        }
    }

    fn sync_reply(&mut self, now: Instant, entry: &str, theirs: u64, seen: u64) -> SyncReply {
        let reports = self.gates.values().map(|gate| gate.report(now)).collect();
        let endpoints = self.reports.since(seen, reports);
        SyncReply {
            host: self.cfg.host.to_string(),
            zone: self.cfg.zone.to_string(),
            agent_instance: self.cfg.instance,
            generation: self.generation(),
            config: self.config.doc_newer_than(theirs),
            placement: None,
            placement_version: self.placement.as_ref().map(|held| held.version),
            store: self.config.contact_for(now, entry),
            leaving: self.leaving,
            endpoints,
            revision: Some(self.reports.revision()),
            quarantine: self.quarantine.entries(now),
        }
    }
}
