use rstest::rstest;

use super::*;

#[rstest]
#[case::keyed_continues("booking", "", SettleState::Running)]
#[case::other_is_cancelled("chat", "cancel a1", SettleState::Fenced)]
fn disconnect_of_the_entry_cancels_only_unkeyed_attempts(
    #[case] class: &str,
    #[case] expected: &str,
    #[case] state: SettleState,
) {
    let mut fixture = Fixture::new();
    fixture.send(class);
    let actions = fixture.handle(AgentEvent::EntryGone {
        attempt: "a1".into(),
    });
    assert_eq!(summarize(&actions), expected);
    assert_eq!(fixture.settle("a1"), state);
}

#[test]
fn cancelled_attempt_frees_its_slot_once() {
    let mut fixture = Fixture::new();
    fixture.send("chat");
    fixture.send("chat");
    let entry_gone = AgentEvent::EntryGone {
        attempt: "a1".into(),
    };
    assert_eq!(summarize(&fixture.handle(entry_gone)), "cancel a1");
    assert_eq!(
        fixture.send("chat"),
        "",
        "it occupies its slot until the endpoint reports its end"
    );
    let cancelled = AgentEvent::Cancelled {
        attempt: "a1".into(),
    };
    assert_eq!(summarize(&fixture.handle(cancelled.clone())), "+a3");
    assert_eq!(fixture.send("chat"), "");
    assert_eq!(summarize(&fixture.handle(cancelled)), "");
}

#[test]
fn cancel_report_for_a_running_attempt_is_ignored() {
    let mut fixture = Fixture::new();
    fixture.send("chat");
    fixture.send("chat");
    let unexpected = AgentEvent::Cancelled {
        attempt: "a2".into(),
    };
    assert_eq!(summarize(&fixture.handle(unexpected)), "");
    assert_eq!(fixture.send("chat"), "");
}

#[test]
fn break_of_a_cancelled_suspect_is_not_a_crash() {
    let mut fixture = Fixture::new();
    let mut offer = fixture.offer("chat");
    offer.suspect = true;
    offer.fingerprint = "f1".into();
    fixture.send_offer(offer);
    let attempt: AttemptId = "a1".into();
    fixture.handle(AgentEvent::EntryGone {
        attempt: attempt.clone(),
    });
    let maybe_sent = true;
    fixture.handle(AgentEvent::Broken {
        attempt,
        maybe_sent,
    });
    fixture.send("chat");
    let mut again = fixture.offer("chat");
    again.fingerprint = "f1".into();
    assert_eq!(fixture.send_offer(again), "+a3");
}

#[rstest]
#[case::not_sent(false, "-2004 a1", SettleState::Fenced)]
#[case::sent(true, "-3001 a1", SettleState::Unknown)]
fn broken_keyed_attempt_is_fenced_only_when_not_sent(
    #[case] maybe_sent: bool,
    #[case] refusal: &str,
    #[case] state: SettleState,
) {
    let mut fixture = Fixture::new();
    fixture.send("booking");
    let attempt = "a1".into();
    let actions = fixture.handle(AgentEvent::Broken {
        attempt,
        maybe_sent,
    });
    assert_eq!(summarize(&actions), refusal);
    assert_eq!(fixture.settle("a1"), state);
}

#[test]
fn refused_keyed_attempt_stays_fenced() {
    let mut fixture = Fixture::new();
    let mut offer = fixture.offer("booking");
    offer.generation = 4;
    assert_eq!(fixture.send_offer(offer.clone()), "-2006 a1");
    offer.generation = 5;
    assert_eq!(fixture.send_offer(offer), "-2016 a1");
}

#[rstest]
#[case::crash(true, "")]
#[case::connection_lost_only(false, "+a3")]
fn only_a_restart_makes_suspects(#[case] restarted: bool, #[case] repeated: &str) {
    let mut fixture = Fixture::new();
    fixture.send("chat");
    fixture.handle(AgentEvent::Broken {
        attempt: "a1".into(),
        maybe_sent: true,
    });
    if restarted {
        fixture.probe("engine", 99, Some("v1"));
    }
    fixture.send("chat");
    let mut again = fixture.offer("chat");
    again.fingerprint = "f1".into();
    assert_eq!(fixture.send_offer(again), repeated);
}

#[test]
fn second_crash_quarantines_the_request() {
    let mut fixture = Fixture::new();
    for instance in [21, 22] {
        let mut offer = fixture.offer("chat");
        offer.fingerprint = "f-crash".into();
        fixture.send_offer(offer.clone());
        fixture.probe("engine", instance, Some("v1"));
        let attempt = offer.attempt;
        fixture.handle(AgentEvent::Broken {
            attempt,
            maybe_sent: true,
        });
    }
    let mut offer = fixture.offer("chat");
    offer.fingerprint = "f-crash".into();
    assert_eq!(fixture.send_offer(offer), "-2010 a3");
}
