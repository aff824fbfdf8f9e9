//! What may follow an attempt that ended without the endpoint's answer.

use crate::codes::{Code, RunState};

/// Attempts at one request so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Attempts {
    /// Attempts that were sent.
    pub sent: u32,
    /// True once one of them may have run, so that no refusal may say "not run".
    pub may_have_run: bool,
}

/// What another attempt is judged by.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRules {
    /// Attempts at one request at most.
    pub max: u32,
    /// True when the request may run more than once, from its start or from where it broke off.
    pub is_repeatable: bool,
    /// True when the request is held to crash endpoints.
    pub is_harmful: bool,
    /// True while its caller still waits.
    pub has_time_left: bool,
}

/// Why there is no other attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDenied {
    /// It is held to crash endpoints.
    Harmful,
    /// It may have run and must not run twice.
    MayHaveRun,
    /// All its attempts are used.
    Exhausted,
    /// Its caller has no time left.
    DeadlinePassed,
    /// The budget for retries is spent.
    OverBudget,
}

impl Attempts {
    /// Judges another attempt; `draw` takes it from the budget for retries, which the first attempt
    /// that reaches an endpoint does not need.
    ///
    /// # Errors
    ///
    /// The reason when there is none.
    pub fn check_retry(
        self,
        rules: AttemptRules,
        draw: impl FnOnce() -> bool,
    ) -> Result<(), RetryDenied> {
        if rules.is_harmful {
            return Err(RetryDenied::Harmful);
        }
        if self.may_have_run && !rules.is_repeatable {
            return Err(RetryDenied::MayHaveRun);
        }
        if self.sent >= rules.max {
            return Err(RetryDenied::Exhausted);
        }
        if !rules.has_time_left {
            return Err(RetryDenied::DeadlinePassed);
        }
        match self.sent == 0 || draw() {
            true => Ok(()),
            false => Err(RetryDenied::OverBudget),
        }
    }

    /// The code of the final answer: `code`, unless that says "not run" of a request that may have
    /// run; then `unknown`.
    pub fn final_code(self, code: Code, unknown: Code) -> Code {
        match code.run_state() {
            RunState::NotRun if self.may_have_run => unknown,
            _ => code,
        }
    }
}
