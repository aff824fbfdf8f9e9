use rstest::rstest;

use super::*;

#[test]
fn interactive_work_pauses_deferrable_work_and_gives_back() {
    let mut bench = Bench::new();
    bench.warm();
    (0..4).for_each(|_| drop(bench.send("batch")));
    assert_eq!(bench.send("chat"), "pause a6");
    let attempt = "a6".into();
    let actions = bench.handle(AgentEvent::Paused { attempt });
    assert_eq!(brief(&actions), "+a7");
    assert_eq!(bench.answer("a7"), "resume a6");
}

/// One stream draws 400 mW, the idle endpoint 100 mW.
#[rstest]
#[case::four_streams(1_700, 4)]
#[case::two_streams(900, 2)]
#[case::none(300, 0)]
fn share_of_power_bounds_the_work(#[case] power: u64, #[case] limit: u32) {
    let mut bench = Bench::new();
    bench.warm();
    bench.grant(power);
    assert_eq!(bench.state("engine").1, limit);
}

#[test]
fn work_that_the_share_does_not_bear_is_refused() {
    let mut bench = Bench::new();
    bench.grant(300);
    assert_eq!(bench.send("chat"), "-2014 a1");
}

#[test]
fn endpoint_without_a_share_gets_no_work_under_a_cap() {
    let mut bench = Bench::new();
    let capped = Targets {
        site_power: 1_000,
        ..targets("v1")
    };
    bench.sync(6, Some(capped));
    assert_eq!(bench.state("engine").1, 0);
    bench.grant(1_000);
    assert_eq!(bench.state("engine").1, 2);
}

#[test]
fn lowered_share_pauses_deferrable_work_at_once() {
    let mut bench = Bench::new();
    bench.warm();
    bench.send("chat");
    bench.send("batch");
    assert_eq!(bench.grant(500), "pause a4");
    let attempt = "a4".into();
    let actions = bench.handle(AgentEvent::Paused { attempt });
    assert_eq!(brief(&actions), "");
    assert_eq!(bench.answer("a3"), "resume a4");
}
