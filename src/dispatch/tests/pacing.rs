//! Times of the passes over waiting requests.

use std::time::{Duration, Instant};

use rstest::rstest;

use super::fixture::ms;
use crate::dispatch::{Pass, PassPacing};

/// Pacing after a pass that began at `now` and took some time.
fn after(pass: Pass, now: Instant, took: Duration) -> PassPacing {
    let mut pacing = PassPacing::default();
    pacing.passed(pass, now, now + took);
    pacing
}

#[rstest]
#[case::a_short_pass(ms(0), ms(3))]
#[case::four_times_the_pass(ms(2), ms(10))]
#[case::the_process_stood_still(ms(400), ms(420))]
fn a_full_pass_is_followed_by_a_pause(#[case] took: Duration, #[case] next: Duration) {
    let now = Instant::now();
    let pacing = after(Pass::Full, now, took);
    let ended = now + took;
    assert_eq!(pacing.next(ended, true, None), Some(now + next));
    assert_eq!(pacing.due(now + next - ms(1), true, None), None);
    assert_eq!(pacing.due(now + next, true, None), Some(Pass::Full));
}

#[rstest]
#[case::within_the_shortest_pause(ms(11), ms(13))]
#[case::within_the_pause(ms(20), ms(20))]
#[case::after_the_pause(ms(70), ms(70))]
fn a_deadline_is_late_by_the_shortest_pause_at_most(
    #[case] deadline: Duration,
    #[case] next: Duration,
) {
    let now = Instant::now();
    let pacing = after(Pass::Full, now, ms(10));
    let deadline = Some(now + deadline);
    assert_eq!(pacing.next(now + ms(10), false, deadline), Some(now + next));
    assert_eq!(pacing.due(now + next - ms(1), false, deadline), None);
    assert_eq!(pacing.due(now + next, false, deadline), Some(Pass::Expired));
}

#[test]
fn a_full_pass_that_may_be_made_replaces_one_over_the_expired() {
    let now = Instant::now();
    let pacing = after(Pass::Full, now, ms(1));
    let deadline = Some(now + ms(2));
    assert_eq!(pacing.due(now + ms(4), true, deadline), Some(Pass::Expired));
    assert_eq!(pacing.due(now + ms(5), true, deadline), Some(Pass::Full));
}

#[test]
fn a_pass_over_the_expired_does_not_delay_a_full_one_further() {
    let now = Instant::now();
    let mut pacing = after(Pass::Full, now, ms(2));
    pacing.passed(Pass::Expired, now + ms(5), now + ms(7));
    assert_eq!(pacing.next(now + ms(7), true, None), Some(now + ms(10)));
}

#[test]
fn the_first_pass_is_made_at_once() {
    let now = Instant::now();
    let pacing = PassPacing::default();
    assert_eq!(pacing.next(now, true, None), Some(now));
    assert_eq!(pacing.due(now, true, None), Some(Pass::Full));
    assert_eq!(pacing.next(now, false, None), None);
}
