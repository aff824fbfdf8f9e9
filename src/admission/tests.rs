use std::time::{Duration, Instant};

use proptest::prelude::*;
use rstest::rstest;

use super::{Admission, FairQueue, Offer, Rate, Shares, Ticket};
use crate::codes::Code;
use crate::types::CustomerId;

fn ticket(req: u64, now: Instant) -> Ticket {
    Ticket {
        req,
        cost: 1.0,
        latest_start: now + Duration::from_secs(1),
    }
}

fn offer(req: u64, customer: &str, now: Instant) -> Offer {
    Offer {
        req,
        class: "answers".into(),
        target: "chat".into(),
        priority: 0,
        customer: customer.into(),
        weight: 1,
        cost: 1.0,
        latest_start: now + Duration::from_secs(1),
    }
}

/// Queues of a target that has completed 100 requests per second for 5 s.
fn busy(limit: usize) -> (Admission, Instant) {
    let start = Instant::now();
    let mut admission = Admission::new(limit);
    for n in 0..500 {
        admission.ended(start + Duration::from_millis(10 * n), &"chat".into());
    }
    (admission, start + Duration::from_secs(5))
}

#[rstest]
#[case::equal(1, 1, 10)]
#[case::three_to_one(3, 1, 15)]
fn customers_share_by_weight(
    #[case] weight_a: u32,
    #[case] weight_b: u32,
    #[case] expected: usize,
) {
    let now = Instant::now();
    let mut queue = FairQueue::default();
    let (a, b): (CustomerId, CustomerId) = ("a".into(), "b".into());
    (0..100).for_each(|req| queue.push(&a, weight_a, ticket(req, now)));
    (100..200).for_each(|req| queue.push(&b, weight_b, ticket(req, now)));
    let first = (0..20).filter_map(|_| queue.pop());
    let of_a = first.filter(|(customer, _)| *customer == a).count();
    assert!(of_a.abs_diff(expected) <= 1, "{of_a}");
}

#[test]
fn idle_time_gives_no_credit() {
    let now = Instant::now();
    let mut queue = FairQueue::default();
    (0..100).for_each(|req| queue.push(&"a".into(), 1, ticket(req, now)));
    (0..50).for_each(|_| drop(queue.pop()));
    (100..200).for_each(|req| queue.push(&"b".into(), 1, ticket(req, now)));
    let of_b = (0..20)
        .filter_map(|_| queue.pop())
        .filter(|(customer, _)| &**customer == "b")
        .count();
    assert!((9..=11).contains(&of_b), "{of_b}");
}

proptest! {
    #[test]
    fn a_request_is_preceded_by_at_most_the_predicted_number(
        pushes in prop::collection::vec((0_u8..4, 1_u32..4), 1..60),
        pops in 0_usize..30,
    ) {
        let now = Instant::now();
        let mut queue = FairQueue::default();
        for (req, (customer, weight)) in pushes.iter().enumerate() {
            queue.push(&format!("c{customer}").into(), *weight, ticket(req as u64, now));
        }
        (0..pops).for_each(|_| drop(queue.pop()));
        let customer: CustomerId = "c0".into();
        let ahead = queue.count_ahead_of(&customer);
        queue.push(&customer, 1, ticket(1_000, now));
        let mut taken = 0;
        while let Some((_, ticket)) = queue.pop() {
            if ticket.req == 1_000 {
                break;
            }
            taken += 1;
        }
        prop_assert!(taken <= ahead, "{taken} requests were ahead, {ahead} were predicted");
    }
}

#[test]
fn a_request_that_would_start_too_late_is_refused_at_once() {
    let (mut admission, now) = busy(1_000);
    let admitted = (0..200)
        .filter(|req| admission.offer(now, &offer(*req, "a", now)).is_ok())
        .count();
    assert!(
        (40..=60).contains(&admitted),
        "half a second of work is about 50 requests, admitted {admitted}"
    );
    let refusal = admission.offer(now, &offer(999, "a", now)).unwrap_err();
    assert_eq!(refusal.code, Code::DeadlineUnreachable);
    assert!(refusal.retry_after >= Some(Duration::from_secs(1)));
    assert!(
        admission.offer(now, &offer(1_000, "b", now)).is_ok(),
        "a request of another customer must be admitted"
    );
}

#[test]
fn a_full_queue_evicts_a_request_of_the_largest_customer() {
    let (mut admission, now) = busy(10);
    for req in 0..10 {
        assert_eq!(admission.offer(now, &offer(req, "large", now)), Ok(None));
    }
    assert_eq!(admission.offer(now, &offer(10, "small", now)), Ok(Some(9)));
    let refusal = admission.offer(now, &offer(11, "large", now)).unwrap_err();
    assert_eq!(refusal.code, Code::OverShare);
    assert_eq!(admission.len(), 10);
}

#[test]
fn expected_wait_includes_classes_of_higher_priority() {
    let (mut admission, now) = busy(1_000);
    for req in 0..40 {
        admission.offer(now, &offer(req, "a", now)).unwrap();
    }
    let mut low = offer(100, "b", now);
    low.class = "summaries".into();
    low.priority = 1;
    low.latest_start = now + Duration::from_millis(500);
    assert!(admission.offer(now, &low).is_err());
    low.latest_start = now + Duration::from_secs(2);
    assert!(admission.offer(now, &low).is_ok());
    assert_eq!(admission.classes("chat")[0], "answers".into());
}

#[test]
fn expired_and_removed_requests_leave_no_state() {
    let (mut admission, now) = busy(1_000);
    for req in 0..10 {
        admission.offer(now, &offer(req, "a", now)).unwrap();
    }
    admission.remove(3);
    let (customer, head) = admission.heads("answers")[0].clone();
    let taken = admission.take("answers", &customer, head.req).unwrap();
    admission.requeue(&"answers".into(), &customer, taken);
    assert_eq!(admission.heads("answers")[0].1, taken);
    admission.remove(taken.req);
    assert_eq!(admission.next_expiry(), Some(now + Duration::from_secs(1)));
    assert_eq!(
        admission.take_expired(now + Duration::from_secs(1)).len(),
        8
    );
    assert!(admission.is_empty());
    assert!(admission.heads("answers").is_empty());
    assert_eq!(admission.next_expiry(), None);
}

#[rstest]
#[case::from_the_start(50, 1_000)]
#[case::later(200, 10_000)]
fn a_rate_is_accurate_early_and_decays(#[case] period_ms: u64, #[case] for_ms: u64) {
    let start = Instant::now();
    let mut rate = Rate::new(start);
    let mut at = start;
    while at < start + Duration::from_millis(for_ms) {
        at += Duration::from_millis(period_ms);
        rate.record(at);
    }
    let expected = 1_000.0 / period_ms as f64;
    let measured = rate.per_second(at);
    assert!(
        (measured / expected - 1.0).abs() < 0.1,
        "measured {measured}, expected {expected}"
    );
    assert!(rate.per_second(at + Duration::from_secs(20)) < expected / 1_000.0);
}

#[rstest]
#[case::alone(&[("a", 40)], false)]
#[case::equal(&[("a", 10), ("b", 10)], false)]
#[case::random_variation(&[("a", 4), ("b", 1), ("c", 1)], false)]
#[case::large(&[("a", 20), ("b", 2), ("c", 2)], true)]
fn a_customer_far_above_its_share_is_over_share(
    #[case] slots: &[(&str, usize)],
    #[case] over: bool,
) {
    let mut shares = Shares::default();
    for (customer, count) in slots {
        (0..*count).for_each(|_| shares.take(&"chat".into(), &(*customer).into(), 1));
    }
    assert_eq!(shares.is_over_share("chat", "a"), over);
    (0..slots[0].1).for_each(|_| shares.release("chat", "a"));
    assert!(!shares.is_over_share("chat", "a"));
}
