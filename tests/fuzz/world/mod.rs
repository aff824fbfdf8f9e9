//! Simulated entries, agents, endpoints and object API, and the messages between them.

mod agents;
mod endpoints;
mod entries;
mod fixture;
mod platform;
mod steps;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use limpetloom::agent::core::{
    AgentAction, AgentCore, AgentCoreConfig, AgentEvent, EndpointConfig, EndpointKind, Offer,
};
use limpetloom::config::{Class, Customer, Model, Service, Targets};
use limpetloom::delivery::{StoreCall, StoreReply};
use limpetloom::entry::core::{
    Dispatch, EntryAction, EntryCore, EntryCoreConfig, EntryEvent, StoreCallId,
};
use limpetloom::membership::{HostEntry, HostRole};
use limpetloom::placement::Placement;
use limpetloom::types::{AttemptId, Digest, EntryAttemptOutcome, RequestMeta};
use limpetloom::wire::{SettleReply, SettleRequest, SyncReply, SyncRequest, VersionedDocument};

use crate::endpoint::Endpoint;
use crate::injected_faults::Fault;
use crate::oracle::{IN_FORCE_LIMIT, Invariant, Oracle};
use crate::store::Store;
use fixture::*;

pub const ENTRIES: usize = 3;
pub const AGENTS: usize = 4;
pub const ZONES: [&str; 2] = ["kochi-a", "kozhikode-a"];

const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(200);
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after which the caller of a lost control call sees its failure.
const RPC_TIMEOUT: Duration = Duration::from_millis(500);
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);
/// Polls, 100 ms apart, for which a stopping entry may drain.
const MAX_STOP_POLLS: u32 = 200;
/// Time for which a crashed endpoint is down.
const ENDPOINT_RESTART: Duration = Duration::from_millis(1_500);

/// Index of a process and number of its incarnation; messages to an earlier one are dropped.
type Incarnation = (usize, u64);

/// A message or a timer that is due at a later time. `EndpointStarted`, `EndpointDone` and
/// `EndpointCrash` carry the endpoint's instance and are dropped after a restart.
pub enum Message {
    ToEntry(Incarnation, EntryEvent),
    ToAgent(Incarnation, AgentEvent, Requester),
    Store(Incarnation, StoreCallId, StoreCall),
    EndpointStarted(usize, u64, AttemptId),
    EndpointDone(usize, u64, AttemptId),
    EndpointCrash(usize, u64, Digest),
    EndpointLoaded(usize, Digest, u64),
    Cancel(usize, AttemptId),
    Pause(usize, AttemptId),
    Probe(usize),
    StorePoll(usize),
    HostList(usize),
}

/// Who waits for an agent's reply to a control call.
#[derive(Clone)]
pub enum Requester {
    Nobody,
    Sync(Incarnation),
    Settle(Incarnation, u64),
}

/// A message with its due time. The order is reversed, so that the heap pops the earliest first.
struct Scheduled {
    at: Instant,
    seq: u64,
    message: Message,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.seq == other.seq
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.seq).cmp(&(self.at, self.seq))
    }
}

struct Entry {
    core: EntryCore,
    incarnation: u64,
    paused_until: Instant,
    last_tick: Option<Instant>,
    /// Metadata of the requests that arrived at the entry, by request number.
    metas: BTreeMap<u64, RequestMeta>,
    stopping: bool,
}

struct Agent {
    core: AgentCore,
    incarnation: u64,
    instance: u64,
    paused_until: Instant,
    last_tick: Option<Instant>,
    endpoint: Endpoint,
    /// Entry incarnation, request number and offer of each attempt that awaits its outcome.
    callers: BTreeMap<AttemptId, (Incarnation, u64, Offer)>,
    stopping: bool,
}

pub struct World {
    start: Instant,
    now: Instant,
    rng: SmallRng,
    seq: u64,
    scheduled: BinaryHeap<Scheduled>,
    store: Store,
    store_down_until: Instant,
    /// Writes to the object API whose replies are still to be dropped.
    lose_answers: u32,
    loss_until: Instant,
    loss_permille: u32,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    targets: Targets,
    /// Request fingerprint of each attempt; those that start with `poison` crash the endpoint.
    fingerprints: BTreeMap<AttemptId, Digest>,
    next_id: u64,
    pub oracle: Oracle,
    pub fault: Option<Fault>,
}

impl World {
    pub fn new(seed: u64, fault: Option<Fault>) -> Self {
        let start = Instant::now();
        let mut world = Self {
            start,
            now: start,
            rng: SmallRng::seed_from_u64(seed),
            seq: 0,
            scheduled: BinaryHeap::new(),
            store: Store::default(),
            store_down_until: start,
            lose_answers: 0,
            loss_until: start,
            loss_permille: 0,
            entries: Vec::new(),
            agents: Vec::new(),
            targets: targets(),
            fingerprints: BTreeMap::new(),
            next_id: 100,
            oracle: Oracle::default(),
            fault,
        };
        world.entries = (0..ENTRIES).map(|n| world.new_entry(n, 0)).collect();
        world.agents = (0..AGENTS).map(|n| world.new_agent(n)).collect();
        world.apply_targets();
        (0..ENTRIES).for_each(|n| world.schedule_entry_polls(n));
        (0..AGENTS).for_each(|n| world.send_in(Duration::ZERO, Message::Probe(n)));
        world.advance(Duration::from_secs(4));
        world
    }

    fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn new_entry(&mut self, n: usize, incarnation: u64) -> Entry {
        let instance = self.allocate_id();
        let zone = ZONES[n % 2];
        let cfg = EntryCoreConfig {
            isolation_after: IN_FORCE_LIMIT,
            wall_clock: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000),
            ..EntryCoreConfig::new(entry_name(n), zone.into(), "kerala".into(), instance)
        };
        Entry {
            core: EntryCore::new(cfg, instance, self.now),
            incarnation,
            paused_until: self.now,
            last_tick: None,
            metas: BTreeMap::new(),
            stopping: false,
        }
    }

    fn schedule_entry_polls(&mut self, n: usize) {
        self.send_in(Duration::ZERO, Message::StorePoll(n));
        self.send_in(Duration::ZERO, Message::HostList(n));
    }

    fn new_agent_core(&mut self, n: usize) -> (AgentCore, u64) {
        let instance = self.allocate_id();
        let zone = agent_zone(n);
        let mut cfg = AgentCoreConfig::new(host_name(n), zone.into(), "kerala".into(), instance);
        cfg.endpoints = vec![endpoint_config(n)];
        cfg.config.isolation_after = IN_FORCE_LIMIT;
        (AgentCore::new(cfg, self.now), instance)
    }

    fn new_agent(&mut self, n: usize) -> Agent {
        let (core, instance) = self.new_agent_core(n);
        let endpoint_instance = self.allocate_id();
        Agent {
            core,
            incarnation: 0,
            instance,
            paused_until: self.now,
            last_tick: None,
            endpoint: Endpoint::new(endpoint_config(n), endpoint_instance),
            callers: BTreeMap::new(),
            stopping: false,
        }
    }

    /// Delivers the messages and ticks that fall due within `span`.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.next_time().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            match self.scheduled.peek() {
                Some(next) if next.at <= self.now => {
                    let next = self.scheduled.pop().expect("peek found a message");
                    self.deliver(next.message);
                }
                _ => self.tick_due_cores(),
            }
        }
        self.now = end;
    }

    fn next_time(&self) -> Option<Instant> {
        let next = self.scheduled.peek().map(|next| next.at);
        let entries = self.entries.iter().filter_map(|entry| {
            wakeup(
                entry.core.next_wakeup(),
                entry.last_tick,
                entry.paused_until,
            )
        });
        let agents = self.agents.iter().filter_map(|agent| {
            wakeup(
                agent.core.next_wakeup(),
                agent.last_tick,
                agent.paused_until,
            )
        });
        next.into_iter().chain(entries).chain(agents).min()
    }

    fn tick_due_cores(&mut self) {
        for n in 0..ENTRIES {
            let entry = &mut self.entries[n];
            let due = wakeup(
                entry.core.next_wakeup(),
                entry.last_tick,
                entry.paused_until,
            );
            if due.is_some_and(|at| at <= self.now) {
                entry.last_tick = Some(self.now);
                let incarnation = (n, entry.incarnation);
                self.deliver(Message::ToEntry(incarnation, EntryEvent::Tick));
            }
        }
        for n in 0..AGENTS {
            let agent = &mut self.agents[n];
            let due = wakeup(
                agent.core.next_wakeup(),
                agent.last_tick,
                agent.paused_until,
            );
            if due.is_some_and(|at| at <= self.now) {
                agent.last_tick = Some(self.now);
                let incarnation = (n, agent.incarnation);
                self.deliver(Message::ToAgent(
                    incarnation,
                    AgentEvent::Tick,
                    Requester::Nobody,
                ));
            }
        }
    }

    fn send_in(&mut self, span: Duration, message: Message) {
        self.seq += 1;
        let at = self.now + span;
        let seq = self.seq;
        self.scheduled.push(Scheduled { at, seq, message });
    }

    /// Sends a message with a random delay of a few milliseconds.
    fn send_soon(&mut self, message: Message) {
        let delay = self.rng.random_range(1..=6);
        self.send_in(Duration::from_millis(delay), message);
    }

    /// Draws whether the network loses the next message.
    fn is_lost(&mut self) -> bool {
        let lossy = self.now < self.loss_until;
        lossy && self.rng.random_range(0..1_000) < self.loss_permille
    }
}

/// Prints an event or an action to standard error if `LIMPETLOOM_FUZZ_TRACE` is set.
fn trace(at: Duration, who: &str, incarnation: Incarnation, what: &dyn std::fmt::Debug) {
    if std::env::var_os("LIMPETLOOM_FUZZ_TRACE").is_some() {
        eprintln!("{at:?} {who} {incarnation:?}: {what:?}");
    }
}

/// When to tick a core next: not while it is paused, and at most once a millisecond.
fn wakeup(at: Option<Instant>, last_tick: Option<Instant>, paused: Instant) -> Option<Instant> {
    let at = at?.max(paused);
    let earliest = last_tick.map(|at| at + Duration::from_millis(1));
    Some(earliest.map_or(at, |earliest| at.max(earliest)))
}
