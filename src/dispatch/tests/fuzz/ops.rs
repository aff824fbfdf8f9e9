//! Operations of a sequence.

use proptest::prelude::*;

use crate::dispatch::tests::fixture::{configuration, customers, routes};
use crate::dispatch::{AttemptOutcome, Configuration, Target};

/// Number of variants of a configuration.
const VARIANTS: u8 = 8;

/// A configuration; each bit of `variant` drops something that admitted requests may need: the routes,
/// the customers' keys, and the targets.
pub(super) fn configuration_variant(version: u64, variant: u8) -> Configuration {
    let has = |bit: u8| variant & bit == 0;
    let all = configuration(version, Vec::new());
    let targets = all.targets.values().filter(|_| has(4));
    Configuration::new(
        version,
        routes().into_iter().filter(|_| has(1)).collect(),
        Some(customers().into_iter().filter(|_| has(2)).collect()),
        targets.map(|target| Target::clone(target)).collect(),
        all.limits,
    )
}

/// Operation of a sequence; endpoints, routes and running requests are given by index.
#[derive(Clone, Debug)]
pub(super) enum Op {
    Advance(u16),
    Admit(usize, bool),
    EndAttempt(usize, AttemptOutcome),
    StartAnswer(usize),
    Leave(usize),
    Join(usize),
    Evacuate(bool),
    Load(usize, u32, u64),
    SetWantedVersion(u64),
    /// A wanted version is reported again, with a time that is later by so many milliseconds.
    RepeatWantedVersion(u64, u16),
    /// The entry begins to stop; requests end within so many milliseconds.
    BeginStop(u16),
    /// A configuration with this version, and a number of [`configuration_variant`].
    Configure(u64, u8),
}

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        4 => Just(AttemptOutcome::Answered),
        1 => Just(AttemptOutcome::Failed),
        1 => Just(AttemptOutcome::Rejected),
        2 => Just(AttemptOutcome::NotRun { is_full: true }),
        1 => Just(AttemptOutcome::NotRun { is_full: false }),
        2 => Just(AttemptOutcome::NotSent),
        2 => Just(AttemptOutcome::Broken),
        1 => Just(AttemptOutcome::Silent),
        1 => Just(AttemptOutcome::CallerGone),
        1 => Just(AttemptOutcome::TimedOut),
    ]
}

/// Variant of a configuration; most drop nothing, so that requests are admitted.
fn variant() -> impl Strategy<Value = u8> {
    prop_oneof![6 => Just(0), 1 => 1..VARIANTS]
}

/// A sequence of operations; half of them have a stop near their end.
pub(super) fn sequence() -> impl Strategy<Value = Vec<Op>> {
    let stop = (0u16..9_000, proptest::collection::vec(op(), 0..80));
    let before = proptest::collection::vec(op(), 1..250);
    (before, proptest::option::of(stop)).prop_map(|(mut ops, stop)| {
        if let Some((left, after)) = stop {
            ops.push(Op::BeginStop(left));
            ops.extend(after);
        }
        ops
    })
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0u16..400).prop_map(Op::Advance),
        // Attempts wait at endpoints for up to their deadline.
        1 => (400u16..6_000).prop_map(Op::Advance),
        6 => (0usize..3, any::<bool>()).prop_map(|(route, south)| Op::Admit(route, south)),
        6 => (0usize..8, outcome()).prop_map(|(at, end)| Op::EndAttempt(at, end)),
        2 => (0usize..8).prop_map(Op::StartAnswer),
        1 => (0usize..5).prop_map(Op::Leave),
        2 => (0usize..5).prop_map(Op::Join),
        1 => any::<bool>().prop_map(Op::Evacuate),
        3 => (0usize..3, 0u32..30, 1u64..4).prop_map(|(host, n, v)| Op::Load(host, n, v)),
        1 => (1u64..4).prop_map(Op::SetWantedVersion),
        2 => (1u64..4, 0u16..8_000).prop_map(|(v, late)| Op::RepeatWantedVersion(v, late)),
        1 => (1u64..60, variant()).prop_map(|(v, variant)| Op::Configure(v, variant)),
    ]
}

/// How the dispatcher's input differs from the model's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum InjectedFault {
    NoFault,
    /// Broken attempts are reported as not run.
    BrokenReportedAsNotRun,
    LeavingNotApplied,
    EvacuationNotApplied,
    VersionNotApplied,
    /// The only report on a wanted version comes late and gives the time of its arrival.
    VersionReportedLate,
    /// Older configurations replace newer ones.
    OlderConfigurationApplied,
    /// A configuration without routes ends the requests that were admitted before.
    AdmittedRequestsDropped,
    /// Attempts that are taken back stay at their endpoints.
    RecallIgnored,
    /// Attempts are taken back at the next operation only.
    WakeupIgnored,
    /// The dispatcher does not learn that the entry stops.
    StopNotApplied,
}
