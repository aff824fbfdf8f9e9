//! Results of the requests of one class.

use std::collections::VecDeque;
use std::time::Duration;

/// First-token times that are kept.
const SAMPLES: usize = 200;

/// Counts since the start of the process and recent times.
#[derive(Debug, Default)]
pub struct ClassStats {
    pub answered: u64,
    pub refused: u64,
    /// Invariant: at most `SAMPLES`.
    first_tokens: VecDeque<Duration>,
}

impl ClassStats {
    /// Notes the time from the arrival to the first token.
    pub fn first_token(&mut self, time: Duration) {
        if self.first_tokens.len() == SAMPLES {
            self.first_tokens.pop_front();
        }
        self.first_tokens.push_back(time);
    }

    /// 95th percentile of the recent times to the first token.
    pub fn first_token_p95(&self) -> Duration {
        let mut sorted: Vec<Duration> = self.first_tokens.iter().copied().collect();
        sorted.sort_unstable();
        let index = sorted.len() * 95 / 100;
        sorted.get(index).copied().unwrap_or_default()
    }
}
