use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;

use super::*;
use crate::types::Milliwatts;

const CAP: Milliwatts = 1_000;

fn endpoint_power(endpoint: &str, has_applied_grant: bool, draw: Milliwatts) -> EndpointPower {
    EndpointPower {
        id: endpoint.into(),
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
#[case::alone(&[], &[endpoint_power("a", false, 0)], &[("a", 1_000, 1_000)])]
#[case::in_proportion(&[], &[endpoint_power("a", false, 0), endpoint_power("b", false, 0)], &[("a", 500, 500), ("b", 500, 500)])]
#[case::new_endpoint_gets_only_what_is_not_committed(&[("a", 600, 600)], &[endpoint_power("a", true, 600), endpoint_power("b", false, 0)], &[("a", 500, 600), ("b", 400, 400)])]
#[case::lowered_grant_not_applied(&[("a", 500, 600), ("b", 400, 400)], &[endpoint_power("a", false, 600), endpoint_power("b", true, 0)], &[("a", 500, 600), ("b", 400, 400)])]
#[case::lowered_but_still_drawing(&[("a", 500, 600), ("b", 400, 400)], &[endpoint_power("a", true, 550), endpoint_power("b", true, 0)], &[("a", 500, 600), ("b", 400, 400)])]
#[case::lowered_and_applied(&[("a", 500, 600), ("b", 400, 400)], &[endpoint_power("a", true, 500), endpoint_power("b", true, 0)], &[("a", 500, 500), ("b", 500, 500)])]
#[case::unknown_endpoint_keeps_its_grant(&[("a", 500, 500), ("b", 500, 500)], &[endpoint_power("a", true, 0)], &[("a", 500, 500), ("b", 500, 500)])]
#[case::unlisted_host_loses_its_grant(&[("a", 500, 500), ("gone", 500, 500)], &[endpoint_power("a", true, 0)], &[("a", 1_000, 1_000)])]
fn grants_divide_the_cap(
    #[case] current: &[(&str, Milliwatts, Milliwatts)],
    #[case] known: &[EndpointPower],
    #[case] expected: &[(&str, Milliwatts, Milliwatts)],
) {
    let next = divide_power(CAP, &grants(current), known, |host| &**host != "gone");
    assert_eq!(next, grants(expected));
}

#[test]
fn no_grants_without_a_cap() {
    assert!(
        divide_power(0, &Grants::new(), &[endpoint_power("a", false, 0)], |_| {
            true
        })
        .is_empty()
    );
}

proptest! {
    /// Agents apply their grants in any order or not at all; the sum of the power that they may
    /// draw never exceeds the cap.
    #[test]
    fn applied_grants_never_exceed_the_cap(steps in prop::collection::vec((0..4usize, 0..4usize), 1..40)) {
        let ids = ["a", "b", "c", "d"];
        let mut grants = Grants::new();
        let mut applied: BTreeMap<&str, Milliwatts> = BTreeMap::new();
        let mut joined = 1;
        for (updated, last_known) in steps {
            joined = joined.max(last_known + 1);
            let id = ids[updated];
            if let Some(grant) = grants.get(id) {
                applied.insert(id, grant.power);
            }
            let known: Vec<_> = ids[..joined]
                .iter()
                .map(|id| {
                    let own = applied.get(id).copied();
                    let has_applied_grant = own.is_some() && grants.get(*id).map(|g| g.power) == own;
                    endpoint_power(id, has_applied_grant, own.unwrap_or(0))
                })
                .collect();
            grants = divide_power(CAP, &grants, &known, |_| true);
            let drawn: Milliwatts = applied.values().sum();
            prop_assert!(drawn <= CAP, "{applied:?} under {grants:?}");
        }
    }
}

#[rstest]
#[case::idle_only(100, 0)]
#[case::less_than_idle(50, 0)]
#[case::one_stream(500, 1)]
#[case::not_quite_two(899, 1)]
#[case::two_streams(900, 2)]
fn grant_covers_whole_streams_above_idle_power(#[case] grant: Milliwatts, #[case] streams: u32) {
    let model = PowerModel::new(100, 10);
    assert_eq!(model.streams_within(grant), streams);
}

#[rstest]
#[case::higher_than_modelled_applies_at_once(1_300, 2, 2, 600)]
#[case::lower_than_modelled_moves_slowly(580, 2, 2, 380)]
#[case::outdated_report_does_not_lower(100, 2, 3, 400)]
#[case::outdated_report_may_raise(1_300, 2, 3, 600)]
#[case::without_streams_is_ignored(900, 0, 0, 400)]
fn measured_draw_corrects_the_model(
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
fn answers_update_the_stream_rate() {
    let mut model = PowerModel::new(100, 10);
    model.record_answer(101, Duration::from_secs(1));
    assert_eq!(model.stream_draw(), 475);
    model.record_answer(1, Duration::from_secs(1));
    assert_eq!(
        model.stream_draw(),
        475,
        "an answer of one token has no rate"
    );
}

#[test]
fn grant_still_covers_one_stream_after_fast_answers() {
    let mut power = PowerModel::new(60_000, 600);
    let grant = 200_000;
    power.record_answer(16, Duration::from_millis(1));
    power.record_answer(16, Duration::from_millis(1));
    assert_eq!(power.streams_within(grant), 0);
    assert!(power.fits_one_stream(grant));
    assert!(!power.fits_one_stream(60_000));
    assert!(!power.fits_one_stream(0));
}
