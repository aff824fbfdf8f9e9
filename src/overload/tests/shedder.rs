//! Tests of [`LoadShedder`].

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::overload::{LoadShedder, SHEDDER_TICK, Verdict};

const MS: Duration = Duration::from_millis(1);

/// Feeds one tick after each gap to a shedder, and returns the time after the last.
fn feed(shedder: &mut LoadShedder, mut now: Instant, gaps: &[u32]) -> Instant {
    for gap in gaps {
        now += MS * *gap;
        shedder.tick(now);
    }
    now
}

/// Number of requests out of 1,000 that are shed.
fn shed_of_1000(shedder: &mut LoadShedder, now: Instant) -> usize {
    let verdicts = (0..1_000).map(|_| shedder.decide(now));
    verdicts
        .filter(|verdict| matches!(verdict, Verdict::Shed(_)))
        .count()
}

#[rstest]
#[case::in_time(&[50; 40], 0..=0)]
#[case::one_long_turn_in_a_window(&[50, 50, 50, 50, 400, 50, 50, 50], 0..=0)]
#[case::one_long_turn_is_a_window(&[50, 50, 50, 50, 50, 400, 50, 50], 0..=0)]
// A processor that is granted in slices pauses for most of a tenth of a second.
#[case::processor_in_slices(&[50, 120, 50, 130, 50, 120, 50, 130, 50, 120, 50, 130], 0..=0)]
#[case::processor_in_spent_slices(&[99, 101, 100, 102, 101, 100, 102, 101, 99, 103, 100], 0..=0)]
#[case::late_for_one_window(&[160, 160], 250..=350)]
#[case::late_for_long(&[160; 60], 930..=970)]
fn the_share_follows_the_smallest_delay(
    #[case] gaps: &[u32],
    #[case] shed: std::ops::RangeInclusive<usize>,
) {
    let start = Instant::now();
    let mut shedder = LoadShedder::new(start, 1);
    let now = feed(&mut shedder, start, gaps);
    let counted = shed_of_1000(&mut shedder, now);
    assert!(shed.contains(&counted), "{counted} of 1,000 were shed");
}

// Guards against a loop that is late for seconds before its windows show it.
#[rstest]
#[case::in_time(50, 0)]
#[case::nearly(199, 0)]
#[case::overdue(200, 1_000)]
fn everything_is_shed_while_the_next_tick_is_overdue(#[case] after: u32, #[case] shed: usize) {
    let start = Instant::now();
    let mut shedder = LoadShedder::new(start, 1);
    let now = feed(&mut shedder, start, &[50; 8]);
    assert_eq!(shed_of_1000(&mut shedder, now + MS * after), shed);
}

// Guards against an overload that outlasts its cause: nothing is shed once the loop runs in time.
#[test]
fn the_shedder_recovers_within_the_time_that_callers_are_told() {
    let start = Instant::now();
    let mut shedder = LoadShedder::new(start, 1);
    let mut now = feed(&mut shedder, start, &[300; 40]);
    let longest = (0..1_000)
        .filter_map(|_| match shedder.decide(now) {
            Verdict::Shed(wait) => Some(wait),
            Verdict::Admit => None,
        })
        .max()
        .unwrap();
    assert!(longest <= Duration::from_secs(2), "{longest:?}");
    let mut waited = Duration::ZERO;
    while shed_of_1000(&mut shedder, now) > 0 {
        now = feed(&mut shedder, now, &[SHEDDER_TICK.as_millis() as u32]);
        waited += SHEDDER_TICK;
        assert!(waited < Duration::from_secs(5), "it sheds for ever");
    }
}

#[test]
fn what_was_refused_is_reported_once() {
    let start = Instant::now();
    let mut shedder = LoadShedder::new(start, 1);
    assert_eq!(shedder.take_report(), None);
    shedder.shed();
    feed(&mut shedder, start, &[400, 400]);
    let report = shedder.take_report().unwrap();
    assert_eq!(report.count, 1);
    assert_eq!(report.delay, Duration::from_millis(350));
    assert!((report.admitted_share - 0.7).abs() < 1e-9);
    assert_eq!(shedder.take_report(), None);
}
