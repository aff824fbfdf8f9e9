//! `zones`: a zone leaves and returns under load, then leaves with half its links stalled.

use std::time::{Duration, Instant};

use limpetloom::settings::RoutingPolicy;

use crate::Args;
use crate::common::Tally;
use crate::relay::Relay;
use crate::report::{Report, Target};
use crate::traffic::{Bench, engine_capacity, site};

/// Engines of the site, a third in each zone.
const MODELS: usize = 12;
/// Entries of the site.
const ENTRIES: usize = 3;
/// Groups of requests that share the beginning of their prompts.
const GROUPS: u64 = 24;
/// Load as a share of the capacity that two of three zones have.
const LOAD: f64 = 0.7;
/// The zone that leaves.
const ZONE: &str = "kozhikode-a";
/// Time by which a zone that left gets no new work.
const PROMISE: Duration = Duration::from_secs(3);
const WARM_UP: Duration = Duration::from_secs(8);
const SPAN: Duration = Duration::from_secs(6);
/// Interval at which the engines of the zone are looked at.
const SAMPLE: Duration = Duration::from_millis(20);

/// Runs the measurement.
pub async fn run(args: &Args) -> Report {
    let rate = LOAD * MODELS as f64 * 2.0 / 3.0 * engine_capacity(1.0);
    let builder = site(MODELS, ENTRIES, args.seed, RoutingPolicy::Adaptive);
    let bench = Bench::start(builder).await;
    let relays = relay_half(&bench).await;
    bench.load(rate, WARM_UP, GROUPS, args.seed).await;
    let before = bench.load(rate, SPAN, GROUPS, args.seed + 1).await;

    let mut report = Report::new("zones");
    report.figure("zones.load", rate, "req/s", Target::None);
    report.figure(
        "zones.p95_before",
        before.first_token_ms(0.95),
        "ms",
        Target::None,
    );

    bench.site.zone_out(ZONE).expect("targets are valid");
    let (out, last) = tokio::join!(
        bench.load(rate, SPAN, GROUPS, args.seed + 2),
        last_new_work(&bench, SPAN)
    );
    zone_figures(&mut report, "out", &before, &out);
    last_work_figure(&mut report, "out", last);

    bench.site.zone_in(ZONE).expect("targets are valid");
    let back = bench.load(rate, SPAN, GROUPS, args.seed + 3).await;
    zone_figures(&mut report, "back", &before, &back);

    relays.iter().for_each(|relay| relay.stall(true));
    bench.site.zone_out(ZONE).expect("targets are valid");
    let (stalled, last) = tokio::join!(
        bench.load(rate, SPAN, GROUPS, args.seed + 4),
        last_new_work(&bench, SPAN)
    );
    zone_figures(&mut report, "stalled", &before, &stalled);
    last_work_figure(&mut report, "stalled", last);
    relays.iter().for_each(|relay| relay.stall(false));
    bench.site.stop().await;
    report
}

fn zone_figures(report: &mut Report, phase: &str, before: &Tally, tally: &Tally) {
    let lost = tally.lost.len() + tally.wrong.len();
    let uncertain = tally.possibly_run as f64;
    let ratio = tally.first_token_ms(0.95) / before.first_token_ms(0.95);
    let refused = tally.refusals() as f64;
    let name = |what: &str| format!("zones.{phase}.{what}");
    report.figure(name("p95_ratio"), ratio, "ratio", Target::AtMost(1.2));
    report.figure(name("lost"), lost as f64, "count", Target::Exactly(0.0));
    report.figure(name("uncertain"), uncertain, "count", Target::Exactly(0.0));
    report.figure(name("refused"), refused, "count", Target::Exactly(0.0));
}

fn last_work_figure(report: &mut Report, phase: &str, last: Duration) {
    let name = format!("zones.{phase}.last_new_work");
    let bound = PROMISE.as_secs_f64();
    report.figure(name, last.as_secs_f64(), "s", Target::AtMost(bound));
}

/// Time until the last request that an engine of the zone took.
async fn last_new_work(bench: &Bench, span: Duration) -> Duration {
    let taken = || -> u64 {
        let seats = bench.site.models.iter();
        seats
            .filter(|seat| &*seat.settings.process.zone == ZONE)
            .map(|seat| seat.engine.counters().requests)
            .sum()
    };
    let start = Instant::now();
    let (mut known, mut last) = (taken(), Duration::ZERO);
    while start.elapsed() < span {
        tokio::time::sleep(SAMPLE).await;
        let now = taken();
        if now != known {
            (known, last) = (now, start.elapsed());
        }
    }
    last
}

/// Puts a relay before control and traffic of every second agent of the zone.
async fn relay_half(bench: &Bench) -> Vec<Relay> {
    let mut relays = Vec::new();
    let names: Vec<String> = bench
        .site
        .models
        .iter()
        .filter(|seat| &*seat.settings.process.zone == ZONE)
        .step_by(2)
        .map(|seat| seat.settings.process.host.to_string())
        .collect();
    for name in names {
        let mut found = None;
        bench.site.hosts.update(|hosts| {
            found = hosts.iter().find(|host| host.host == name).cloned();
        });
        let mut host = found.expect("the agent is listed");
        let (control, traffic) = (
            Relay::spawn(host.control).await,
            Relay::spawn(host.traffic).await,
        );
        (host.control, host.traffic) = (control.addr(), traffic.addr());
        bench.site.hosts.add(host);
        relays.extend([control, traffic]);
    }
    // The entries read the list and reach the agents by the relays.
    tokio::time::sleep(Duration::from_secs(3)).await;
    relays
}
