//! Random histories against an oracle that knows what really happened.
//!
//! Operations reach the core and the oracle alike; a planted fault keeps one of them from the core,
//! and the oracle has to notice.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestError, TestRunner};
use rstest::rstest;

use super::fixture::*;
use crate::codes::RunState;
use crate::dispatch::*;

/// Cases of one run.
const CASES: u32 = 256;
const HOSTS: [(&str, &str, u8, &str); 5] = [
    ("e1", "engines", 1, "north"),
    ("e2", "engines", 2, "north"),
    ("e3", "engines", 3, "south"),
    ("d1", "desk", 11, "north"),
    ("d2", "desk", 12, "south"),
];
const ROUTES: [&str; 3] = ["chat", "look", "hold"];

#[derive(Clone, Debug)]
enum Op {
    Wait(u16),
    Admit(usize, bool),
    End(usize, AttemptOutcome),
    Start(usize),
    Leave(usize),
    Join(usize),
    Evacuate(bool),
    Load(usize, u32, u64),
    Name(u64),
    Declare(u64),
}

fn end() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        4 => Just(AttemptOutcome::Answered),
        1 => Just(AttemptOutcome::Failed),
        2 => Just(AttemptOutcome::NotRun { is_full: true }),
        1 => Just(AttemptOutcome::NotRun { is_full: false }),
        2 => Just(AttemptOutcome::NotSent),
        2 => Just(AttemptOutcome::Broken),
        1 => Just(AttemptOutcome::Silent),
        1 => Just(AttemptOutcome::CallerGone),
        1 => Just(AttemptOutcome::TimedOut),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0u16..400).prop_map(Op::Wait),
        6 => (0usize..3, any::<bool>()).prop_map(|(route, homely)| Op::Admit(route, homely)),
        6 => (0usize..8, end()).prop_map(|(at, end)| Op::End(at, end)),
        2 => (0usize..8).prop_map(Op::Start),
        1 => (0usize..5).prop_map(Op::Leave),
        2 => (0usize..5).prop_map(Op::Join),
        1 => any::<bool>().prop_map(Op::Evacuate),
        3 => (0usize..3, 0u32..30, 1u64..4).prop_map(|(host, n, v)| Op::Load(host, n, v)),
        1 => (1u64..4).prop_map(Op::Name),
        1 => (1u64..9).prop_map(Op::Declare),
    ]
}

/// What is kept from the core.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Planted {
    Nothing,
    /// Broken attempts are called not run.
    BrokenAsUnrun,
    LeavesUntold,
    EvacuationsUntold,
    VersionsUntold,
    /// Configurations are told without the rule that older ones are dropped.
    OlderStates,
}

#[derive(Clone, Debug)]
struct Known {
    route: usize,
    homely: bool,
    /// Endpoints that it arrived at.
    arrived: u32,
    may_have_run: bool,
    /// Endpoint that has it now.
    at: Option<usize>,
}

struct World {
    now: Instant,
    start: Instant,
    core: Dispatcher,
    planted: Planted,
    tickets: BTreeMap<TicketId, Known>,
    leaving: BTreeSet<usize>,
    evacuated: bool,
    /// Version of each engine, as its last report said.
    versions: [u64; 3],
    named: BTreeMap<u64, Instant>,
    configuration: u64,
    /// Requests and repeats of the desk and of the engines.
    counts: [(u32, u32); 2],
}

type Check = Result<(), TestCaseError>;

impl World {
    fn new(planted: Planted) -> Self {
        let now = Instant::now();
        Self {
            now,
            start: now,
            core: core(now),
            planted,
            tickets: BTreeMap::new(),
            leaving: BTreeSet::new(),
            evacuated: false,
            versions: [1; 3],
            named: BTreeMap::new(),
            configuration: 1,
            counts: [(0, 0); 2],
        }
        .joined()
    }

    fn joined(mut self) -> Self {
        (0..HOSTS.len()).for_each(|host| self.join(host));
        self
    }

    fn join(&mut self, host: usize) {
        let (id, target, at, region) = HOSTS[host];
        self.leaving.remove(&host);
        let mut entry = listed(id, target, at, region);
        if let Some(version) = self.versions.get(host) {
            entry.models = vec![(MODEL.into(), *version)];
        }
        self.core.update_endpoint(self.now, entry);
    }

    fn run(&mut self, op: &Op) -> Check {
        match op {
            Op::Wait(millis) => self.now += Duration::from_millis(u64::from(*millis)),
            Op::Admit(route, homely) => self.admit(*route, *homely)?,
            Op::End(at, end) => self.end(*at, *end)?,
            Op::Start(at) => {
                if let Some(ticket) = self.running(*at) {
                    let host = self.tickets[&ticket].at.unwrap_or(0);
                    let version = self.versions.get(host).copied();
                    self.core.attempt_started(self.now, ticket, version);
                }
            }
            Op::Leave(host) => {
                self.leaving.insert(*host);
                if self.planted != Planted::LeavesUntold {
                    let (id, target, at, region) = HOSTS[*host];
                    let mut entry = listed(id, target, at, region);
                    entry.is_leaving = true;
                    self.core.update_endpoint(self.now, entry);
                }
            }
            Op::Join(host) => self.join(*host),
            Op::Evacuate(out) => {
                self.evacuated = *out;
                if self.planted != Planted::EvacuationsUntold {
                    let zones = out.then(|| "north-a".into());
                    self.core.set_evacuated_zones(zones.into_iter().collect());
                }
            }
            Op::Load(host, running, version) => {
                self.versions[*host] = *version;
                let mut load = load(*running);
                load.models = vec![(MODEL.into(), *version)];
                self.core.update_load(self.now, ip(HOSTS[*host].2), load);
            }
            Op::Name(version) => {
                let newer = self.named.keys().next_back().is_none_or(|v| v < version);
                if newer {
                    self.named.insert(*version, self.now);
                    if self.planted != Planted::VersionsUntold {
                        self.core.announce_version(MODEL, *version, Some(self.now));
                    }
                }
            }
            Op::Declare(version) => {
                if self.planted == Planted::OlderStates && *version < self.configuration {
                    let older = Arc::new(configuration(*version, routes()));
                    // A core that starts again from a stale copy.
                    self.core = core(self.now);
                    self.core.set_configuration(older);
                } else {
                    self.core
                        .set_configuration(Arc::new(configuration(*version, routes())));
                }
                self.configuration = self.configuration.max(*version);
                let in_force = self
                    .core
                    .configuration()
                    .map(|configuration| configuration.version);
                prop_assert_eq!(
                    in_force,
                    Some(self.configuration),
                    "an older state is in force"
                );
            }
        }
        self.dispatch_waiting()
    }

    fn running(&self, at: usize) -> Option<TicketId> {
        let running = self.tickets.iter().filter(|(_, known)| known.at.is_some());
        running.map(|(ticket, _)| *ticket).nth(at)
    }

    fn admit(&mut self, route: usize, homely: bool) -> Check {
        let key = if homely { "key-2" } else { "key-1" };
        let req = CallerRequest {
            key: Some(key.into()),
            // Each request is another, so that quarantine does not end the history.
            fingerprint: self.now.duration_since(self.start).as_nanos() as u64
                ^ (self.tickets.len() as u64) << 40,
            ..request(ROUTES[route])
        };
        if let Ok(ticket) = self.core.admit(self.now, &req) {
            self.counts[usize::from(route == 0)].0 += 1;
            let known = Known {
                route,
                homely,
                arrived: 0,
                may_have_run: false,
                at: None,
            };
            self.tickets.insert(ticket, known);
        }
        Ok(())
    }

    fn end(&mut self, at: usize, end: AttemptOutcome) -> Check {
        let Some(ticket) = self.running(at) else {
            return Ok(());
        };
        let Some(known) = self.tickets.get_mut(&ticket) else {
            return Ok(());
        };
        known.at = None;
        match end {
            AttemptOutcome::NotSent => known.arrived -= 1,
            AttemptOutcome::NotRun { .. } => {}
            _ => known.may_have_run = true,
        }
        let told = match (self.planted, end) {
            (Planted::BrokenAsUnrun, AttemptOutcome::Broken) => {
                AttemptOutcome::NotRun { is_full: true }
            }
            _ => end,
        };
        match self.core.attempt_ended(self.now, ticket, told) {
            NextStep::Wait => Ok(()),
            NextStep::Finish => {
                self.tickets.remove(&ticket);
                Ok(())
            }
            NextStep::Refuse(refusal) => self.refused(ticket, refusal.code.run_state()),
        }
    }

    fn refused(&mut self, ticket: TicketId, run: RunState) -> Check {
        let known = self.tickets.remove(&ticket);
        let ran = known.is_some_and(|known| known.may_have_run);
        prop_assert!(!ran || run != RunState::NotRun, "a run is called not run");
        Ok(())
    }

    fn dispatch_waiting(&mut self) -> Check {
        for (ticket, placing) in self.core.dispatch_waiting(self.now) {
            match placing {
                Decision::Refuse(refusal, _) => self.refused(ticket, refusal.code.run_state())?,
                Decision::Send(lease) => self.sent(ticket, &lease)?,
            }
        }
        Ok(())
    }

    fn sent(&mut self, ticket: TicketId, lease: &Assignment) -> Check {
        let host = HOSTS.iter().position(|host| host.0 == &*lease.endpoint);
        let host = host.unwrap_or(usize::MAX);
        let Some(known) = self.tickets.get_mut(&ticket) else {
            return Ok(());
        };
        let (_, target, _, region) = HOSTS[host];
        let is_chat = known.route == 0;
        prop_assert_eq!(target == "engines", is_chat, "another service");
        prop_assert!(!self.leaving.contains(&host), "a leaving endpoint");
        prop_assert!(!(self.evacuated && region == "north"), "an evacuated zone");
        prop_assert!(!known.homely || region == "south", "outside its region");
        let repeatable = ROUTES[known.route] != "hold";
        prop_assert!(repeatable || !known.may_have_run, "a second run");
        prop_assert!(known.arrived < 2, "more endpoints than allowed");
        if is_chat {
            let overdue = self
                .named
                .iter()
                .filter(|(_, at)| self.now.duration_since(**at) >= ms(7_000))
                .map(|(version, _)| *version)
                .max();
            let version = self.versions[host];
            prop_assert!(overdue.is_none_or(|v| version >= v), "an overdue version");
        }
        if known.arrived > 0 {
            self.counts[usize::from(is_chat)].1 += 1;
        }
        known.arrived += 1;
        known.at = Some(host);
        Ok(())
    }

    /// Lets everything end, and checks that nothing is left behind.
    fn finish(&mut self) -> Check {
        self.now += ms(3_000);
        self.dispatch_waiting()?;
        let waiting = self.tickets.values().filter(|known| known.at.is_none());
        prop_assert_eq!(waiting.count(), 0, "a request waits for ever");
        while let Some(ticket) = self.running(0) {
            self.tickets.remove(&ticket);
            self.core.finish(self.now, ticket);
        }
        let left = self.core.snapshot(self.now);
        prop_assert_eq!((left.requests, left.waiting), (0, 0));
        prop_assert!(left.endpoints.iter().all(|e| e.own == 0), "places are lost");
        for (requests, repeats) in self.counts {
            let bound = 0.2 * f64::from(requests) + 100.0;
            prop_assert!(f64::from(repeats) <= bound, "the retry budget");
        }
        Ok(())
    }
}

fn history(planted: Planted) -> Result<(), TestError<Vec<Op>>> {
    let config = ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new(config);
    runner.run(&proptest::collection::vec(op(), 1..250), |ops| {
        let mut world = World::new(planted);
        ops.iter().try_for_each(|op| world.run(op))?;
        world.finish()
    })
}

#[test]
fn random_histories_keep_every_promise() {
    if let Err(err) = history(Planted::Nothing) {
        panic!("{err}");
    }
}

#[rstest]
#[case::broken_as_unrun(Planted::BrokenAsUnrun)]
#[case::leaves_untold(Planted::LeavesUntold)]
#[case::evacuations_untold(Planted::EvacuationsUntold)]
#[case::versions_untold(Planted::VersionsUntold)]
#[case::older_states(Planted::OlderStates)]
fn a_planted_fault_is_caught(#[case] planted: Planted) {
    assert!(history(planted).is_err());
}
