//! Tests of [`Pulse`] and [`LoopTicks`].

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::overload::{LoopTicks, Pulse};

const PERIOD: Duration = Duration::from_millis(100);
const MAX_AGE: Duration = Duration::from_millis(500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Feeds ticks at these times after a start to a pulse, and returns it.
fn pulse_after(start: Instant, ticks: &[u64]) -> Pulse {
    let pulse = Pulse::new(start, MAX_AGE);
    let mut loop_ticks = LoopTicks::new(start, PERIOD);
    for &at in ticks {
        let now = start + ms(at);
        pulse.beat(now, loop_ticks.tick(now));
    }
    pulse
}

#[rstest]
#[case::in_time(&[100, 200, 300], 310, 10)]
#[case::a_little_late(&[100, 349], 360, 11)]
#[case::no_tick(&[], 600, 600)]
#[case::stood_still(&[100, 2_100], 2_101, 2_001)]
#[case::stood_still_and_caught_up(&[100, 2_100, 2_200], 2_201, 1)]
#[case::always_late(&[400, 800, 1_200], 1_201, 1_201)]
fn the_age_counts_from_the_last_turn_in_time(
    #[case] ticks: &[u64],
    #[case] at: u64,
    #[case] age: u64,
) {
    let start = Instant::now();
    let pulse = pulse_after(start, ticks);
    let now = start + ms(at);
    assert_eq!(pulse.age(now), ms(age));
    assert_eq!(pulse.is_current(now), ms(age) < MAX_AGE);
}

#[test]
fn a_beat_that_is_reported_late_changes_nothing() {
    let start = Instant::now();
    let pulse = Pulse::new(start, MAX_AGE);
    pulse.beat(start + ms(300), Duration::ZERO);
    pulse.beat(start + ms(200), Duration::ZERO);
    assert_eq!(pulse.age(start + ms(300)), Duration::ZERO);
}
