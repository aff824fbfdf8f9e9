//! Configuration, faults and counters of the engine's stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use crate::server::ANY_PORT;

/// Configuration of the stand-in.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Digest of the version that is active from the start; `None` until a load order.
    pub version: Option<String>,
    /// Requests that the engine bears right after a start or a load.
    pub cold_limit: u32,
    /// Requests that run at once when the engine is warm; further ones wait.
    pub warm_limit: u32,
    /// Completed requests after which the engine is warm.
    ///
    /// Between, the bound grows evenly from `cold_limit` to `warm_limit`. 0 for an engine that is
    /// always warm.
    pub warm_up_requests: u32,
    /// Factor by which a cold engine is slower; falls evenly to 1 while it warms up.
    pub cold_slowdown: f64,
    /// True when an engine that holds more than it bears crashes.
    pub crash_on_overload: bool,
    /// Time between two tokens of a request that runs alone.
    pub token_interval: Duration,
    /// Time that each further request adds to the time between two tokens.
    pub token_interval_per_request: Duration,
    /// Time that a prompt takes before its first token; prompts take turns.
    pub prefill: Duration,
    /// Time that each prompt block adds that is not in the prefix cache.
    pub prefill_per_block: Duration,
    /// Prompt blocks that the prefix cache holds.
    pub prefix_blocks: usize,
    /// Time that a load order takes.
    pub load_time: Duration,
    /// Time from a crash until the engine listens again.
    pub restart_time: Duration,
    /// True when the active version survives a crash.
    pub keeps_version_on_crash: bool,
    /// Age of the load report; zero for a fresh one.
    pub report_lag: Duration,
    /// Draw without work, in milliwatts.
    pub idle_mw: u64,
    /// Energy of a token, in millijoules.
    pub token_mj: u64,
    /// True when load orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Text in a request that crashes the engine at its first token.
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

/// Faults that are in force.
#[derive(Clone, Debug)]
pub struct EngineFaults {
    /// Factor by which each step is slower.
    pub slow_factor: f64,
    /// No tokens are produced.
    pub stalled: bool,
    /// The next so many answers break off after two tokens.
    pub cut_next: u32,
    /// The next so many answers carry the id of another request.
    pub wrong_id_next: u32,
    /// The next so many plain answers are truncated but well formed.
    pub truncate_next: u32,
    /// The next so many streams change their version after one token.
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

/// What was served so far.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineCounters {
    /// Requests taken.
    pub requests: u64,
    /// Requests answered to their end.
    pub completed: u64,
    /// Requests cancelled, or left by their caller.
    pub cancelled: u64,
    /// Tokens produced.
    pub tokens: u64,
    /// Requests that made a cold engine hold more than it bears.
    pub overloads: u64,
    /// Crashes, whatever their cause.
    pub crashes: u64,
    /// Crashes caused by a poisoned request.
    pub poison_crashes: u64,
    /// Requests that were running while the version changed.
    pub mixed_version_requests: u64,
    /// Requests served with weights that do not match their manifest.
    pub corrupt_weight_requests: u64,
    /// Load orders carried out.
    pub loads: u64,
    /// Load orders refused for their fencing number.
    pub fenced: u64,
    /// Prompt blocks seen.
    pub blocks: u64,
    /// Prompt blocks found in the prefix cache.
    pub blocks_hit: u64,
    /// Most requests that ran and waited at once.
    pub peak_in_flight: u64,
}
