//! Site, prompts and figures that the measurements of routing and overload share.

use std::sync::Arc;
use std::time::Duration;

use limpetloom::settings::RoutingPolicy;
use limpetloom_fakes::engine::EngineConfig;

use crate::common::{
    Balancer, Caller, Chat, Load, LoadRequest, Site, SiteBuilder, Tally, run_load,
};

/// Target for the first token.
pub const FIRST_TOKEN: Duration = Duration::from_millis(890);
/// Tokens in an answer.
pub const TOKENS: u64 = 16;
/// Time that a site may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Length of the part that prompts of a group share, in bytes.
const PREFIX_BYTES: usize = 512;
/// Prompt blocks that are new in every request.
const NEW_BLOCKS: u32 = 1;
/// Factor by which a slow engine is slower.
pub const SLOW_FACTOR: f64 = 3.0;

/// Engine of the measurements, small enough that a few entries fill a dozen of them.
pub fn engine(cfg: &mut EngineConfig) {
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

/// Site of `models` engines of which every third is slow when `slow` is set.
pub fn site(models: usize, entries: usize, seed: u64, policy: RoutingPolicy) -> SiteBuilder {
    Site::builder()
        .zones(3)
        .entries(entries)
        .models(models)
        .services(0)
        .preloaded()
        .seed(seed)
        .entry_settings(move |_, settings| settings.limits.routing = policy)
        .engine(|_, cfg| engine(cfg))
}

/// Requests a second that an engine of the measurements completes at its full batch.
pub fn engine_capacity(slowness: f64) -> f64 {
    let mut cfg = EngineConfig::default();
    engine(&mut cfg);
    let others = cfg.warm_limit - 1;
    let step = cfg.token_interval + cfg.token_interval_per_request * others;
    let prefill = cfg.prefill + cfg.prefill_per_block * NEW_BLOCKS;
    let service = (prefill + step * (TOKENS as u32 - 1)).mul_f64(slowness);
    f64::from(cfg.warm_limit) / service.as_secs_f64()
}

/// Request of a customer whose prompt begins like all of its group.
pub fn chat(group: u64, number: u64, customer: &str) -> Chat {
    let head = format!("group {group} ");
    let prefix = head.repeat(PREFIX_BYTES / head.len() + 1);
    let mut chat = Chat::new(format!("{}#{number}", &prefix[..PREFIX_BYTES]));
    chat.tokens = TOKENS;
    chat.customer = customer.to_owned();
    chat
}

/// A running site with its balancer.
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
        for seat in self.site.models.iter().step_by(3) {
            seat.engine
                .update_faults(|faults| faults.slow_factor = SLOW_FACTOR);
        }
    }

    /// Sends chat requests of ten customers at a rate.
    pub async fn load(&self, rate: f64, duration: Duration, groups: u64, seed: u64) -> Tally {
        self.load_with(rate, duration, seed, move |number| {
            let customer = format!("customer-{}", number % 10 + 1);
            // A multiplier that is odd spreads the numbers over the groups.
            let group = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
            chat(group % groups, seed << 32 | number, &customer)
        })
        .await
    }

    /// Sends chat requests at a rate.
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

    /// Prompt blocks that the engines have seen and found in their caches.
    pub fn blocks(&self) -> (u64, u64) {
        let counters = self.site.models.iter().map(|seat| seat.engine.counters());
        counters.fold((0, 0), |(seen, hit), counters| {
            (seen + counters.blocks, hit + counters.blocks_hit)
        })
    }

    /// Requests that made a cold engine hold more than it bears.
    pub fn overloads(&self) -> u64 {
        let counters = self.site.models.iter().map(|seat| seat.engine.counters());
        counters.map(|counters| counters.overloads).sum()
    }

    /// Requests that the engines have taken.
    pub fn taken(&self) -> u64 {
        let counters = self.site.models.iter().map(|seat| seat.engine.counters());
        counters.map(|counters| counters.requests).sum()
    }
}

/// Answers whose first token was in time.
pub fn in_time(tally: &Tally) -> u64 {
    let target = FIRST_TOKEN.as_micros() as u64;
    tally.first_token_us.count_between(0, target)
}

/// Share of the hits that `before` does not hold yet.
pub fn hit_share(before: (u64, u64), after: (u64, u64)) -> f64 {
    (after.1 - before.1) as f64 / (after.0 - before.0).max(1) as f64
}
