use std::time::{Duration, Instant};

use crate::agent::core::gate::Capacity;

const COLD: u32 = 2;
const MAX: u32 = 8;
const WARM_UP: u32 = 5;
const IN_TIME: Duration = Duration::from_millis(50);
const TARGET: Duration = Duration::from_secs(1);

fn record_answers(capacity: &mut Capacity, now: Instant, count: u32) {
    for _ in 0..count {
        capacity.record_answer(now, IN_TIME, TARGET);
    }
}

#[test]
fn cold_limit_holds_during_warm_up() {
    let now = Instant::now();
    let mut capacity = Capacity::new(COLD, MAX, WARM_UP);
    for _ in 0..WARM_UP {
        record_answers(&mut capacity, now, 1);
        assert_eq!(capacity.limit(now), COLD);
    }
    record_answers(&mut capacity, now, 1);
    assert_eq!(capacity.limit(now), COLD + 1);
}

#[test]
fn reset_restarts_the_warm_up() {
    let now = Instant::now();
    let mut capacity = Capacity::new(COLD, MAX, WARM_UP);
    record_answers(&mut capacity, now, WARM_UP + MAX);
    assert!(capacity.is_warm());
    capacity.reset();
    record_answers(&mut capacity, now, WARM_UP);
    assert_eq!(capacity.limit(now), COLD);
}

#[test]
fn limit_grows_with_each_answer_without_warm_up() {
    let now = Instant::now();
    let mut capacity = Capacity::new(COLD, MAX, 0);
    record_answers(&mut capacity, now, 1);
    assert_eq!(capacity.limit(now), COLD + 1);
}
