//! The plan that an agent follows.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::timer::StallDetector;
use crate::types::ChangeTime;

use super::peer_list::PartCollector;
use super::{PeerList, PeerListPart, Plan, VersionAge, WantedModel};

/// Time after which the list of agents is requested again, since a part may be lost.
const PEER_LIST_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of wanted versions kept per model: more than the store names within the time
/// allowed for one.
const WANTED_MAX: usize = 4;

/// A wanted version of a model.
#[derive(Clone, Copy, Debug)]
struct WantedVersion {
    version: u64,
    /// Time at which the store named the version.
    named: ChangeTime,
    /// Time by which earlier versions must no longer be served.
    due: Instant,
}

/// The plan in force at an agent.
#[derive(Clone, Debug, Default)]
pub struct PlanState {
    plan: Option<Plan>,
    /// The agents, by the last complete list.
    peers: Option<PeerList>,
    /// Digest of `peers`.
    peers_digest: u64,
    collector: PartCollector,
    /// Time of the last request for the list of agents.
    peer_list_asked_at: Option<Instant>,
    /// Wanted versions of each model, oldest first.
    ///
    /// Invariant: versions increase; at most [`WANTED_MAX`] per model.
    wanted: BTreeMap<Arc<str>, Vec<WantedVersion>>,
}

impl PlanState {
    /// Applies a plan unless it is older than the current one; returns true when it changed the
    /// wanted versions or the origin.
    pub fn apply_plan(&mut self, now: Instant, plan: Plan, stalls: &mut StallDetector) -> bool {
        if !self.is_current(&plan) {
            return false;
        }
        let mut changed = self
            .plan
            .as_ref()
            .is_none_or(|old| old.origin != plan.origin);
        for wanted in &plan.wanted {
            let named = stalls.reported_time(now, wanted.age);
            changed |= self.record_wanted(now, wanted, named);
        }
        self.plan = Some(plan);
        changed
    }

    /// True when a plan is not older than the one in force.
    pub fn is_current(&self, plan: &Plan) -> bool {
        let current = self.plan.as_ref();
        current.is_none_or(|old| plan.position >= old.position)
    }

    /// True when the list of agents has to be requested from the entry whose plan was just applied. The
    /// request counts as sent.
    pub fn wants_peer_list(&mut self, now: Instant) -> bool {
        let is_known = self.peers.is_some()
            && self
                .plan
                .as_ref()
                .is_none_or(|plan| plan.peers == self.peers_digest);
        let is_asked = self
            .peer_list_asked_at
            .is_some_and(|at| now.saturating_duration_since(at) < PEER_LIST_RETRY_DELAY);
        if is_known || is_asked || self.plan.is_none() {
            return false;
        }
        self.peer_list_asked_at = Some(now);
        true
    }

    /// Adds a part of the list of agents; returns true when that completes a list that replaces the one
    /// before. A list from an older position than the plan's is ignored.
    pub fn apply_peer_list(&mut self, part: PeerListPart) -> bool {
        let Some(plan) = self.plan.as_mut() else {
            return false;
        };
        if part.position < plan.position && part.digest != plan.peers {
            return false;
        }
        let digest = part.digest;
        let Some(peers) = self.collector.add(part) else {
            return false;
        };
        plan.peers = digest;
        let is_new = self.peers.as_ref() != Some(&peers);
        self.peers = Some(peers);
        self.peers_digest = digest;
        is_new
    }

    /// The agents; `None` before the first complete list.
    pub fn peers(&self) -> Option<&PeerList> {
        self.peers.as_ref()
    }

    /// Records a wanted version. Returns false when that changes nothing.
    fn record_wanted(&mut self, now: Instant, wanted: &WantedModel, reported: ChangeTime) -> bool {
        let versions = self.wanted.entry(wanted.model.clone()).or_default();
        let known = versions.iter_mut().find(|v| v.version == wanted.version);
        let named = match &known {
            Some(known) => known.named.refined(reported),
            None => reported,
        };
        let within = Duration::from_millis(wanted.within_ms);
        let report = WantedVersion {
            version: wanted.version,
            named,
            // A version that is wanted since an unknown time counts as due.
            due: named.earliest().map_or(now, |at| (at + within).max(now)),
        };
        if let Some(known) = known {
            let is_refined = known.named != named;
            if is_refined {
                *known = report;
            }
            return is_refined;
        }
        let position = versions.partition_point(|v| v.version < report.version);
        if position == 0 && versions.len() >= WANTED_MAX {
            return false;
        }
        versions.insert(position, report);
        let excess = versions.len().saturating_sub(WANTED_MAX);
        versions.drain(..excess);
        true
    }

    /// Wanted versions of each model, oldest first, each with the time by which earlier versions
    /// must no longer be served.
    pub fn wanted(&self) -> impl Iterator<Item = (&Arc<str>, Vec<(u64, Instant)>)> {
        let wanted = self.wanted.iter();
        wanted.map(|(model, versions)| {
            let versions = versions.iter().map(|wanted| (wanted.version, wanted.due));
            (model, versions.collect())
        })
    }

    /// Ages of the wanted versions whose naming times are known, for entries that heard of one later
    /// than this agent. Bounds are not passed on: each process on the way would make them later.
    pub fn version_ages(&self, now: Instant) -> Vec<VersionAge> {
        let ages = self.wanted.iter().flat_map(|(model, versions)| {
            let known = versions
                .iter()
                .filter(|wanted| matches!(wanted.named, ChangeTime::At(_)));
            known.map(|wanted| VersionAge {
                model: model.clone(),
                version: wanted.version,
                age: wanted.named.age(now),
            })
        });
        ages.collect()
    }

    /// The plan in force; `None` before the first one.
    pub fn current(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }
}
