//! What entry and agent add to a streamed request, beside the same request straight to the engine.

use std::error::Error;
use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Args;
use crate::common::{Balancer, Caller, Chat, Load, LoadRequest, Site, Tally, run_load};
use crate::report::{Report, Target};

/// Requests a second at the peak.
const PEAK_RATE: f64 = 820.0;
/// Rates that are tried beyond the peak, in requests a second.
const HIGHER_RATES: [f64; 6] = [1200.0, 1600.0, 2400.0, 3200.0, 4800.0, 6400.0];
/// Model endpoints.
const MODELS: usize = 8;
/// Requests that an engine bears at once.
const ENGINE_BOUND: u32 = 2000;
/// Tokens in an answer.
const TOKENS: u64 = 16;
/// Pairs of rounds at the peak rate, straight and through in turn.
const ROUNDS: u64 = 3;
/// Length of a round at the peak rate.
const ROUND: Duration = Duration::from_secs(4);
/// Length of a round at a higher rate.
const HIGHER_ROUND: Duration = Duration::from_secs(2);
/// Time to the first token up to which a rate counts as held, for 99 in 100.
const HELD_MS: f64 = 50.0;
/// Clock ticks a second in the kernel's accounts.
const TICKS_PER_S: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4096.0;

type BoxError = Box<dyn Error + Send + Sync>;

/// Runs the measurement.
pub async fn run(args: &Args) -> Report {
    let mut report = Report::new("overhead");
    if let Err(e) = measure(args, &mut report).await {
        eprintln!("overhead: {e}");
        report.figure("completed", 0.0, "runs", Target::Exactly(1.0));
    }
    report
}

/// Load of one round and what it took.
struct Round {
    tally: Tally,
    cpu: Duration,
    took: Duration,
}

/// Rounds with the same load on the same path.
#[derive(Default)]
struct Path {
    tally: Tally,
    cpu: Duration,
    took: Duration,
}

struct Bench {
    caller: Caller,
    straight: Arc<Balancer>,
    through: Arc<Balancer>,
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
            cfg.cold_limit = ENGINE_BOUND;
            cfg.warm_limit = ENGINE_BOUND;
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
    let engines = site.models.iter().map(|seat| seat.engine.addr()).collect();
    let bench = Bench {
        caller: Caller::new(),
        straight: Arc::new(Balancer::fixed(engines)),
        through: Arc::new(Balancer::fixed(site.entry_addrs())),
        seed: args.seed,
    };
    bench.round(&bench.straight, PEAK_RATE, HIGHER_ROUND).await;
    bench.round(&bench.through, PEAK_RATE, HIGHER_ROUND).await;
    at_peak(&bench, report).await;
    at_highest(&bench, report).await;
    Ok(())
}

async fn at_peak(bench: &Bench, report: &mut Report) {
    let [mut straight, mut through] = [Path::default(), Path::default()];
    let mut memory = Vec::new();
    for _ in 0..ROUNDS {
        straight.add(bench.round(&bench.straight, PEAK_RATE, ROUND).await);
        through.add(bench.round(&bench.through, PEAK_RATE, ROUND).await);
        memory.push(resident_bytes());
    }
    compare(report, "peak", &straight, &through);
    let cores = through.cores() - straight.cores();
    let tokens_per_s = through.tally.tokens as f64 / through.took.as_secs_f64();
    report.figure("peak_tokens", tokens_per_s, "tokens/s", Target::None);
    report.figure(
        "cores_per_100k_tokens",
        cores * 1e5 / tokens_per_s,
        "cores",
        Target::None,
    );
    let (first, last) = (memory[0], memory[memory.len() - 1]);
    report.figure("memory", last / 1e6, "MB", Target::None);
    report.figure(
        "memory_growth",
        (last / first - 1.0) * 100.0,
        "%",
        Target::AtMost(5.0),
    );
}

/// Finds the highest rate that is held through entry and agent, and compares there.
async fn at_highest(bench: &Bench, report: &mut Report) {
    let mut held = PEAK_RATE;
    let mut through = Path::default();
    for rate in HIGHER_RATES {
        let round = bench.round(&bench.through, rate, HIGHER_ROUND).await;
        if !is_held(&round.tally) {
            break;
        }
        held = rate;
        through = Path::default();
        through.add(round);
    }
    report.figure(
        "highest_rate_held",
        held,
        "requests/s",
        Target::AtLeast(PEAK_RATE),
    );
    if through.tally.sent == 0 {
        return;
    }
    let mut straight = Path::default();
    straight.add(bench.round(&bench.straight, held, HIGHER_ROUND).await);
    compare(report, "highest", &straight, &through);
}

fn is_held(tally: &Tally) -> bool {
    tally.answered == tally.sent && first_ms(tally, 0.99) <= HELD_MS
}

fn compare(report: &mut Report, name: &str, straight: &Path, through: &Path) {
    for (path, tally) in [("straight", &straight.tally), ("through", &through.tally)] {
        for (label, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let figure = format!("{name}_{path}_{label}");
            report.figure(figure, first_ms(tally, quantile), "ms", Target::None);
        }
    }
    let added = |quantile| first_ms(&through.tally, quantile) - first_ms(&straight.tally, quantile);
    report.figure(
        format!("{name}_added_p50"),
        added(0.5),
        "ms",
        Target::AtMost(0.3),
    );
    report.figure(
        format!("{name}_added_p99"),
        added(0.99),
        "ms",
        Target::AtMost(1.0),
    );
    let missing = through.tally.sent - through.tally.answered;
    report.figure(
        format!("{name}_not_answered"),
        missing as f64,
        "requests",
        Target::Exactly(0.0),
    );
    report.figure(
        format!("{name}_cores_straight"),
        straight.cores(),
        "cores",
        Target::None,
    );
    report.figure(
        format!("{name}_cores_through"),
        through.cores(),
        "cores",
        Target::None,
    );
}

/// Quantile of the time from sending to the first token; the pace of the sender is left out.
fn first_ms(tally: &Tally, quantile: f64) -> f64 {
    tally.first_token_from_send_us.value_at_quantile(quantile) as f64 / 1e3
}

impl Bench {
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
            took: start.elapsed(),
        }
    }
}

impl Path {
    fn add(&mut self, round: Round) {
        self.tally.merge(round.tally);
        self.cpu += round.cpu;
        self.took += round.took;
    }

    fn cores(&self) -> f64 {
        self.cpu.as_secs_f64() / self.took.as_secs_f64()
    }
}

/// Processor time of this process so far.
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

/// Resident memory of this process.
fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}
