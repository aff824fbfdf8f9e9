//! Heartbeat datagrams between entries and agents: which versions the fleet has to serve, and the
//! load of each agent.
//!
//! Neither side keeps a connection, so a lost datagram, a frozen peer or a severed path leaves no
//! stale connection state behind. The datagrams are [`EntryMessage`] and [`AgentMessage`], encoded
//! with postcard.
//!
//! The traffic of a process does not grow with entries times agents: the intervals grow with the number
//! of agents ([`heartbeat_interval`], [`poll_interval`]), agents send each change of load only to the
//! entries that prefer their endpoint, and the list of agents is sent, in parts, only on request.

mod entries;
mod peer_list;
mod plan;
#[cfg(test)]
mod tests;

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::delivery::SuspectCrash;
use crate::dispatch::LimitStatement;
use crate::types::{ChangeAge, StorePosition};

pub use entries::{ChangeCounts, Entries};
pub use peer_list::{PeerList, PeerListPart};
pub use plan::PlanState;

/// Maximum size of a datagram that is sent or received, in bytes. Most fit into one Ethernet frame.
pub const MAX_DATAGRAM: usize = 8 * 1024;
/// Heartbeat interval of an entry with few agents, and of an agent towards an entry that prefers its
/// endpoint.
pub const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Longest heartbeat interval; a load report expires half a second later.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Heartbeats per second of an entry whose interval is between the bounds.
const HEARTBEATS_PER_SECOND: u32 = 250;

/// Time between two heartbeats of an entry to each of `agents`.
pub fn heartbeat_interval(agents: usize) -> Duration {
    let agents = u32::try_from(agents).unwrap_or(u32::MAX);
    let interval = Duration::from_secs(1).saturating_mul(agents) / HEARTBEATS_PER_SECOND;
    interval.clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
}

/// Shortest and longest poll interval of an agent.
const POLL_INTERVALS: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(70));
/// Polls per second of all agents whose interval is between the bounds. Each change that a poll finds
/// is sent to several entries.
const POLLS_PER_SECOND: u32 = 4_000;

/// Time between two polls of the engine by each of `agents`.
pub fn poll_interval(agents: usize) -> Duration {
    let agents = u32::try_from(agents).unwrap_or(u32::MAX);
    let interval = Duration::from_secs(1).saturating_mul(agents) / POLLS_PER_SECOND;
    interval.clamp(POLL_INTERVALS.0, POLL_INTERVALS.1)
}

/// Datagram from an entry to an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum EntryMessage {
    /// Sent to every agent at a steady interval, and at once when something important has changed.
    Heartbeat(EntryHeartbeat),
    /// Answer to [`AgentMessage::PeerListWanted`].
    PeerList(PeerListPart),
}

/// Datagram from an agent to an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum AgentMessage {
    /// State of the agent and of its engine.
    Heartbeat(AgentHeartbeat),
    /// The agent does not have the list of agents that the entry's plan names.
    PeerListWanted,
}

/// Heartbeat from an entry to each agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryHeartbeat {
    /// Incarnation of the entry's process.
    pub entry_incarnation: u64,
    /// True when the entry accepts requests.
    pub is_open: bool,
    /// Longest time until the next heartbeat, in milliseconds.
    pub interval_ms: u32,
    /// True when the entry prefers the agent's endpoint, so that it needs each change of its load.
    pub wants_load: bool,
    /// Plan of the fleet; absent until the entry can build one.
    pub plan: Option<Plan>,
    /// Crashes that the entry knows; bounded by [`crate::delivery::Suspects`].
    pub crashes: Vec<SuspectCrash>,
}

/// Versions that the fleet has to serve, and the digest of the list of agents that serve them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Plan {
    /// Position of the store that the plan was made from; the plan with the highest one applies.
    pub position: StorePosition,
    /// Models with their wanted versions, oldest first.
    pub wanted: Vec<WantedModel>,
    /// Address of the origin that publishes the weights.
    pub origin: Option<SocketAddrV4>,
    /// Digest of the [`PeerList`].
    pub peers: u64,
}

/// Wanted version of a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WantedModel {
    /// Name of the model.
    pub model: Arc<str>,
    /// A version that the store names, or named recently.
    pub version: u64,
    /// Time since the store named the version.
    pub age: ChangeAge,
    /// Time within which the fleet has to serve the version, in milliseconds from when the store
    /// named it.
    pub within_ms: u64,
    /// Number of layers of the whole model.
    pub layers: u32,
}

/// Heartbeat from an agent to each entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AgentHeartbeat {
    /// Sequence number of the agent's datagrams, so that a delayed one is not taken for the newest.
    pub sequence: u64,
    /// Incarnation of the agent's process.
    pub agent_incarnation: u64,
    /// State of the engine on the agent's host; absent while it does not answer.
    pub engine: Option<EngineLoad>,
    /// True when the engine accepts no connections, so that its process has ended.
    pub engine_is_down: bool,
    /// Number of entries that recently sent the agent a heartbeat and accept requests.
    pub entries: u32,
    /// Crashes that entries reported to the agent. Left out of most datagrams, which the state of the
    /// engine makes frequent.
    pub crashes: Vec<SuspectCrash>,
    /// Ages of the wanted versions, for entries that heard of one later than this agent.
    pub wanted: Vec<VersionAge>,
}

/// Wanted version of a model with its age, as an agent has recorded it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionAge {
    /// Name of the model.
    pub model: Arc<str>,
    /// Version that the store names for the model.
    pub version: u64,
    /// Time since the store named the version.
    pub age: ChangeAge,
}

/// State of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Factor by which it is slower than declared, in thousandths.
    pub pace_permille: u32,
    /// Models of which it serves all layers, with their versions.
    pub models: Vec<(Arc<str>, u64)>,
    /// True while it accepts no new work because it is switching its version.
    pub is_switching: bool,
    /// Time left until it is ordered to switch its version, in milliseconds.
    pub switch_in_ms: Option<u32>,
    /// True when it says in its reports that it leaves.
    pub is_leaving: bool,
    /// Limit that it names in its reports.
    pub limit: LimitReport,
}

/// Limit that an engine names in its reports: the requests per second that it takes from all entries
/// together.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub enum LimitReport {
    /// It names none.
    #[default]
    Unlimited,
    /// Requests per second.
    Rate(f64),
    /// What it names is no number.
    Invalid(Arc<str>),
}

impl From<LimitStatement> for LimitReport {
    fn from(limit: LimitStatement) -> Self {
        match limit {
            LimitStatement::Unlimited => Self::Unlimited,
            LimitStatement::Rate(rate) => Self::Rate(rate),
            LimitStatement::Invalid(text) => Self::Invalid(text),
        }
    }
}

impl From<LimitReport> for LimitStatement {
    fn from(limit: LimitReport) -> Self {
        match limit {
            LimitReport::Unlimited => Self::Unlimited,
            LimitReport::Rate(rate) => Self::Rate(rate),
            LimitReport::Invalid(text) => Self::Invalid(text),
        }
    }
}

/// Why a message cannot be encoded or decoded.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum DatagramError {
    /// the message has {0} bytes, more than a datagram may have
    TooLarge(usize),
    /// the message cannot be encoded or decoded: {0}
    Invalid(postcard::Error),
}

impl std::error::Error for DatagramError {}

/// Encodes a message as a datagram.
///
/// # Errors
///
/// When it has more than [`MAX_DATAGRAM`] bytes.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, DatagramError> {
    let datagram = postcard::to_allocvec(message).map_err(DatagramError::Invalid)?;
    match datagram.len() {
        size if size > MAX_DATAGRAM => Err(DatagramError::TooLarge(size)),
        _ => Ok(datagram),
    }
}

/// Decodes a datagram.
///
/// # Errors
///
/// When it is not a valid message.
pub fn decode<'a, T: Deserialize<'a>>(buf: &'a [u8]) -> Result<T, DatagramError> {
    postcard::from_bytes(buf).map_err(DatagramError::Invalid)
}
