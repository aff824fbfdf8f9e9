use rstest::rstest;

use super::*;

#[rstest]
#[case::keyed_runs_on("booking", "", SettleState::Running)]
#[case::other_is_cancelled("chat", "cancel a1", SettleState::Fenced)]
fn entry_gone(#[case] class: &str, #[case] expected: &str, #[case] state: SettleState) {
    let mut bench = Bench::new();
    bench.send(class);
    let actions = bench.handle(AgentEvent::EntryGone {
        attempt: "a1".into(),
    });
    assert_eq!(brief(&actions), expected);
    assert_eq!(bench.settle("a1"), state);
}

#[test]
fn a_cancelled_attempt_gives_its_place_back_once() {
    let mut bench = Bench::new();
    bench.send("chat");
    bench.send("chat");
    let gone = AgentEvent::EntryGone {
        attempt: "a1".into(),
    };
    assert_eq!(brief(&bench.handle(gone)), "cancel a1");
    assert_eq!(bench.send("chat"), "", "it runs until the endpoint says so");
    let left = AgentEvent::Cancelled {
        attempt: "a1".into(),
    };
    assert_eq!(brief(&bench.handle(left.clone())), "+a3");
    assert_eq!(bench.send("chat"), "");
    assert_eq!(brief(&bench.handle(left)), "");
}

#[test]
fn an_attempt_that_runs_is_not_cancelled_by_a_stray_report() {
    let mut bench = Bench::new();
    bench.send("chat");
    bench.send("chat");
    let stray = AgentEvent::Cancelled {
        attempt: "a2".into(),
    };
    assert_eq!(brief(&bench.handle(stray)), "");
    assert_eq!(bench.send("chat"), "");
}

#[test]
fn a_cancelled_suspect_is_not_held_to_have_crashed() {
    let mut bench = Bench::new();
    let mut offer = bench.offer("chat");
    offer.suspect = true;
    offer.fingerprint = "f1".into();
    bench.send_offer(offer);
    let attempt: AttemptId = "a1".into();
    bench.handle(AgentEvent::EntryGone {
        attempt: attempt.clone(),
    });
    let maybe_sent = true;
    bench.handle(AgentEvent::Broken {
        attempt,
        maybe_sent,
    });
    bench.send("chat");
    let mut again = bench.offer("chat");
    again.fingerprint = "f1".into();
    assert_eq!(bench.send_offer(again), "+a3");
}

#[rstest]
#[case::not_sent(false, "-2004 a1", SettleState::Fenced)]
#[case::sent(true, "-3001 a1", SettleState::Unknown)]
fn broken_keyed_work(#[case] maybe_sent: bool, #[case] told: &str, #[case] state: SettleState) {
    let mut bench = Bench::new();
    bench.send("booking");
    let attempt = "a1".into();
    let actions = bench.handle(AgentEvent::Broken {
        attempt,
        maybe_sent,
    });
    assert_eq!(brief(&actions), told);
    assert_eq!(bench.settle("a1"), state);
}

#[test]
fn refused_keyed_attempt_never_runs_later() {
    let mut bench = Bench::new();
    let mut offer = bench.offer("booking");
    offer.generation = 4;
    assert_eq!(bench.send_offer(offer.clone()), "-2006 a1");
    offer.generation = 5;
    assert_eq!(bench.send_offer(offer), "-2016 a1");
}

#[rstest]
#[case::crash(true, "")]
#[case::connection_only(false, "+a3")]
fn only_a_restart_makes_suspects(#[case] restarted: bool, #[case] second: &str) {
    let mut bench = Bench::new();
    bench.send("chat");
    bench.handle(AgentEvent::Broken {
        attempt: "a1".into(),
        maybe_sent: true,
    });
    if restarted {
        bench.probe("engine", 99, Some("v1"));
    }
    bench.send("chat");
    let mut again = bench.offer("chat");
    again.fingerprint = "f1".into();
    assert_eq!(bench.send_offer(again), second);
}

#[test]
fn second_crash_quarantines() {
    let mut bench = Bench::new();
    for instance in [21, 22] {
        let mut offer = bench.offer("chat");
        offer.fingerprint = "poison".into();
        bench.send_offer(offer.clone());
        bench.probe("engine", instance, Some("v1"));
        let attempt = offer.attempt;
        bench.handle(AgentEvent::Broken {
            attempt,
            maybe_sent: true,
        });
    }
    let mut offer = bench.offer("chat");
    offer.fingerprint = "poison".into();
    assert_eq!(bench.send_offer(offer), "-2010 a3");
}
