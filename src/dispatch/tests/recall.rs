//! Attempts that wait at an engine while its version ends.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::fixture::*;
use crate::codes::Code;
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
        core.set_wanted_version(named_at, MODEL, 2, named);
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
    core.set_wanted_version(named_at, MODEL, 2, ChangeTime::At(named_at));
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

// Guards against attempts that are taken back in numbers, because each entry sends to an engine that
// has just reported that it is idle as if no other did.
#[test]
fn entries_that_send_at_once_leave_an_engine_whose_version_ends_time_to_begin() {
    const ENTRIES: u32 = 5;
    let named_at = Instant::now();
    let now = named_at + ms(6_730);
    let mut sent = 0;
    for seed in 0..ENTRIES {
        let mut core = core_with_seed(named_at, u64::from(seed));
        core.set_entry_count(named_at, ENTRIES);
        core.remove_endpoint(named_at, "e2", false);
        core.remove_endpoint(named_at, "e3", false);
        core.set_wanted_version(named_at, MODEL, 2, ChangeTime::At(named_at));
        core.update_load(now, ip(1), load(0));
        for _ in 0..16 {
            core.admit(now, &request("chat")).unwrap();
        }
        sent += core.dispatch_waiting(now).len() as u32;
    }
    let prompt = f64::from(request("chat").prompt_tokens);
    let queued = f64::from(sent - 1) * prompt;
    let last = engine_model().time_to_first_event(sent - 1, queued, prompt);
    assert!(
        now + last <= named_at + ms(START_GRACE_MS),
        "{sent} sent, {last:?}"
    );
}

// Guards against requests on a version that has ended, because a newer configuration no longer has
// their target, and its endpoints are no longer known to be engines.
#[test]
fn a_waiting_request_whose_target_is_gone_is_not_sent_to_a_version_that_has_ended() {
    let now = Instant::now();
    let mut core = core(now);
    let ticket = core.admit(now, &request("chat")).unwrap();
    let mut without = configuration(2, routes());
    without.targets.clear();
    core.set_configuration(Arc::new(without));
    core.set_wanted_version(now, MODEL, 2, ChangeTime::At(now - ms(9_000)));
    assert_eq!(decide(&mut core, now, ticket), None);
}

/// Time after the naming of a version by which an attempt on an older one must have begun.
const START_GRACE_MS: u64 = 7_500;

/// What happens to an attempt while it waits at its engine.
#[derive(Clone, Copy, Debug)]
enum Meanwhile {
    Nothing,
    FirstEvent,
    /// The engine reports that it serves the newer version.
    NewerVersionThere,
    /// The engine is listed with no whole model, and leaves the list.
    EngineUnlisted,
    /// The caller leaves.
    CallerLeaves,
}

#[rstest]
#[case::still_queued(Meanwhile::Nothing, true)]
#[case::started(Meanwhile::FirstEvent, false)]
#[case::begins_on_the_newer_version(Meanwhile::NewerVersionThere, false)]
#[case::engine_unlisted(Meanwhile::EngineUnlisted, true)]
#[case::caller_gone(Meanwhile::CallerLeaves, false)]
fn an_attempt_that_has_not_begun_when_its_version_ends_is_taken_back(
    #[case] meanwhile: Meanwhile,
    #[case] is_recalled: bool,
) {
    let named_at = Instant::now();
    let mut core = core(named_at);
    core.set_wanted_version(named_at, MODEL, 2, ChangeTime::At(named_at));
    let sent_at = named_at + ms(4_000);
    let (ticket, assignment) = send(&mut core, sent_at, &request("chat"));
    match meanwhile {
        Meanwhile::Nothing => {}
        Meanwhile::FirstEvent => core.attempt_started(sent_at + ms(90), ticket, Some(1)),
        Meanwhile::NewerVersionThere => {
            for host in [1, 2, 3] {
                let mut load = load(0);
                load.models = vec![(MODEL.into(), 2)];
                core.update_load(sent_at + ms(90), ip(host), load);
            }
        }
        Meanwhile::EngineUnlisted => {
            for (id, host, region) in [("e1", 1, "north"), ("e2", 2, "north"), ("e3", 3, "south")] {
                let mut entry = listed(id, "engines", host, region);
                entry.models = Vec::new();
                core.update_endpoint(sent_at + ms(90), entry);
                core.remove_endpoint(sent_at + ms(90), id, false);
            }
        }
        Meanwhile::CallerLeaves => drop(core.finish(sent_at + ms(90), ticket)),
    }
    let bound = named_at + ms(START_GRACE_MS);
    assert!(core.recall_overdue(bound - ms(1)).is_empty());
    assert_eq!(core.recall(ticket), None);
    let expected = Recall {
        endpoint: assignment.endpoint,
        version: Some(1),
        waited: ms(3_500),
        allowed: ms(3_500),
        way: Duration::ZERO,
    };
    let expected = is_recalled.then_some(expected);
    assert_eq!(core.recall_overdue(bound).len(), usize::from(is_recalled));
    assert_eq!(core.recall(ticket), expected);
    // Each attempt is taken back once.
    assert!(core.recall_overdue(bound + ms(1)).is_empty());
    assert_eq!(core.next_wakeup(), None);
}

#[test]
fn a_version_that_proves_to_be_overdue_recalls_what_waits() {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, _) = send(&mut core, now, &request("chat"));
    core.set_wanted_version(now, MODEL, 2, ChangeTime::At(now - ms(9_000)));
    assert_eq!(core.recall_overdue(now), [ticket]);
    let recall = core.recall(ticket).unwrap();
    assert_eq!((recall.waited, recall.allowed), (ms(0), ms(0)));
}

#[test]
fn attempts_at_plain_services_are_not_recalled() {
    let now = Instant::now();
    let mut core = core(now);
    send(&mut core, now, &request("look"));
    core.set_wanted_version(now, MODEL, 2, ChangeTime::Unknown);
    assert!(core.recall_overdue(now + ms(9_000)).is_empty());
}

// Guards against requests that run twice, or are refused as not run, after an attempt that may have
// begun was taken back.
#[rstest]
#[case::resumable(Repeat::Resumable, true)]
#[case::safe(Repeat::Safe, true)]
#[case::never(Repeat::Never, false)]
fn a_recalled_request_is_sent_on_only_if_it_may_be_repeated(
    #[case] repeat: Repeat,
    #[case] is_sent_on: bool,
) {
    let named_at = Instant::now();
    let mut core = core(named_at);
    let routes = vec![route("chat", "engines", repeat)];
    core.set_configuration(Arc::new(configuration(2, routes)));
    core.set_wanted_version(named_at, MODEL, 2, ChangeTime::At(named_at));
    core.remove_endpoint(named_at, "e3", false);
    let (ticket, first) = send(&mut core, named_at + ms(5_000), &request("chat"));
    core.update_endpoint(named_at, listed("e3", "engines", 3, "south"));
    let bound = named_at + ms(START_GRACE_MS);
    let mut newer = load(0);
    newer.models = vec![(MODEL.into(), 2)];
    core.update_load(bound, ip(3), newer);
    assert_eq!(core.recall_overdue(bound), [ticket]);
    let step = core.attempt_ended(bound, ticket, AttemptOutcome::Recalled);
    let failing = |core: &Dispatcher| {
        let views = core.snapshot(bound).endpoints;
        views
            .iter()
            .find(|e| e.id == first.endpoint)
            .map(|e| (e.failing, e.own))
    };
    // The endpoint has done nothing wrong.
    assert_eq!(failing(&core), Some((0.0, 0)));
    match (step, is_sent_on) {
        (NextStep::Wait, true) => {
            let decision = decide(&mut core, bound, ticket);
            match decision {
                Some(Decision::Send(next)) => assert_eq!(&*next.endpoint, "e3"),
                other => panic!("{other:?}"),
            }
        }
        (NextStep::Refuse(refusal), false) => assert_eq!(refusal.code, Code::OutcomeUnknown),
        (step, _) => panic!("{step:?}"),
    }
}

/// What happens between the assignment of an attempt and the time at which its connection stands.
#[derive(Clone, Copy, Debug)]
enum Delay {
    Short,
    PastLastSending,
    EngineLeaves,
    ZoneTakenOut,
    Unlisted,
}

// Guards against requests that begin on a version after its end, because the entry stood still between
// the decision and the sending.
#[rstest]
#[case::short(Delay::Short, true)]
#[case::past_last_sending(Delay::PastLastSending, false)]
#[case::engine_leaves(Delay::EngineLeaves, false)]
#[case::zone_taken_out(Delay::ZoneTakenOut, false)]
#[case::unlisted(Delay::Unlisted, false)]
fn an_assigned_attempt_is_sent_only_while_its_engine_is_allowed(
    #[case] delay: Delay,
    #[case] may_send: bool,
) {
    let named_at = Instant::now();
    let mut core = core(named_at);
    core.set_wanted_version(named_at, MODEL, 2, ChangeTime::At(named_at));
    let sent_at = named_at + ms(6_600);
    for host in [1, 2, 3] {
        core.update_load(sent_at, ip(host), load(0));
    }
    let (ticket, assignment) = send(&mut core, sent_at, &request("chat"));
    let id = assignment.endpoint;
    let now = match delay {
        Delay::PastLastSending => named_at + ms(7_100),
        _ => sent_at + ms(100),
    };
    match delay {
        Delay::EngineLeaves => {
            let all = [("e1", 1), ("e2", 2), ("e3", 3)];
            let (name, host) = *all.iter().find(|(name, _)| *name == &*id).unwrap();
            let mut leaving = listed(name, "engines", host, "north");
            leaving.is_leaving = true;
            core.update_endpoint(now, leaving);
        }
        Delay::ZoneTakenOut => {
            core.set_evacuated_zones(["north-a", "south-a"].map(Into::into).into());
        }
        Delay::Unlisted => core.remove_endpoint(now, &id, false),
        Delay::Short | Delay::PastLastSending => {}
    }
    assert_eq!(core.may_send(now, ticket, &id), may_send);
    let step = core.attempt_ended(now, ticket, AttemptOutcome::Withdrawn);
    assert_eq!(step, NextStep::Wait);
    // Nothing was sent, and the endpoint has done nothing wrong.
    let views = core.snapshot(now).endpoints;
    let view = views.iter().find(|e| e.id == id);
    assert!(view.is_none_or(|e| (e.failing, e.own) == (0.0, 0)));
}

/// Regression: the close of an attempt that was taken back took as long as its request had, and the
/// engine began it after the end of its version.
#[rstest]
#[case::short(20)]
#[case::long(450)]
fn an_attempt_whose_way_is_long_is_taken_back_sooner(#[case] way_ms: u64) {
    let named_at = Instant::now();
    let (mut core, ticket, assignment) = assigned_before_the_end(named_at, ms(6_400));
    let stands_at = named_at + ms(6_400 + way_ms);
    assert!(core.may_send(stands_at, ticket, &assignment.endpoint));
    let bound = named_at + ms(7_500 - way_ms);
    assert_eq!(core.next_wakeup(), Some(bound));
    assert!(core.recall_overdue(bound - ms(1)).is_empty());
    assert_eq!(core.recall_overdue(bound), [ticket]);
}

#[test]
fn an_attempt_that_could_not_be_taken_back_in_time_is_not_sent() {
    let named_at = Instant::now();
    let (mut core, ticket, assignment) = assigned_before_the_end(named_at, ms(6_400));
    // Requests are sent until 7 s, and this one would have to begin by 6.91 s.
    let stands_at = named_at + ms(6_990);
    assert!(!core.may_send(stands_at, ticket, &assignment.endpoint));
}

/// Dispatcher with an attempt on an older version, assigned `after` the naming of a newer one.
fn assigned_before_the_end(
    named_at: Instant,
    after: Duration,
) -> (Dispatcher, TicketId, Assignment) {
    let mut core = core(named_at);
    core.set_wanted_version(named_at, MODEL, 2, ChangeTime::At(named_at));
    for host in [1, 2, 3] {
        core.update_load(named_at + after, ip(host), load(0));
    }
    let (ticket, assignment) = send(&mut core, named_at + after, &request("chat"));
    (core, ticket, assignment)
}
