//! Request statistics of one class.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of recent first-token times that are kept.
const MAX_SAMPLES: usize = 200;

/// Counters since the start of the process, and recent first-token times.
#[derive(Debug, Default)]
pub struct ClassStats {
    pub answered: u64,
    pub refused: u64,
    /// Invariant: at most `MAX_SAMPLES`.
    first_tokens: VecDeque<Duration>,
}

impl ClassStats {
    /// Records the time from the arrival of a request to its first token.
    pub fn record_first_token(&mut self, time: Duration) {
        if self.first_tokens.len() == MAX_SAMPLES {
            self.first_tokens.pop_front();
        }
        self.first_tokens.push_back(time);
    }

    /// 95th percentile of the recent first-token times; zero without samples.
    pub fn first_token_p95(&self) -> Duration {
        let mut sorted: Vec<Duration> = self.first_tokens.iter().copied().collect();
        sorted.sort_unstable();
        let index = sorted.len() * 95 / 100;
        sorted.get(index).copied().unwrap_or_default()
    }
}
