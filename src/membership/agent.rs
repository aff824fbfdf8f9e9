//! State that an entry keeps for one agent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::types::{Generation, HostId, InstanceId, ZoneId};
use crate::wire::SyncReply;

use super::HostEntry;

/// An agent with its listing, its last reported state and its heartbeats.
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
    /// True when the host list marks the host as leaving.
    pub listed_leaving: bool,
    /// True when the agent reported that it is leaving.
    pub reported_leaving: bool,
    /// Instance id of the agent's process, once it has answered.
    pub instance: Option<InstanceId>,
    /// Generation in force at the agent, once it has answered.
    pub generation: Generation,
    /// Newest revision of this instance's endpoint reports.
    pub revision: u64,
    /// Version of the placement at the agent, once it has answered.
    pub placement_version: Generation,
    /// Quarantine revision that the agent has received.
    pub quarantine_revision: u64,
    /// Quarantine revision in the heartbeat that is in flight.
    pub quarantine_sent: u64,
    /// True while the agent is in this entry's subset, so that it keeps a control connection to it.
    pub member: bool,
    /// True when the agent was added to the subset to find a target that too few members serve.
    /// Stays true after the agent was removed again, until the next host list.
    pub added_on_demand: bool,
    /// Time of the last answer to a heartbeat.
    pub last_reply: Option<Instant>,
    /// Time of the first heartbeat that was sent since the last answer.
    pub unanswered_since: Option<Instant>,
    /// True when a traffic connection was refused since the last answer.
    pub unreachable: bool,
    /// Time of the next heartbeat.
    pub next_sync: Instant,
    /// True while a heartbeat is in flight.
    pub sync_pending: bool,
}

impl Agent {
    /// Creates an agent that was listed for the first time.
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

    /// Applies a line of the host list.
    ///
    /// A new address means a new process, which has to answer a heartbeat before it gets work.
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

    /// Applies an answer to a heartbeat.
    ///
    /// The reported state replaces that of an earlier instance.
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

    /// Records that a heartbeat with the given quarantine revision is sent.
    pub fn sync_sent(&mut self, now: Instant, quarantine_revision: u64) {
        self.quarantine_sent = quarantine_revision;
        self.sync_pending = true;
        self.unanswered_since.get_or_insert(now);
    }

    /// Restarts the time for which an answer has been missing.
    pub fn reset_silence(&mut self, now: Instant) {
        if let Some(since) = &mut self.unanswered_since {
            *since = now;
        }
    }

    /// True when the host is leaving according to the agent or the host list.
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.reported_leaving
    }

    /// True when the agent has never answered, when an answer has been missing for longer than
    /// `suspect_after`, or when a traffic connection was refused.
    pub fn is_suspect(&self, now: Instant, suspect_after: Duration) -> bool {
        let overdue = self
            .unanswered_since
            .is_some_and(|since| now.saturating_duration_since(since) > suspect_after);
        self.instance.is_none() || self.unreachable || overdue
    }
}
