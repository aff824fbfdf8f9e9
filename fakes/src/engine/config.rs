//! Configuration, injected faults and counters of the stand-in model engine.

use std::net::SocketAddr;
use std::time::Duration;

use crate::server::ANY_PORT;

/// Configuration of a stand-in model engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Digest of the version that is active from the start; `None` until a load order.
    pub version: Option<String>,
    /// Running and waiting requests that the engine can hold right after a start or a load.
    pub cold_limit: u32,
    /// Maximum number of running requests, cold or warm; further requests wait. The limit of a cold
    /// engine grows up to this number.
    pub warm_limit: u32,
    /// Completed requests after which the engine is warm; 0 for an engine that is always warm.
    ///
    /// Until then the limit grows linearly from `cold_limit` to `warm_limit`.
    pub warm_up_requests: u32,
    /// Factor by which a cold engine is slower; falls linearly to 1 during the warm-up.
    pub cold_slowdown: f64,
    /// True when a cold engine crashes on a request above its limit.
    pub crash_on_overload: bool,
    /// Time between two tokens of the only running request.
    pub token_interval: Duration,
    /// Time that each further running request adds to the time between two tokens.
    pub token_interval_per_request: Duration,
    /// Time to prefill a prompt; prompts are prefilled one at a time.
    pub prefill: Duration,
    /// Additional prefill time of each prompt block that is not in the prefix cache.
    pub prefill_per_block: Duration,
    /// Capacity of the prefix cache, in prompt blocks.
    pub prefix_blocks: usize,
    /// Time from a load order until the version is switched.
    pub load_time: Duration,
    /// Time from a crash until the engine accepts connections again.
    pub restart_time: Duration,
    /// True when the active version survives a crash.
    pub keeps_version_on_crash: bool,
    /// Least age of the load figures in the status, which are renewed at this interval; zero
    /// reports the current ones.
    pub report_lag: Duration,
    /// Power drawn without any work, in milliwatts.
    pub idle_mw: u64,
    /// Energy to produce a token, in millijoules; adds to the power by the measured token rate.
    pub token_mj: u64,
    /// True when load orders with a fencing number below the highest seen are refused.
    pub checks_fencing: bool,
    /// Text that marks a request as poisoned: its first token crashes the engine.
    pub poison: Option<String>,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            addr: ANY_PORT,
            version: None,
            cold_limit: 4,
            warm_limit: 32,
            warm_up_requests: 28,
            cold_slowdown: 2.0,
            crash_on_overload: true,
            token_interval: Duration::from_millis(2),
            token_interval_per_request: Duration::from_micros(50),
            prefill: Duration::from_millis(2),
            prefill_per_block: Duration::from_micros(100),
            prefix_blocks: 1024,
            load_time: Duration::from_millis(100),
            restart_time: Duration::from_millis(300),
            keeps_version_on_crash: true,
            report_lag: Duration::from_millis(500),
            idle_mw: 60_000,
            token_mj: 300,
            checks_fencing: true,
            poison: None,
        }
    }
}

/// Injected faults of a stand-in model engine, which a test can change at any time.
#[derive(Clone, Debug)]
pub struct EngineFaults {
    /// Factor by which prefill and token production are slower; below 1 has no effect.
    pub slow_factor: f64,
    /// True while no tokens are produced.
    pub stalled: bool,
    /// Number of upcoming answers that end after two tokens without an end event.
    pub cut_next: u32,
    /// Number of upcoming answers that carry the id of another request.
    pub wrong_id_next: u32,
    /// Number of upcoming plain answers that are well-formed JSON without any content.
    pub truncate_next: u32,
    /// Number of upcoming answers whose tokens name another version from the second token on.
    pub switch_version_next: u32,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            stalled: false,
            cut_next: 0,
            wrong_id_next: 0,
            truncate_next: 0,
            switch_version_next: 0,
        }
    }
}

/// Counts since the engine was spawned, which crashes do not reset.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineCounters {
    /// Requests admitted, including those that overloaded the engine.
    pub requests: u64,
    /// Requests whose whole answer was sent.
    pub completed: u64,
    /// Requests that were cancelled, abandoned by their caller, or cut by a fault.
    pub cancelled: u64,
    /// Tokens produced.
    pub tokens: u64,
    /// Requests that exceeded the limit of a cold engine.
    pub overloads: u64,
    /// Crashes, whatever their cause.
    pub crashes: u64,
    /// Crashes caused by a poisoned request.
    pub poison_crashes: u64,
    /// Running requests that had produced tokens when the version was switched, so that their
    /// answers mix two versions.
    pub mixed_version_requests: u64,
    /// Requests served with weights that do not match their manifest.
    pub corrupt_weight_requests: u64,
    /// Load orders that switched the version.
    pub loads: u64,
    /// Load orders refused for an outdated fencing number.
    pub fenced: u64,
    /// Prompt blocks looked up in the prefix cache.
    pub blocks: u64,
    /// Prompt blocks found in the prefix cache.
    pub blocks_hit: u64,
    /// Highest number of running and waiting requests at any time.
    pub peak_in_flight: u64,
}
