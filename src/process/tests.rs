//! Times of a planned stop.

use std::time::Duration;

use rstest::rstest;

use crate::process::StopTimes;

/// The last part of the grace in which a request may be cut whose engine is at work.
const LAST_PART: u32 = 6;

#[rstest]
#[case::usual(8_000, 3_000, 7_100, 7_300)]
#[case::long(30_000, 3_000, 29_100, 29_300)]
#[case::short(2_000, 850, 1_700, 1_750)]
#[case::very_short(400, 170, 340, 350)]
#[case::none(0, 0, 0, 0)]
fn the_times_of_a_stop_shrink_with_the_grace(
    #[case] grace: u64,
    #[case] accept: u64,
    #[case] answer: u64,
    #[case] close: u64,
) {
    let ms = Duration::from_millis;
    let times = StopTimes::new(ms(grace));
    let expected = StopTimes {
        accept: ms(accept),
        answer: ms(answer),
        close: ms(close),
    };
    assert_eq!(times, expected);
    assert!(times.answer >= ms(grace) - ms(grace) / LAST_PART);
}
