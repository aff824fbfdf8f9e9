//! Scripts that showed a fault, kept so that it does not come back.

use rstest::rstest;

use crate::machine::Step;
use crate::world::World;

/// A resent request that was suspected by another process crashed a third endpoint: the break of a
/// request that ran alone was not counted before the restart was seen.
fn suspect_broke_twice_at_one_entry() -> Vec<Step> {
    vec![
        Step::Send {
            entry: 1,
            class: 0,
            work: 0,
        },
        Step::Resend { class: 0, work: 0 },
        Step::Resend { class: 0, work: 0 },
        Step::Poison { entry: 0, work: 0 },
        Step::Poison { entry: 0, work: 0 },
    ]
}

/// A late copy of a harmful request counted as innocent in the fuzzed world itself, which cleared it.
fn poison_sent_again_before_the_restart() -> Vec<Step> {
    vec![
        Step::Lossy(200, 50),
        Step::Send {
            entry: 2,
            class: 0,
            work: 0,
        },
        Step::CrashEndpoint(1),
        Step::Poison { entry: 1, work: 0 },
        Step::Advance(1_042),
        Step::Poison { entry: 0, work: 0 },
    ]
}

/// An entry echoed the stamp of an agent's earlier process; the new one took it for a contact that
/// lay ahead and served under a generation that was no longer in force.
fn agent_restarted_and_paused() -> Vec<Step> {
    vec![
        Step::KillAgent(0),
        Step::Advance(433),
        Step::PauseAgent(0, 3_001),
        Step::Resend { class: 0, work: 0 },
        Step::Zone(0, false),
        Step::Advance(10),
    ]
}

#[rstest]
#[case::agent_restarted_and_paused(2_077_082_044_385_089_417, agent_restarted_and_paused())]
#[case::sent_again_before_the_restart(
    13_715_628_722_356_043_279,
    poison_sent_again_before_the_restart()
)]
#[case::suspect_broke_twice(10_967_753_743_143_820_059, suspect_broke_twice_at_one_entry())]
fn fault_stays_mended(#[case] seed: u64, #[case] steps: Vec<Step>) {
    let mut world = World::new(seed, None);
    steps.iter().for_each(|step| step.apply(&mut world));
    world.finish();
    world.oracle.check();
}
