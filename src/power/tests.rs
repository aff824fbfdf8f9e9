use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;

use super::*;
use crate::types::Milliwatts;

const CAP: Milliwatts = 1_000;

fn fact(endpoint: &str, has_applied_grant: bool, draw: Milliwatts) -> EndpointPower {
    EndpointPower {
        endpoint: endpoint.into(),
        host: endpoint.into(),
        full_load: 600,
        has_applied_grant,
        draw,
    }
}

fn grant(host: &str, power: Milliwatts, ceiling: Milliwatts) -> Grant {
    Grant {
        host: host.into(),
        power,
        ceiling,
        full_load: 600,
    }
}

fn grants(list: &[(&str, Milliwatts, Milliwatts)]) -> Grants {
    let grants = list.iter();
    grants
        .map(|(id, power, ceiling)| ((*id).into(), grant(id, *power, *ceiling)))
        .collect()
}

#[rstest]
#[case::alone(&[], &[fact("a", false, 0)], &[("a", 1_000, 1_000)])]
#[case::in_proportion(&[], &[fact("a", false, 0), fact("b", false, 0)], &[("a", 500, 500), ("b", 500, 500)])]
#[case::newcomer_waits_for_the_lowered(&[("a", 600, 600)], &[fact("a", true, 600), fact("b", false, 0)], &[("a", 500, 600), ("b", 400, 400)])]
#[case::lowered_message_lost(&[("a", 500, 600), ("b", 400, 400)], &[fact("a", false, 600), fact("b", true, 0)], &[("a", 500, 600), ("b", 400, 400)])]
#[case::lowered_but_still_drawing(&[("a", 500, 600), ("b", 400, 400)], &[fact("a", true, 550), fact("b", true, 0)], &[("a", 500, 600), ("b", 400, 400)])]
#[case::lowered_and_followed(&[("a", 500, 600), ("b", 400, 400)], &[fact("a", true, 500), fact("b", true, 0)], &[("a", 500, 500), ("b", 500, 500)])]
#[case::unknown_endpoint_keeps_its_grant(&[("a", 500, 500), ("b", 500, 500)], &[fact("a", true, 0)], &[("a", 500, 500), ("b", 500, 500)])]
#[case::unlisted_host_gives_its_share_back(&[("a", 500, 500), ("gone", 500, 500)], &[fact("a", true, 0)], &[("a", 1_000, 1_000)])]
fn shares(
    #[case] current: &[(&str, Milliwatts, Milliwatts)],
    #[case] known: &[EndpointPower],
    #[case] expected: &[(&str, Milliwatts, Milliwatts)],
) {
    let next = divide_power(CAP, &grants(current), known, |host| &**host != "gone");
    assert_eq!(next, grants(expected));
}

#[test]
fn no_cap_gives_no_grants() {
    assert!(divide_power(0, &Grants::new(), &[fact("a", false, 0)], |_| true).is_empty());
}

proptest! {
    /// Agents follow in any order or not at all; what they may draw never exceeds the cap.
    #[test]
    fn shares_stay_under_the_cap(steps in prop::collection::vec((0..4usize, 0..4usize), 1..40)) {
        let ids = ["a", "b", "c", "d"];
        let mut placement = Grants::new();
        let mut followed: BTreeMap<&str, Milliwatts> = BTreeMap::new();
        let mut joined = 1;
        for (heard, joins) in steps {
            joined = joined.max(joins + 1);
            let id = ids[heard];
            if let Some(grant) = placement.get(id) {
                followed.insert(id, grant.power);
            }
            let known: Vec<_> = ids[..joined]
                .iter()
                .map(|id| {
                    let own = followed.get(id).copied();
                    let has_applied_grant = own.is_some() && placement.get(*id).map(|g| g.power) == own;
                    fact(id, has_applied_grant, own.unwrap_or(0))
                })
                .collect();
            placement = divide_power(CAP, &placement, &known, |_| true);
            let drawn: Milliwatts = followed.values().sum();
            prop_assert!(drawn <= CAP, "{followed:?} under {placement:?}");
        }
    }
}

#[rstest]
#[case::idle_only(100, 0)]
#[case::less_than_idle(50, 0)]
#[case::one_stream(500, 1)]
#[case::not_quite_two(899, 1)]
#[case::two_streams(900, 2)]
fn streams_within_a_grant(#[case] grant: Milliwatts, #[case] streams: u32) {
    let model = PowerModel::new(100, 10);
    assert_eq!(model.streams_within(grant), streams);
}

#[rstest]
#[case::higher_than_modelled(1_300, 2, 2, 600)]
#[case::lower_than_modelled_moves_slowly(580, 2, 2, 380)]
#[case::lagging_report_does_not_lower(100, 2, 3, 400)]
#[case::lagging_report_may_raise(1_300, 2, 3, 600)]
#[case::no_streams_tell_nothing(900, 0, 0, 400)]
fn reports_correct_the_model(
    #[case] draw: Milliwatts,
    #[case] streams: u32,
    #[case] running: u32,
    #[case] stream_power: Milliwatts,
) {
    let mut model = PowerModel::new(100, 10);
    model.record_report(draw, streams, running);
    assert_eq!(model.stream_draw(), stream_power);
}

#[test]
fn rate_of_answers_moves_the_model() {
    let mut model = PowerModel::new(100, 10);
    model.record_answer(101, Duration::from_secs(1));
    assert_eq!(model.stream_draw(), 475);
    model.record_answer(1, Duration::from_secs(1));
    assert_eq!(model.stream_draw(), 475, "one token has no rate");
}

#[test]
fn a_fast_answer_leaves_room_for_one_stream() {
    let mut power = PowerModel::new(60_000, 600);
    let grant = 200_000;
    power.record_answer(16, Duration::from_millis(1));
    power.record_answer(16, Duration::from_millis(1));
    assert_eq!(power.streams_within(grant), 0);
    assert!(power.fits_one_stream(grant));
    assert!(!power.fits_one_stream(60_000));
    assert!(!power.fits_one_stream(0));
}
