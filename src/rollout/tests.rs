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

/// A rollout of version 2 that is held and staged at `now`, due in eight seconds.
fn staged(now: Instant, turn: f64) -> Rollout {
    let mut rollout = Rollout::default();
    rollout.add_version(2, now + Duration::from_secs(8), turn);
    rollout.mark_held(2);
    let task = rollout.next(now, engine(Some(1)));
    assert_eq!(task, Some(Task::Stage { version: 2 }));
    rollout.finish_task(now, engine(Some(1)), TaskOutcome::Done);
    rollout
}

#[test]
fn nothing_is_ordered_before_the_version_is_whole() {
    let now = Instant::now();
    let mut rollout = Rollout::default();
    rollout.add_version(2, now, 0.0);
    rollout.mark_held(1);
    // Version 1 is overdue, so that it is not loaded either.
    assert_eq!(rollout.next(now, engine(None)), None);
}

#[test]
fn an_engine_that_serves_nothing_is_ordered_at_once() {
    let now = Instant::now();
    let mut rollout = staged(now, 1.0);
    let order = Some(Task::Order { version: 2 });
    assert_eq!(rollout.next(now, engine(None)), order);
}

#[rstest]
#[case::first(0.0, 3_700)]
#[case::middle(0.5, 5_400)]
#[case::last(1.0, 7_100)]
fn engines_that_serve_change_in_turns_within_the_time(#[case] turn: f64, #[case] at_ms: u64) {
    let now = Instant::now();
    let mut rollout = staged(now, turn);
    let at = now + Duration::from_millis(at_ms);
    assert_eq!(
        rollout.next(at - Duration::from_millis(1), engine(Some(1))),
        None
    );
    let order = Some(Task::Order { version: 2 });
    assert_eq!(rollout.next(at, engine(Some(1))), order);
}

/// A fleet of version 1 in which 2 was named four seconds before 3, at `now`; 2 is held.
fn named_twice(now: Instant, turn: f64) -> Rollout {
    let mut rollout = Rollout::default();
    rollout.add_version(1, now, turn);
    rollout.add_version(2, now + Duration::from_secs(4), turn);
    rollout.add_version(3, now + Duration::from_secs(8), turn);
    rollout.mark_held(2);
    rollout
}

fn staged_next(rollout: &mut Rollout, now: Instant, engine: EngineState) -> Option<Task> {
    match rollout.next(now, engine) {
        Some(Task::Stage { .. }) => {
            rollout.finish_task(now, engine, TaskOutcome::Done);
            rollout.next(now, engine)
        }
        other => other,
    }
}

#[rstest]
#[case::early_turn(0.2, Some(2))]
#[case::late_turn(0.8, None)]
fn while_the_newest_is_on_its_way_a_part_of_the_fleet_takes_the_one_between(
    #[case] turn: f64,
    #[case] between: Option<u64>,
) {
    let now = Instant::now();
    let mut rollout = named_twice(now, turn);
    // The last time for version 1 is four seconds away, and the turns are spread before it.
    let at = now + Duration::from_millis(2_500);
    let order = between.map(|version| Task::Order { version });
    assert_eq!(staged_next(&mut rollout, at, engine(Some(1))), order);
}

#[test]
fn the_rest_waits_for_the_newest_and_goes_first() {
    let now = Instant::now();
    let held = now + Duration::from_millis(4_500);
    let order = Some(Task::Order { version: 3 });
    let mut waited = named_twice(now, 0.8);
    waited.mark_held(3);
    assert_eq!(staged_next(&mut waited, held, engine(Some(1))), order);
    let mut between = named_twice(now, 0.2);
    between.mark_held(3);
    assert_eq!(staged_next(&mut between, held, engine(Some(2))), None);
    let last = now + Duration::from_millis(7_100);
    assert_eq!(staged_next(&mut between, last, engine(Some(2))), order);
}

#[test]
fn an_empty_engine_takes_an_older_version_while_that_is_allowed_for_long() {
    let now = Instant::now();
    let mut rollout = named_twice(now, 0.8);
    let order = Some(Task::Order { version: 2 });
    assert_eq!(staged_next(&mut rollout, now, engine(None)), order);
    let mut rollout = named_twice(now, 0.8);
    let late = now + Duration::from_secs(6);
    assert_eq!(staged_next(&mut rollout, late, engine(None)), None);
}

#[test]
fn a_taken_order_is_not_repeated_until_the_engine_is_another() {
    let now = Instant::now();
    let mut rollout = staged(now, 0.0);
    let at = now + Duration::from_secs(7);
    assert!(rollout.next(at, engine(Some(1))).is_some());
    rollout.finish_task(at, engine(Some(1)), TaskOutcome::Done);
    assert!(rollout.is_switching(at, engine(Some(1))));
    assert_eq!(rollout.next(at, engine(None)), None);
    let reborn = EngineState {
        incarnation: 8,
        ..engine(None)
    };
    assert_eq!(rollout.next(at, reborn), Some(Task::Order { version: 2 }));
    rollout.finish_task(at, reborn, TaskOutcome::Done);
    let served = EngineState {
        version: Some(2),
        ..reborn
    };
    assert!(!rollout.is_switching(at, served));
}

#[test]
fn an_order_that_failed_or_had_no_effect_is_given_again() {
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
fn the_turns_of_a_fleet_cover_the_whole_spread() {
    let hosts: Vec<String> = (0..9).map(|at| format!("host-{at}")).collect();
    let mut turns: Vec<f64> = hosts
        .iter()
        .map(|host| rollout_position(3, host, &hosts))
        .collect();
    turns.sort_unstable_by(f64::total_cmp);
    assert_eq!(turns.first(), Some(&0.0));
    assert_eq!(turns.last(), Some(&1.0));
    assert_ne!(
        rollout_position(3, &hosts[0], &hosts),
        rollout_position(4, &hosts[0], &hosts)
    );
}
