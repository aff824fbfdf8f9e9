use std::time::Instant as StdInstant;

use rstest::rstest;

use super::*;
use crate::types::ChangeTime;

#[tokio::test(start_paused = true)]
async fn one_tick_per_period() {
    let timer = Timer::spawn(1);
    let mut rx = timer.every(Duration::from_secs(2));
    let start = Instant::now();
    for period in 1..=3 {
        rx.recv().await.unwrap();
        let elapsed = start.elapsed().as_secs();
        assert_eq!(elapsed, 2 * period);
    }
}

#[tokio::test(start_paused = true)]
async fn at_most_one_unread_tick_is_kept() {
    let timer = Timer::spawn(1);
    let mut rx = timer.every(Duration::from_secs(1));
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert!(rx.try_recv().is_ok());
    assert!(rx.try_recv().is_err());
}

#[tokio::test(start_paused = true)]
async fn channels_close_when_the_last_handle_is_dropped() {
    let timer = Timer::spawn(1);
    let mut rx = timer.every_jittered(Duration::from_secs(1));
    drop(timer);
    while rx.recv().await.is_some() {}
}

/// Ticks every period for so many milliseconds, and returns the time then.
fn run_for(detector: &mut StallDetector, mut now: StdInstant, millis: u64) -> StdInstant {
    let end = now + Duration::from_millis(millis);
    while now < end {
        now += STALL_TICK;
        detector.tick(now);
    }
    now
}

/// What is known of a change: its time, or that it came after the last change that was seen, or
/// after the start of the stall.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Known {
    Time,
    AfterCovered,
    AfterStall,
}

// The process runs for a second, stands still for `gap_ms`, and runs for another while.
#[rstest]
#[case::no_stall(0, 0, 300, Known::Time)]
#[case::late_tick(190, 0, 300, Known::Time)]
#[case::seen_until_the_stall(4_000, 800, 0, Known::AfterStall)]
#[case::seen_until_long_before_the_stall(4_000, 0, 3_000, Known::AfterStall)]
#[case::seen_until_within_the_stall(4_000, 3_000, 0, Known::AfterCovered)]
#[case::seen_until_after_the_stall(4_000, 5_400, 600, Known::Time)]
#[case::short_stall(500, 800, 600, Known::AfterStall)]
fn a_change_read_after_a_stall_is_dated_no_later_than_it_may_have_been(
    #[case] gap_ms: u64,
    #[case] covered_ms: u64,
    #[case] then_ms: u64,
    #[case] expected: Known,
) {
    let start = StdInstant::now();
    let mut detector = StallDetector::new(start);
    let stopped_at = run_for(&mut detector, start, 1_000);
    let resumed_at = stopped_at + Duration::from_millis(gap_ms);
    let now = run_for(&mut detector, resumed_at, then_ms);
    let covered_until = start + Duration::from_millis(covered_ms);
    let expected = match expected {
        Known::Time => ChangeTime::At(now),
        Known::AfterCovered => ChangeTime::After(covered_until),
        Known::AfterStall => ChangeTime::After(stopped_at),
    };
    assert_eq!(detector.change_time(now, covered_until), expected);
}

#[test]
fn repeated_stalls_do_not_date_a_change_before_the_last_one_seen() {
    let start = StdInstant::now();
    let mut detector = StallDetector::new(start);
    let mut now = start;
    for _ in 0..60 {
        now = run_for(&mut detector, now, 400) + Duration::from_millis(500);
    }
    let covered_until = now - Duration::from_secs(4);
    match detector.change_time(now, covered_until) {
        ChangeTime::After(bound) => assert!(bound >= covered_until),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_stall_is_reported_once_with_its_length() {
    let start = StdInstant::now();
    let mut detector = StallDetector::new(start);
    let later = start + Duration::from_secs(4);
    assert_eq!(detector.tick(later), Some(Duration::from_secs(4)));
    assert_eq!(detector.tick(later + STALL_TICK), None);
}
