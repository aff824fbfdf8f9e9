//! Configurations that change beside admitted requests.

use std::sync::Arc;
use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::codes::Code;
use crate::dispatch::*;
use crate::types::ChangeTime;

/// Change of the declaration of the engines.
#[derive(Clone, Copy, Debug)]
enum TargetChange {
    /// The target is declared as before.
    Kept,
    /// The target is no longer declared.
    Gone,
    /// The target is declared as a plain service without limits.
    Plain,
}

/// The next configuration: routes lead to the desk only, and the engines are changed.
fn configure(core: &mut Dispatcher, change: TargetChange) {
    let all = configuration(2, Vec::new());
    let targets = all.targets.values().map(|target| Target::clone(target));
    let targets = targets.filter_map(|target| match (&*target.id, change) {
        ("engines", TargetChange::Gone) => None,
        ("engines", TargetChange::Plain) => Some(Target {
            engine: None,
            models: Vec::new(),
            ..target
        }),
        _ => Some(target),
    });
    let routes = vec![route("look", "desk", Repeat::Safe)];
    let next = Configuration::new(2, routes, None, targets.collect(), all.limits);
    assert!(core.set_configuration(Arc::new(next)));
}

fn set_out_of_service(core: &mut Dispatcher, out: bool) {
    let zones = ["north-a", "south-a"].map(Into::into).into_iter();
    core.set_evacuated_zones(zones.filter(|_| out).collect());
}

// Guards against requests that begin on a version after its deadline because their target left the
// configuration while they waited.
#[rstest]
#[case::kept(TargetChange::Kept)]
#[case::gone(TargetChange::Gone)]
#[case::plain(TargetChange::Plain)]
fn a_waiting_request_keeps_to_versions_when_its_target_changes(#[case] change: TargetChange) {
    let named_at = Instant::now();
    let mut core = core(named_at);
    core.set_wanted_version(named_at, MODEL, 2, ChangeTime::At(named_at));
    let now = named_at + ms(7_000);
    set_out_of_service(&mut core, true);
    let ticket = core.admit(now, &request("chat")).unwrap();
    configure(&mut core, change);
    set_out_of_service(&mut core, false);
    assert_eq!(decide(&mut core, now, ticket), None);
    let mut current = load(0);
    current.models = vec![(MODEL.into(), 2)];
    core.update_load(now, ip(2), current);
    let Some(Decision::Send(assignment)) = decide(&mut core, now, ticket) else {
        panic!("the request is not sent to the engine with the wanted version");
    };
    assert_eq!(&*assignment.endpoint, "e2");
}

// Guards against streams that go on with another version because their target left the configuration.
#[rstest]
#[case::kept(TargetChange::Kept)]
#[case::gone(TargetChange::Gone)]
#[case::plain(TargetChange::Plain)]
fn a_resumed_stream_keeps_its_version_when_its_target_changes(#[case] change: TargetChange) {
    let now = Instant::now();
    let mut core = core(now);
    let (ticket, first) = send(&mut core, now, &request("chat"));
    core.attempt_started(now, ticket, Some(1));
    for (id, host) in [("e1", 1), ("e2", 2), ("e3", 3)] {
        if id != &*first.endpoint {
            let mut newer = load(0);
            newer.models = vec![(MODEL.into(), 2)];
            core.update_load(now, ip(host), newer);
        }
    }
    configure(&mut core, change);
    let step = core.attempt_ended(now, ticket, AttemptOutcome::Broken);
    assert_eq!(step, NextStep::Wait);
    assert_eq!(decide(&mut core, now, ticket), None);
}

// Guards against requests that begin on a version after its deadline because the configuration has a
// route to a target that it does not declare.
#[test]
fn a_request_to_an_undeclared_target_is_refused() {
    let now = Instant::now();
    let mut core = core(now);
    let all = configuration(2, Vec::new());
    let next = Configuration::new(2, routes(), None, Vec::new(), all.limits);
    assert!(core.set_configuration(Arc::new(next)));
    let refusal = core.admit(now, &request("chat")).unwrap_err();
    assert_eq!(refusal.code, Code::NoEndpoint);
    assert!(refusal.retry_after.is_some());
}

/// Number of waiting requests that are sent to the only endpoint, a cold one.
fn sent_to_cold_endpoint(change: TargetChange) -> usize {
    let now = Instant::now();
    let mut core = empty_core();
    core.set_configuration(Arc::new(configuration(1, routes())));
    let mut cold = listed("e1", "engines", 1, "north");
    cold.cold_left = ms(3_000);
    core.update_endpoint(now, cold);
    for _ in 0..40 {
        core.admit(now, &request("chat")).unwrap();
    }
    configure(&mut core, change);
    let decided = core.dispatch_waiting(now).into_iter();
    let sent = decided.filter(|(_, decision)| matches!(decision, Decision::Send(_)));
    sent.count()
}

// Guards against a cold endpoint that gets all waiting requests at once because its target left the
// configuration.
#[test]
fn a_cold_endpoint_is_spared_when_its_target_is_gone() {
    let before = sent_to_cold_endpoint(TargetChange::Kept);
    assert!((1..40).contains(&before), "{before}");
    assert_eq!(sent_to_cold_endpoint(TargetChange::Gone), before);
}

/// Change of what a request was admitted under.
#[derive(Clone, Copy, Debug)]
enum Change {
    RouteGone,
    KeyGone,
    RouteMoved,
    Shortened,
    Lengthened,
    OtherRegions,
}

// Guards against a configuration that ends requests which were admitted under an earlier one.
#[rstest]
fn an_admitted_request_ends_under_the_configuration_that_admitted_it(
    #[values(
        Change::RouteGone,
        Change::KeyGone,
        Change::RouteMoved,
        Change::Shortened,
        Change::Lengthened,
        Change::OtherRegions
    )]
    change: Change,
    #[values("chat", "look", "hold")] name: &str,
    #[values(false, true)] is_retry: bool,
) {
    let now = Instant::now();
    let mut core = core(now);
    set_out_of_service(&mut core, !is_retry);
    let ticket = core.admit(now, &request(name)).unwrap();
    let deadline = core.deadline(ticket);
    if is_retry {
        let sent = decide(&mut core, now, ticket);
        assert!(matches!(sent, Some(Decision::Send(_))));
    }
    let mut next = routes();
    for route in &mut next {
        match change {
            Change::RouteMoved if route.name.as_ref() == "chat" => {
                route.targets = vec![("desk".into(), 1)];
            }
            Change::RouteMoved => route.targets = vec![("engines".into(), 1)],
            Change::Shortened => route.timeout = ms(1),
            Change::Lengthened => route.timeout = ms(60_000),
            Change::OtherRegions => route.regions = vec!["east".into()],
            Change::RouteGone | Change::KeyGone => {}
        }
    }
    next.retain(|_| !matches!(change, Change::RouteGone));
    let all = configuration(2, Vec::new());
    let targets = all.targets.values().map(|target| Target::clone(target));
    let customers = match change {
        Change::KeyGone => Vec::new(),
        _ => customers(),
    };
    let next = Configuration::new(2, next, Some(customers), targets.collect(), all.limits);
    assert!(core.set_configuration(Arc::new(next)));
    if is_retry {
        let step = core.attempt_ended(now, ticket, AttemptOutcome::NotRun { is_full: false });
        assert_eq!(step, NextStep::Wait);
    }
    set_out_of_service(&mut core, false);
    assert_eq!(core.deadline(ticket), deadline);
    let Some(Decision::Send(assignment)) = decide(&mut core, now, ticket) else {
        panic!("the request is not sent");
    };
    let is_engine = assignment.endpoint.starts_with('e');
    assert_eq!(is_engine, name == "chat", "{}", assignment.endpoint);
    assert_eq!(assignment.customer.as_deref(), Some("studio"));
    let step = core.attempt_ended(now, ticket, AttemptOutcome::Answered);
    assert_eq!(step, NextStep::Finish);
    assert_eq!(core.snapshot(now).requests, 0);
}
