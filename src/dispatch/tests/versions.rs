//! Which weight versions start requests, by the time since which a newer one is wanted.

use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::dispatch::*;
use crate::types::ChangeTime;

/// True when a request is sent to an engine that serves version 1.
fn starts_on_version_1(core: &mut Dispatcher, now: Instant) -> bool {
    for host in [1, 2, 3] {
        core.update_load(now, ip(host), load(0));
    }
    let ticket = core.admit(now, &request("chat")).unwrap();
    let decision = decide(core, now, ticket);
    core.finish(now, ticket);
    matches!(decision, Some(Decision::Send(_)))
}

// Guards against requests that begin on a version after its deadline because one of the reports on
// the newer version, by the store or an agent, was read late.
#[rstest]
#[case::only_in_time(&[0], 0)]
#[case::late_report_first(&[3_700, 0], 0)]
#[case::late_report_last(&[0, 3_700], 0)]
#[case::late_reports_only(&[3_700, 5_000, 4_000], 3_700)]
fn an_older_version_ends_by_the_earliest_report_on_a_newer_one(
    #[case] reported_ms: &[u64],
    #[case] wanted_since_ms: u64,
) {
    let named_at = Instant::now();
    let mut core = core(named_at);
    for since in reported_ms {
        core.set_wanted_version(named_at, MODEL, 2, ChangeTime::At(named_at + ms(*since)));
    }
    let deadline = named_at + ms(wanted_since_ms + 7_000);
    assert!(starts_on_version_1(&mut core, deadline - ms(1)));
    assert!(!starts_on_version_1(&mut core, deadline));
}
