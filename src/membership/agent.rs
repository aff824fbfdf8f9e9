//! What an entry knows of one agent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::entry::core::HostEntry;
use crate::types::{Generation, HostId, InstanceId, ZoneId};

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
    pub said_leaving: bool,
    /// Instance of the agent's process, once it has answered.
    pub instance: Option<InstanceId>,
    /// Generation in force at the agent, once it has answered.
    pub generation: Generation,
    /// Time of the last answer.
    pub last_heard: Option<Instant>,
    /// Time of the next heartbeat.
    pub next_sync: Instant,
    /// True while a heartbeat is unanswered.
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
            said_leaving: false,
            instance: None,
            generation: 0,
            last_heard: None,
            next_sync: now,
            sync_pending: false,
        }
    }

    /// Takes in a line of the host list.
    pub fn relisted(&mut self, host: &HostEntry) {
        self.zone = host.zone.clone();
        self.control = host.control;
        self.traffic = host.traffic;
        self.listed = true;
        self.listed_leaving = host.leaving;
    }

    /// True when the host leaves, by the list or by the agent's own word.
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.said_leaving
    }

    /// True when the agent has not answered for `silence`, or never.
    pub fn is_silent(&self, now: Instant, silence: Duration) -> bool {
        self.last_heard
            .is_none_or(|heard| now.saturating_duration_since(heard) > silence)
    }
}
