//! Budget for retries.

/// Share of the first tries that retries may add.
const SHARE: f64 = 0.1;
/// Retries that an idle entry may make before any first try has paid for them.
const INITIAL_RETRIES: f64 = 5.0;
/// Retries that first tries may save up.
const MAX_RETRIES: f64 = 20.0;

/// Token bucket that first tries fill and retries draw on.
#[derive(Debug)]
pub struct RetryBudget {
    /// Invariant: between 0 and `MAX_RETRIES`.
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: INITIAL_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Notes a first try.
    pub fn first_try(&mut self) {
        self.tokens = (self.tokens + SHARE).min(MAX_RETRIES);
    }

    /// Draws a retry; false when the budget is spent.
    pub fn draw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Retries that are left.
    pub fn left(&self) -> f64 {
        self.tokens
    }
}
