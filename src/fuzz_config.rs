//! Settings of the random tests of the core modules.

use std::str::FromStr;

use proptest::test_runner::{Config, RngSeed};

/// Seed of the random tests, fixed so that each run of a commit gives the same result.
const SEED: u64 = 1;

/// Settings for a test of `cases` random cases. `LIMPETLOOM_FUZZ_CASES` and `LIMPETLOOM_FUZZ_SEED`
/// override the number and the seed.
pub fn fuzz_config(cases: u32) -> Config {
    Config {
        cases: from_env("LIMPETLOOM_FUZZ_CASES", cases),
        rng_seed: RngSeed::Fixed(from_env("LIMPETLOOM_FUZZ_SEED", SEED)),
        failure_persistence: None,
        ..Config::default()
    }
}

fn from_env<T: FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}
