//! `fairness`: measures the latency of nine customers that stay below their shares while a tenth
//! sends ten times its share.

use std::time::Duration;

use limpetloom::settings::RoutingPolicy;

use crate::Args;
use crate::common::Tally;
use crate::report::{Report, Target};
use crate::traffic::{Bench, chat_request, engine_capacity, site_builder};

/// Engines of the site.
const MODELS: usize = 6;
/// Entries of the site.
const ENTRIES: usize = 2;
/// Customers that share the site.
const CUSTOMERS: f64 = 10.0;
/// Load of each ordinary customer, as a fraction of its share.
const ORDINARY_LOAD: f64 = 0.7;
/// Load of the large customer, as a multiple of its share.
const LARGE_LOAD: f64 = 10.0;
const WARM_UP_DURATION: Duration = Duration::from_secs(8);
const LOAD_DURATION: Duration = Duration::from_secs(6);

/// Runs the measurement.
pub async fn run(args: &Args) -> Report {
    let capacity = MODELS as f64 * engine_capacity(1.0);
    let share = capacity / CUSTOMERS;
    let builder = site_builder(MODELS, ENTRIES, args.seed, RoutingPolicy::Adaptive);
    let bench = Bench::start(builder).await;
    run_ordinary_load(&bench, share, WARM_UP_DURATION, args.seed).await;
    let without_large = run_ordinary_load(&bench, share, LOAD_DURATION, args.seed + 1).await;
    let (with_large, large) = tokio::join!(
        run_ordinary_load(&bench, share, LOAD_DURATION, args.seed + 2),
        bench.load_with(LARGE_LOAD * share, LOAD_DURATION, args.seed + 3, |number| {
            chat_request(number % 8, number, "customer-10")
        })
    );
    let mut report = Report::new("fairness");
    report.record("fairness.capacity", capacity, "req/s", Target::None);
    report.record(
        "fairness.p95_without",
        without_large.first_token_ms(0.95),
        "ms",
        Target::None,
    );
    report.record(
        "fairness.p95_with",
        with_large.first_token_ms(0.95),
        "ms",
        Target::None,
    );
    report.record(
        "fairness.p95_ratio",
        with_large.first_token_ms(0.95) / without_large.first_token_ms(0.95),
        "ratio",
        Target::AtMost(1.2),
    );
    let refused = with_large.refusals() as f64 / with_large.sent.max(1) as f64;
    report.record("fairness.others_refused", refused, "share", Target::None);
    let answered_shares = large.answered as f64 / LOAD_DURATION.as_secs_f64() / share;
    report.record(
        "fairness.large_answered",
        answered_shares,
        "shares",
        Target::None,
    );
    let lost =
        with_large.lost.len() + with_large.wrong.len() + large.lost.len() + large.wrong.len();
    report.record("fairness.lost", lost as f64, "count", Target::Exactly(0.0));
    bench.site.stop().await;
    report
}

/// Runs the load of the nine ordinary customers. `share` is the share of each, in requests per
/// second.
async fn run_ordinary_load(bench: &Bench, share: f64, duration: Duration, seed: u64) -> Tally {
    let rate = (CUSTOMERS - 1.0) * share * ORDINARY_LOAD;
    bench
        .load_with(rate, duration, seed, move |number| {
            let customer = format!("customer-{}", number % 9 + 1);
            chat_request(100 + number % 16, seed << 32 | number, &customer)
        })
        .await
}
