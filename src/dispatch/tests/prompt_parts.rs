//! Prompt parts that crash the endpoints that run them.

use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::codes::Code;
use crate::delivery::Suspect;
use crate::dispatch::*;
use crate::types::PromptPart;

/// Prompt part that crashes endpoints.
const HARMFUL: PromptPart = 7;
/// Incarnation of all agents.
const AGENT: u64 = 50;

/// A chat request with these prompt parts; no two are alike.
fn prompt(number: u64, parts: &[PromptPart]) -> CallerRequest {
    CallerRequest {
        prompt_parts: parts.into(),
        fingerprint: number,
        ..request("chat")
    }
}

/// Host of an engine of the fixture.
fn host(assignment: &Assignment) -> u8 {
    assignment.endpoint[1..].parse().unwrap()
}

fn sight(core: &mut Dispatcher, now: Instant, host: u8, sight: EndpointSight) {
    core.record_sight(now, ip(host), AGENT, sight);
}

/// A dispatcher whose engines have been seen alive.
fn watched_core(now: Instant) -> Dispatcher {
    let mut core = core(now);
    (1..=3).for_each(|host| sight(&mut core, now, host, EndpointSight::Alive(1)));
    core
}

/// Sends a request, breaks its attempt, and has the agent attest the crash. The next process of the
/// engine is up at once. Returns false when the request is refused.
fn crash(core: &mut Dispatcher, now: Instant, number: u64, parts: &[PromptPart]) -> bool {
    let Ok(ticket) = core.admit(now, &prompt(number, parts)) else {
        return false;
    };
    let Some(Decision::Send(assignment)) = decide(core, now, ticket) else {
        return false;
    };
    core.attempt_ended(now, ticket, AttemptOutcome::Broken);
    core.finish(now, ticket);
    let host = host(&assignment);
    sight(core, now, host, EndpointSight::Down);
    let mut restarted = listed(&assignment.endpoint, "engines", host, "north");
    restarted.incarnation = 10 + number;
    sight(core, now, host, EndpointSight::Alive(restarted.incarnation));
    core.update_endpoint(now, restarted);
    true
}

/// Suspects of the uncleared crashes that an entry shares.
fn uncleared(core: &mut Dispatcher, now: Instant) -> Vec<Suspect> {
    let crashes = core.crashes(now).into_iter();
    let uncleared = crashes.filter(|crash| !crash.is_cleared);
    let mut suspects: Vec<_> = uncleared.map(|crash| crash.suspect).collect();
    suspects.sort_unstable();
    suspects
}

/// Sends a request that is answered in full, and waits until no crash can take the answer back.
fn answer(core: &mut Dispatcher, now: Instant, parts: &[PromptPart]) -> Instant {
    let (ticket, _) = send(core, now, &prompt(now.elapsed().as_nanos() as u64, parts));
    core.attempt_started(now, ticket, Some(1));
    core.attempt_ended(now, ticket, AttemptOutcome::Answered);
    let now = now + ms(500);
    core.dispatch_waiting(now);
    now
}

/// Guards against blame that falls on whole requests only.
#[test]
fn requests_that_share_a_crashing_part_are_refused_by_all_entries() {
    let mut now = Instant::now();
    let mut first = watched_core(now);
    now = answer(&mut first, now, &[1]);
    let runs = (0..6).filter(|number| crash(&mut first, now, *number, &[1, HARMFUL, *number + 20]));
    assert_eq!(runs.count(), 3);
    let refusal = first.admit(now, &prompt(60, &[1, HARMFUL])).unwrap_err();
    assert_eq!(refusal.code, Code::Quarantined);
    assert_eq!(refusal.prompt_parts, [HARMFUL]);
    assert!(first.admit(now, &prompt(61, &[1, 2])).is_ok());

    let mut second = core(now);
    second.merge_crashes(now, &first.crashes(now));
    assert!(second.admit(now, &prompt(62, &[2, HARMFUL])).is_err());
    assert!(second.admit(now, &prompt(63, &[1, 2])).is_ok());
}

#[test]
fn a_waiting_request_is_refused_when_its_part_is_blamed() {
    let now = Instant::now();
    let mut core = watched_core(now);
    let ticket = core.admit(now, &prompt(60, &[HARMFUL])).unwrap();
    let mut other = watched_core(now);
    (0..3).for_each(|number| assert!(crash(&mut other, now, number, &[HARMFUL])));
    core.merge_crashes(now, &other.crashes(now));
    let decision = decide(&mut core, now, ticket);
    assert_eq!(refusal_code(decision), Some(Code::Quarantined));
}

#[rstest]
#[case::not_run(AttemptOutcome::NotSent, Code::Quarantined)]
#[case::may_have_run(AttemptOutcome::Broken, Code::OutcomeUnknown)]
fn a_request_with_a_blamed_part_is_not_sent_again(
    #[case] outcome: AttemptOutcome,
    #[case] expected: Code,
) {
    let now = Instant::now();
    let mut core = watched_core(now);
    let (ticket, _) = send(&mut core, now, &prompt(60, &[HARMFUL]));
    let mut other = watched_core(now);
    (0..3).for_each(|number| assert!(crash(&mut other, now, number, &[HARMFUL])));
    core.merge_crashes(now, &other.crashes(now));
    let NextStep::Refuse(refusal) = core.attempt_ended(now, ticket, outcome) else {
        panic!("the request is sent again");
    };
    assert_eq!(refusal.code, expected);
    assert_eq!(refusal.prompt_parts, [HARMFUL]);
}

#[test]
fn a_request_that_waits_for_its_repeat_is_refused_with_an_unknown_outcome() {
    let now = Instant::now();
    let mut core = watched_core(now);
    let (ticket, _) = send(&mut core, now, &prompt(60, &[HARMFUL]));
    let step = core.attempt_ended(now, ticket, AttemptOutcome::Broken);
    assert_eq!(step, NextStep::Wait);
    let mut other = watched_core(now);
    (0..3).for_each(|number| assert!(crash(&mut other, now, number, &[HARMFUL])));
    core.merge_crashes(now, &other.crashes(now));
    let decision = decide(&mut core, now, ticket);
    assert_eq!(refusal_code(decision), Some(Code::OutcomeUnknown));
}

/// How the end of an engine is seen.
#[derive(Clone, Copy, Debug)]
enum Sign {
    Down,
    Replaced,
    DownBeforeTheBreak,
    DownLongBefore,
    OtherAgent,
    NoAnswer,
    Leaving,
    AliveAgain,
}

#[rstest]
#[case::down(Sign::Down, true)]
#[case::replaced(Sign::Replaced, true)]
#[case::down_before_the_break(Sign::DownBeforeTheBreak, true)]
#[case::down_long_before_the_break(Sign::DownLongBefore, false)]
// A host without power has no agent to attest the crash, and its next one has not seen the engine.
#[case::other_agent(Sign::OtherAgent, false)]
#[case::no_answer(Sign::NoAnswer, false)]
#[case::leaving(Sign::Leaving, false)]
#[case::alive_again(Sign::AliveAgain, false)]
fn only_attested_crashes_of_engines_that_stay_count(#[case] sign: Sign, #[case] counts: bool) {
    let now = Instant::now();
    let mut core = watched_core(now);
    let (ticket, assignment) = send(&mut core, now, &prompt(60, &[HARMFUL]));
    let host = host(&assignment);
    let end = |core: &mut Dispatcher, now| {
        core.attempt_ended(now, ticket, AttemptOutcome::Broken);
        core.finish(now, ticket);
    };
    match sign {
        Sign::DownBeforeTheBreak => {
            sight(&mut core, now, host, EndpointSight::Down);
            end(&mut core, now + ms(900));
        }
        Sign::DownLongBefore => {
            sight(&mut core, now, host, EndpointSight::Down);
            end(&mut core, now + ms(3_100));
        }
        Sign::Leaving => {
            let mut leaving = listed(&assignment.endpoint, "engines", host, "north");
            leaving.is_leaving = true;
            core.update_endpoint(now, leaving);
            end(&mut core, now);
            sight(&mut core, now, host, EndpointSight::Down);
        }
        _ => end(&mut core, now),
    }
    match sign {
        Sign::Down => sight(&mut core, now, host, EndpointSight::Down),
        Sign::Replaced => sight(&mut core, now, host, EndpointSight::Alive(2)),
        Sign::NoAnswer => sight(&mut core, now, host, EndpointSight::Unknown),
        Sign::OtherAgent => {
            core.record_sight(now, ip(host), AGENT + 1, EndpointSight::Down);
            core.record_sight(now, ip(host), AGENT + 1, EndpointSight::Alive(2));
        }
        Sign::AliveAgain => {
            sight(&mut core, now, host, EndpointSight::Down);
            sight(&mut core, now, host, EndpointSight::Alive(1));
        }
        Sign::DownBeforeTheBreak | Sign::DownLongBefore | Sign::Leaving => {}
    }
    let expected = [Suspect::Part(HARMFUL), Suspect::Request(60)];
    let expected = expected.into_iter().filter(|_| counts);
    assert_eq!(
        uncleared(&mut core, now + ms(1_000)),
        expected.collect::<Vec<_>>()
    );
}

/// How an engine's crash relates to an attempt that ended there before.
#[rstest]
#[case::complete(AttemptOutcome::Answered, 500, 0)]
#[case::complete_at_the_crash(AttemptOutcome::Answered, 0, 3)]
#[case::abandoned(AttemptOutcome::CallerGone, 500, 2)]
#[case::abandoned_at_the_crash(AttemptOutcome::CallerGone, 0, 3)]
#[case::rejected(AttemptOutcome::Rejected, 500, 2)]
#[case::failed(AttemptOutcome::Failed, 500, 2)]
#[case::broken(AttemptOutcome::Broken, 500, 3)]
#[case::not_run(AttemptOutcome::NotRun { is_full: true }, 0, 2)]
fn complete_answers_clear_parts_and_ends_at_a_crash_count(
    #[case] outcome: AttemptOutcome,
    #[case] millis_until_crash: u64,
    #[case] expected: usize,
) {
    let now = Instant::now();
    let mut core = watched_core(now);
    (0..2).for_each(|number| assert!(crash(&mut core, now, number, &[HARMFUL])));
    let (ticket, assignment) = send(&mut core, now, &prompt(60, &[HARMFUL]));
    core.attempt_ended(now, ticket, outcome);
    core.finish(now, ticket);
    let now = now + ms(millis_until_crash);
    core.dispatch_waiting(now);
    sight(&mut core, now, host(&assignment), EndpointSight::Down);
    let uncleared = uncleared(&mut core, now);
    let count = uncleared
        .iter()
        .filter(|suspect| **suspect == Suspect::Part(HARMFUL));
    assert_eq!(count.count(), expected, "{uncleared:?}");
}

#[test]
fn recognised_crashes_and_changes_of_blame_are_noticed() {
    let now = Instant::now();
    let mut core = watched_core(now);
    (0..3).for_each(|number| assert!(crash(&mut core, now, number, &[HARMFUL])));
    let notices = core.take_notices();
    let is_attested = |notice: &&Notice| {
        matches!(
            notice,
            Notice::EndpointCrashed {
                sign: CrashSign::Agent,
                attempts: 1,
                ..
            }
        )
    };
    assert_eq!(notices.iter().filter(is_attested).count(), 3);
    let blame = notices.iter().find_map(|notice| match notice {
        Notice::BlameChanged { change, source } => Some((change.suspects.clone(), *source)),
        _ => None,
    });
    assert_eq!(
        blame,
        Some(([Suspect::Part(HARMFUL)].into(), BlameSource::Own))
    );
    assert!(core.take_notices().is_empty());
    assert_eq!(core.snapshot(now).blamed, [["part 7"]]);
}
