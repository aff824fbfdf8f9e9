//! Random sequences at several entries that share engines; engines stand still and go on, and their load
//! reports arrive late.
//!
//! The model of an engine begins waiting requests as its slots allow. It knows what each entry sends. An
//! entry must not have more unstarted requests at an engine than its part of the free places by its last
//! load report, rounded up, and must send nothing new to an engine that is silent while others report.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestError, TestRunner};
use rstest::rstest;

use super::fixture::*;
use crate::dispatch::*;
use crate::fuzz_config::fuzz_config;

/// Number of generated sequences per run.
const CASES: u32 = 128;
/// Engines as (name, host).
const ENGINES: [(&str, u8); 3] = [("e1", 1), ("e2", 2), ("e3", 3)];
const SLOTS: usize = 16;
const ENTRIES: usize = 6;
/// Time for which an engine runs a request.
const RUN_TIME: Duration = ms(850);
/// Age of a load report when an agent sends it.
const REPORT_LAG: Duration = ms(200);
/// Age from which an engine counts as silent.
const SILENCE: Duration = ms(1_500);
/// Requests at an engine, running or waiting, with which another one is not expected to start in time.
const MOST_IN_SYSTEM: usize = 20;

#[derive(Clone, Debug)]
enum Op {
    Advance(u16),
    /// Requests arrive at an entry.
    Arrive(usize, u8),
    /// Requests arrive at all entries.
    ArriveEverywhere,
    StandStill(usize),
    GoOn(usize),
    /// The first caller of an entry leaves.
    Leave(usize),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InjectedFault {
    NoFault,
    /// Entries do not know of each other.
    EntriesNotCounted,
    /// Reports of an engine that stands still go on.
    SilentEngineReported,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (10..120_u16).prop_map(Op::Advance),
        4 => (0..ENTRIES, 1..6_u8).prop_map(|(entry, number)| Op::Arrive(entry, number)),
        4 => Just(Op::ArriveEverywhere),
        1 => (0..ENGINES.len()).prop_map(Op::StandStill),
        1 => (0..ENGINES.len()).prop_map(Op::GoOn),
        2 => (0..ENTRIES).prop_map(Op::Leave),
    ]
}

#[derive(Default)]
struct Engine {
    is_still: bool,
    /// Requests as (entry, ticket), with the end of those that run.
    running: Vec<(usize, TicketId, Instant)>,
    waiting: VecDeque<(usize, TicketId)>,
    /// Running and waiting requests at some times, oldest first.
    history: VecDeque<(Instant, u32, u32)>,
}

struct World {
    now: Instant,
    fault: InjectedFault,
    cores: Vec<Dispatcher>,
    engines: [Engine; ENGINES.len()],
    /// Arrival of the last report of each engine, and its running and waiting requests.
    reports: [Option<(Instant, u32, u32)>; ENGINES.len()],
    /// Requests sent less requests ended since the last report, by engine and entry.
    since_report: [[i64; ENTRIES]; ENGINES.len()],
    /// Last time at which an engine began or ended a request of an entry, by engine and entry.
    heard: BTreeMap<(usize, usize), Instant>,
    arrived: u64,
}

type Check = Result<(), TestCaseError>;

impl World {
    fn new(fault: InjectedFault) -> Self {
        let now = Instant::now();
        let entries = match fault {
            InjectedFault::EntriesNotCounted => 1,
            _ => ENTRIES as u32,
        };
        let cores = (0..ENTRIES).map(|seed| {
            let mut core = core_with_seed(now, seed as u64);
            core.set_entry_count(now, entries);
            core
        });
        Self {
            now,
            fault,
            cores: cores.collect(),
            engines: Default::default(),
            reports: Default::default(),
            since_report: Default::default(),
            heard: BTreeMap::new(),
            arrived: 0,
        }
    }

    fn run(&mut self, op: &Op) -> Check {
        match op {
            Op::Advance(millis) => {
                // Agents poll each 40 ms.
                for _ in 0..millis.div_ceil(40) {
                    self.now += ms(u64::from(*millis)) / u32::from(millis.div_ceil(40));
                    self.work();
                    self.report();
                }
            }
            Op::Arrive(entry, number) => (0..*number).for_each(|_| self.arrive(*entry)),
            Op::ArriveEverywhere => (0..ENTRIES).for_each(|entry| self.arrive(entry)),
            Op::StandStill(engine) => self.engines[*engine].is_still = true,
            Op::GoOn(engine) => self.engines[*engine].is_still = false,
            Op::Leave(entry) => self.leave(*entry),
        }
        (0..ENTRIES).try_for_each(|entry| self.dispatch(entry))
    }

    fn arrive(&mut self, entry: usize) {
        self.arrived += 1;
        let req = CallerRequest {
            fingerprint: self.arrived,
            ..request("chat")
        };
        let _ = self.cores[entry].admit(self.now, &req);
    }

    /// Lets engines that do not stand still end and begin requests.
    fn work(&mut self) {
        let now = self.now;
        for (at, engine) in self.engines.iter_mut().enumerate() {
            if !engine.is_still {
                let ended = engine.running.extract_if(.., |(_, _, end)| *end <= now);
                for (entry, ticket, _) in ended {
                    self.cores[entry].attempt_ended(now, ticket, AttemptOutcome::Answered);
                    self.heard.insert((at, entry), now);
                    self.since_report[at][entry] -= 1;
                }
                while engine.running.len() < SLOTS
                    && let Some((entry, ticket)) = engine.waiting.pop_front()
                {
                    self.cores[entry].attempt_started(now, ticket, Some(1));
                    self.heard.insert((at, entry), now);
                    engine.running.push((entry, ticket, now + RUN_TIME));
                }
            }
            let (running, waiting) = (engine.running.len() as u32, engine.waiting.len() as u32);
            engine.history.push_back((now, running, waiting));
        }
    }

    /// Sends what was true some time ago to all entries.
    fn report(&mut self) {
        for (at, engine) in self.engines.iter_mut().enumerate() {
            let is_old = |(time, ..): &(Instant, u32, u32)| *time + REPORT_LAG <= self.now;
            while engine.history.get(1).is_some_and(is_old) {
                engine.history.pop_front();
            }
            let reported = engine.history.front().copied().filter(is_old);
            let Some((_, running, waiting)) = reported else {
                continue;
            };
            let sends = !engine.is_still || self.fault == InjectedFault::SilentEngineReported;
            if !sends {
                continue;
            }
            let running = match engine.is_still {
                true => 0,
                false => running,
            };
            let load = EndpointLoad {
                waiting,
                ..load(running)
            };
            for core in &mut self.cores {
                core.update_load(self.now, ip(ENGINES[at].1), load.clone());
            }
            // What an engine that stands still is falsely said to do is no report.
            if !engine.is_still {
                self.reports[at] = Some((self.now, running, waiting));
                self.since_report[at] = Default::default();
            }
        }
    }

    /// The first caller of an entry leaves.
    fn leave(&mut self, entry: usize) {
        let tickets = self.engines.iter().flat_map(|engine| {
            let running = engine
                .running
                .iter()
                .map(|(entry, ticket, _)| (*entry, *ticket));
            engine.waiting.iter().copied().chain(running)
        });
        let tickets = tickets.filter(|(at, _)| *at == entry);
        let Some((_, left)) = tickets.min_by_key(|(_, ticket)| *ticket) else {
            return;
        };
        self.cores[entry].finish(self.now, left);
        for (at, engine) in self.engines.iter_mut().enumerate() {
            let before = engine.waiting.len() + engine.running.len();
            engine.waiting.retain(|request| *request != (entry, left));
            engine.running.retain(|r| (r.0, r.1) != (entry, left));
            let after = engine.waiting.len() + engine.running.len();
            self.since_report[at][entry] -= (before - after) as i64;
        }
    }

    fn dispatch(&mut self, entry: usize) -> Check {
        for (ticket, decision) in self.cores[entry].dispatch_waiting(self.now) {
            let Decision::Send(assignment) = decision else {
                continue;
            };
            let id = &*assignment.endpoint;
            let at = ENGINES.iter().position(|engine| engine.0 == id);
            let at = at.ok_or_else(|| TestCaseError::fail("an unknown engine"))?;
            self.check_sent(entry, at)?;
            self.engines[at].waiting.push_back((entry, ticket));
            self.since_report[at][entry] += 1;
        }
        Ok(())
    }

    /// An entry's part of the requests at the engines whose load is known, one of each entry added.
    fn part_of_all(&self, entry: usize) -> f64 {
        let (mut own, mut all) = (0, 0);
        for (at, engine) in self.engines.iter().enumerate() {
            let Some((time, running, waiting)) = self.reports[at] else {
                continue;
            };
            if self.now >= time + SILENCE {
                continue;
            }
            let running_own = engine.running.iter().filter(|r| r.0 == entry).count();
            let waiting_own = engine.waiting.iter().filter(|r| r.0 == entry).count();
            let there = (running_own + waiting_own) as i64;
            own += there;
            all += there.max(i64::from(running + waiting) + self.since_report[at][entry]);
        }
        (own as f64 + 1.0) / (all as f64 + ENTRIES as f64)
    }

    fn check_sent(&self, entry: usize, at: usize) -> Check {
        let own = |at: usize| {
            let waiting = self.engines[at].waiting.iter();
            waiting.filter(|(by, _)| *by == entry).count()
        };
        let is_recent = |time: Instant| self.now < time + SILENCE;
        let reports = |at: usize| self.reports[at].is_some_and(|(time, ..)| is_recent(time));
        if self.reports[at].is_some() && !reports(at) && (0..ENGINES.len()).any(reports) {
            let heard = self.heard.get(&(at, entry)).copied();
            prop_assert!(
                heard.is_some_and(is_recent),
                "a request is sent to a silent engine"
            );
        }
        let running = self.reports[at].map_or(0, |(_, running, _)| running as usize);
        let started = self.engines[at].running.iter();
        let started = started.filter(|r| r.0 == entry).count();
        // As much as of the running ones, and at least as much as of all requests and an equal part.
        let part = (started as f64 / running.max(1) as f64)
            .max(self.part_of_all(entry))
            .clamp(1.0 / ENTRIES as f64, 1.0);
        let free = MOST_IN_SYSTEM.saturating_sub(running);
        let part = (free as f64 * part).ceil() as usize + 1;
        prop_assert!(
            own(at) < part,
            "{} unstarted and another one, at most {part} with {running} running",
            own(at)
        );
        Ok(())
    }
}

fn run_sequences(fault: InjectedFault) -> Result<(), TestError<Vec<Op>>> {
    let mut runner = TestRunner::new(fuzz_config(CASES));
    runner.run(&proptest::collection::vec(op(), 1..150), |ops| {
        let mut world = World::new(fault);
        ops.iter().try_for_each(|op| world.run(op))
    })
}

/// Guards against entries that fill the same free places, and engines that stand still and count as free.
#[test]
fn an_entry_uses_its_part_of_the_free_places() {
    if let Err(err) = run_sequences(InjectedFault::NoFault) {
        panic!("{err}");
    }
}

#[rstest]
#[case::entries_not_counted(InjectedFault::EntriesNotCounted)]
#[case::silent_engine_reported(InjectedFault::SilentEngineReported)]
fn an_injected_fault_in_the_shared_places_is_detected(#[case] fault: InjectedFault) {
    assert!(run_sequences(fault).is_err());
}
