//! Random changes of the weights of a route's targets beside requests that wait, are tried again, go on or are
//! raced, and endpoints that come, go, rest, fill up or change hands.
//!
//! The oracle knows under which configuration each request was admitted. A request that comes after a
//! configuration is in force runs nowhere that only an older one allows.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestError, TestRunner};

use super::fixture::*;
use crate::codes::Code;
use crate::dispatch::*;
use crate::fuzz_config::fuzz_config;

/// Number of generated sequences per run.
const CASES: u32 = 512;
/// Targets of every route; the last one has no endpoint at first.
const TARGETS: [&str; 3] = ["desk", "annex", "depot"];
/// Hosts of the endpoints; the target of each is drawn, and may change.
const HOSTS: u8 = 4;
/// Routes with their kind.
const ROUTES: [(&str, Repeat); 3] = [
    ("look", Repeat::Safe),
    ("hold", Repeat::Never),
    ("feed", Repeat::Resumable),
];

/// Declaration of the route that a sequence is about.
#[derive(Clone, Debug)]
struct Declared {
    /// Weight of each target, `None` for one that the route does not have.
    weights: [Option<u32>; TARGETS.len()],
    has_route: bool,
    has_key: bool,
    /// Targets that are declared.
    is_declared: [bool; TARGETS.len()],
}

#[derive(Clone, Debug)]
enum Op {
    Advance(u16),
    Configure(Declared),
    Restart,
    Admit(usize),
    End(usize, AttemptOutcome),
    FallSilent(usize),
    SilentGoesOn(usize),
    Rest(usize),
    /// An endpoint of a target is listed at a host, in the place of what was there.
    List {
        host: u8,
        target: usize,
        is_leaving: bool,
        is_cold: bool,
        is_far: bool,
    },
    Unlist {
        host: u8,
        after_outage: bool,
    },
    Evacuate(bool),
}

fn declared() -> impl Strategy<Value = Declared> {
    let weight = prop_oneof![
        2 => Just(None),
        3 => Just(Some(0)),
        3 => (1_u32..100).prop_map(Some),
    ];
    let weights = prop::array::uniform3(weight);
    let has_route = prop::bool::weighted(0.85);
    let has_key = prop::bool::weighted(0.85);
    let is_declared = prop::array::uniform3(prop::bool::weighted(0.85));
    (weights, has_route, has_key, is_declared).prop_map(
        |(weights, has_route, has_key, is_declared)| Declared {
            weights,
            has_route,
            has_key,
            is_declared,
        },
    )
}

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop::sample::select(vec![
        AttemptOutcome::Answered,
        AttemptOutcome::Broken,
        AttemptOutcome::Failed,
        AttemptOutcome::NotSent,
        AttemptOutcome::NotRun { is_full: true },
        AttemptOutcome::NotRun { is_full: false },
    ])
}

fn op() -> impl Strategy<Value = Op> {
    let list = (0..HOSTS, 0..TARGETS.len(), prop::bool::weighted(0.2));
    let list = (list, prop::bool::weighted(0.2), prop::bool::weighted(0.3));
    let list = list.prop_map(|((host, target, is_leaving), is_cold, is_far)| Op::List {
        host,
        target,
        is_leaving,
        is_cold,
        is_far,
    });
    prop_oneof![
        3 => (0_u16..400).prop_map(Op::Advance),
        3 => declared().prop_map(Op::Configure),
        1 => Just(Op::Restart),
        8 => (0..ROUTES.len()).prop_map(Op::Admit),
        5 => (0_usize..4, outcome()).prop_map(|(at, end)| Op::End(at, end)),
        2 => (0_usize..4).prop_map(Op::FallSilent),
        1 => (0_usize..4).prop_map(Op::SilentGoesOn),
        1 => (0_usize..4).prop_map(Op::Rest),
        5 => list,
        2 => (0..HOSTS, any::<bool>()).prop_map(|(host, after_outage)| Op::Unlist { host, after_outage }),
        1 => any::<bool>().prop_map(Op::Evacuate),
    ]
}

struct World {
    now: Instant,
    core: Dispatcher,
    /// True when the core is not given new configurations, so that the oracle has to find it.
    is_outdated: bool,
    version: u64,
    declared: Declared,
    /// Target at each host that is listed.
    hosts: BTreeMap<u8, usize>,
    /// Targets that each open request may run at, by the configuration that it came under.
    allowed: BTreeMap<TicketId, BTreeSet<&'static str>>,
    running: BTreeSet<TicketId>,
    silent: BTreeSet<TicketId>,
    incarnation: u64,
}

type Check = Result<(), TestCaseError>;

impl World {
    fn new(is_outdated: bool) -> Self {
        let mut world = Self {
            now: Instant::now(),
            core: empty_core(),
            is_outdated: false,
            version: 0,
            declared: Declared {
                weights: [Some(1), None, None],
                has_route: true,
                has_key: true,
                is_declared: [true; TARGETS.len()],
            },
            hosts: BTreeMap::new(),
            allowed: BTreeMap::new(),
            running: BTreeSet::new(),
            silent: BTreeSet::new(),
            incarnation: 1,
        };
        world.configure();
        world.list(0, 0, false, false, false);
        world.list(1, 1, false, false, false);
        world.is_outdated = is_outdated;
        world
    }

    fn configure(&mut self) {
        self.version += 1;
        if !self.is_outdated {
            let next = Arc::new(self.configuration());
            assert!(self.core.set_configuration(next));
        }
    }

    fn configuration(&self) -> Configuration {
        let declared = &self.declared;
        let named = || TARGETS.into_iter().zip(declared.weights);
        let targets: Vec<_> = named()
            .filter_map(|(id, weight)| Some((id.into(), weight?)))
            .collect();
        let has_route = declared.has_route && !targets.is_empty();
        let routes = ROUTES
            .iter()
            .filter(|_| has_route)
            .map(|(name, repeat)| Route {
                targets: targets.clone(),
                is_stream: *repeat == Repeat::Resumable,
                ..route(name, "desk", *repeat)
            });
        let customers = match declared.has_key {
            true => customers(),
            false => Vec::new(),
        };
        let is_declared = TARGETS.into_iter().zip(declared.is_declared);
        let targets = is_declared.filter(|(_, is)| *is).map(|(id, _)| Target {
            id: id.into(),
            engine: None,
            models: Vec::new(),
            cold_rate: 36.0,
        });
        let limits = configuration(1, Vec::new()).limits;
        let (routes, targets) = (routes.collect(), targets.collect());
        Configuration::new(self.version, routes, Some(customers), targets, limits)
    }

    /// Targets that a request may run at now.
    fn allowed_now(&self) -> BTreeSet<&'static str> {
        let weighted = TARGETS.into_iter().zip(self.declared.weights);
        let weighted = weighted.filter(|(_, weight)| weight.is_some_and(|weight| weight > 0));
        let allowed = weighted.map(|(id, _)| id);
        allowed
            .filter(|_| self.declared.has_route && self.declared.has_key)
            .collect()
    }

    fn list(&mut self, host: u8, target: usize, is_leaving: bool, is_cold: bool, is_far: bool) {
        let region = if is_far { "south" } else { "north" };
        self.incarnation += 1;
        let id = format!("{}-{host}", TARGETS[target]);
        if let Some(before) = self.hosts.insert(host, target)
            && before != target
        {
            let before = format!("{}-{host}", TARGETS[before]);
            self.core.remove_endpoint(self.now, &before, false);
        }
        let entry = ListedEndpoint {
            slots: 2,
            is_leaving,
            cold_left: if is_cold { ms(2_000) } else { Duration::ZERO },
            incarnation: self.incarnation,
            ..listed(&id, TARGETS[target], 40 + host, region)
        };
        self.core.update_endpoint(self.now, entry);
    }

    fn admit(&mut self, route: usize) -> Check {
        let mut req = request(ROUTES[route].0);
        req.fingerprint = self.version;
        let allowed = self.allowed_now();
        match self.core.admit(self.now, &req) {
            Ok(ticket) => {
                prop_assert!(!allowed.is_empty(), "admitted by an older configuration");
                self.allowed.insert(ticket, allowed);
            }
            Err(refusal) => {
                let Declared {
                    has_route, has_key, ..
                } = self.declared;
                let has_route = has_route && self.declared.weights.iter().any(Option::is_some);
                let expected = match refusal.code {
                    Code::UnknownRoute => !has_route,
                    Code::KeyNotHeld => has_route && !has_key,
                    _ => has_route && has_key,
                };
                prop_assert!(expected, "{:?} under {:?}", refusal.code, self.declared);
            }
        }
        Ok(())
    }

    fn nth(tickets: &BTreeSet<TicketId>, at: usize) -> Option<TicketId> {
        tickets.iter().nth(at).copied()
    }

    fn step(&mut self, ticket: TicketId, step: NextStep) {
        self.running.remove(&ticket);
        match step {
            NextStep::Wait => {}
            NextStep::KeepSilent => {
                self.silent.remove(&ticket);
                self.running.insert(ticket);
            }
            NextStep::Finish | NextStep::Refuse(_) => {
                self.silent.remove(&ticket);
                self.allowed.remove(&ticket);
            }
        }
    }

    fn run(&mut self, op: &Op) -> Check {
        match op {
            Op::Advance(millis) => self.now += ms(u64::from(*millis)),
            Op::Configure(declared) => {
                self.declared = declared.clone();
                self.configure();
            }
            Op::Restart => self.restart(),
            Op::Admit(route) => self.admit(*route)?,
            Op::End(at, end) => {
                if let Some(ticket) = Self::nth(&self.running, *at) {
                    let step = self.core.attempt_ended(self.now, ticket, *end);
                    self.step(ticket, step);
                }
            }
            Op::FallSilent(at) => {
                if let Some(ticket) = Self::nth(&self.running, *at)
                    && self.core.attempt_silent(self.now, ticket).is_ok()
                {
                    self.running.remove(&ticket);
                    self.silent.insert(ticket);
                }
            }
            Op::SilentGoesOn(at) => {
                if let Some(ticket) = Self::nth(&self.silent, *at) {
                    self.core.silent_attempt_resumed(self.now, ticket);
                    self.silent.remove(&ticket);
                    self.running.insert(ticket);
                }
            }
            Op::Rest(at) => {
                if let Some(ticket) = Self::nth(&self.running, *at) {
                    let statement = Statement {
                        rest: RestStatement::For(ms(1_000)),
                        ..Statement::default()
                    };
                    self.core.record_statement(self.now, ticket, &statement);
                }
            }
            Op::List {
                host,
                target,
                is_leaving,
                is_cold,
                is_far,
            } => {
                self.list(*host, *target, *is_leaving, *is_cold, *is_far);
            }
            Op::Unlist { host, after_outage } => {
                if let Some(target) = self.hosts.remove(host) {
                    let id = format!("{}-{host}", TARGETS[target]);
                    self.core.remove_endpoint(self.now, &id, *after_outage);
                }
            }
            Op::Evacuate(is_out) => {
                let zones = ["north-a"].map(Into::into).into_iter();
                self.core
                    .set_evacuated_zones(zones.filter(|_| *is_out).collect());
            }
        }
        self.dispatch()
    }

    /// A new process reads the newest configuration and lists the endpoints.
    fn restart(&mut self) {
        self.core = empty_core();
        let next = Arc::new(self.configuration());
        self.core.set_configuration(next);
        self.allowed.clear();
        self.running.clear();
        self.silent.clear();
        for (host, target) in self.hosts.clone() {
            self.list(host, target, false, false, false);
        }
    }

    fn dispatch(&mut self) -> Check {
        for (ticket, decision) in self.core.dispatch_waiting(self.now) {
            match decision {
                Decision::Send(assignment) => {
                    let endpoint = self.core.fleet().get(&assignment.endpoint);
                    let target = endpoint.map(|e| e.listed.target.to_string());
                    let allowed = &self.allowed[&ticket];
                    let is_allowed = target.as_deref().is_some_and(|t| allowed.contains(t));
                    prop_assert!(is_allowed, "sent to {:?}, allowed {:?}", target, allowed);
                    self.running.insert(ticket);
                }
                Decision::KeepSilent(..) => {
                    self.silent.remove(&ticket);
                    self.running.insert(ticket);
                }
                Decision::Refuse(..) => {
                    self.silent.remove(&ticket);
                    self.allowed.remove(&ticket);
                }
            }
        }
        Ok(())
    }
}

fn fuzz(is_outdated: bool) -> Result<(), TestError<Vec<Op>>> {
    let mut runner = TestRunner::new(fuzz_config(CASES));
    let ops = prop::collection::vec(op(), 1..120);
    runner.run(&ops, |ops| {
        let mut world = World::new(is_outdated);
        ops.iter().try_for_each(|op| world.run(op))
    })
}

// Guards against requests that run at a target whose weight is 0, or by a route or a key that is gone.
#[test]
fn requests_run_only_where_the_configuration_they_came_under_allows() {
    if let Err(err) = fuzz(false) {
        panic!("{err}");
    }
}

#[test]
fn a_configuration_that_is_not_applied_is_found() {
    let found = fuzz(true);
    assert!(matches!(found, Err(TestError::Fail(..))), "{found:?}");
}
