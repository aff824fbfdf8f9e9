//! Requests leave their zone only as far as its engines are too few.

use std::time::{Duration, Instant};

use rstest::rstest;

use super::fixture::*;
use crate::dispatch::patterns::ZoneDemand;
use crate::dispatch::*;

const ZONES: [&str; 3] = ["north", "south", "west"];

/// Host number of an engine.
fn host(zone: usize, engine: usize) -> u8 {
    (20 + zone * 20 + engine) as u8
}

/// An entry in the first of three zones with `engines` engines each, without those of the fixture.
fn core_with_zones(now: Instant, engines: usize, mitigations: Mitigations) -> Dispatcher {
    let mut core = core_with_mitigations(now, mitigations);
    for id in ["e1", "e2", "e3"] {
        core.remove_endpoint(now, id, false);
    }
    for (zone, region) in ZONES.iter().enumerate() {
        for engine in 0..engines {
            let id = format!("{region}-{engine}");
            core.update_endpoint(now, listed(&id, "engines", host(zone, engine), region));
        }
    }
    core
}

/// Reports the same number of running requests at each engine of a zone.
fn report(core: &mut Dispatcher, now: Instant, engines: usize, running: [u32; 3]) {
    for (zone, running) in running.into_iter().enumerate() {
        for engine in 0..engines {
            core.update_load(now, ip(host(zone, engine)), load(running));
        }
    }
}

/// Lets requests arrive for ten seconds before engines with constant load; returns the share of the second half
/// that was sent to other zones.
fn share_leaving(core: &mut Dispatcher, start: Instant, engines: usize, running: [u32; 3]) -> f64 {
    let mut left = 0;
    for step in 0..200 {
        let now = start + ms(50) * step;
        report(core, now, engines, running);
        let (ticket, assignment) = send(core, now, &request("chat"));
        left += u32::from(step >= 100 && &*assignment.zone != "north-a");
        core.finish(now, ticket);
    }
    f64::from(left) / 100.0
}

// Load: engines at home are full and still start a request in time; those elsewhere are not. Without the answer to
// it every request leaves.
#[rstest]
#[case::good_start_at_home(true, [15, 4, 4], 0.0, 0.0)]
#[case::full_at_home(true, [16, 4, 4], 0.2, 0.8)]
#[case::full_at_home_without(false, [16, 4, 4], 1.0, 1.0)]
#[case::late_start_at_home(true, [24, 4, 4], 1.0, 1.0)]
fn requests_leave_the_zone_as_far_as_its_engines_are_too_few(
    #[case] zone_demand: bool,
    #[case] running: [u32; 3],
    #[case] least: f64,
    #[case] most: f64,
) {
    let now = Instant::now();
    let mitigations = Mitigations {
        zone_demand,
        ..Mitigations::default()
    };
    let mut core = core_with_zones(now, 8, mitigations);
    core.set_entry_count(now, 1);
    let share = share_leaving(&mut core, now, 8, running);
    assert!((least..=most).contains(&share), "{share}");
}

// Guards against requests that stay in a zone with few engines, where queues differ by chance.
#[test]
fn requests_leave_a_zone_with_few_engines_as_before() {
    let now = Instant::now();
    let mut core = core_with_zones(now, 5, Mitigations::default());
    core.set_entry_count(now, 1);
    assert!(share_leaving(&mut core, now, 5, [16, 4, 4]) > 0.9);
}

// Guards against requests that stay, or wait, while their zone is out of service or its engines are lost.
#[rstest]
#[case::evacuated(true)]
#[case::lost(false)]
fn all_requests_leave_a_zone_without_engines(#[case] is_evacuated: bool) {
    let now = Instant::now();
    let mut core = core_with_zones(now, 8, Mitigations::default());
    core.set_entry_count(now, 1);
    report(&mut core, now, 8, [0; 3]);
    if is_evacuated {
        core.set_evacuated_zones(["north-a".into()].into());
    } else {
        for engine in 0..8 {
            core.remove_endpoint(now, &format!("north-{engine}"), false);
        }
    }
    let (_, assignment) = send(&mut core, now, &request("chat"));
    assert_ne!(&*assignment.zone, "north-a");
}

/// Share that may leave over `steps` steps of 10 ms, with news of the start at home that is `lag` steps old. The
/// start grows with what stays of `demand`, in units of what the engines at home serve.
fn shares(demand: impl Fn(usize) -> f64, lag: usize, steps: usize) -> Vec<f64> {
    let start = Instant::now();
    let mut control = ZoneDemand::default();
    let mut starts = Vec::new();
    let mut shares = Vec::new();
    for step in 0..steps {
        let stays = demand(step) * (1.0 - control.share());
        starts.push(ms(100).mul_f64(stays.powi(4).min(4.0)));
        let known: Duration = starts[step.saturating_sub(lag)];
        control.observe(start + ms(10) * step as u32, known, ms(280));
        shares.push(control.share());
    }
    shares
}

// Guards against entries of a zone that all act on the same old news and send all their requests out and back.
#[rstest]
#[case::fresh_news(2)]
#[case::news_of_300_ms(30)]
#[case::news_of_a_second(100)]
fn a_shift_of_demand_moves_the_share_without_lasting_swings(#[case] lag: usize) {
    let after = 3_000;
    let shares = shares(|step| if step < 100 { 0.8 } else { 1.6 }, lag, after);
    assert!(shares[99] < 0.01, "none leaves before");
    let settled = &shares[after - 500..];
    let (low, high) = settled
        .iter()
        .fold((1.0_f64, 0.0_f64), |(low, high), share| {
            (low.min(*share), high.max(*share))
        });
    assert!(low > 0.05 && high < 0.6, "{low} to {high}");
    assert!(high - low < 0.35, "{low} to {high}");
}

// Guards against requests that go on leaving after the demand at home has fallen.
#[test]
fn requests_return_when_the_demand_falls() {
    let shares = shares(|step| if step < 1_000 { 1.6 } else { 0.8 }, 30, 3_000);
    assert!(shares[999] > 0.05);
    assert!(shares[2_999] < 0.01);
}
