//! What an entry knows of one agent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::types::{Generation, HostId, InstanceId, ZoneId};
use crate::wire::SyncReply;

use super::HostEntry;

/// An agent and the state of its control connection.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Host of the agent.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Address of the control listener.
    pub control: SocketAddr,
    /// Address of the traffic listener.
    pub traffic: SocketAddr,
    /// True while the host list shows the host.
    pub listed: bool,
    /// True when the host list says that the host leaves.
    pub listed_leaving: bool,
    /// True when the agent says that it leaves.
    pub reported_leaving: bool,
    /// Instance of the agent's process, once it has answered.
    pub instance: Option<InstanceId>,
    /// Generation in force at the agent, once it has answered.
    pub generation: Generation,
    /// Newest revision of the reports from this instance.
    pub revision: u64,
    /// Version of the placement at the agent, once it has answered.
    pub placement_version: Generation,
    /// Revision of the quarantine that the agent has got.
    pub quarantine_revision: u64,
    /// Revision of the quarantine in the heartbeat that is in flight.
    pub quarantine_sent: u64,
    /// True while this entry keeps a control connection to the agent.
    pub member: bool,
    /// True when the agent was added to the subset for the targets that it serves.
    pub added_on_demand: bool,
    /// Time of the last answered heartbeat.
    pub last_reply: Option<Instant>,
    /// Time at which the first heartbeat went out that no answer has followed.
    pub unanswered_since: Option<Instant>,
    /// True when a connection for traffic was refused after the last answer.
    pub unreachable: bool,
    /// Time of the next heartbeat.
    pub next_sync: Instant,
    /// True while a heartbeat is in flight.
    pub sync_pending: bool,
}

impl Agent {
    /// An agent that was listed for the first time.
    pub fn new(host: &HostEntry, now: Instant) -> Self {
        Self {
            host: host.host.clone(),
            zone: host.zone.clone(),
            control: host.control,
            traffic: host.traffic,
            listed: true,
            listed_leaving: host.leaving,
            reported_leaving: false,
            instance: None,
            generation: 0,
            revision: 0,
            placement_version: 0,
            quarantine_revision: 0,
            quarantine_sent: 0,
            member: false,
            added_on_demand: false,
            last_reply: None,
            unanswered_since: None,
            unreachable: false,
            next_sync: now,
            sync_pending: false,
        }
    }

    /// Takes in a line of the host list.
    ///
    /// A new address means a new process, which has to answer before it gets work.
    pub fn apply_listing(&mut self, host: &HostEntry) {
        if (self.control, self.traffic) != (host.control, host.traffic) {
            self.instance = None;
        }
        self.zone = host.zone.clone();
        self.control = host.control;
        self.traffic = host.traffic;
        self.listed = true;
        self.listed_leaving = host.leaving;
    }

    /// Takes in an answer to a heartbeat.
    ///
    /// The agent's own word replaces that of an earlier instance.
    pub fn record_reply(&mut self, now: Instant, reply: &SyncReply) {
        let is_restarted = self.instance != Some(reply.agent_instance);
        self.instance = Some(reply.agent_instance);
        self.revision = reply.revision.unwrap_or(0);
        self.placement_version = reply.placement_version.unwrap_or(0);
        self.quarantine_revision = if is_restarted {
            0
        } else {
            self.quarantine_sent
        };
        self.reported_leaving = reply.leaving;
        self.generation = reply.generation;
        self.last_reply = Some(now);
        self.unanswered_since = None;
        self.unreachable = false;
        self.sync_pending = false;
        self.next_sync = self.next_sync.max(now);
    }

    /// Notes that a heartbeat with a revision of the quarantine goes out.
    pub fn sync_sent(&mut self, now: Instant, quarantine_revision: u64) {
        self.quarantine_sent = quarantine_revision;
        self.sync_pending = true;
        self.unanswered_since.get_or_insert(now);
    }

    /// Starts the silence anew.
    pub fn reset_silence(&mut self, now: Instant) {
        if let Some(since) = &mut self.unanswered_since {
            *since = now;
        }
    }

    /// True when the host leaves, by the agent's own word or by the list.
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.reported_leaving
    }

    /// True when the agent has never answered, when it owes an answer for longer than `suspicion`,
    /// or when it refused a connection.
    pub fn is_suspect(&self, now: Instant, suspicion: Duration) -> bool {
        let overdue = self
            .unanswered_since
            .is_some_and(|since| now.saturating_duration_since(since) > suspicion);
        self.instance.is_none() || self.unreachable || overdue
    }
}
