//! Plays a load: moves the time from event to event.

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
use super::fleet::{self, COLD_EXCESS};
use super::{Summary, Workload};

/// Way between caller and entry.
const CALLER_WAY: Duration = Duration::from_millis(3);
/// Way between entry and engine.
const ENGINE_WAY: Duration = Duration::from_millis(1);
/// Time after the end of the traffic by which everything has ended.
const TAIL: Duration = Duration::from_secs(8);

type Time = Duration;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum What {
    /// The next caller comes.
    Arrive,
    /// A caller asks, for the first time or again.
    Ask(usize),
    /// An attempt reaches its engine.
    Deliver { caller: usize, attempt: u32 },
    /// A stride of an engine ends, in the life in which it began.
    Stride(usize, u64),
    /// An engine's load is reported.
    Report(usize),
    /// An entry wants to look at what waits.
    Wake(usize),
    /// An attempt has shown nothing for too long.
    Silent { caller: usize, attempt: u32 },
    /// A caller leaves unless its answer has begun.
    Leave(usize),
    /// The first zone's engines fall silent.
    Dark,
    /// They are back.
    Light,
    /// An engine is told to change its version.
    Order(usize),
    /// It serves the new version.
    Loaded(usize),
}

struct Play {
    load: Workload,
    rng: SmallRng,
    start: Instant,
    now: Time,
    due: BinaryHeap<Reverse<(Time, u64, What)>>,
    number: u64,
    entries: Vec<Dispatcher>,
    /// Time at which each entry is woken next.
    wakes: Vec<Option<Time>>,
    engines: Vec<Engine>,
    /// Requests that each engine got while it was cold, with the end of that time.
    cold: Vec<(Time, Vec<Time>)>,
    callers: Vec<Caller>,
    tickets: HashMap<(usize, u64), usize>,
    wasted: u32,
}

/// Plays a load with some of the core's answers to patterns.
pub fn simulate(load: Workload, tactics: Mitigations, seed: u64) -> Summary {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let entries = (0..load.entries)
        .map(|n| fleet::entry(start, n, load, tactics, rng.random()))
        .collect();
    let mut play = Play {
        engines: vec![Engine::new(fleet::engine_model()); load.engines],
        cold: vec![(Duration::ZERO, Vec::new()); load.engines],
        wakes: vec![None; load.entries],
        entries,
        load,
        rng,
        start,
        now: Duration::ZERO,
        due: BinaryHeap::new(),
        number: 0,
        callers: Vec::new(),
        tickets: HashMap::new(),
        wasted: 0,
    };
    play.script();
    while let Some(Reverse((at, _, what))) = play.due.pop() {
        if at > load.length + TAIL {
            break;
        }
        play.now = at;
        play.happen(what);
    }
    let mut tally = Summary::new(&play.callers);
    tally.cold_rate_violations = play
        .cold
        .iter()
        .map(|(_, sent)| cold_rate_violations(sent, load.cold_rate))
        .sum();
    tally.wasted = play.wasted;
    tally
}

/// Times at which more was sent within a second than a cold engine may get.
fn cold_rate_violations(sent: &[Time], rate: f64) -> u32 {
    let bound = rate * COLD_EXCESS.0 + COLD_EXCESS.1;
    let within = |at: Time| {
        let window = at..at + Duration::from_secs(1);
        sent.iter().filter(|sent| window.contains(sent)).count()
    };
    sent.iter().filter(|at| within(**at) as f64 > bound).count() as u32
}

impl Play {
    fn at(&self) -> Instant {
        self.start + self.now
    }

    fn after(&mut self, wait: Time, what: What) {
        self.number += 1;
        self.due.push(Reverse((self.now + wait, self.number, what)));
    }

    fn script(&mut self) {
        self.after(Duration::ZERO, What::Arrive);
        for engine in 0..self.load.engines {
            let offset = self.load.report.mul_f64(self.rng.random());
            self.after(offset, What::Report(engine));
        }
        if let Some((from, to)) = self.load.dark {
            self.after(from, What::Dark);
            self.after(to, What::Light);
        }
        for engine in 0..self.load.engines {
            if let Some(at) = self.order_at(engine) {
                self.after(at, What::Order(engine));
            }
        }
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrive => self.arrive(),
            What::Ask(caller) => self.ask(caller),
            What::Deliver { caller, attempt } => self.deliver(caller, attempt),
            What::Stride(engine, life) => self.stride(engine, life),
            What::Report(engine) => self.report(engine),
            What::Wake(entry) => {
                if self.wakes[entry].take_if(|at| *at <= self.now).is_some() {
                    self.pump(entry);
                }
            }
            What::Silent { caller, attempt } => self.silent(caller, attempt),
            What::Leave(caller) => self.leave(caller),
            What::Dark => self.dark(),
            What::Light => self.light(),
            What::Order(engine) => {
                self.engines[engine].is_changing = true;
                self.try_load(engine);
            }
            What::Loaded(engine) => {
                self.engines[engine].is_changing = false;
                self.engines[engine].version = 2;
                self.run(engine);
            }
        }
    }
}
