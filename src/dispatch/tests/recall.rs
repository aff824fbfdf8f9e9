//! Attempts that wait at an engine while its version ends.

use std::sync::Arc;
use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::dispatch::*;
use crate::types::ChangeTime;

/// Time after the naming of a version after which no request may begin on an older one.
const VERSION_MS: u64 = 8_000;

/// A report on the version that is newer: when it dates the naming, in milliseconds after the real
/// time, and whether exactly.
type Report = (u64, bool);

fn record(core: &mut Dispatcher, named_at: Instant, reports: &[Report]) {
    for (late_ms, is_exact) in reports {
        let at = named_at + ms(*late_ms);
        let named = match is_exact {
            true => ChangeTime::At(at),
            false => ChangeTime::After(at),
        };
        core.set_wanted_version(MODEL, 2, named);
    }
}

// Guards against attempts that wait at an engine past the end of its version unobserved.
#[rstest]
#[case::named_before(&[(0, true)], &[])]
#[case::named_while_it_waits(&[], &[(0, true)])]
#[case::dated_better_while_it_waits(&[(4_000, true)], &[(0, true)])]
#[case::bound_only(&[], &[(0, false)])]
fn an_attempt_on_an_older_version_wakes_the_dispatcher_before_the_version_ends(
    #[case] before: &[Report],
    #[case] after: &[Report],
) {
    let named_at = Instant::now();
    let mut core = core(named_at);
    record(&mut core, named_at, before);
    send(&mut core, named_at + ms(1_000), &request("chat"));
    record(&mut core, named_at, after);
    let wakeup = core.next_wakeup();
    assert!(
        wakeup.is_some_and(|at| at < named_at + ms(VERSION_MS)),
        "{wakeup:?}"
    );
}

// Guards against requests to an engine that begin after the end of its version, because its load is
// unknown and was taken for none.
#[rstest]
#[case::no_report(None)]
#[case::old_report(Some(3_000))]
fn an_engine_that_may_start_too_late_gets_no_request_before_its_version_ends(
    #[case] reported_ms: Option<u64>,
) {
    let named_at = Instant::now();
    let mut core = core(named_at);
    core.set_wanted_version(MODEL, 2, ChangeTime::At(named_at));
    for host in [1, 2, 3] {
        if let Some(reported) = reported_ms {
            core.update_load(named_at + ms(reported), ip(host), load(0));
        }
    }
    let now = named_at + ms(6_900);
    let ticket = core.admit(now, &request("chat")).unwrap();
    let decision = decide(&mut core, now, ticket);
    assert!(!matches!(decision, Some(Decision::Send(_))), "{decision:?}");
}

// Guards against requests on a version that has ended, because a newer configuration no longer has
// their target and nothing tells that its endpoints are engines.
#[test]
fn a_waiting_request_whose_target_is_gone_is_not_sent_to_a_version_that_has_ended() {
    let now = Instant::now();
    let mut core = core(now);
    let ticket = core.admit(now, &request("chat")).unwrap();
    let mut without = configuration(2, routes());
    without.targets.clear();
    core.set_configuration(Arc::new(without));
    core.set_wanted_version(MODEL, 2, ChangeTime::At(now - ms(9_000)));
    assert_eq!(decide(&mut core, now, ticket), None);
}
