//! Measures the latency and processor time that entry and agent add to a streamed request, compared
//! with the same request sent directly to the engine, and the memory of the process.

use std::error::Error;
use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Args;
use crate::common::{Balancer, Caller, Chat, Load, LoadRequest, Site, Tally, run_load};
use crate::report::{Report, Target};

/// Requests per second at the peak.
const PEAK_RATE: f64 = 820.0;
/// Rates that are tried beyond the peak, in requests per second.
const HIGHER_RATES: [f64; 6] = [1200.0, 1600.0, 2400.0, 3200.0, 4800.0, 6400.0];
/// Model endpoints.
const MODELS: usize = 8;
/// Requests that an engine runs at once; high enough that engines never limit the rate.
const ENGINE_LIMIT: u32 = 2000;
/// Tokens in an answer.
const TOKENS: u64 = 16;
/// Pairs of rounds at the peak rate: one direct, one through entry and agent.
const ROUNDS: u64 = 3;
/// Duration of a round at the peak rate.
const ROUND_DURATION: Duration = Duration::from_secs(4);
/// Duration of a round that warms up or runs at a higher rate.
const SHORT_ROUND_DURATION: Duration = Duration::from_secs(2);
/// A rate counts as held up to this 99th percentile of the time to the first token, in ms.
const MAX_HELD_P99_MS: f64 = 50.0;
/// Clock ticks per second, the unit of the process times in `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: f64 = 4096.0;

type BoxError = Box<dyn Error + Send + Sync>;

/// Runs the measurement.
pub async fn run(args: &Args) -> Report {
    let mut report = Report::new("overhead");
    if let Err(e) = measure(args, &mut report).await {
        eprintln!("overhead: {e}");
        report.record("completed", 0.0, "runs", Target::Exactly(1.0));
    }
    report
}

/// Results of one round, with its processor time and duration.
struct Round {
    tally: Tally,
    cpu: Duration,
    elapsed: Duration,
}

/// Sum of the rounds at the same rate on the same path.
#[derive(Default)]
struct PathTotals {
    tally: Tally,
    cpu: Duration,
    elapsed: Duration,
}

struct Bench {
    caller: Caller,
    /// Balances over the engines.
    direct: Arc<Balancer>,
    /// Balances over the entries.
    routed: Arc<Balancer>,
    seed: u64,
}

async fn measure(args: &Args, report: &mut Report) -> Result<(), BoxError> {
    let site = Site::builder()
        .zones(3)
        .entries(2)
        .models(MODELS)
        .services(0)
        .seed(args.seed)
        .preloaded()
        .engine(|_, cfg| {
            cfg.cold_limit = ENGINE_LIMIT;
            cfg.warm_limit = ENGINE_LIMIT;
            cfg.warm_up_requests = 0;
            cfg.prefill = Duration::ZERO;
            cfg.prefill_per_block = Duration::ZERO;
            cfg.token_interval_per_request = Duration::ZERO;
            cfg.token_mj = 1;
        })
        .entry_settings(|_, settings| settings.limits.traffic_connections = 10_000)
        .agent_settings(|_, settings| settings.limits.traffic_connections = 10_000)
        .start()
        .await?;
    site.wait_ready(Duration::from_secs(15)).await?;
    let engines = site
        .models
        .iter()
        .map(|model| model.engine.addr())
        .collect();
    let bench = Bench {
        caller: Caller::new(),
        direct: Arc::new(Balancer::fixed(engines)),
        routed: Arc::new(Balancer::fixed(site.entry_addrs())),
        seed: args.seed,
    };
    bench
        .round(&bench.direct, PEAK_RATE, SHORT_ROUND_DURATION)
        .await;
    bench
        .round(&bench.routed, PEAK_RATE, SHORT_ROUND_DURATION)
        .await;
    measure_peak(&bench, report).await;
    measure_highest_rate(&bench, report).await;
    Ok(())
}

async fn measure_peak(bench: &Bench, report: &mut Report) {
    let [mut direct, mut routed] = [PathTotals::default(), PathTotals::default()];
    let mut memory = Vec::new();
    for _ in 0..ROUNDS {
        direct.add(bench.round(&bench.direct, PEAK_RATE, ROUND_DURATION).await);
        routed.add(bench.round(&bench.routed, PEAK_RATE, ROUND_DURATION).await);
        memory.push(resident_bytes());
    }
    compare(report, "peak", &direct, &routed);
    let cores = routed.cores() - direct.cores();
    let tokens_per_s = routed.tally.tokens as f64 / routed.elapsed.as_secs_f64();
    report.record("peak_tokens", tokens_per_s, "tokens/s", Target::None);
    report.record(
        "cores_per_100k_tokens",
        cores * 1e5 / tokens_per_s,
        "cores",
        Target::None,
    );
    let (first, last) = (memory[0], memory[memory.len() - 1]);
    report.record("memory", last / 1e6, "MB", Target::None);
    report.record(
        "memory_growth",
        (last / first - 1.0) * 100.0,
        "%",
        Target::AtMost(5.0),
    );
}

/// Finds the highest rate that is held through entry and agent, and compares the paths at that
/// rate.
async fn measure_highest_rate(bench: &Bench, report: &mut Report) {
    let mut held = PEAK_RATE;
    let mut routed = PathTotals::default();
    for rate in HIGHER_RATES {
        let round = bench.round(&bench.routed, rate, SHORT_ROUND_DURATION).await;
        if !is_held(&round.tally) {
            break;
        }
        held = rate;
        routed = PathTotals::default();
        routed.add(round);
    }
    report.record(
        "highest_rate_held",
        held,
        "requests/s",
        Target::AtLeast(PEAK_RATE),
    );
    if routed.tally.sent == 0 {
        return;
    }
    let mut direct = PathTotals::default();
    direct.add(bench.round(&bench.direct, held, SHORT_ROUND_DURATION).await);
    compare(report, "highest", &direct, &routed);
}

/// True if every request was answered and the time to the first token is low enough.
fn is_held(tally: &Tally) -> bool {
    tally.answered == tally.sent && first_ms(tally, 0.99) <= MAX_HELD_P99_MS
}

fn compare(report: &mut Report, name: &str, direct: &PathTotals, routed: &PathTotals) {
    for (path, tally) in [("straight", &direct.tally), ("through", &routed.tally)] {
        for (label, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let figure = format!("{name}_{path}_{label}");
            report.record(figure, first_ms(tally, quantile), "ms", Target::None);
        }
    }
    let added = |quantile| first_ms(&routed.tally, quantile) - first_ms(&direct.tally, quantile);
    report.record(
        format!("{name}_added_p50"),
        added(0.5),
        "ms",
        Target::AtMost(0.3),
    );
    report.record(
        format!("{name}_added_p99"),
        added(0.99),
        "ms",
        Target::AtMost(1.0),
    );
    let not_answered = routed.tally.sent - routed.tally.answered;
    report.record(
        format!("{name}_not_answered"),
        not_answered as f64,
        "requests",
        Target::Exactly(0.0),
    );
    report.record(
        format!("{name}_cores_straight"),
        direct.cores(),
        "cores",
        Target::None,
    );
    report.record(
        format!("{name}_cores_through"),
        routed.cores(),
        "cores",
        Target::None,
    );
}

/// Quantile of the time to the first token, in milliseconds. It is counted from the actual time of
/// sending, so that delays of the load generator are left out.
fn first_ms(tally: &Tally, quantile: f64) -> f64 {
    tally.first_token_from_send_us.value_at_quantile(quantile) as f64 / 1e3
}

impl Bench {
    /// Runs one round on a path.
    async fn round(&self, path: &Arc<Balancer>, rate: f64, duration: Duration) -> Round {
        let load = Load {
            rate,
            duration,
            make_request: Box::new(|number| {
                LoadRequest::Chat(Chat {
                    customer: format!("customer-{}", 1 + number % 10),
                    tokens: TOKENS,
                    ..Chat::new(format!("question {number}"))
                })
            }),
            seed: self.seed,
        };
        let (cpu, start) = (cpu_time(), Instant::now());
        let tally = run_load(load, &self.caller, path).await;
        Round {
            tally,
            cpu: cpu_time().saturating_sub(cpu),
            elapsed: start.elapsed(),
        }
    }
}

impl PathTotals {
    fn add(&mut self, round: Round) {
        self.tally.merge(round.tally);
        self.cpu += round.cpu;
        self.elapsed += round.elapsed;
    }

    /// Mean number of processor cores in use.
    fn cores(&self) -> f64 {
        self.cpu.as_secs_f64() / self.elapsed.as_secs_f64()
    }
}

/// Processor time that this process has used so far.
fn cpu_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks = after_name
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum::<f64>();
    Duration::from_secs_f64(ticks / TICKS_PER_S)
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}
