//! Random worlds of entries that share an endpoint with a limit, checked against an oracle that counts
//! what arrives there.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestError, TestRunner};
use rstest::rstest;

use super::fixture::*;
use crate::dispatch::*;
use crate::fuzz_config::fuzz_config;

/// Number of generated histories per run.
const CASES: u32 = 192;
const MAX_ENTRIES: usize = 6;
/// Endpoint that names a limit; the other one of the service names none.
const LIMITED: &str = "d1";

/// Sliding window in which requests are counted.
const WINDOW: Duration = ms(4_000);
/// Time after the endpoint began to name a limit from which the window counts.
const CONTACT_TIME: Duration = ms(3_000);
/// Time after an entry passed such an answer on from which its requests count.
const TOLD_TIME: Duration = ms(500);
/// Share by which requests may exceed the limit, and number of requests that may come beyond that.
const TOLERANCE: (f64, f64) = (1.5, 5.0);
/// Time within which the agents know which entries run.
const COUNT_INTERVAL: Duration = ms(800);

/// Time that an answer takes at the endpoint with the limit and at the other one, so that entries
/// prefer the first.
const WORK_TIMES: (Duration, Duration) = (ms(30), ms(40));

/// Operation of a history; entries are given by index.
#[derive(Clone, Debug)]
enum Op {
    Advance(u16),
    /// An entry gets so many requests at once.
    Requests(usize, u8),
    /// The endpoint names another limit, or none.
    Name(Option<f64>),
    /// The endpoint names nothing in its next answers, so many of them.
    Omit(u8),
    /// The endpoint's next answers, so many of them, arrive late: they say what it said before the
    /// last change.
    Delay(u8),
    Start(usize),
    Stop(usize),
    /// An entry stands still for so many milliseconds.
    Freeze(usize, u16),
}

fn op() -> impl Strategy<Value = Op> {
    let entry = 0..MAX_ENTRIES;
    let limit = prop_oneof![
        1 => Just(None),
        1 => prop_oneof![Just(0.0), Just(-2.0)].prop_map(Some),
        4 => (0.3..30.0).prop_map(Some),
    ];
    prop_oneof![
        8 => (0u16..600).prop_map(Op::Advance),
        12 => (entry.clone(), 1u8..14).prop_map(|(at, count)| Op::Requests(at, count)),
        1 => limit.prop_map(Op::Name),
        1 => (1u8..4).prop_map(Op::Omit),
        1 => (1u8..4).prop_map(Op::Delay),
        1 => entry.clone().prop_map(Op::Start),
        1 => entry.clone().prop_map(Op::Stop),
        1 => (entry, 100u16..4_000).prop_map(|(at, millis)| Op::Freeze(at, millis)),
    ]
}

/// How the entries deviate from what they should do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InjectedFault {
    NoFault,
    /// They do not read what the endpoint says.
    StatementsNotRead,
    /// Each of them takes the whole limit for its part.
    LimitNotShared,
    /// They do not hear that the endpoint names no limit any more.
    EndNotRead,
}

struct Entry {
    core: Dispatcher,
    /// Time since which all answers that it passed on have named the limit of now.
    told: Option<Instant>,
    frozen_until: Instant,
}

struct World {
    now: Instant,
    entries: [Option<Entry>; MAX_ENTRIES],
    fault: InjectedFault,
    limit: Option<f64>,
    earlier_limit: Option<f64>,
    /// Time since which the endpoint names `limit`.
    named: Instant,
    omitted: u8,
    delayed: u8,
    counted: Instant,
    /// Requests that arrived at the endpoint and count, oldest first, with the entry.
    arrivals: VecDeque<(Instant, usize)>,
    started: u64,
}

type Check = Result<(), TestCaseError>;

impl World {
    fn new(fault: InjectedFault) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            entries: std::array::from_fn(|_| None),
            fault,
            limit: None,
            earlier_limit: None,
            named: now,
            omitted: 0,
            delayed: 0,
            counted: now,
            arrivals: VecDeque::new(),
            started: 0,
        };
        (0..4).for_each(|at| world.start(at));
        world.count_entries();
        world
    }

    fn run(&mut self, op: &Op) -> Check {
        match op {
            Op::Advance(millis) => self.advance(ms((*millis).into())),
            Op::Requests(at, count) => return (0..*count).try_for_each(|_| self.request(*at)),
            Op::Name(limit) => self.name(*limit),
            Op::Omit(count) => self.omitted = *count,
            Op::Delay(count) => self.delayed = *count,
            Op::Start(at) => self.start(*at),
            Op::Stop(at) => {
                self.entries[*at] = None;
                self.excuse(*at);
            }
            Op::Freeze(at, millis) => {
                let until = self.now + ms((*millis).into());
                if let Some(entry) = &mut self.entries[*at] {
                    entry.frozen_until = entry.frozen_until.max(until);
                    self.excuse(*at);
                }
            }
        }
        Ok(())
    }

    /// Requests of an entry do not count that stopped or stood still.
    fn excuse(&mut self, at: usize) {
        self.arrivals.retain(|(_, entry)| *entry != at);
    }

    fn name(&mut self, limit: Option<f64>) {
        if self.limit == limit {
            return;
        }
        self.earlier_limit = std::mem::replace(&mut self.limit, limit);
        self.named = self.now;
        self.arrivals.clear();
        self.entries.iter_mut().flatten().for_each(|entry| {
            entry.told = None;
        });
    }

    fn start(&mut self, at: usize) {
        if self.entries[at].is_some() {
            return;
        }
        self.started += 1;
        let mut core = core_with_seed(self.now, self.started);
        core.set_entry_count(self.now, 4);
        self.entries[at] = Some(Entry {
            core,
            told: None,
            frozen_until: self.now,
        });
    }

    fn advance(&mut self, by: Duration) {
        self.now += by;
        if self.now.duration_since(self.counted) >= COUNT_INTERVAL {
            self.count_entries();
        }
    }

    /// The agents tell the entries how many run.
    fn count_entries(&mut self) {
        self.counted = self.now;
        let now = self.now;
        let running = self.entries.iter().flatten();
        let count = running.filter(|entry| entry.frozen_until <= now).count();
        let count = match self.fault {
            InjectedFault::LimitNotShared => 1,
            _ => count as u32,
        };
        for entry in self.entries.iter_mut().flatten() {
            if entry.frozen_until <= now {
                entry.core.set_entry_count(now, count);
            }
        }
    }

    /// Sends a request through an entry. It is answered at once.
    fn request(&mut self, at: usize) -> Check {
        let now = self.now;
        let Some(entry) = &mut self.entries[at] else {
            return Ok(());
        };
        if entry.frozen_until > now {
            return Ok(());
        }
        let ticket = entry.core.admit(now, &request("look")).unwrap();
        let Some(Decision::Send(assignment)) = decide(&mut entry.core, now, ticket) else {
            return Err(TestCaseError::fail("a request is not sent at once"));
        };
        if &*assignment.endpoint == LIMITED {
            let has_heard = entry.told.is_some_and(|told| now - told >= TOLD_TIME);
            if has_heard {
                self.arrivals.push_back((now, at));
            }
            let said = match () {
                () if self.delayed > 0 => {
                    self.delayed -= 1;
                    entry.told = None;
                    self.earlier_limit
                }
                () if self.omitted > 0 => {
                    self.omitted -= 1;
                    entry.told = None;
                    None
                }
                () => {
                    entry.told = entry.told.or(self.limit.map(|_| now));
                    self.limit
                }
            };
            let statement = Statement {
                limit: said.map_or(LimitStatement::Unlimited, LimitStatement::Rate),
                ..Default::default()
            };
            let is_read = match self.fault {
                InjectedFault::StatementsNotRead => false,
                InjectedFault::EndNotRead => said.is_some(),
                _ => true,
            };
            if is_read {
                entry.core.record_statement(now, ticket, &statement);
            }
        }
        let work_time = match &*assignment.endpoint {
            LIMITED => WORK_TIMES.0,
            _ => WORK_TIMES.1,
        };
        entry
            .core
            .attempt_ended(now + work_time, ticket, AttemptOutcome::Answered);
        self.check_window()
    }

    fn check_window(&mut self) -> Check {
        let Some(limit) = self.limit else {
            return Ok(());
        };
        let counts_from = (self.now - WINDOW).max(self.named + CONTACT_TIME);
        while self
            .arrivals
            .front()
            .is_some_and(|(at, _)| *at < counts_from)
        {
            self.arrivals.pop_front();
        }
        let seconds = WINDOW.as_secs_f64();
        let allowed = TOLERANCE.0 * limit.max(0.0) * seconds + TOLERANCE.1;
        let count = self.arrivals.len();
        prop_assert!(count as f64 <= allowed, "{} of {} allowed", count, allowed);
        Ok(())
    }

    /// Steady load on all entries; returns how many requests the endpoint with the limit got that count.
    fn steady(&mut self, seconds: u64) -> Result<usize, TestCaseError> {
        let mut count = 0;
        for _ in 0..seconds * 8 {
            self.advance(ms(125));
            for at in 0..MAX_ENTRIES {
                let before = self.arrivals.back().copied();
                self.request(at)?;
                count += usize::from(self.arrivals.back().copied() != before);
            }
        }
        Ok(count)
    }

    /// The limit is used under steady load, and lifted when the endpoint names it no more.
    fn check_end(&mut self) -> Check {
        (0..MAX_ENTRIES).for_each(|at| self.start(at));
        self.omitted = 0;
        self.delayed = 0;
        self.name(Some(3.0));
        // An entry that has heard a limit of zero has a turn each 35 s.
        let is_told = |world: &Self| {
            let mut entries = world.entries.iter().flatten();
            entries.all(|entry| entry.told.is_some())
        };
        for _ in 0..2 {
            self.steady(20)?;
            if is_told(self) {
                break;
            }
        }
        prop_assert!(is_told(self), "an entry hears no answer");
        let count = self.steady(20)?;
        // A third of what it takes: part of it may belong to entries that stand still.
        prop_assert!(count >= 20, "the endpoint gets {} of 60 requests", count);
        self.name(None);
        self.steady(20)?;
        for entry in self.entries.iter().flatten() {
            let endpoints = entry.core.snapshot(self.now).endpoints;
            let limited = endpoints.iter().find(|e| &*e.id == LIMITED).unwrap();
            prop_assert!(limited.limit.is_none(), "the limit is not lifted");
        }
        Ok(())
    }
}

fn run_histories(fault: InjectedFault) -> Result<(), TestError<Vec<Op>>> {
    let mut runner = TestRunner::new(fuzz_config(CASES));
    runner.run(&proptest::collection::vec(op(), 1..200), |ops| {
        let mut world = World::new(fault);
        for op in &ops {
            world.run(op)?;
        }
        world.check_end()
    })
}

#[test]
fn random_histories_violate_no_invariant() {
    if let Err(err) = run_histories(InjectedFault::NoFault) {
        panic!("{err}");
    }
}

#[rstest]
#[case::statements_not_read(InjectedFault::StatementsNotRead, "allowed")]
#[case::limit_not_shared(InjectedFault::LimitNotShared, "allowed")]
#[case::end_not_read(InjectedFault::EndNotRead, "the limit is not lifted")]
fn an_injected_fault_is_detected(#[case] fault: InjectedFault, #[case] message: &str) {
    let err = run_histories(fault).unwrap_err().to_string();
    assert!(err.contains(message), "{err}");
}
