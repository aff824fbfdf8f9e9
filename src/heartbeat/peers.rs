//! State that an agent keeps from the heartbeats of entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::delivery::{SuspectCrash, Suspects};
use crate::timer::StallDetector;
use crate::types::ChangeTime;

use super::{EntryHeartbeat, Plan, VersionAge, WantedModel};

/// Time after which a silent entry is removed: four heartbeats.
const ENTRY_TTL: Duration = Duration::from_millis(1_600);

/// Last heartbeat of an entry.
#[derive(Clone, Debug)]
struct LastHeartbeat {
    incarnation: u64,
    is_open: bool,
    at: Instant,
}

/// Entries that send an agent heartbeats.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    last_heartbeats: BTreeMap<SocketAddr, LastHeartbeat>,
    /// Crashes that entries reported.
    suspects: Suspects,
}

impl Entries {
    /// Records a heartbeat; returns true when it comes from a new entry process.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        from: SocketAddr,
        heartbeat: &EntryHeartbeat,
    ) -> bool {
        self.suspects.merge(now, &heartbeat.crashes);
        let last = LastHeartbeat {
            incarnation: heartbeat.entry_incarnation,
            is_open: heartbeat.is_open,
            at: now,
        };
        let previous = self.last_heartbeats.insert(from, last);
        previous.is_none_or(|previous| previous.incarnation != heartbeat.entry_incarnation)
    }

    /// Removes the entries that have been silent for too long and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.suspects.expire(now);
        let is_silent = |last: &LastHeartbeat| now.saturating_duration_since(last.at) >= ENTRY_TTL;
        let silent = self
            .last_heartbeats
            .iter()
            .filter(|(_, last)| is_silent(last));
        let silent: Vec<SocketAddr> = silent.map(|(addr, _)| *addr).collect();
        silent.iter().for_each(|addr| {
            self.last_heartbeats.remove(addr);
        });
        silent
    }

    /// Heartbeat addresses of the entries.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.last_heartbeats.keys().copied().collect()
    }

    /// Number of entries that accept requests.
    pub fn open_count(&self) -> u32 {
        self.last_heartbeats
            .values()
            .filter(|last| last.is_open)
            .count() as u32
    }

    /// Crashes to forward to the entries.
    pub fn crashes(&self, now: Instant) -> Vec<SuspectCrash> {
        self.suspects.shared(now)
    }
}

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
    /// Wanted versions of each model, oldest first.
    ///
    /// Invariant: versions increase; at most [`WANTED_MAX`] per model.
    wanted: BTreeMap<Arc<str>, Vec<WantedVersion>>,
}

impl PlanState {
    /// Applies a plan unless it is older than the current one; returns true when it changed the
    /// wanted versions, the origin or the agents.
    pub fn apply_plan(&mut self, now: Instant, plan: Plan, stalls: &mut StallDetector) -> bool {
        let is_current = self
            .plan
            .as_ref()
            .is_none_or(|old| plan.position >= old.position);
        if !is_current {
            return false;
        }
        let mut changed = self
            .plan
            .as_ref()
            .is_none_or(|old| old.zones != plan.zones || old.origin != plan.origin);
        for wanted in &plan.wanted {
            let named = stalls.reported_time(now, wanted.age);
            changed |= self.record_wanted(now, wanted, named);
        }
        self.plan = Some(plan);
        changed
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
