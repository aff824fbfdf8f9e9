//! An entry core with a manual clock. The test sends the events of callers, agents and the object
//! API.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::codes::Code;
use crate::config::{Class, Customer, Model, Targets};
use crate::delivery::{StoreCall, StoreReply};
use crate::entry::core::{
    Dispatch, EntryAction, EntryCore, EntryCoreConfig, EntryEvent, StoreCallId,
};
use crate::membership::{HostEntry, HostRole};
use crate::types::{EntryAttemptOutcome, RequestId, RequestMeta};
use crate::wire::{
    EndpointReport, EndpointState, SettleReply, StoreContact, SyncReply, VersionedDocument,
};

pub const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(890);

/// An entry core, its clock, and the actions that it has returned.
pub struct Fixture {
    pub core: EntryCore,
    pub now: Instant,
    pub hosts: Vec<HostEntry>,
    pub dispatched: Vec<Dispatch>,
    pub refused: Vec<(RequestId, Code)>,
    pub completed: Vec<RequestId>,
    pub synced: Vec<String>,
    pub stored: Vec<(StoreCallId, StoreCall)>,
    pub replayed: Vec<RequestId>,
    pub settles: Vec<RequestId>,
    next_req: RequestId,
}

pub fn targets(zones_out: &[&str]) -> Targets {
    let class = |id: &str, priority, keyed| Class {
        id: id.into(),
        target: "chat".into(),
        first_token: FIRST_TOKEN_TARGET,
        power: 0,
        priority,
        keyed,
        deferrable: false,
    };
    Targets {
        classes: vec![
            class("answers", 0, false),
            class("summaries", 1, false),
            class("bookings", 0, true),
        ],
        customers: ["small", "large"]
            .map(|id| Customer {
                id: id.into(),
                weight: 1,
            })
            .into(),
        models: vec![Model {
            id: "chat".into(),
            version: "1".into(),
            manifest: "v1".into(),
            replicas: None,
        }],
        zones_out: zones_out.iter().map(|zone| (*zone).into()).collect(),
        ..Targets::default()
    }
}

pub fn host_entry(name: &str, zone: &str, number: u16) -> HostEntry {
    HostEntry {
        host: name.into(),
        zone: zone.into(),
        role: HostRole::Agent,
        control: ([127, 0, 0, 1], number).into(),
        traffic: ([127, 0, 0, 1], number + 1).into(),
        leaving: false,
        region: "south".into(),
    }
}

pub fn endpoint_report(endpoint: &str, limit: u32, in_flight: u32) -> EndpointReport {
    EndpointReport {
        endpoint: endpoint.into(),
        first_token_ms: 50,
        in_flight,
        instance: 1,
        limit,
        power_mw: None,
        full_power_mw: None,
        progress_permille: None,
        queued: 0,
        state: EndpointState::Ready,
        target: Some("chat".into()),
        version: Some("v1".into()),
    }
}

pub fn sync_reply(host: &str, endpoints: Vec<EndpointReport>) -> SyncReply {
    SyncReply {
        revision: None,
        agent_instance: 7,
        config: None,
        endpoints,
        generation: 1,
        host: host.into(),
        leaving: false,
        placement: None,
        placement_version: None,
        quarantine: Vec::new(),
        store: StoreContact {
            age_ms: 0,
            reachable: true,
            echo_ms: None,
            outages: Vec::new(),
            stamp_ms: None,
        },
        zone: String::new(),
    }
}

pub fn request_meta(class: &str, customer: &str) -> RequestMeta {
    RequestMeta {
        class: class.into(),
        customer: customer.into(),
        target: "chat".into(),
        key: None,
        key_issued: None,
        fingerprint: "f".into(),
        prefix: None,
        tokens: 100,
        start_budget: None,
    }
}

impl Fixture {
    /// An entry that knows the given hosts as `(name, zone)`. Each has one endpoint with `limit`
    /// slots, named after the host with the suffix `-0`.
    pub fn new(hosts: &[(&str, &str)], limit: u32) -> Self {
        let now = Instant::now();
        let cfg = EntryCoreConfig::new("entry".into(), "a".into(), "south".into(), 1);
        let hosts: Vec<HostEntry> = hosts
            .iter()
            .zip((1_000..).step_by(2))
            .map(|((name, zone), number)| host_entry(name, zone, number))
            .collect();
        let mut fixture = Self {
            core: EntryCore::new(cfg, 1, now),
            now,
            hosts: hosts.clone(),
            dispatched: Vec::new(),
            refused: Vec::new(),
            completed: Vec::new(),
            synced: Vec::new(),
            stored: Vec::new(),
            replayed: Vec::new(),
            settles: Vec::new(),
            next_req: 0,
        };
        fixture.configure(1, &[]);
        fixture.handle(EntryEvent::StoreContact { reached: true });
        fixture.handle(EntryEvent::HostsListed(hosts.clone()));
        for host in &hosts {
            fixture.heartbeat_replied(&host.host, limit, 0);
        }
        fixture
    }

    pub fn handle(&mut self, event: EntryEvent) {
        for action in self.core.handle(self.now, event) {
            match action {
                EntryAction::Dispatch(dispatch) => self.dispatched.push(dispatch),
                EntryAction::Refuse { req, refusal } => self.refused.push((req, refusal.code)),
                EntryAction::Complete { req } => self.completed.push(req),
                EntryAction::Sync { host, .. } => self.synced.push(host.to_string()),
                EntryAction::Store { call_id, call } => self.stored.push((call_id, call)),
                EntryAction::Replay { req, .. } => self.replayed.push(req),
                EntryAction::Settle { req, .. } => self.settles.push(req),
                EntryAction::Log { .. } => {}
            }
        }
    }

    pub fn configure(&mut self, generation: u64, zones_out: &[&str]) {
        let body = serde_json::to_string(&targets(zones_out)).unwrap();
        self.handle(EntryEvent::ConfigRead(VersionedDocument {
            generation,
            body,
        }));
    }

    /// The agent of a host answers a heartbeat and reports its endpoint.
    pub fn heartbeat_replied(&mut self, host: &str, limit: u32, in_flight: u32) {
        let endpoint = endpoint_report(&format!("{host}-0"), limit, in_flight);
        self.sync_replied(sync_reply(host, vec![endpoint]));
    }

    pub fn sync_replied(&mut self, reply: SyncReply) {
        let host = reply.host.as_str().into();
        self.handle(EntryEvent::Synced { host, reply });
    }

    /// Advances the clock while the object API stays reachable.
    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        self.handle(EntryEvent::StoreContact { reached: true });
        self.handle(EntryEvent::Tick);
    }

    pub fn arrive(&mut self, class: &str, customer: &str) -> RequestId {
        self.arrive_with(request_meta(class, customer))
    }

    pub fn arrive_with(&mut self, meta: RequestMeta) -> RequestId {
        self.next_req += 1;
        let req = self.next_req;
        self.handle(EntryEvent::Arrived { req, meta });
        req
    }

    pub fn arrive_many(&mut self, count: usize) {
        for _ in 0..count {
            self.arrive("answers", "small");
        }
    }

    /// Ends the latest attempt of a request with the given outcome.
    pub fn end_attempt(&mut self, req: RequestId, outcome: EntryAttemptOutcome) {
        let attempt = self.latest_dispatch(req).attempt.clone();
        self.handle(EntryEvent::AttemptEnded {
            req,
            attempt,
            outcome,
            answer: None,
        });
    }

    /// The object API answers the latest call.
    pub fn store_replied(&mut self, reply: StoreReply) {
        let (call_id, _) = self.stored.last().unwrap();
        self.handle(EntryEvent::StoreReplied {
            call_id: *call_id,
            reply,
        });
    }

    pub fn settle_replied(&mut self, req: RequestId, reply: Option<SettleReply>) {
        self.handle(EntryEvent::SettleReplied { req, reply });
    }

    pub fn start_answer(&mut self, req: RequestId) {
        let attempt = self.latest_dispatch(req).attempt.clone();
        self.handle(EntryEvent::AnswerStarted { req, attempt });
    }

    pub fn latest_dispatch(&self, req: RequestId) -> &Dispatch {
        let is_of_request = |dispatch: &&Dispatch| dispatch.req == req;
        self.dispatched.iter().rev().find(is_of_request).unwrap()
    }

    /// Hosts of all dispatches, in order.
    pub fn hosts_used(&self) -> Vec<Arc<str>> {
        self.dispatched.iter().map(|d| d.host.clone()).collect()
    }

    pub fn refusal_codes(&self) -> Vec<Code> {
        self.refused.iter().map(|(_, code)| *code).collect()
    }
}
