//! Regression tests: scripts that once violated an invariant.

use rstest::rstest;

use crate::scripts::Step;
use crate::world::World;

/// A request that another process already suspected of crashing endpoints was sent again and
/// crashed a third one. A suspect runs alone, so the break of its attempt is enough to count a
/// crash, but the crash was counted only after the endpoint's restart was seen.
fn suspect_crashed_two_endpoints_via_one_entry() -> Vec<Step> {
    vec![
        Step::Send {
            entry: 1,
            class: 0,
            operation: 0,
        },
        Step::Resend {
            class: 0,
            operation: 0,
        },
        Step::Resend {
            class: 0,
            operation: 0,
        },
        Step::Poison {
            entry: 0,
            operation: 0,
        },
        Step::Poison {
            entry: 0,
            operation: 0,
        },
    ]
}

/// The simulation treated a delayed copy of a poison request (one that crashes each endpoint that
/// runs it) as harmless, which cleared the suspicion. The fault was in the simulation only.
fn poison_resent_before_the_endpoint_restarted() -> Vec<Step> {
    vec![
        Step::Lossy(200, 50),
        Step::Send {
            entry: 2,
            class: 0,
            operation: 0,
        },
        Step::CrashEndpoint(1),
        Step::Poison {
            entry: 1,
            operation: 0,
        },
        Step::Advance(1_042),
        Step::Poison {
            entry: 0,
            operation: 0,
        },
    ]
}

/// An entry echoed a clock stamp of the agent's previous incarnation. The new incarnation took it
/// for one of its own, dated the last contact with the object API in the future, and so served
/// under a generation that was no longer in force.
fn agent_restarted_and_paused() -> Vec<Step> {
    vec![
        Step::KillAgent(0),
        Step::Advance(433),
        Step::PauseAgent(0, 3_001),
        Step::Resend {
            class: 0,
            operation: 0,
        },
        Step::Zone(0, false),
        Step::Advance(10),
    ]
}

#[rstest]
#[case::agent_restarted_and_paused(2_077_082_044_385_089_417, agent_restarted_and_paused())]
#[case::poison_resent_before_the_endpoint_restarted(
    13_715_628_722_356_043_279,
    poison_resent_before_the_endpoint_restarted()
)]
#[case::suspect_crashed_two_endpoints(
    10_967_753_743_143_820_059,
    suspect_crashed_two_endpoints_via_one_entry()
)]
fn known_script_violates_no_invariant(#[case] seed: u64, #[case] steps: Vec<Step>) {
    let mut world = World::new(seed, None);
    steps.iter().for_each(|step| step.apply(&mut world));
    world.finish();
    world.oracle.assert_no_violation();
}
