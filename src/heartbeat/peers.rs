//! What an agent makes of the entries' heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Crash, EntryHeartbeat, Plan, VersionAge, WantedModel};

/// Time after which an entry that says nothing counts as gone: four heartbeats.
const ENTRY_LIFE: Duration = Duration::from_millis(1_600);
/// Crashes that are passed on.
const CRASHES_MAX: usize = 64;

#[derive(Clone, Debug)]
struct Seen {
    incarnation: u64,
    is_open: bool,
    at: Instant,
}

/// Entries that an agent hears of.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    seen: BTreeMap<SocketAddr, Seen>,
    /// Newest last.
    ///
    /// Invariant: at most [`CRASHES_MAX`], each once.
    crashes: Vec<Crash>,
}

impl Entries {
    /// Takes in a heartbeat; true when the entry is new.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        from: SocketAddr,
        hello: &EntryHeartbeat,
    ) -> bool {
        for crash in &hello.crashes {
            if !self.crashes.contains(crash) {
                self.crashes.push(*crash);
            }
        }
        let over = self.crashes.len().saturating_sub(CRASHES_MAX);
        self.crashes.drain(..over);
        let seen = Seen {
            incarnation: hello.entry_incarnation,
            is_open: hello.is_open,
            at: now,
        };
        let before = self.seen.insert(from, seen);
        before.is_none_or(|before| before.incarnation != hello.entry_incarnation)
    }

    /// Forgets entries that are silent; returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<SocketAddr> {
        let silent = |seen: &Seen| now.saturating_duration_since(seen.at) >= ENTRY_LIFE;
        let gone = self.seen.iter().filter(|(_, seen)| silent(seen));
        let gone: Vec<SocketAddr> = gone.map(|(addr, _)| *addr).collect();
        gone.iter().for_each(|addr| {
            self.seen.remove(addr);
        });
        gone
    }

    /// Addresses of the entries.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.seen.keys().copied().collect()
    }

    /// Number of entries that take requests.
    pub fn open_count(&self) -> u32 {
        self.seen.values().filter(|seen| seen.is_open).count() as u32
    }

    /// Crashes to pass on.
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }
}

/// Versions of a model whose naming is remembered: more than are named within the time for one.
const NAMED_MAX: usize = 4;

/// A named version.
#[derive(Clone, Copy, Debug)]
struct Named {
    version: u64,
    at: Instant,
    /// Latest time to leave the versions before it.
    due: Instant,
}

/// The plan in force at an agent.
#[derive(Clone, Debug, Default)]
pub struct PlanState {
    plan: Option<Plan>,
    /// Named versions of each model, oldest first.
    ///
    /// Invariant: versions grow; at most [`NAMED_MAX`] of a model.
    wanted: BTreeMap<Arc<str>, Vec<Named>>,
}

impl PlanState {
    /// Takes in a plan; true when it changed what is wanted or where it comes from.
    pub fn apply_plan(&mut self, now: Instant, plan: Plan) -> bool {
        let newer = self
            .plan
            .as_ref()
            .is_none_or(|old| plan.revision >= old.revision);
        if !newer {
            return false;
        }
        let mut changed = self
            .plan
            .as_ref()
            .is_none_or(|old| old.zones != plan.zones || old.origin != plan.origin);
        for wanted in &plan.wanted {
            changed |= self.want(now, wanted);
        }
        self.plan = Some(plan);
        changed
    }

    fn want(&mut self, now: Instant, wanted: &WantedModel) -> bool {
        let age = Duration::from_millis(wanted.age_ms);
        let within = Duration::from_millis(wanted.within_ms);
        let named = self.wanted.entry(wanted.model.clone()).or_default();
        if named
            .last()
            .is_some_and(|last| last.version >= wanted.version)
        {
            return false;
        }
        named.push(Named {
            version: wanted.version,
            at: now.checked_sub(age).unwrap_or(now),
            due: now + within.saturating_sub(age),
        });
        let over = named.len().saturating_sub(NAMED_MAX);
        named.drain(..over);
        true
    }

    /// Named versions of each model, oldest first, each with the latest time to leave the versions
    /// before it.
    pub fn wanted(&self) -> impl Iterator<Item = (&Arc<str>, Vec<(u64, Instant)>)> {
        let wanted = self.wanted.iter();
        wanted.map(|(model, named)| {
            let versions = named.iter().map(|named| (named.version, named.due));
            (model, versions.collect())
        })
    }

    /// When versions were named, for entries that started since.
    pub fn version_ages(&self, now: Instant) -> Vec<VersionAge> {
        let owed = self.wanted.iter().flat_map(|(model, named)| {
            named.iter().map(|named| VersionAge {
                model: model.clone(),
                version: named.version,
                age_ms: now.saturating_duration_since(named.at).as_millis() as u64,
            })
        });
        owed.collect()
    }

    /// The plan.
    pub fn current(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }
}
