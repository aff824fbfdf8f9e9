use std::time::{Duration, Instant};

use rstest::rstest;

use crate::codes::Code;
use crate::delivery::*;
use crate::wire::SettleState;

fn work(key: &str) -> ledger::WorkKey {
    ("studio".into(), "booking".into(), key.into())
}

#[rstest]
#[case::running(&[], OfferDecision::Refuse(Code::StillRunning), SettleState::Running)]
#[case::done(&["answered"], OfferDecision::Replay("paid".into()), SettleState::Done)]
#[case::lost(&["lost"], OfferDecision::Refuse(Code::OutcomeUnknown), SettleState::Unknown)]
#[case::refused(&["fence"], OfferDecision::Refuse(Code::Fenced), SettleState::Fenced)]
#[case::late_loss_after_answer(&["answered", "lost"], OfferDecision::Replay("paid".into()), SettleState::Done)]
#[case::late_answer_after_loss(&["lost", "answered"], OfferDecision::Refuse(Code::OutcomeUnknown), SettleState::Unknown)]
#[case::late_fence_after_answer(&["answered", "fence"], OfferDecision::Replay("paid".into()), SettleState::Done)]
#[case::late_answer_after_fence(&["fence", "answered"], OfferDecision::Refuse(Code::Fenced), SettleState::Fenced)]
fn key_runs_once(
    #[case] events: &[&str],
    #[case] same_attempt: OfferDecision,
    #[case] settled: SettleState,
) {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    let attempt = "e1-1".into();
    assert_eq!(ledger.offer(now, &attempt, work("k")), OfferDecision::Run);
    for event in events {
        match *event {
            "answered" => ledger.record_answer(&attempt, Some("paid".into())),
            "lost" => ledger.record_lost(&attempt),
            _ => ledger.fence(now, &attempt),
        }
    }
    assert_eq!(ledger.offer(now, &attempt, work("k")), same_attempt);
    let other = ledger.offer(now, &"e2-1".into(), work("k"));
    let fenced = settled == SettleState::Fenced;
    assert_eq!(other == OfferDecision::Run, fenced);
    assert_eq!(ledger.settle(now, &attempt).0, settled);
}

#[test]
fn settling_an_unknown_attempt_fences_it_for_good() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    let attempt = "e1-1".into();
    assert_eq!(ledger.settle(now, &attempt).0, SettleState::Fenced);
    let late = now + KEY_RETENTION - Duration::from_secs(1);
    let verdict = ledger.offer(late, &attempt, work("k"));
    assert_eq!(verdict, OfferDecision::Refuse(Code::Fenced));
}

#[test]
fn ledger_is_bounded_by_the_horizon() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    for n in 0..100 {
        ledger.offer(now, &format!("e1-{n}").into(), work(&n.to_string()));
    }
    let later = now + KEY_RETENTION + Duration::from_secs(1);
    ledger.offer(later, &"e1-new".into(), work("new"));
    assert_eq!(ledger.len(), 1);
}

#[test]
fn full_ledger_refuses_and_forgets_nothing() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    for n in 0..50_000 {
        ledger.offer(now, &format!("e1-{n}").into(), work(&n.to_string()));
    }
    let verdict = ledger.offer(now, &"e2-1".into(), work("new"));
    assert_eq!(verdict, OfferDecision::Refuse(Code::EndpointFull));
    let verdict = ledger.offer(now, &"e2-2".into(), work("0"));
    assert_eq!(verdict, OfferDecision::Refuse(Code::StillRunning));
}

#[test]
fn large_answers_are_dropped_but_their_outcome_stays() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    let text: std::sync::Arc<str> = "x".repeat(3 << 20).into();
    for n in 0..2 {
        let attempt = format!("e1-{n}").into();
        ledger.offer(now, &attempt, work(&n.to_string()));
        ledger.record_answer(&attempt, Some(text.clone()));
    }
    let first = ledger.settle(now, &"e1-0".into());
    assert_eq!(first, (SettleState::Done, None));
    let verdict = ledger.offer(now, &"e1-9".into(), work("0"));
    assert_eq!(verdict, OfferDecision::Refuse(Code::OutcomeUnknown));
}

#[rstest]
#[case::innocent(&[], QuarantineStatus::Clear)]
#[case::one_crash(&["crash 1"], QuarantineStatus::Suspect)]
#[case::same_crash_seen_twice(&["crash 1", "crash 1"], QuarantineStatus::Suspect)]
#[case::two_crashes(&["crash 1", "crash 2"], QuarantineStatus::Quarantined)]
#[case::cleared_alone(&["crash 1", "alone"], QuarantineStatus::Clear)]
#[case::crash_after_clearing(&["crash 1", "alone", "crash 2"], QuarantineStatus::Suspect)]
#[case::no_clearing_out_of_quarantine(&["crash 1", "crash 2", "alone"], QuarantineStatus::Quarantined)]
fn standing_follows_crashes(#[case] events: &[&str], #[case] expected: QuarantineStatus) {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for event in events {
        match *event {
            "crash 1" => drop(quarantine.record_crash(now, &"f".into(), 1)),
            "crash 2" => drop(quarantine.record_crash(now, &"f".into(), 2)),
            _ => quarantine.completed_alone(now, "f"),
        }
    }
    assert_eq!(quarantine.status("f"), expected);
}

#[test]
fn crashes_of_two_agents_join_in_any_order() {
    let now = Instant::now();
    let (mut a, mut b) = (Quarantine::default(), Quarantine::default());
    a.record_crash(now, &"f".into(), 1);
    b.record_crash(now, &"f".into(), 2);
    let (from_a, from_b) = (a.entries(now), b.entries(now));
    assert!(a.merge(now, &from_b));
    assert!(b.merge(now, &from_a));
    assert!(!b.merge(now, &from_a));
    assert_eq!(a.status("f"), QuarantineStatus::Quarantined);
    assert_eq!(a.entries(now), b.entries(now));
}

#[test]
fn processes_do_not_keep_an_old_fingerprint_alive_among_themselves() {
    let now = Instant::now();
    let (mut a, mut b) = (Quarantine::default(), Quarantine::default());
    a.record_crash(now, &"f".into(), 1);
    let half = now + Duration::from_secs(30 * 60);
    b.merge(half, &a.entries(half));
    let end = now + Duration::from_secs(60 * 60 + 1);
    a.expire(end);
    assert!(a.is_empty());
    a.merge(end, &b.entries(end));
    assert!(a.is_empty());
    b.expire(end);
    assert!(b.is_empty());
}

#[test]
fn quarantine_is_bounded() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for n in 0..5_000 {
        quarantine.record_crash(now, &format!("f{n}").into(), n);
    }
    assert_eq!(quarantine.len(), 1_024);
}
