use rstest::rstest;

use super::*;

#[test]
fn interactive_attempt_pauses_a_deferrable_one_until_it_completes() {
    let mut fixture = Fixture::new();
    fixture.warm();
    (0..4).for_each(|_| drop(fixture.send("batch")));
    assert_eq!(fixture.send("chat"), "pause a6");
    let attempt = "a6".into();
    let actions = fixture.handle(AgentEvent::Paused { attempt });
    assert_eq!(summarize(&actions), "+a7");
    assert_eq!(fixture.answer("a7"), "resume a6");
}

/// One running attempt draws 400 mW, the idle endpoint 100 mW.
#[rstest]
#[case::four_attempts(1_700, 4)]
#[case::two_attempts(900, 2)]
#[case::none(300, 0)]
fn power_grant_limits_concurrency(#[case] power: u64, #[case] limit: u32) {
    let mut fixture = Fixture::new();
    fixture.warm();
    fixture.grant(power);
    assert_eq!(fixture.state_and_limit("engine").1, limit);
}

#[test]
fn attempt_is_refused_when_the_grant_is_too_small() {
    let mut fixture = Fixture::new();
    fixture.grant(300);
    assert_eq!(fixture.send("chat"), "-2014 a1");
}

#[test]
fn endpoint_without_a_grant_gets_no_attempts_under_a_cap() {
    let mut fixture = Fixture::new();
    let capped = Targets {
        site_power: 1_000,
        ..targets("v1")
    };
    fixture.sync(6, Some(capped));
    assert_eq!(fixture.state_and_limit("engine").1, 0);
    fixture.grant(1_000);
    assert_eq!(fixture.state_and_limit("engine").1, 2);
}

#[test]
fn lowered_grant_pauses_a_deferrable_attempt() {
    let mut fixture = Fixture::new();
    fixture.warm();
    fixture.send("chat");
    fixture.send("batch");
    assert_eq!(fixture.grant(500), "pause a4");
    let attempt = "a4".into();
    let actions = fixture.handle(AgentEvent::Paused { attempt });
    assert_eq!(summarize(&actions), "");
    assert_eq!(fixture.answer("a3"), "resume a4");
}
