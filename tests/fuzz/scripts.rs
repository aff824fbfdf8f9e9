//! Random scripts of requests, faults and configuration changes.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::world::{AGENTS, ENTRIES, World};

/// One step of a script. Durations are in milliseconds.
#[derive(Clone, Debug)]
pub enum Step {
    Advance(u64),
    Send {
        entry: usize,
        class: u8,
        operation: u32,
    },
    /// Sends the operation to every entry.
    Resend {
        class: u8,
        operation: u32,
    },
    /// Sends `BURST` different operations at once, spread over the entries.
    Burst {
        class: u8,
    },
    /// Sends a request that crashes each endpoint that runs it.
    Poison {
        entry: usize,
        operation: u32,
    },
    KillEntry(usize),
    PauseEntry(usize, u64),
    KillAgent(usize),
    PauseAgent(usize, u64),
    CrashEndpoint(usize),
    /// Stops the agent gracefully, then restarts it.
    StopAgent(usize),
    /// Stops the entry gracefully, then restarts it.
    StopEntry(usize),
    StoreOutage(u64),
    /// Drops the replies to that many writes to the object API after they took effect.
    LoseStoreAnswers(u32),
    /// Duration, and the share of messages lost meanwhile in permille.
    Lossy(u64, u32),
    /// Takes the zone out of service, or back in.
    Zone(usize, bool),
    /// Sets the wanted model version.
    Version(u32),
}

impl Step {
    pub fn apply(&self, world: &mut World) {
        match *self {
            Self::Advance(ms) => world.advance(Duration::from_millis(ms)),
            Self::Send {
                entry,
                class,
                operation,
            } => world.send(entry, class_name(class), operation, false),
            Self::Resend { class, operation } => {
                (0..ENTRIES).for_each(|n| world.send(n, class_name(class), operation, false));
            }
            Self::Burst { class } => {
                (0..BURST).for_each(|n| {
                    world.send(n as usize % ENTRIES, class_name(class), 100 + n, false);
                });
            }
            Self::Poison { entry, operation } => {
                world.send(entry, "chat", operation, true);
                world.advance(Duration::from_secs(3));
            }
            Self::KillEntry(n) => world.kill_entry(n),
            Self::PauseEntry(n, ms) => world.pause_entry(n, Duration::from_millis(ms)),
            Self::KillAgent(n) => world.kill_agent(n),
            Self::PauseAgent(n, ms) => world.pause_agent(n, Duration::from_millis(ms)),
            Self::CrashEndpoint(n) => world.crash_endpoint(n),
            Self::StopAgent(n) => {
                world.stop_agent(n);
                world.advance(Duration::from_secs(2));
                world.kill_agent(n);
            }
            Self::StopEntry(n) => world.stop_entry(n),
            Self::StoreOutage(ms) => world.store_outage(Duration::from_millis(ms)),
            Self::LoseStoreAnswers(count) => world.lose_store_answers(count),
            Self::Lossy(ms, permille) => world.lose_messages(Duration::from_millis(ms), permille),
            Self::Zone(zone, out) => world.set_zone(zone, out),
            Self::Version(version) => world.set_version(version),
        }
    }
}

/// Number of requests in a burst.
const BURST: u32 = 14;

fn class_name(class: u8) -> &'static str {
    ["chat", "batch", "booking"][usize::from(class) % 3]
}

/// Generates scripts. The only reference state is the world's seed.
pub struct Script;

impl ReferenceStateMachine for Script {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().no_shrink().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let entry = 0..ENTRIES;
        let agent = 0..AGENTS;
        prop_oneof![
            8 => (10..1_500u64).prop_map(Step::Advance),
            8 => (entry.clone(), 0..3u8, 0..12u32)
                .prop_map(|(entry, class, operation)| Step::Send { entry, class, operation }),
            3 => (0..3u8, 0..12u32)
                .prop_map(|(class, operation)| Step::Resend { class, operation }),
            2 => (0..2u8).prop_map(|class| Step::Burst { class }),
            1 => (entry.clone(), 0..2u32)
                .prop_map(|(entry, operation)| Step::Poison { entry, operation }),
            1 => entry.clone().prop_map(Step::KillEntry),
            1 => (entry.clone(), 100..6_000u64).prop_map(|(n, ms)| Step::PauseEntry(n, ms)),
            1 => entry.prop_map(Step::StopEntry),
            1 => agent.clone().prop_map(Step::KillAgent),
            1 => (agent.clone(), 100..6_000u64).prop_map(|(n, ms)| Step::PauseAgent(n, ms)),
            1 => agent.clone().prop_map(Step::CrashEndpoint),
            1 => agent.prop_map(Step::StopAgent),
            1 => (200..8_000u64).prop_map(Step::StoreOutage),
            1 => (1..4u32).prop_map(Step::LoseStoreAnswers),
            1 => (200..6_000u64, 50..700u32)
                .prop_map(|(ms, permille)| Step::Lossy(ms, permille)),
            1 => (0..2usize, any::<bool>()).prop_map(|(zone, out)| Step::Zone(zone, out)),
            1 => (1..4u32).prop_map(Step::Version),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

/// Runs scripts against the world.
pub struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = World;
    type Reference = Script;

    fn init_test(seed: &u64) -> World {
        World::new(*seed, None)
    }

    fn apply(mut world: World, _: &u64, step: Step) -> World {
        step.apply(&mut world);
        world
    }

    fn check_invariants(world: &World, _: &u64) {
        world.oracle.assert_no_violation();
    }

    fn teardown(mut world: World, _: u64) {
        world.finish();
        world.oracle.assert_no_violation();
    }
}

/// Default number of scripts; `LIMPETLOOM_FUZZ_CASES` overrides it.
const CASES: u32 = 40;

/// Default seed; `LIMPETLOOM_FUZZ_SEED` overrides it.
const SEED: u64 = 20_261_203;

fn from_env<T: std::str::FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

pub fn config() -> Config {
    Config {
        cases: from_env("LIMPETLOOM_FUZZ_CASES", CASES),
        rng_seed: proptest::test_runner::RngSeed::Fixed(from_env("LIMPETLOOM_FUZZ_SEED", SEED)),
        failure_persistence: None,
        max_shrink_iters: 150,
        ..Config::default()
    }
}
