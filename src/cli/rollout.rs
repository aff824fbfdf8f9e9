//! Where a generation is not in force yet.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::membership::{HostEntry, HostRole};
use crate::types::{Generation, HostId, ZoneId};
use crate::wire::EntryStatus;

/// A process that does not hold the generation, or is not known to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Lag {
    /// Host of the process.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// What it does meanwhile.
    pub reason: Reason,
}

/// What a lagging process does.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It was not reached, so what it holds is not known.
    NotReached,
    /// It holds an older generation and refuses new work.
    Refuses(Generation),
    /// It holds an older generation.
    Holds(Generation),
}

impl fmt::Display for Lag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { host, zone, reason } = self;
        match reason {
            Reason::NotReached => write!(f, "{host} ({zone}): not reached"),
            Reason::Refuses(held) => {
                write!(f, "{host} ({zone}): holds {held} and refuses new work")
            }
            Reason::Holds(held) => write!(f, "{host} ({zone}): holds {held}"),
        }
    }
}

/// Lists the processes that are not known to hold `generation`, by host.
///
/// An agent counts by the newest generation that any entry has seen it hold.
pub fn lagging(
    generation: Generation,
    hosts: &[HostEntry],
    statuses: &BTreeMap<HostId, Option<EntryStatus>>,
) -> Vec<Lag> {
    let mut lags: Vec<Lag> = hosts
        .iter()
        .filter_map(|host| {
            let reason = match host.role {
                HostRole::Entry => entry_lag(generation, statuses.get(&host.host)?.as_ref()),
                HostRole::Agent => agent_lag(generation, &host.host, statuses),
            };
            reason.map(|reason| Lag {
                host: host.host.clone(),
                zone: host.zone.clone(),
                reason,
            })
        })
        .collect();
    lags.sort_by(|a, b| a.host.cmp(&b.host));
    lags
}

fn entry_lag(generation: Generation, status: Option<&EntryStatus>) -> Option<Reason> {
    let Some(status) = status else {
        return Some(Reason::NotReached);
    };
    match (status.generation < generation, status.in_force) {
        (false, _) => None,
        (true, false) => Some(Reason::Refuses(status.generation)),
        (true, true) => Some(Reason::Holds(status.generation)),
    }
}

fn agent_lag(
    generation: Generation,
    host: &str,
    statuses: &BTreeMap<HostId, Option<EntryStatus>>,
) -> Option<Reason> {
    let seen = statuses
        .values()
        .flatten()
        .flat_map(|status| &status.hosts)
        .filter(|seen| seen.host == host)
        .map(|seen| seen.generation)
        .max();
    match seen {
        None => Some(Reason::NotReached),
        Some(held) if held < generation => Some(Reason::Holds(held)),
        Some(_) => None,
    }
}
