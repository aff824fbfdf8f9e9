//! Conditions for another attempt, and the retry budget.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rstest::rstest;

use crate::codes::Code;
use crate::delivery::*;

const RULES: AttemptRules = AttemptRules {
    max: 3,
    is_repeatable: true,
    is_harmful: false,
    has_time_left: true,
};

#[rstest]
#[case::first_attempt_needs_no_budget(0, false, RULES, false, Ok(()))]
#[case::not_run(1, false, RULES, true, Ok(()))]
#[case::budget_spent(1, false, RULES, false, Err(RetryDenied::OverBudget))]
#[case::repeatable_after_possible_run(1, true, RULES, true, Ok(()))]
#[case::not_repeatable_after_possible_run(
    1, true, AttemptRules { is_repeatable: false, ..RULES }, true, Err(RetryDenied::MayHaveRun)
)]
#[case::not_repeatable_but_not_run(
    1, false, AttemptRules { is_repeatable: false, ..RULES }, true, Ok(())
)]
#[case::exhausted(3, false, RULES, true, Err(RetryDenied::Exhausted))]
#[case::deadline_passed(1, false, AttemptRules { has_time_left: false, ..RULES }, true, Err(RetryDenied::DeadlinePassed))]
#[case::harmful(0, false, AttemptRules { is_harmful: true, ..RULES }, true, Err(RetryDenied::Harmful))]
fn retry_is_allowed_or_denied(
    #[case] sent: u32,
    #[case] may_have_run: bool,
    #[case] rules: AttemptRules,
    #[case] budget_left: bool,
    #[case] expected: Result<(), RetryDenied>,
) {
    let attempts = Attempts { sent, may_have_run };
    assert_eq!(attempts.check_retry(rules, || budget_left), expected);
}

#[test]
fn denied_retry_takes_nothing_from_the_budget() {
    let attempts = Attempts {
        sent: 3,
        may_have_run: false,
    };
    let mut taken = false;
    let decision = attempts.check_retry(RULES, || {
        taken = true;
        true
    });
    assert_eq!((decision, taken), (Err(RetryDenied::Exhausted), false));
}

#[rstest]
#[case::not_run(false, Code::EndpointFull, Code::EndpointFull)]
#[case::not_run_code_after_possible_run(true, Code::EndpointFull, Code::OutcomeUnknown)]
#[case::code_makes_no_claim(true, Code::AnswerTimeout, Code::AnswerTimeout)]
fn final_code_never_denies_a_possible_run(
    #[case] may_have_run: bool,
    #[case] code: Code,
    #[case] expected: Code,
) {
    let attempts = Attempts {
        sent: 1,
        may_have_run,
    };
    assert_eq!(attempts.final_code(code, Code::OutcomeUnknown), expected);
}

#[test]
fn retries_of_all_entries_stay_within_the_shared_budget() {
    let now = Instant::now();
    let limit = RetryLimit {
        ratio: 0.2,
        slack: 100.0,
        window: Duration::from_secs(10),
    };
    let entries = 4;
    let mut retries = 0;
    for _ in 0..entries {
        let mut window = RetryWindow::new(limit.window);
        for _ in 0..250 {
            window.record_request(now);
            retries += u32::from(window.try_take(now, limit, entries));
        }
    }
    assert!(retries > 100, "{retries}");
    assert!(f64::from(retries) <= 0.2 * 1_000.0 + 100.0, "{retries}");
    let mut window = RetryWindow::new(limit.window);
    while window.try_take(now, limit, 1) {}
    assert!(window.try_take(now + Duration::from_millis(10_600), limit, 1));
}

proptest! {
    #[test]
    fn retries_never_exceed_their_share(events in prop::collection::vec(any::<bool>(), 1..2_000)) {
        let limit = RetryLimit {
            ratio: 0.1,
            slack: 5.0,
            window: Duration::from_secs(10),
        };
        let now = Instant::now();
        let mut budget = RetryWindow::new(limit.window);
        let (mut requests, mut retries) = (0_usize, 0_usize);
        for is_request in events {
            if is_request {
                budget.record_request(now);
                requests += 1;
            } else if budget.try_take(now, limit, 1) {
                retries += 1;
            }
        }
        prop_assert!(retries <= requests / 10 + 5, "{} of {}", retries, requests);
    }
}
