//! Faults that are planted to see that each promise's check finds them.

use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use rstest::rstest;

use crate::machine::{Script, Step};
use crate::oracle::Promise;
use crate::world::World;

/// Scripts that are tried until the fault is found.
const SCRIPTS: u64 = 60;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Agents never learn of a newer configuration and are told that theirs is in force.
    StaleConfig,
    /// Configurations lose the zones that are out.
    OldZones,
    /// Work that should wait is passed on at once.
    NoQueue,
    /// An entry ends without waiting for its requests.
    EarlyStop,
    /// Agents pass on what they refuse.
    NoFence,
    /// Claims overwrite each other.
    NoCondition,
    /// A broken attempt is reported as refused.
    FalseNotRun,
    /// The engine answers under another version than the one pinned.
    MixedVersion,
    /// Stored answers belong to another operation.
    CrossedAnswers,
    /// Shares of power are tripled on their way to agents.
    LargeGrants,
    /// Crashes are not shared between processes.
    NoQuarantine,
}

/// True when some script shows the violation under the fault.
fn is_caught(fault: Option<Fault>, promise: Promise) -> bool {
    let mut runner = TestRunner::deterministic();
    (0..SCRIPTS).any(|seed| {
        let tree = Script::sequential_strategy(30..60).new_tree(&mut runner);
        let (_, steps, _) = tree.expect("a script").current();
        violates(seed, fault, &steps, promise)
    })
}

fn violates(seed: u64, fault: Option<Fault>, steps: &[Step], promise: Promise) -> bool {
    let mut world = World::new(seed, fault);
    steps.iter().for_each(|step| step.apply(&mut world));
    world.finish();
    let mut violations = world.oracle.violations.iter();
    violations.any(|violation| violation.promise == promise)
}

#[rstest]
#[case::in_force(Fault::StaleConfig, Promise::InForce)]
#[case::zone_out(Fault::OldZones, Promise::ZoneOut)]
#[case::cold_bound(Fault::NoQueue, Promise::ColdBound)]
#[case::leaving(Fault::NoFence, Promise::Leaving)]
#[case::graceful_stop(Fault::EarlyStop, Promise::GracefulStop)]
#[case::at_most_once(Fault::NoCondition, Promise::AtMostOnce)]
#[case::not_run_is_true(Fault::FalseNotRun, Promise::NotRunIsTrue)]
#[case::one_version(Fault::MixedVersion, Promise::OneVersion)]
#[case::own_answer(Fault::CrossedAnswers, Promise::OwnAnswer)]
#[case::power_cap(Fault::LargeGrants, Promise::PowerCap)]
#[case::poison(Fault::NoQuarantine, Promise::Poison)]
fn planted_fault_is_caught(#[case] fault: Fault, #[case] promise: Promise) {
    assert!(
        is_caught(Some(fault), promise),
        "{fault:?} not seen as {promise:?}"
    );
}
