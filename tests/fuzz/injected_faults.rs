//! Injected faults that prove that the checks of the invariants can fail.

use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use rstest::rstest;

use crate::oracle::Invariant;
use crate::scripts::{Script, Step};
use crate::world::World;

/// Maximum number of scripts tried until one violates the invariant.
const SCRIPTS: u64 = 60;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Agents never receive a newer configuration; syncs and offers carry the generation they hold.
    StaleConfig,
    /// Configurations reach the entries without their zones that are out.
    OldZones,
    /// An agent's offers that should queue are admitted at once.
    NoQueue,
    /// An entry stops without waiting for its requests.
    EarlyStop,
    /// Offers that an agent refuses run nevertheless, unless the code leaves open whether they ran.
    NoFence,
    /// The object API ignores the version condition of writes, so claims overwrite each other.
    NoCondition,
    /// A refusal whose run state is unknown is reported as a refusal that is known not to have run.
    FalseNotRun,
    /// The engine answers with another version than the attempt is pinned to.
    MixedVersion,
    /// The stored answer of a key is that of another operation.
    CrossedAnswers,
    /// Power grants are tripled on the way to agents.
    LargeGrants,
    /// Processes do not share their quarantine lists.
    NoQuarantine,
}

/// Whether one of the scripts violates the invariant under the fault.
fn is_caught(fault: Option<Fault>, invariant: Invariant) -> bool {
    let mut runner = TestRunner::deterministic();
    (0..SCRIPTS).any(|seed| {
        let tree = Script::sequential_strategy(30..60).new_tree(&mut runner);
        let (_, steps, _) = tree.expect("the strategy generates a script").current();
        violates(seed, fault, &steps, invariant)
    })
}

fn violates(seed: u64, fault: Option<Fault>, steps: &[Step], invariant: Invariant) -> bool {
    let mut world = World::new(seed, fault);
    steps.iter().for_each(|step| step.apply(&mut world));
    world.finish();
    let mut violations = world.oracle.violations.iter();
    violations.any(|violation| violation.invariant == invariant)
}

#[rstest]
#[case::in_force(Fault::StaleConfig, Invariant::InForce)]
#[case::zone_out(Fault::OldZones, Invariant::ZoneOut)]
#[case::cold_limit(Fault::NoQueue, Invariant::ColdLimit)]
#[case::no_admission_while_leaving(Fault::NoFence, Invariant::NoAdmissionWhileLeaving)]
#[case::graceful_stop(Fault::EarlyStop, Invariant::GracefulStop)]
#[case::at_most_once(Fault::NoCondition, Invariant::AtMostOnce)]
#[case::not_run_never_runs(Fault::FalseNotRun, Invariant::NotRunNeverRuns)]
#[case::one_version(Fault::MixedVersion, Invariant::OneVersion)]
#[case::own_answer(Fault::CrossedAnswers, Invariant::OwnAnswer)]
#[case::power_cap(Fault::LargeGrants, Invariant::PowerCap)]
#[case::poison_quarantine(Fault::NoQuarantine, Invariant::PoisonQuarantine)]
fn injected_fault_violates_its_invariant(#[case] fault: Fault, #[case] invariant: Invariant) {
    assert!(
        is_caught(Some(fault), invariant),
        "no script violated {invariant:?} under {fault:?}"
    );
}
