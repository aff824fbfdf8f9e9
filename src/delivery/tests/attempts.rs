//! What may follow a failed attempt, and the budget for it.

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
#[case::nothing_arrived_so_nothing_is_drawn(0, false, RULES, false, Ok(()))]
#[case::not_run(1, false, RULES, true, Ok(()))]
#[case::budget_spent(1, false, RULES, false, Err(RetryDenied::OverBudget))]
#[case::may_have_run_and_may_run_again(1, true, RULES, true, Ok(()))]
#[case::must_not_run_twice(
    1, true, AttemptRules { is_repeatable: false, ..RULES }, true, Err(RetryDenied::MayHaveRun)
)]
#[case::has_not_run_so_it_may(
    1, false, AttemptRules { is_repeatable: false, ..RULES }, true, Ok(())
)]
#[case::exhausted(3, false, RULES, true, Err(RetryDenied::Exhausted))]
#[case::late(1, false, AttemptRules { has_time_left: false, ..RULES }, true, Err(RetryDenied::DeadlinePassed))]
#[case::harmful(0, false, AttemptRules { is_harmful: true, ..RULES }, true, Err(RetryDenied::Harmful))]
fn another_attempt(
    #[case] sent: u32,
    #[case] may_have_run: bool,
    #[case] rules: AttemptRules,
    #[case] budget: bool,
    #[case] expected: Result<(), RetryDenied>,
) {
    let attempts = Attempts { sent, may_have_run };
    assert_eq!(attempts.check_retry(rules, || budget), expected);
}

#[test]
fn a_refused_attempt_costs_no_budget() {
    let attempts = Attempts {
        sent: 3,
        may_have_run: false,
    };
    let mut drawn = false;
    let verdict = attempts.check_retry(RULES, || {
        drawn = true;
        true
    });
    assert_eq!((verdict, drawn), (Err(RetryDenied::Exhausted), false));
}

#[rstest]
#[case::not_run(false, Code::EndpointFull, Code::EndpointFull)]
#[case::false_if_it_said_not_run(true, Code::EndpointFull, Code::OutcomeUnknown)]
#[case::true_anyway(true, Code::AnswerTimeout, Code::AnswerTimeout)]
fn final_answers_are_true(#[case] may_have_run: bool, #[case] code: Code, #[case] told: Code) {
    let attempts = Attempts {
        sent: 1,
        may_have_run,
    };
    assert_eq!(attempts.final_code(code, Code::OutcomeUnknown), told);
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
    let mut drawn = 0;
    for _ in 0..entries {
        let mut window = RetryWindow::new(limit.window);
        for _ in 0..250 {
            window.record_request(now);
            drawn += u32::from(window.try_take(now, limit, entries));
        }
    }
    assert!(drawn > 100, "{drawn}");
    assert!(f64::from(drawn) <= 0.2 * 1_000.0 + 100.0, "{drawn}");
    let mut window = RetryWindow::new(limit.window);
    while window.try_take(now, limit, 1) {}
    assert!(window.try_take(now + Duration::from_millis(10_600), limit, 1));
}

proptest! {
    #[test]
    fn repeats_never_exceed_their_share(tries in prop::collection::vec(any::<bool>(), 1..2_000)) {
        let limit = RetryLimit {
            ratio: 0.1,
            slack: 5.0,
            window: Duration::from_secs(10),
        };
        let now = Instant::now();
        let mut budget = RetryWindow::new(limit.window);
        let (mut firsts, mut repeats) = (0_usize, 0_usize);
        for first in tries {
            if first {
                budget.record_request(now);
                firsts += 1;
            } else if budget.try_take(now, limit, 1) {
                repeats += 1;
            }
        }
        prop_assert!(repeats <= firsts / 10 + 5, "{} of {}", repeats, firsts);
    }
}
