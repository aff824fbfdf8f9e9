//! Datagrams between entries and agents: what the fleet is to hold, and how loaded it is.
//!
//! Both sides hold no connection, so a datagram that is lost, a peer that freezes and a path that
//! is cut leave nothing behind. The forms are those of [`EntryHeartbeat`] and [`AgentHeartbeat`], in postcard.

mod peers;
#[cfg(test)]
mod tests;

use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use peers::{Entries, PlanState};

/// Largest datagram that is sent or read, in bytes; stays below the payload of one Ethernet frame
/// for fleets of the usual size.
pub const MAX_DATAGRAM: usize = 8 * 1024;

/// A crash: fingerprint of a request and incarnation of the endpoint that died.
pub type Crash = (u64, u64);

/// What an entry tells each agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryHeartbeat {
    /// Incarnation of the entry's process.
    pub entry_incarnation: u64,
    /// True when the entry takes requests.
    pub is_open: bool,
    /// What the fleet is to hold, as of `revision`; absent before the entry knows.
    pub plan: Option<Plan>,
    /// Crashes that the entry saw itself, newest last.
    pub crashes: Vec<Crash>,
}

/// What the fleet is to hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Plan {
    /// Revision of the store that the plan follows; the highest goes.
    pub revision: u64,
    /// Models and their wanted versions.
    pub wanted: Vec<WantedModel>,
    /// Where weights are published.
    pub origin: Option<SocketAddrV4>,
    /// Agents by region and zone.
    pub zones: Vec<PlanZone>,
}

/// Wanted version of a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WantedModel {
    /// Name of the model.
    pub model: Arc<str>,
    /// Newest named version.
    pub version: u64,
    /// Time since the entry learned of it, in milliseconds.
    pub age_ms: u64,
    /// Time within which the fleet has to serve it, in milliseconds from its naming.
    pub within_ms: u64,
    /// Layers of the whole model.
    pub layers: u32,
}

/// Agents of one zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlanZone {
    /// Name of the zone.
    pub zone: Arc<str>,
    /// Region of the zone.
    pub region: Arc<str>,
    /// Heartbeat and traffic addresses of the zone's agents.
    pub agents: Vec<SocketAddrV4>,
}

/// What an agent tells each entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AgentHeartbeat {
    /// Counter of the agent's datagrams, so that a late one is told from a newer.
    pub sequence: u64,
    /// Incarnation of the agent's process.
    pub agent_incarnation: u64,
    /// State of the engine beside the agent; absent while it does not answer.
    pub engine: Option<EngineLoad>,
    /// Entries that the agent heard of lately and that take requests.
    pub entries: u32,
    /// Crashes that entries saw, newest last.
    pub crashes: Vec<Crash>,
    /// Wanted models as the agent knows them, for entries that started since they were named.
    pub wanted: Vec<VersionAge>,
}

/// A version that a fleet owes, as an agent knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionAge {
    /// Name of the model.
    pub model: Arc<str>,
    /// Newest named version.
    pub version: u64,
    /// Time since it was named, in milliseconds.
    pub age_ms: u64,
}

/// State of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Start of its process in milliseconds since 1970.
    pub incarnation: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Factor by which it is slower than declared, in thousandths.
    pub pace_permille: u32,
    /// Models that it serves with all layers, with their versions.
    pub models: Vec<(Arc<str>, u64)>,
    /// True while it takes no new work because it changes its version.
    pub is_switching: bool,
    /// Time left until it is told to change its version, in milliseconds.
    pub switch_in_ms: Option<u32>,
}

/// Writes a datagram.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // The messages hold nothing that postcard can not write.
    postcard::to_allocvec(message).unwrap_or_default()
}

/// Reads a datagram; `None` for anything else.
pub fn decode<'a, T: Deserialize<'a>>(buf: &'a [u8]) -> Option<T> {
    postcard::from_bytes(buf).ok()
}
