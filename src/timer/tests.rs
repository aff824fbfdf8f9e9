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

#[rstest]
#[case::on_time(0, 0, true)]
#[case::late_tick(390, 0, true)]
#[case::right_after_a_stall(4_000, 0, false)]
#[case::while_messages_catch_up(4_000, 3_600, false)]
#[case::after_messages_caught_up(4_000, 4_600, true)]
#[case::right_after_a_short_stall(500, 800, false)]
#[case::after_a_short_stall(500, 1_200, true)]
fn what_is_read_after_a_stall_is_dated_before_it(
    #[case] gap_ms: u64,
    #[case] then_ms: u64,
    #[case] is_exact: bool,
) {
    let start = StdInstant::now();
    let mut detector = StallDetector::new(start);
    let stopped_at = run_for(&mut detector, start, 1_000);
    let resumed_at = stopped_at + Duration::from_millis(gap_ms);
    let now = match gap_ms {
        0 => resumed_at,
        _ => run_for(&mut detector, resumed_at, then_ms),
    };
    match detector.change_time(now) {
        ChangeTime::At(at) => assert!(is_exact && at == now),
        ChangeTime::After(bound) => assert!(!is_exact && bound <= stopped_at),
        ChangeTime::Unknown => panic!("the process has run since the start"),
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
