//! `zones`: measures latency and losses while a zone is taken out and brought back under load, then
//! taken out again with the links to half of its agents stalled.

use std::time::{Duration, Instant};

use limpetloom::settings::RoutingPolicy;

use crate::Args;
use crate::common::Tally;
use crate::relay::Relay;
use crate::report::{Report, Target};
use crate::traffic::{Bench, engine_capacity, site_builder};

/// Engines of the site, a third in each zone.
const MODELS: usize = 12;
/// Entries of the site.
const ENTRIES: usize = 3;
/// Groups of requests whose prompts share a prefix.
const PROMPT_GROUPS: u64 = 24;
/// Load as a share of the capacity of two of the three zones.
const LOAD_SHARE: f64 = 0.7;
/// The zone that is taken out.
const ZONE: &str = "kozhikode-a";
/// Maximum time until a zone that is taken out gets no more new requests.
const MAX_NEW_WORK_TIME: Duration = Duration::from_secs(3);
const WARM_UP_DURATION: Duration = Duration::from_secs(8);
const LOAD_DURATION: Duration = Duration::from_secs(6);
/// Interval at which the request counters of the zone's engines are read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the measurement.
pub async fn run(args: &Args) -> Report {
    let rate = LOAD_SHARE * MODELS as f64 * 2.0 / 3.0 * engine_capacity(1.0);
    let builder = site_builder(MODELS, ENTRIES, args.seed, RoutingPolicy::Adaptive);
    let bench = Bench::start(builder).await;
    let relays = add_relays(&bench).await;
    bench
        .load(rate, WARM_UP_DURATION, PROMPT_GROUPS, args.seed)
        .await;
    let before = bench
        .load(rate, LOAD_DURATION, PROMPT_GROUPS, args.seed + 1)
        .await;

    let mut report = Report::new("zones");
    report.record("zones.load", rate, "req/s", Target::None);
    report.record(
        "zones.p95_before",
        before.first_token_ms(0.95),
        "ms",
        Target::None,
    );

    bench.site.zone_out(ZONE).expect("targets are valid");
    let (out, last) = tokio::join!(
        bench.load(rate, LOAD_DURATION, PROMPT_GROUPS, args.seed + 2),
        last_new_work(&bench, LOAD_DURATION)
    );
    record_zone(&mut report, "out", &before, &out);
    record_last_new_work(&mut report, "out", last);

    bench.site.zone_in(ZONE).expect("targets are valid");
    let back = bench
        .load(rate, LOAD_DURATION, PROMPT_GROUPS, args.seed + 3)
        .await;
    record_zone(&mut report, "back", &before, &back);

    relays.iter().for_each(|relay| relay.stall(true));
    bench.site.zone_out(ZONE).expect("targets are valid");
    let (stalled, last) = tokio::join!(
        bench.load(rate, LOAD_DURATION, PROMPT_GROUPS, args.seed + 4),
        last_new_work(&bench, LOAD_DURATION)
    );
    record_zone(&mut report, "stalled", &before, &stalled);
    record_last_new_work(&mut report, "stalled", last);
    relays.iter().for_each(|relay| relay.stall(false));
    bench.site.stop().await;
    report
}

/// Records the figures of one phase; latency is relative to that before the zone was taken out.
fn record_zone(report: &mut Report, phase: &str, before: &Tally, tally: &Tally) {
    let lost = tally.lost.len() + tally.wrong.len();
    let uncertain = tally.possibly_run as f64;
    let ratio = tally.first_token_ms(0.95) / before.first_token_ms(0.95);
    let refused = tally.refusals() as f64;
    let name = |what: &str| format!("zones.{phase}.{what}");
    report.record(name("p95_ratio"), ratio, "ratio", Target::AtMost(1.2));
    report.record(name("lost"), lost as f64, "count", Target::Exactly(0.0));
    report.record(name("uncertain"), uncertain, "count", Target::Exactly(0.0));
    report.record(name("refused"), refused, "count", Target::Exactly(0.0));
}

fn record_last_new_work(report: &mut Report, phase: &str, time: Duration) {
    let name = format!("zones.{phase}.last_new_work");
    let bound = MAX_NEW_WORK_TIME.as_secs_f64();
    report.record(name, time.as_secs_f64(), "s", Target::AtMost(bound));
}

/// Time from the call until the zone's engines received their last request; zero if they received
/// none.
async fn last_new_work(bench: &Bench, duration: Duration) -> Duration {
    let requests = || -> u64 {
        let models = bench.site.models.iter();
        models
            .filter(|model| &*model.settings.process.zone == ZONE)
            .map(|model| model.engine.counters().requests)
            .sum()
    };
    let start = Instant::now();
    let (mut previous, mut last) = (requests(), Duration::ZERO);
    while start.elapsed() < duration {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let now = requests();
        if now != previous {
            (previous, last) = (now, start.elapsed());
        }
    }
    last
}

/// Puts relays in front of the control and traffic addresses of every second agent of the zone.
async fn add_relays(bench: &Bench) -> Vec<Relay> {
    let mut relays = Vec::new();
    let host_names: Vec<String> = bench
        .site
        .models
        .iter()
        .filter(|model| &*model.settings.process.zone == ZONE)
        .step_by(2)
        .map(|model| model.settings.process.host.to_string())
        .collect();
    for name in host_names {
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
    // Gives the entries time to read the host list and to connect through the relays.
    tokio::time::sleep(Duration::from_secs(3)).await;
    relays
}
