//! Site, prompts and counters that `burst`, `fairness`, `routing` and `zones` share.

use std::sync::Arc;
use std::time::Duration;

use limpetloom::settings::RoutingPolicy;
use limpetloom_fakes::engine::EngineConfig;

use crate::common::{
    Balancer, Caller, Chat, Load, LoadRequest, Site, SiteBuilder, Tally, run_load,
};

/// Time to the first token up to which an answer counts as in time.
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(890);
/// Tokens in an answer.
pub const TOKENS: u64 = 16;
/// Time that a site may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Length of the prefix that prompts of a group share, in bytes.
const PREFIX_BYTES: usize = 512;
/// Prompt blocks of a request that are never in the prefix cache, because they differ in each
/// request.
const NEW_BLOCKS: u32 = 1;
/// Factor by which a slow engine is slower than the others.
pub const SLOW_FACTOR: f64 = 3.0;

/// Configures an engine so small that a few entries can saturate a dozen of them.
pub fn configure_engine(cfg: &mut EngineConfig) {
    cfg.cold_limit = 2;
    cfg.warm_limit = 8;
    cfg.warm_up_requests = 24;
    cfg.token_interval = Duration::from_millis(10);
    cfg.token_interval_per_request = Duration::from_micros(200);
    cfg.prefill = Duration::from_millis(5);
    cfg.prefill_per_block = Duration::from_millis(1);
    cfg.prefix_blocks = 90;
    cfg.report_lag = Duration::from_secs(1);
}

/// Site with `models` engines configured by [`configure_engine`] and the given routing policy.
pub fn site_builder(
    models: usize,
    entries: usize,
    seed: u64,
    policy: RoutingPolicy,
) -> SiteBuilder {
    Site::builder()
        .zones(3)
        .entries(entries)
        .models(models)
        .services(0)
        .preloaded()
        .seed(seed)
        .entry_settings(move |_, settings| settings.limits.routing = policy)
        .engine(|_, cfg| configure_engine(cfg))
}

/// Requests per second that a warm engine completes with a full batch. A slow engine takes
/// `slow_factor` times as long.
pub fn engine_capacity(slow_factor: f64) -> f64 {
    let mut cfg = EngineConfig::default();
    configure_engine(&mut cfg);
    let other_requests = cfg.warm_limit - 1;
    let step = cfg.token_interval + cfg.token_interval_per_request * other_requests;
    let prefill = cfg.prefill + cfg.prefill_per_block * NEW_BLOCKS;
    let service = (prefill + step * (TOKENS as u32 - 1)).mul_f64(slow_factor);
    f64::from(cfg.warm_limit) / service.as_secs_f64()
}

/// Chat request whose prompt shares its prefix with all requests of the same group.
pub fn chat_request(group: u64, number: u64, customer: &str) -> Chat {
    let group_prefix = format!("group {group} ");
    let prefix = group_prefix.repeat(PREFIX_BYTES / group_prefix.len() + 1);
    let mut chat = Chat::new(format!("{}#{number}", &prefix[..PREFIX_BYTES]));
    chat.tokens = TOKENS;
    chat.customer = customer.to_owned();
    chat
}

/// A running site with a caller and a balancer.
pub struct Bench {
    pub site: Site,
    pub caller: Caller,
    pub balancer: Arc<Balancer>,
}

impl Bench {
    /// Starts the site and waits until it is ready.
    pub async fn start(builder: SiteBuilder) -> Self {
        let site = builder.start().await.expect("loopback has free ports");
        site.wait_ready(READY_LIMIT).await.expect("the site starts");
        let balancer = Arc::new(site.balancer());
        tokio::time::sleep(Duration::from_millis(500)).await;
        Self {
            site,
            caller: Caller::new(),
            balancer,
        }
    }

    /// Makes every third engine slow.
    pub fn slow_third(&self) {
        for model in self.site.models.iter().step_by(3) {
            model
                .engine
                .update_faults(|faults| faults.slow_factor = SLOW_FACTOR);
        }
    }

    /// Sends chat requests of ten customers at a rate, in requests per second.
    pub async fn load(&self, rate: f64, duration: Duration, groups: u64, seed: u64) -> Tally {
        self.load_with(rate, duration, seed, move |number| {
            let customer = format!("customer-{}", number % 10 + 1);
            // Fibonacci hashing spreads consecutive numbers over the groups.
            let group = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
            chat_request(group % groups, seed << 32 | number, &customer)
        })
        .await
    }

    /// Sends the chat requests that `make` creates from their numbers at a rate, in requests per
    /// second.
    pub async fn load_with(
        &self,
        rate: f64,
        duration: Duration,
        seed: u64,
        make: impl Fn(u64) -> Chat + Send + Sync + 'static,
    ) -> Tally {
        let load = Load {
            rate,
            duration,
            make_request: Box::new(move |number| LoadRequest::Chat(make(number))),
            seed,
        };
        run_load(load, &self.caller, &self.balancer).await
    }

    /// Numbers of prompt blocks that the engines have received and found in their prefix caches.
    pub fn prompt_blocks(&self) -> (u64, u64) {
        let counters = self.site.models.iter().map(|model| model.engine.counters());
        counters.fold((0, 0), |(received, hits), counters| {
            (received + counters.blocks, hits + counters.blocks_hit)
        })
    }

    /// Requests that pushed a cold engine above its limit.
    pub fn cold_overloads(&self) -> u64 {
        let counters = self.site.models.iter().map(|model| model.engine.counters());
        counters.map(|counters| counters.overloads).sum()
    }

    /// Requests that the engines have received.
    pub fn engine_requests(&self) -> u64 {
        let counters = self.site.models.iter().map(|model| model.engine.counters());
        counters.map(|counters| counters.requests).sum()
    }
}

/// Number of answers whose first token arrived within [`FIRST_TOKEN_TARGET`].
pub fn count_in_time(tally: &Tally) -> u64 {
    let target = FIRST_TOKEN_TARGET.as_micros() as u64;
    tally.first_token_us.count_between(0, target)
}

/// Share of prompt blocks found in prefix caches between two values of [`Bench::prompt_blocks`].
pub fn hit_share(before: (u64, u64), after: (u64, u64)) -> f64 {
    (after.1 - before.1) as f64 / (after.0 - before.0).max(1) as f64
}
