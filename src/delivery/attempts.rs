//! Decides whether a request may be attempted again after an attempt that got no answer.

use crate::codes::{Code, RunState};

/// Attempts made for one request so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Attempts {
    /// Number of attempts that were sent to an endpoint.
    pub sent: u32,
    /// True once any attempt may have run; from then on the caller must not be told that the
    /// request did not run.
    pub may_have_run: bool,
}

/// Conditions under which another attempt is allowed.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRules {
    /// Maximum number of attempts per request.
    pub max: u32,
    /// True when the request may run more than once, either from the start or resumed from where
    /// the previous attempt broke off.
    pub is_repeatable: bool,
    /// True when the request is believed to crash endpoints.
    pub is_harmful: bool,
    /// True while the caller's deadline has not passed.
    pub has_time_left: bool,
}

/// Why another attempt was denied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDenied {
    /// The request is believed to crash endpoints.
    Harmful,
    /// The request may have run already and must not run twice.
    MayHaveRun,
    /// The maximum number of attempts was reached.
    Exhausted,
    /// The caller's deadline has passed.
    DeadlinePassed,
    /// The retry budget is exhausted.
    OverBudget,
}

impl Attempts {
    /// Checks whether another attempt may be sent. `take_retry` takes one retry from the budget
    /// and returns false when none is left; it is called last, and only when an earlier attempt
    /// was sent.
    ///
    /// # Errors
    ///
    /// Returns the reason when the attempt is denied.
    pub fn check_retry(
        self,
        rules: AttemptRules,
        take_retry: impl FnOnce() -> bool,
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
        match self.sent == 0 || take_retry() {
            true => Ok(()),
            false => Err(RetryDenied::OverBudget),
        }
    }

    /// Returns the code of the final answer: `code`, or `unknown` when `code` would claim that a
    /// request did not run although it may have.
    pub fn final_code(self, code: Code, unknown: Code) -> Code {
        match code.run_state() {
            RunState::NotRun if self.may_have_run => unknown,
            _ => code,
        }
    }
}
