//! Places of events whose numbers increase by any step.

use proptest::prelude::*;
use rstest::rstest;

use crate::fuzz_config::fuzz_config;
use crate::relay::event_order::{EventOrder, EventPlace};

/// Numbers of the new events of an attempt up to the first one that is out of order, and whether there is
/// one.
fn new_events(order: &mut EventOrder, ids: &[u64]) -> (Vec<u64>, bool) {
    let mut new = Vec::new();
    for id in ids {
        match order.advance(*id) {
            Ok(EventPlace::New) => new.push(*id),
            Ok(EventPlace::Repeated) => {}
            Err(_) => return (new, true),
        }
    }
    (new, false)
}

#[rstest]
#[case::first_attempt(None, &[6, 12, 18], &[6, 12, 18], false, true)]
#[case::first_attempt_from_zero(None, &[0, 1], &[0, 1], false, true)]
#[case::goes_on(Some(6), &[12, 18], &[12, 18], false, true)]
#[case::goes_on_with_other_steps(Some(6), &[7, 70], &[7, 70], false, true)]
#[case::begins_anew(Some(12), &[6, 12, 18], &[18], false, true)]
#[case::begins_at_the_last(Some(12), &[12, 18], &[18], false, true)]
#[case::ends_at_the_last(Some(12), &[6, 12], &[], false, true)]
#[case::ends_before_the_last(Some(12), &[6], &[], false, false)]
#[case::without_the_last(Some(12), &[5, 10, 15], &[], true, false)]
#[case::stands_still(None, &[1, 2, 2], &[1, 2], true, true)]
#[case::falls(None, &[1, 3, 2], &[1, 3], true, true)]
#[case::falls_while_it_repeats(Some(9), &[3, 2, 9, 10], &[], true, false)]
#[case::largest(Some(u64::MAX), &[u64::MAX], &[], false, true)]
#[case::up_to_the_largest(Some(u64::MAX - 1), &[u64::MAX], &[u64::MAX], false, true)]
#[case::nothing_but_an_end(Some(3), &[], &[], false, false)]
fn events_are_new_repeated_or_out_of_order(
    #[case] last_seen: Option<u64>,
    #[case] ids: &[u64],
    #[case] new: &[u64],
    #[case] is_broken: bool,
    #[case] may_end: bool,
) {
    let mut order = EventOrder::new(last_seen);
    assert_eq!(new_events(&mut order, ids), (new.to_vec(), is_broken));
    assert_eq!(order.may_end(false), may_end);
}

proptest! {
    #![proptest_config(fuzz_config(512))]

    /// Against the stream itself: whatever is cut and however an endpoint goes on, the caller has each event once,
    /// and a stream that may end is whole.
    #[test]
    fn attempts_join_to_the_stream_or_break(
        steps in prop::collection::vec(1_u64..50, 1..20),
        cuts in prop::collection::vec((0_usize..20, any::<bool>()), 1..5),
        lost in prop::option::of(0_usize..20),
    ) {
        let ids: Vec<u64> = steps.iter().scan(0, |id, step| {
            *id += step;
            Some(*id)
        }).collect();
        let mut caller: Vec<u64> = Vec::new();
        for (sent, begins_anew) in cuts {
            let last = caller.last().copied();
            let from = match begins_anew {
                true => 0,
                false => ids.iter().position(|id| Some(*id) > last).unwrap_or(ids.len()),
            };
            // An endpoint that begins anew may not have an event that the caller has.
            let lost = lost.filter(|at| begins_anew && *at + 1 < caller.len());
            let attempt: Vec<u64> = ids[from..].iter().copied()
                .filter(|id| lost.is_none_or(|at| ids[at] != *id))
                .take(sent)
                .collect();
            let mut order = EventOrder::new(last);
            let (new, is_broken) = new_events(&mut order, &attempt);
            prop_assert!(!is_broken);
            caller.extend(new);
            prop_assert!(ids.starts_with(&caller), "{caller:?} of {ids:?}");
            if attempt.last() == ids.last() && !attempt.is_empty() {
                prop_assert!(order.may_end(false));
                prop_assert_eq!(&caller, &ids);
            }
        }
    }
}
