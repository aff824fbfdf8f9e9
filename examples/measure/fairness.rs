//! `fairness`: one customer at ten times its share beside nine at their share.

use std::time::Duration;

use limpetloom::settings::RoutingPolicy;

use crate::Args;
use crate::common::Tally;
use crate::report::{Report, Target};
use crate::traffic::{Bench, chat, engine_capacity, site};

/// Engines of the site.
const MODELS: usize = 6;
/// Entries of the site.
const ENTRIES: usize = 2;
/// Customers that share the site.
const CUSTOMERS: f64 = 10.0;
/// Load of each ordinary customer, as a part of its share.
const ORDINARY: f64 = 0.7;
/// Load of the large customer, as a multiple of its share.
const LARGE: f64 = 10.0;
const WARM_UP: Duration = Duration::from_secs(8);
const SPAN: Duration = Duration::from_secs(6);

/// Runs the measurement.
pub async fn run(args: &Args) -> Report {
    let capacity = MODELS as f64 * engine_capacity(1.0);
    let share = capacity / CUSTOMERS;
    let builder = site(MODELS, ENTRIES, args.seed, RoutingPolicy::Adaptive);
    let bench = Bench::start(builder).await;
    ordinary(&bench, share, WARM_UP, args.seed).await;
    let without = ordinary(&bench, share, SPAN, args.seed + 1).await;
    let (with, large) = tokio::join!(
        ordinary(&bench, share, SPAN, args.seed + 2),
        bench.load_with(LARGE * share, SPAN, args.seed + 3, |number| chat(
            number % 8,
            number,
            "customer-10"
        ))
    );
    let mut report = Report::new("fairness");
    report.figure("fairness.capacity", capacity, "req/s", Target::None);
    report.figure(
        "fairness.p95_without",
        without.first_token_ms(0.95),
        "ms",
        Target::None,
    );
    report.figure(
        "fairness.p95_with",
        with.first_token_ms(0.95),
        "ms",
        Target::None,
    );
    report.figure(
        "fairness.p95_ratio",
        with.first_token_ms(0.95) / without.first_token_ms(0.95),
        "ratio",
        Target::AtMost(1.2),
    );
    let refused = with.refusals() as f64 / with.sent.max(1) as f64;
    report.figure("fairness.others_refused", refused, "share", Target::None);
    let of_share = large.answered as f64 / SPAN.as_secs_f64() / share;
    report.figure("fairness.large_answered", of_share, "shares", Target::None);
    let lost = with.lost.len() + with.wrong.len() + large.lost.len() + large.wrong.len();
    report.figure("fairness.lost", lost as f64, "count", Target::Exactly(0.0));
    bench.site.stop().await;
    report
}

/// Load of the nine ordinary customers.
async fn ordinary(bench: &Bench, share: f64, span: Duration, seed: u64) -> Tally {
    let rate = (CUSTOMERS - 1.0) * share * ORDINARY;
    bench
        .load_with(rate, span, seed, move |number| {
            let customer = format!("customer-{}", number % 9 + 1);
            chat(100 + number % 16, seed << 32 | number, &customer)
        })
        .await
}
