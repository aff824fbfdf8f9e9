//! Tests of the number of chunks that are fetched at the same time.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::weights::core::download_window::DownloadWindow;

const MAX_SIZE: usize = 8;
const MAX_WAIT: Duration = Duration::from_millis(250);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Number of fetches that a window admits at `now` beside those that were started at `running`.
fn admitted(window: &DownloadWindow, now: Instant, running: &[Instant]) -> usize {
    let mut running = running.to_vec();
    let before = running.len();
    while running.len() < 2 * MAX_SIZE && window.admits(now, running.iter().copied()) {
        running.push(now);
    }
    running.len() - before
}

#[rstest]
#[case::nothing_measured(&[], 2)]
#[case::quick_chunks(&[27; 20], MAX_SIZE)]
#[case::full_link(&[230; 20], 2)]
#[case::narrow_link(&[432, 432, 216, 216, 216, 216], 1)]
#[case::link_that_became_narrow(&[27, 27, 27, 27, 27, 27, 1_700, 1_700], 1)]
#[case::one_slow_sender(&[27, 27, 27, 27, 27, 27, 900, 27, 900, 27], MAX_SIZE)]
#[case::link_that_recovered(&[1_700, 1_700, 27, 27, 27], 4)]
fn the_number_of_fetches_follows_the_times_of_chunks(
    #[case] times_ms: &[u64],
    #[case] expected: usize,
) {
    let mut window = DownloadWindow::new(MAX_SIZE, MAX_WAIT);
    let mut now = Instant::now();
    for time in times_ms {
        let started_at = now;
        window.fetch_started(now, 1);
        now += millis(*time);
        window.chunk_arrived(now, started_at, millis(*time));
    }
    assert_eq!(admitted(&window, now, &[]), expected);
}

#[test]
fn timeouts_reduce_the_number_of_fetches() {
    let mut window = DownloadWindow::new(MAX_SIZE, MAX_WAIT);
    let now = Instant::now();
    window.fetch_timed_out(now, millis(2_000));
    window.fetch_timed_out(now, millis(2_000));
    assert_eq!(admitted(&window, now, &[]), 1);
}

#[test]
fn a_fetch_that_later_ones_overtake_does_not_count() {
    let mut window = DownloadWindow::new(MAX_SIZE, MAX_WAIT);
    let start = Instant::now();
    let later = start + millis(300);
    window.fetch_started(later, 2);
    let now = later + millis(200);
    assert_eq!(admitted(&window, now, &[start, start]), 0);
    window.chunk_arrived(now, later, millis(200));
    assert_eq!(admitted(&window, now, &[start, start]), 2);
}

#[rstest]
#[case::nothing_measured(0, 500)]
#[case::quick_chunk(27, 500)]
#[case::slow_chunk(600, 1_200)]
fn one_more_fetch_is_admitted_at_a_time_while_nothing_arrives(
    #[case] last_ms: u64,
    #[case] silence_ms: u64,
) {
    let mut window = DownloadWindow::new(2, MAX_WAIT);
    let start = Instant::now();
    if last_ms > 0 {
        window.chunk_arrived(start, start, millis(last_ms));
    }
    window.fetch_started(start, 0);
    window.fetch_started(start, 1);
    assert!(!window.admits(start + millis(silence_ms - 1), [start; 2].into_iter()));
    let now = start + millis(silence_ms);
    assert!(window.admits(now, [start; 2].into_iter()));
    window.fetch_started(now, 2);
    assert!(!window.admits(now, [start, start, now].into_iter()));
}

#[rstest]
#[case::pause(0, 300, 2)]
#[case::short_pause(0, 200, MAX_SIZE)]
#[case::long_fetch(1, 300, MAX_SIZE)]
fn a_pause_starts_the_measurement_anew(
    #[case] running: usize,
    #[case] pause_ms: u64,
    #[case] expected: usize,
) {
    let mut window = DownloadWindow::new(MAX_SIZE, MAX_WAIT);
    let start = Instant::now();
    for _ in 0..MAX_SIZE {
        window.chunk_arrived(start, start, millis(27));
    }
    let now = start + millis(pause_ms);
    window.fetch_started(now, running);
    assert_eq!(admitted(&window, now, &[]), expected);
}
