//! Finds the processes that do not hold a generation of the configuration yet.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::membership::{HostEntry, HostRole};
use crate::types::{Generation, HostId, ZoneId};
use crate::wire::EntryStatus;

/// A process that is not known to hold the generation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Lag {
    /// Host that the process runs on.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Why the process is listed.
    pub reason: LagReason,
}

/// Why a process lags.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LagReason {
    /// It was not reached, so its generation is not known.
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
            LagReason::NotReached => write!(f, "{host} ({zone}): not reached"),
            LagReason::Refuses(held) => {
                write!(f, "{host} ({zone}): holds {held} and refuses new work")
            }
            LagReason::Holds(held) => write!(f, "{host} ({zone}): holds {held}"),
        }
    }
}

/// Lists the processes that are not known to hold `generation`, sorted by host.
///
/// Agents are not asked directly: the newest generation that any entry reports for an agent counts.
pub fn lagging_processes(
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

fn entry_lag(generation: Generation, status: Option<&EntryStatus>) -> Option<LagReason> {
    let Some(status) = status else {
        return Some(LagReason::NotReached);
    };
    match (status.generation < generation, status.in_force) {
        (false, _) => None,
        (true, false) => Some(LagReason::Refuses(status.generation)),
        (true, true) => Some(LagReason::Holds(status.generation)),
    }
}

fn agent_lag(
    generation: Generation,
    host: &str,
    statuses: &BTreeMap<HostId, Option<EntryStatus>>,
) -> Option<LagReason> {
    let reported = statuses
        .values()
        .flatten()
        .flat_map(|status| &status.hosts)
        .filter(|status| status.host == host)
        .map(|status| status.generation)
        .max();
    match reported {
        None => Some(LagReason::NotReached),
        Some(held) if held < generation => Some(LagReason::Holds(held)),
        Some(_) => None,
    }
}
