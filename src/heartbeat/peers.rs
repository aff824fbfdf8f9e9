//! What an agent makes of the entries' heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Crash, Hello, Plan, WantedModel};

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
    pub fn hello(&mut self, now: Instant, from: SocketAddr, hello: &Hello) -> bool {
        for crash in &hello.crashes {
            if !self.crashes.contains(crash) {
                self.crashes.push(*crash);
            }
        }
        let over = self.crashes.len().saturating_sub(CRASHES_MAX);
        self.crashes.drain(..over);
        let seen = Seen {
            incarnation: hello.entry,
            is_open: hello.is_open,
            at: now,
        };
        let before = self.seen.insert(from, seen);
        before.is_none_or(|before| before.incarnation != hello.entry)
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
    pub fn open(&self) -> u32 {
        self.seen.values().filter(|seen| seen.is_open).count() as u32
    }

    /// Crashes to pass on.
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }
}

/// The plan in force at an agent.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    plan: Option<Plan>,
    /// Wanted version of each model, with the latest time to serve it.
    ///
    /// Invariant: versions only grow; the time is that of the oldest version not yet served.
    wanted: BTreeMap<std::sync::Arc<str>, (u64, Instant)>,
}

impl Orders {
    /// Takes in a plan; true when it changed what is wanted or where it comes from.
    pub fn plan(&mut self, now: Instant, plan: Plan) -> bool {
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
        let within = Duration::from_millis(wanted.within_ms.saturating_sub(wanted.age_ms));
        match self.wanted.get_mut(&wanted.model) {
            Some((version, _)) if *version >= wanted.version => false,
            Some((version, due)) => {
                *version = wanted.version;
                // A version that is still owed keeps its time when a newer one takes its place.
                *due = match *due > now {
                    true => (*due).min(now + within),
                    false => now + within,
                };
                true
            }
            None => {
                let due = (wanted.version, now + within);
                self.wanted.insert(wanted.model.clone(), due);
                true
            }
        }
    }

    /// The wanted version of a model is served: the next one gets a time of its own.
    pub fn served(&mut self, now: Instant, model: &str) {
        if let Some((_, due)) = self.wanted.get_mut(model) {
            *due = (*due).min(now);
        }
    }

    /// Wanted version of each model, with the latest time to serve it.
    pub fn wanted(&self) -> impl Iterator<Item = (&std::sync::Arc<str>, u64, Instant)> {
        let wanted = self.wanted.iter();
        wanted.map(|(model, (version, due))| (model, *version, *due))
    }

    /// The plan.
    pub fn current(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }
}
