use std::time::{Duration, Instant};

use rstest::rstest;

use crate::codes::Code;
use crate::delivery::*;
use crate::wire::SettleState;

fn scoped_key(key: &str) -> ledger::ScopedKey {
    ("studio".into(), "booking".into(), key.into())
}

#[rstest]
#[case::running(&[], OfferDecision::Refuse(Code::StillRunning), SettleState::Running)]
#[case::done(&["answered"], OfferDecision::Replay("paid".into()), SettleState::Done)]
#[case::lost(&["lost"], OfferDecision::Refuse(Code::OutcomeUnknown), SettleState::Unknown)]
#[case::fenced(&["fence"], OfferDecision::Refuse(Code::Fenced), SettleState::Fenced)]
#[case::lost_after_answer(&["answered", "lost"], OfferDecision::Replay("paid".into()), SettleState::Done)]
#[case::answer_after_lost(&["lost", "answered"], OfferDecision::Refuse(Code::OutcomeUnknown), SettleState::Unknown)]
#[case::fence_after_answer(&["answered", "fence"], OfferDecision::Replay("paid".into()), SettleState::Done)]
#[case::answer_after_fence(&["fence", "answered"], OfferDecision::Refuse(Code::Fenced), SettleState::Fenced)]
fn key_runs_at_most_once(
    #[case] events: &[&str],
    #[case] decision_on_resend: OfferDecision,
    #[case] settled: SettleState,
) {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    let attempt = "e1-1".into();
    assert_eq!(
        ledger.offer(now, &attempt, scoped_key("k")),
        OfferDecision::Run
    );
    for event in events {
        match *event {
            "answered" => ledger.record_answer(&attempt, Some("paid".into())),
            "lost" => ledger.record_lost(&attempt),
            _ => ledger.fence(now, &attempt),
        }
    }
    assert_eq!(
        ledger.offer(now, &attempt, scoped_key("k")),
        decision_on_resend
    );
    let other_attempt = ledger.offer(now, &"e2-1".into(), scoped_key("k"));
    let fenced = settled == SettleState::Fenced;
    assert_eq!(other_attempt == OfferDecision::Run, fenced);
    assert_eq!(ledger.settle(now, &attempt).0, settled);
}

#[test]
fn settling_an_unknown_attempt_fences_it() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    let attempt = "e1-1".into();
    assert_eq!(ledger.settle(now, &attempt).0, SettleState::Fenced);
    let late = now + KEY_RETENTION - Duration::from_secs(1);
    let decision = ledger.offer(late, &attempt, scoped_key("k"));
    assert_eq!(decision, OfferDecision::Refuse(Code::Fenced));
}

#[test]
fn ledger_removes_attempts_after_the_retention_time() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    for n in 0..100 {
        ledger.offer(now, &format!("e1-{n}").into(), scoped_key(&n.to_string()));
    }
    let later = now + KEY_RETENTION + Duration::from_secs(1);
    ledger.offer(later, &"e1-new".into(), scoped_key("new"));
    assert_eq!(ledger.len(), 1);
}

#[test]
fn full_ledger_refuses_new_attempts_and_keeps_old_ones() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    for n in 0..50_000 {
        ledger.offer(now, &format!("e1-{n}").into(), scoped_key(&n.to_string()));
    }
    let decision = ledger.offer(now, &"e2-1".into(), scoped_key("new"));
    assert_eq!(decision, OfferDecision::Refuse(Code::EndpointFull));
    let decision = ledger.offer(now, &"e2-2".into(), scoped_key("0"));
    assert_eq!(decision, OfferDecision::Refuse(Code::StillRunning));
}

#[test]
fn large_answers_are_dropped_but_outcomes_are_kept() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    let text: std::sync::Arc<str> = "x".repeat(3 << 20).into();
    for n in 0..2 {
        let attempt = format!("e1-{n}").into();
        ledger.offer(now, &attempt, scoped_key(&n.to_string()));
        ledger.record_answer(&attempt, Some(text.clone()));
    }
    let first = ledger.settle(now, &"e1-0".into());
    assert_eq!(first, (SettleState::Done, None));
    let decision = ledger.offer(now, &"e1-9".into(), scoped_key("0"));
    assert_eq!(decision, OfferDecision::Refuse(Code::OutcomeUnknown));
}

#[rstest]
#[case::no_crash(&[], QuarantineStatus::Clear)]
#[case::one_crash(&["crash 1"], QuarantineStatus::Suspect)]
#[case::same_crash_reported_twice(&["crash 1", "crash 1"], QuarantineStatus::Suspect)]
#[case::two_crashes(&["crash 1", "crash 2"], QuarantineStatus::Quarantined)]
#[case::completed_alone(&["crash 1", "alone"], QuarantineStatus::Clear)]
#[case::crash_after_clearing(&["crash 1", "alone", "crash 2"], QuarantineStatus::Suspect)]
#[case::quarantined_is_not_cleared(&["crash 1", "crash 2", "alone"], QuarantineStatus::Quarantined)]
fn status_follows_crashes(#[case] events: &[&str], #[case] expected: QuarantineStatus) {
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
fn crashes_of_two_processes_merge_in_any_order() {
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
fn exchanged_entries_expire_with_the_original_crash() {
    let now = Instant::now();
    let (mut a, mut b) = (Quarantine::default(), Quarantine::default());
    a.record_crash(now, &"f".into(), 1);
    let halfway = now + Duration::from_secs(30 * 60);
    b.merge(halfway, &a.entries(halfway));
    let end = now + Duration::from_secs(60 * 60 + 1);
    a.expire(end);
    assert!(a.is_empty());
    a.merge(end, &b.entries(end));
    assert!(a.is_empty());
    b.expire(end);
    assert!(b.is_empty());
}

#[test]
fn quarantine_keeps_a_bounded_number_of_fingerprints() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for n in 0..5_000 {
        quarantine.record_crash(now, &format!("f{n}").into(), n);
    }
    assert_eq!(quarantine.len(), 1_024);
}
