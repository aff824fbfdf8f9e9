use std::time::{Duration, Instant};

use rstest::rstest;

use super::*;

fn engine(version: Option<u64>) -> EngineState {
    EngineState {
        incarnation: 7,
        version,
        is_busy: false,
    }
}

/// A rollout in which version 2 is held and staged, and version 1 may be served for eight seconds
/// from `now`.
fn staged(now: Instant, position: f64) -> Rollout {
    staged_after(now, Duration::ZERO, position)
}

/// The same with version 2 held since `wait` after `now`.
fn staged_after(now: Instant, wait: Duration, position: f64) -> Rollout {
    let mut rollout = Rollout::default();
    rollout.add_version(2, now + Duration::from_secs(8), position);
    let held_at = now + wait;
    rollout.mark_held(held_at, 2);
    let task = rollout.next(held_at, engine(Some(1)));
    assert_eq!(task, Some(Task::Stage { version: 2 }));
    rollout.finish_task(held_at, engine(Some(1)), TaskOutcome::Done);
    rollout
}

#[test]
fn no_task_before_the_newest_version_is_complete() {
    let now = Instant::now();
    let mut rollout = Rollout::default();
    rollout.add_version(2, now, 0.0);
    rollout.mark_held(now, 1);
    // The deadline of version 1 has passed, so it is not loaded either.
    assert_eq!(rollout.next(now, engine(None)), None);
}

#[test]
fn engine_without_a_version_is_ordered_at_once() {
    let now = Instant::now();
    let mut rollout = staged(now, 1.0);
    let order = Some(Task::Order { version: 2 });
    assert_eq!(rollout.next(now, engine(None)), order);
}

/// Pattern: push in mid-burst. Guards against a fleet in which most engines change at the same time, although
/// the weights arrived early.
#[rstest]
#[case::first(0, 0.0, 0)]
#[case::middle(0, 0.5, 3_550)]
#[case::last(0, 1.0, 7_100)]
#[case::held_late_first(4_500, 0.0, 4_500)]
#[case::held_late_middle(4_500, 0.5, 5_800)]
#[case::held_late_last(4_500, 1.0, 7_100)]
#[case::held_too_late(7_500, 0.5, 7_500)]
fn serving_engines_change_by_position_in_all_the_time_before_the_deadline(
    #[case] held_ms: u64,
    #[case] position: f64,
    #[case] at_ms: u64,
) {
    let now = Instant::now();
    let held = Duration::from_millis(held_ms);
    let mut rollout = staged_after(now, held, position);
    let at = now + Duration::from_millis(at_ms);
    if at_ms > held_ms {
        assert_eq!(
            rollout.next(at - Duration::from_millis(1), engine(Some(1))),
            None
        );
    }
    let order = Some(Task::Order { version: 2 });
    assert_eq!(rollout.next(at, engine(Some(1))), order);
}

/// A rollout in which version 1 may be served for four seconds from `now` and version 2 for eight;
/// version 3 is wanted and version 2 is held.
fn two_newer_versions(now: Instant, position: f64) -> Rollout {
    let mut rollout = Rollout::default();
    rollout.add_version(1, now, position);
    rollout.add_version(2, now + Duration::from_secs(4), position);
    rollout.add_version(3, now + Duration::from_secs(8), position);
    rollout.mark_held(now, 2);
    rollout
}

/// Completes the staging task, if it is the next one, and returns the task after it.
fn next_after_staging(rollout: &mut Rollout, now: Instant, engine: EngineState) -> Option<Task> {
    match rollout.next(now, engine) {
        Some(Task::Stage { .. }) => {
            rollout.finish_task(now, engine, TaskOutcome::Done);
            rollout.next(now, engine)
        }
        other => other,
    }
}

#[rstest]
#[case::early_position(0.2, Some(2))]
#[case::late_position(0.8, None)]
fn part_of_the_fleet_loads_an_intermediate_version_while_the_newest_is_incomplete(
    #[case] position: f64,
    #[case] intermediate: Option<u64>,
) {
    let now = Instant::now();
    let mut rollout = two_newer_versions(now, position);
    // The deadline of version 1 is four seconds after `now`, and the orders are spread before it.
    let at = now + Duration::from_millis(2_500);
    let order = intermediate.map(|version| Task::Order { version });
    assert_eq!(next_after_staging(&mut rollout, at, engine(Some(1))), order);
}

#[test]
fn engines_that_waited_for_the_newest_version_change_first() {
    let now = Instant::now();
    let held = now + Duration::from_millis(4_500);
    let order = Some(Task::Order { version: 3 });
    let mut waited = two_newer_versions(now, 0.8);
    waited.mark_held(held, 3);
    assert_eq!(
        next_after_staging(&mut waited, held, engine(Some(1))),
        order
    );
    let mut changed = two_newer_versions(now, 0.2);
    changed.mark_held(held, 3);
    assert_eq!(
        next_after_staging(&mut changed, held, engine(Some(2))),
        None
    );
    let last = now + Duration::from_millis(7_100);
    assert_eq!(
        next_after_staging(&mut changed, last, engine(Some(2))),
        order
    );
}

#[test]
fn engine_without_a_version_loads_an_intermediate_one_unless_its_deadline_is_near() {
    let now = Instant::now();
    let mut rollout = two_newer_versions(now, 0.8);
    let order = Some(Task::Order { version: 2 });
    assert_eq!(next_after_staging(&mut rollout, now, engine(None)), order);
    let mut rollout = two_newer_versions(now, 0.8);
    let late = now + Duration::from_secs(6);
    assert_eq!(next_after_staging(&mut rollout, late, engine(None)), None);
}

#[test]
fn accepted_order_is_repeated_when_the_engine_restarts() {
    let now = Instant::now();
    let mut rollout = staged(now, 0.0);
    let at = now + Duration::from_secs(7);
    assert!(rollout.next(at, engine(Some(1))).is_some());
    rollout.finish_task(at, engine(Some(1)), TaskOutcome::Done);
    assert!(rollout.is_switching(at, engine(Some(1))));
    assert_eq!(rollout.next(at, engine(None)), None);
    let restarted = EngineState {
        incarnation: 8,
        ..engine(None)
    };
    assert_eq!(
        rollout.next(at, restarted),
        Some(Task::Order { version: 2 })
    );
    rollout.finish_task(at, restarted, TaskOutcome::Done);
    let serving = EngineState {
        version: Some(2),
        ..restarted
    };
    assert!(!rollout.is_switching(at, serving));
}

#[test]
fn order_that_failed_or_had_no_effect_is_repeated() {
    let now = Instant::now();
    let mut rollout = staged(now, 0.0);
    let at = now + Duration::from_secs(7);
    assert!(rollout.next(at, engine(None)).is_some());
    rollout.finish_task(at, engine(None), TaskOutcome::Failed);
    assert_eq!(rollout.next(at, engine(None)), None);
    let at = at + Duration::from_millis(150);
    assert!(rollout.next(at, engine(None)).is_some());
    rollout.finish_task(at, engine(None), TaskOutcome::Done);
    assert_eq!(
        rollout.next(at + Duration::from_secs(4), engine(None)),
        None
    );
    assert!(
        rollout
            .next(at + Duration::from_secs(5), engine(None))
            .is_some()
    );
}

#[test]
fn positions_of_a_fleet_range_from_0_to_1_and_differ_by_version() {
    let hosts: Vec<String> = (0..9).map(|n| format!("host-{n}")).collect();
    let mut positions: Vec<f64> = hosts
        .iter()
        .map(|host| rollout_position(3, host, &hosts))
        .collect();
    positions.sort_unstable_by(f64::total_cmp);
    assert_eq!(positions.first(), Some(&0.0));
    assert_eq!(positions.last(), Some(&1.0));
    assert_ne!(
        rollout_position(3, &hosts[0], &hosts),
        rollout_position(4, &hosts[0], &hosts)
    );
}
