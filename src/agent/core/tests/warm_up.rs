use std::time::{Duration, Instant};

use crate::agent::core::gate::Capacity;

const COLD: u32 = 2;
const MAX: u32 = 8;
const WARM_UP: u32 = 5;
const IN_TIME: Duration = Duration::from_millis(50);
const TARGET: Duration = Duration::from_secs(1);

fn answered(capacity: &mut Capacity, now: Instant, count: u32) {
    for _ in 0..count {
        capacity.record_answer(now, IN_TIME, TARGET);
    }
}

#[test]
fn the_cold_bound_holds_until_the_warm_up_is_over() {
    let now = Instant::now();
    let mut capacity = Capacity::new(COLD, MAX, WARM_UP);
    for _ in 0..WARM_UP {
        answered(&mut capacity, now, 1);
        assert_eq!(capacity.limit(now), COLD);
    }
    answered(&mut capacity, now, 1);
    assert_eq!(capacity.limit(now), COLD + 1);
}

#[test]
fn a_restart_begins_the_warm_up_anew() {
    let now = Instant::now();
    let mut capacity = Capacity::new(COLD, MAX, WARM_UP);
    answered(&mut capacity, now, WARM_UP + MAX);
    assert!(capacity.is_warm());
    capacity.reset();
    answered(&mut capacity, now, WARM_UP);
    assert_eq!(capacity.limit(now), COLD);
}

#[test]
fn an_endpoint_without_a_warm_up_rises_with_each_answer() {
    let now = Instant::now();
    let mut capacity = Capacity::new(COLD, MAX, 0);
    answered(&mut capacity, now, 1);
    assert_eq!(capacity.limit(now), COLD + 1);
}
