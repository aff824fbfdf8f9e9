//! Event loop of the simulation.

mod callers;
mod engines;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use limpetloom::dispatch::{Dispatcher, Mitigations};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::callers::Caller;
use super::engine::Engine;
use super::fleet::{self, COLD_RATE_LIMIT};
use super::{Summary, Workload};

/// One-way latency between caller and entry.
const CALLER_LATENCY: Duration = Duration::from_millis(3);
/// One-way latency between entry and engine.
const ENGINE_LATENCY: Duration = Duration::from_millis(1);
/// Time from the end of the arrivals to the end of the simulation. It exceeds the callers' timeout,
/// so that all requests can end.
const DRAIN_TIME: Duration = Duration::from_secs(8);

/// Time since the start of the simulation.
type Time = Duration;

/// A scheduled event. A `usize` without a name is the index of a caller, engine or entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// The next caller arrives.
    Arrival,
    /// A caller's request, first or retried, reaches an entry.
    Request(usize),
    /// An attempt reaches its engine.
    Delivery { caller: usize, attempt: u32 },
    /// A pass of an engine, in which it processes prompts and decodes for all running requests,
    /// ends. The second number is the engine's incarnation at the start of the pass; the event is
    /// ignored if it has changed.
    PassEnd(usize, u64),
    /// An engine's load is reported to all entries.
    LoadReport(usize),
    /// An entry reconsiders its waiting requests; ignored if an earlier wakeup has replaced it.
    Wakeup(usize),
    /// An attempt is cancelled unless an event of the answer has arrived.
    SilenceTimeout { caller: usize, attempt: u32 },
    /// A caller disconnects unless its answer has started.
    Departure(usize),
    /// The engines of the first zone stop responding.
    ZoneLoss,
    /// The engines of the first zone return.
    ZoneReturn,
    /// An engine is ordered to switch its version.
    SwitchOrder(usize),
    /// An engine has loaded the new version and serves it.
    VersionLoaded(usize),
}

struct Simulation {
    workload: Workload,
    rng: SmallRng,
    /// Instant that stands for the start of the simulation in calls to the dispatchers.
    start: Instant,
    now: Time,
    /// Scheduled events with their time and sequence number, earliest first.
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    /// Number of events scheduled so far; events at the same time are handled in this order.
    sequence: u64,
    entries: Vec<Dispatcher>,
    /// Time of the next scheduled wakeup of each entry; `None` if there is none.
    wakeups: Vec<Option<Time>>,
    engines: Vec<Engine>,
    /// For each engine, the end of its cold period and the arrival times of requests during it.
    cold_arrivals: Vec<(Time, Vec<Time>)>,
    callers: Vec<Caller>,
    /// Caller of each open request, by entry and ticket.
    tickets: HashMap<(usize, u64), usize>,
    /// Number of attempts cancelled because no event of the answer had arrived in time.
    silent_attempts: u32,
}

/// Simulates a workload with the given mitigations. The same seed gives the same results.
pub fn simulate(workload: Workload, mitigations: Mitigations, seed: u64) -> Summary {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let entries = (0..workload.entries)
        .map(|n| fleet::new_entry(start, n, workload, mitigations, rng.random()))
        .collect();
    let mut simulation = Simulation {
        engines: vec![Engine::new(fleet::engine_model()); workload.engines],
        cold_arrivals: vec![(Duration::ZERO, Vec::new()); workload.engines],
        wakeups: vec![None; workload.entries],
        entries,
        workload,
        rng,
        start,
        now: Duration::ZERO,
        events: BinaryHeap::new(),
        sequence: 0,
        callers: Vec::new(),
        tickets: HashMap::new(),
        silent_attempts: 0,
    };
    simulation.schedule_initial_events();
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        if at > workload.duration + DRAIN_TIME {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    let mut summary = Summary::new(&simulation.callers);
    summary.cold_rate_violations = simulation
        .cold_arrivals
        .iter()
        .map(|(_, arrivals)| count_cold_rate_violations(arrivals, workload.cold_rate))
        .sum();
    summary.silent_attempts = simulation.silent_attempts;
    summary
}

/// Counts the arrivals that begin a one-second window with more arrivals than a cold engine's limit
/// allows. `rate` is the declared rate of a cold engine, in requests per second.
fn count_cold_rate_violations(arrivals: &[Time], rate: f64) -> u32 {
    let limit = rate * COLD_RATE_LIMIT.0 + COLD_RATE_LIMIT.1;
    let count_from = |at: Time| {
        let window = at..at + Duration::from_secs(1);
        arrivals.iter().filter(|at| window.contains(at)).count()
    };
    arrivals
        .iter()
        .filter(|at| count_from(**at) as f64 > limit)
        .count() as u32
}

impl Simulation {
    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn schedule(&mut self, delay: Time, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn schedule_initial_events(&mut self) {
        self.schedule(Duration::ZERO, Event::Arrival);
        for engine in 0..self.workload.engines {
            let offset = self.workload.report_interval.mul_f64(self.rng.random());
            self.schedule(offset, Event::LoadReport(engine));
        }
        if let Some((from, to)) = self.workload.zone_loss {
            self.schedule(from, Event::ZoneLoss);
            self.schedule(to, Event::ZoneReturn);
        }
        for engine in 0..self.workload.engines {
            if let Some(at) = self.switch_time(engine) {
                self.schedule(at, Event::SwitchOrder(engine));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Request(caller) => self.send_request(caller),
            Event::Delivery { caller, attempt } => self.deliver(caller, attempt),
            Event::PassEnd(engine, incarnation) => self.end_pass(engine, incarnation),
            Event::LoadReport(engine) => self.report_load(engine),
            Event::Wakeup(entry) => {
                if self.wakeups[entry].take_if(|at| *at <= self.now).is_some() {
                    self.dispatch(entry);
                }
            }
            Event::SilenceTimeout { caller, attempt } => self.check_silence(caller, attempt),
            Event::Departure(caller) => self.depart(caller),
            Event::ZoneLoss => self.lose_zone(),
            Event::ZoneReturn => self.restore_zone(),
            Event::SwitchOrder(engine) => {
                self.engines[engine].is_switching = true;
                self.try_load_version(engine);
            }
            Event::VersionLoaded(engine) => {
                self.engines[engine].is_switching = false;
                self.engines[engine].version = 2;
                self.start_pass(engine);
            }
        }
    }
}
