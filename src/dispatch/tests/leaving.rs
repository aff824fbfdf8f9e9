//! Endpoints that announce that they leave.

use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::codes::Code;
use crate::dispatch::*;

fn leaving() -> Statement {
    Statement {
        is_leaving: true,
        ..Default::default()
    }
}

/// Dispatcher with one plain endpoint, d1.
fn core_with_one_desk(now: Instant) -> Dispatcher {
    let mut core = core(now);
    core.remove_endpoint(now, "d2", false);
    core
}

/// List entry of d1.
fn listed_desk(incarnation: u64, is_leaving: bool) -> ListedEndpoint {
    ListedEndpoint {
        incarnation,
        is_leaving,
        ..listed("d1", "desk", 11, "north")
    }
}

/// True when a request to the plain service is sent, false when it is refused at once.
fn is_sent(core: &mut Dispatcher, now: Instant) -> bool {
    let ticket = core.admit(now, &request("look")).unwrap();
    match decide(core, now, ticket) {
        Some(Decision::Send(_)) => true,
        decision => {
            assert_eq!(refusal_code(decision), Some(Code::NoneAccepts));
            false
        }
    }
}

/// Guards against an announcement that is forgotten by the list, by an older copy of it, or by a gap in it.
#[rstest]
#[case::nothing(&[], false)]
#[case::listed_as_ready(&[Some((1, false))], false)]
#[case::removed_and_listed_again(&[None, Some((1, false))], false)]
#[case::older_incarnation_listed(&[Some((0, false)), Some((1, false))], false)]
#[case::restarted(&[Some((2, false))], true)]
#[case::removed_and_restarted(&[None, Some((2, false))], true)]
#[case::restarted_and_leaving_again(&[Some((2, false)), Some((2, true))], false)]
fn leaving_holds_until_a_new_incarnation(
    #[case] list: &[Option<(u64, bool)>],
    #[case] expected: bool,
    #[values(true, false)] is_announced: bool,
) {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    match is_announced {
        true => {
            let (ticket, _) = send(&mut core, now, &request("look"));
            core.record_statement(now, ticket, &leaving());
            core.attempt_ended(now, ticket, AttemptOutcome::Answered);
        }
        false => {
            core.update_endpoint(now, listed_desk(1, true));
        }
    }
    for step in list {
        match step {
            Some((incarnation, is_leaving)) => {
                core.update_endpoint(now, listed_desk(*incarnation, *is_leaving));
            }
            None => core.remove_endpoint(now, "d1", false),
        }
    }
    assert_eq!(is_sent(&mut core, now), expected);
}

#[test]
fn a_late_answer_of_an_earlier_incarnation_says_nothing_of_the_next() {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    let (ticket, _) = send(&mut core, now, &request("look"));
    core.update_endpoint(now, listed_desk(2, false));
    core.record_statement(now, ticket, &leaving());
    assert!(is_sent(&mut core, now));
}

/// Guards against reports that are read for limits only.
#[test]
fn a_report_announces_leaving_for_its_own_incarnation() {
    let now = Instant::now();
    let mut core = core(now);
    let report = |incarnation: u64, statement: Statement| EndpointLoad {
        incarnation,
        statement,
        ..load(0)
    };
    let state = |core: &Dispatcher| {
        let view = core.snapshot(now).endpoints;
        view.iter().find(|e| &*e.id == "e1").unwrap().is_leaving
    };
    core.update_load(now, ip(1), report(1, leaving()));
    assert!(state(&core));
    core.update_load(now, ip(1), report(2, Statement::default()));
    assert!(!state(&core));
    // A late one of the earlier process.
    core.update_load(now, ip(1), report(1, leaving()));
    assert!(!state(&core));
}

#[test]
fn an_announcement_is_noticed_once_and_lets_running_streams_finish() {
    let now = Instant::now();
    let mut core = core(now);
    let (stream, assignment) = send(&mut core, now, &request("chat"));
    core.record_statement(now, stream, &leaving());
    core.record_statement(now, stream, &leaving());
    core.attempt_started(now, stream, Some(1));
    let announced = Notice::LeavingAnnounced {
        endpoint: assignment.endpoint,
        incarnation: 1,
        source: StatementSource::Answer,
    };
    assert_eq!(core.take_notices(), [announced]);
    let step = core.attempt_ended(now, stream, AttemptOutcome::Answered);
    assert_eq!(step, NextStep::Finish);
}

/// Guards against a request that was assigned before the announcement and is sent after it.
#[test]
fn an_attempt_that_was_assigned_before_an_announcement_may_not_be_sent() {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    let (assigned, assignment) = send(&mut core, now, &request("look"));
    let (told, _) = send(&mut core, now, &request("look"));
    assert!(core.may_send(now, assigned, &assignment.endpoint));
    core.record_statement(now, told, &leaving());
    assert!(!core.may_send(now, assigned, &assignment.endpoint));
}

/// Guards against an end that was announced and counts as a crash of the requests there.
#[test]
fn the_end_of_an_endpoint_that_has_announced_leaving_is_no_crash() {
    let now = Instant::now();
    let mut core = core_with_one_desk(now);
    let (told, _) = send(&mut core, now, &request("look"));
    let (broken, _) = send(&mut core, now, &request("look"));
    core.record_statement(now, told, &leaving());
    core.attempt_ended(now, broken, AttemptOutcome::Broken);
    core.remove_endpoint(now, "d1", false);
    let notices = core.take_notices();
    let is_crash = |n: &Notice| matches!(n, Notice::EndpointCrashed { .. });
    assert!(!notices.iter().any(is_crash), "{notices:?}");
}
