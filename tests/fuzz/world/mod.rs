//! Entries, agents, endpoints, the object API and the messages between them.

mod agents;
mod endpoints;
mod entries;
mod fixture;
mod platform;
mod script;

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
use crate::oracle::{IN_FORCE, Oracle, Promise};
use crate::planted::Fault;
use crate::store::Store;
use fixture::*;

pub const ENTRIES: usize = 3;
pub const AGENTS: usize = 4;
pub const ZONES: [&str; 2] = ["kochi-a", "kozhikode-a"];

const PROBE: Duration = Duration::from_millis(250);
const POLL: Duration = Duration::from_millis(200);
const HOSTS: Duration = Duration::from_secs(1);
const RPC_TIMEOUT: Duration = Duration::from_millis(500);
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);
const STOP_POLLS_MAX: u32 = 200;
const DOWN: Duration = Duration::from_millis(1_500);

/// Process with the number of its life; messages to an earlier life are dropped.
type Life = (usize, u64);

/// Something under way.
pub enum Message {
    ToEntry(Life, EntryEvent),
    ToAgent(Life, AgentEvent, Asker),
    Store(Life, StoreCallId, StoreCall),
    EndpointStarted(usize, u64, AttemptId),
    EndpointDone(usize, u64, AttemptId),
    EndpointCrash(usize, u64, Digest),
    EndpointLoaded(usize, Digest, u64),
    Cancel(usize, AttemptId),
    Pause(usize, AttemptId),
    Probe(usize),
    Poll(usize),
    Hosts(usize),
}

/// Who waits for the reply to a call of an agent.
#[derive(Clone)]
pub enum Asker {
    Nobody,
    Sync(Life),
    Settle(Life, u64),
}

struct Flight {
    at: Instant,
    seq: u64,
    message: Message,
}

impl PartialEq for Flight {
    fn eq(&self, other: &Self) -> bool {
        self.seq == other.seq
    }
}
impl Eq for Flight {}
impl PartialOrd for Flight {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Flight {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.seq).cmp(&(self.at, self.seq))
    }
}

struct Entry {
    core: EntryCore,
    life: u64,
    paused_until: Instant,
    ticked: Option<Instant>,
    metas: BTreeMap<u64, RequestMeta>,
    stopping: bool,
}

struct Agent {
    core: AgentCore,
    life: u64,
    instance: u64,
    paused_until: Instant,
    ticked: Option<Instant>,
    endpoint: Endpoint,
    /// Entry life and request of each attempt that waits for an answer.
    callers: BTreeMap<AttemptId, (Life, u64, Offer)>,
    stopping: bool,
}

pub struct World {
    start: Instant,
    now: Instant,
    rng: SmallRng,
    seq: u64,
    flights: BinaryHeap<Flight>,
    store: Store,
    store_down_until: Instant,
    lose_answers: u32,
    loss_until: Instant,
    loss_permille: u32,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    targets: Targets,
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
            flights: BinaryHeap::new(),
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
        (0..ENTRIES).for_each(|n| world.start_entry(n));
        (0..AGENTS).for_each(|n| world.send_in(Duration::ZERO, Message::Probe(n)));
        world.advance(Duration::from_secs(4));
        world
    }

    fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn new_entry(&mut self, n: usize, life: u64) -> Entry {
        let instance = self.id();
        let zone = ZONES[n % 2];
        let cfg = EntryCoreConfig {
            isolation_after: IN_FORCE,
            wall_clock: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000),
            ..EntryCoreConfig::new(entry_name(n), zone.into(), "kerala".into(), instance)
        };
        Entry {
            core: EntryCore::new(cfg, instance, self.now),
            life,
            paused_until: self.now,
            ticked: None,
            metas: BTreeMap::new(),
            stopping: false,
        }
    }

    fn start_entry(&mut self, n: usize) {
        self.send_in(Duration::ZERO, Message::Poll(n));
        self.send_in(Duration::ZERO, Message::Hosts(n));
    }

    fn new_core(&mut self, n: usize) -> (AgentCore, u64) {
        let instance = self.id();
        let zone = agent_zone(n);
        let mut cfg = AgentCoreConfig::new(host_name(n), zone.into(), "kerala".into(), instance);
        cfg.endpoints = vec![endpoint_config(n)];
        cfg.config.isolation_after = IN_FORCE;
        (AgentCore::new(cfg, self.now), instance)
    }

    fn new_agent(&mut self, n: usize) -> Agent {
        let (core, instance) = self.new_core(n);
        let endpoint_instance = self.id();
        Agent {
            core,
            life: 0,
            instance,
            paused_until: self.now,
            ticked: None,
            endpoint: Endpoint::new(endpoint_config(n), endpoint_instance),
            callers: BTreeMap::new(),
            stopping: false,
        }
    }

    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.next_time().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            match self.flights.peek() {
                Some(flight) if flight.at <= self.now => {
                    let flight = self.flights.pop().expect("it was peeked at");
                    self.deliver(flight.message);
                }
                _ => self.tick(),
            }
        }
        self.now = end;
    }

    fn next_time(&self) -> Option<Instant> {
        let flight = self.flights.peek().map(|flight| flight.at);
        let entries = self
            .entries
            .iter()
            .filter_map(|entry| wakeup(entry.core.next_wakeup(), entry.ticked, entry.paused_until));
        let agents = self
            .agents
            .iter()
            .filter_map(|agent| wakeup(agent.core.next_wakeup(), agent.ticked, agent.paused_until));
        flight.into_iter().chain(entries).chain(agents).min()
    }

    fn tick(&mut self) {
        for n in 0..ENTRIES {
            let entry = &mut self.entries[n];
            let due = wakeup(entry.core.next_wakeup(), entry.ticked, entry.paused_until);
            if due.is_some_and(|at| at <= self.now) {
                entry.ticked = Some(self.now);
                let life = (n, entry.life);
                self.deliver(Message::ToEntry(life, EntryEvent::Tick));
            }
        }
        for n in 0..AGENTS {
            let agent = &mut self.agents[n];
            let due = wakeup(agent.core.next_wakeup(), agent.ticked, agent.paused_until);
            if due.is_some_and(|at| at <= self.now) {
                agent.ticked = Some(self.now);
                let life = (n, agent.life);
                self.deliver(Message::ToAgent(life, AgentEvent::Tick, Asker::Nobody));
            }
        }
    }

    fn send_in(&mut self, span: Duration, message: Message) {
        self.seq += 1;
        let at = self.now + span;
        let seq = self.seq;
        self.flights.push(Flight { at, seq, message });
    }

    fn send_soon(&mut self, message: Message) {
        let delay = self.rng.random_range(1..=6);
        self.send_in(Duration::from_millis(delay), message);
    }

    fn is_lost(&mut self) -> bool {
        let lossy = self.now < self.loss_until;
        lossy && self.rng.random_range(0..1_000) < self.loss_permille
    }
}

/// Prints what happens when `LIMPETLOOM_FUZZ_TRACE` is set.
fn trace(at: Duration, who: &str, life: Life, what: &dyn std::fmt::Debug) {
    if std::env::var_os("LIMPETLOOM_FUZZ_TRACE").is_some() {
        eprintln!("{at:?} {who} {life:?}: {what:?}");
    }
}

fn wakeup(at: Option<Instant>, ticked: Option<Instant>, paused: Instant) -> Option<Instant> {
    let at = at?.max(paused);
    let earliest = ticked.map(|at| at + Duration::from_millis(1));
    Some(earliest.map_or(at, |earliest| at.max(earliest)))
}
