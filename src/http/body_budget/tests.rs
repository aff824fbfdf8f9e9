//! The ledger alone, and the budget with tasks that hold bodies.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use proptest::prelude::*;
use rstest::rstest;

use super::ledger::{Claim, HolderId, Ledger};
use super::{BodyBudget, BudgetExhausted};
use crate::fuzz_config::fuzz_config;

const LIMIT: usize = 100;
/// Longer than a sound client pauses.
const LONG: Duration = Duration::from_secs(2);

/// A full ledger: bodies that were granted these bytes, the first one longest ago.
fn full(now: Instant, granted: &[usize]) -> (Ledger, Vec<HolderId>) {
    let mut ledger = Ledger::new(LIMIT);
    let ids = granted.iter().map(|bytes| {
        let id = ledger.open(now);
        assert_eq!(ledger.claim(now, id, *bytes), Claim::Granted);
        id
    });
    let ids = ids.collect();
    assert_eq!(ledger.used(), LIMIT);
    (ledger, ids)
}

// Guards against bodies that hold memory and make no progress while others need it.
#[test]
fn a_stalled_body_gives_way_before_one_that_makes_progress() {
    let start = Instant::now();
    let (mut ledger, ids) = full(start, &[40, 60]);
    let now = start + LONG;
    ledger.progress(now, ids[1]);
    let claimant = ledger.open(now);
    let evicted = vec![ids[0]];
    assert_eq!(ledger.claim(now, claimant, 10), Claim::Wait { evicted });
    // The room that is being made is enough for a second claimant, too.
    let other = ledger.open(now);
    let none = Vec::new();
    assert_eq!(ledger.claim(now, other, 20), Claim::Wait { evicted: none });
    assert_eq!(ledger.claim(now, ids[0], 1), Claim::Refused);
    ledger.close(ids[0]);
    assert_eq!(ledger.claim(now, claimant, 10), Claim::Granted);
    assert_eq!(ledger.claim(now, other, 20), Claim::Granted);
}

// Guards against large bodies that keep out small ones.
#[rstest]
#[case::smaller_than_the_largest(10, true)]
#[case::as_large_as_the_largest(60, false)]
fn the_largest_body_gives_way_to_smaller_ones_only(#[case] bytes: usize, #[case] gives_way: bool) {
    let now = Instant::now();
    let (mut ledger, ids) = full(now, &[40, 60]);
    let claimant = ledger.open(now);
    let expected = match gives_way {
        true => Claim::Wait {
            evicted: vec![ids[1]],
        },
        false => Claim::Refused,
    };
    assert_eq!(ledger.claim(now, claimant, bytes), expected);
}

// Guards against taking the body of a request that an endpoint may be running.
#[test]
fn a_complete_body_never_gives_way_and_returns_what_it_does_not_need() {
    let start = Instant::now();
    let (mut ledger, ids) = full(start, &[100]);
    assert!(ledger.complete(ids[0], 90));
    let now = start + LONG;
    let claimant = ledger.open(now);
    assert_eq!(ledger.claim(now, claimant, 20), Claim::Refused);
    assert_eq!(ledger.claim(now, claimant, 10), Claim::Granted);
}

// Guards against an eviction for the very delay that the budget has caused.
#[test]
fn a_body_that_waits_for_room_does_not_count_as_stalled() {
    let start = Instant::now();
    let (mut ledger, ids) = full(start, &[50, 50]);
    let now = start + LONG;
    ledger.progress(now, ids[1]);
    let evicted = vec![ids[0]];
    assert_eq!(ledger.claim(now, ids[1], 10), Claim::Wait { evicted });
    let later = now + LONG;
    let claimant = ledger.open(later);
    assert_eq!(ledger.claim(later, claimant, 60), Claim::Refused);
}

/// What may happen to a body; the index chooses one of those that are open.
#[derive(Clone, Debug)]
enum Op {
    Open,
    Claim(prop::sample::Index, usize),
    Progress(prop::sample::Index),
    Complete(prop::sample::Index, usize),
    Close(prop::sample::Index),
}

fn ops() -> impl Strategy<Value = Vec<(u64, Op)>> {
    let index = any::<prop::sample::Index>;
    let op = prop_oneof![
        3 => Just(Op::Open),
        4 => (index(), 1..40_usize).prop_map(|(body, bytes)| Op::Claim(body, bytes)),
        1 => index().prop_map(Op::Progress),
        1 => (index(), 0..80_usize).prop_map(|(body, bytes)| Op::Complete(body, bytes)),
        1 => index().prop_map(Op::Close),
    ];
    prop::collection::vec((0..300_u64, op), 1..300)
}

/// Oracle: what each body was granted, and which bodies were evicted.
#[derive(Default)]
struct Oracle {
    granted: BTreeMap<HolderId, usize>,
    evicted: BTreeSet<HolderId>,
}

impl Oracle {
    fn body(&self, index: &prop::sample::Index) -> Option<HolderId> {
        let open: Vec<_> = self.granted.keys().copied().collect();
        (!open.is_empty()).then(|| *index.get(&open))
    }

    fn apply(&mut self, ledger: &mut Ledger, now: Instant, op: &Op) {
        match op {
            Op::Open => {
                self.granted.insert(ledger.open(now), 0);
            }
            Op::Claim(index, bytes) => {
                let Some(id) = self.body(index) else { return };
                match ledger.claim(now, id, *bytes) {
                    Claim::Granted => {
                        assert!(!self.evicted.contains(&id));
                        *self.granted.entry(id).or_default() += bytes;
                    }
                    Claim::Wait { evicted } => {
                        assert!(!evicted.contains(&id), "it gives way to itself");
                        for victim in evicted {
                            assert!(self.evicted.insert(victim), "a body is evicted twice");
                        }
                    }
                    Claim::Refused => {}
                }
            }
            Op::Progress(index) => {
                if let Some(id) = self.body(index) {
                    ledger.progress(now, id);
                }
            }
            Op::Complete(index, bytes) => {
                let Some(id) = self.body(index) else { return };
                let needed = self.granted[&id].min(*bytes);
                let is_kept = ledger.complete(id, needed);
                assert_eq!(is_kept, !self.evicted.contains(&id));
                if is_kept {
                    self.granted.insert(id, needed);
                }
            }
            Op::Close(index) => {
                let Some(id) = self.body(index) else { return };
                ledger.close(id);
                self.granted.remove(&id);
                self.evicted.remove(&id);
            }
        }
    }
}

proptest! {
    #![proptest_config(fuzz_config(128))]

    // Guards against bytes that are counted twice or never returned, in any order of claims, progress, ends
    // and cancelled reads.
    #[test]
    fn the_sum_stays_within_the_limit_and_returns_to_zero(ops in ops()) {
        let mut now = Instant::now();
        let mut ledger = Ledger::new(LIMIT);
        let mut oracle = Oracle::default();
        for (pause, op) in &ops {
            now += Duration::from_millis(*pause);
            oracle.apply(&mut ledger, now, op);
            let sum: usize = oracle.granted.values().sum();
            prop_assert_eq!(ledger.used(), sum);
            prop_assert!(sum <= LIMIT, "{}", sum);
        }
        oracle.granted.keys().for_each(|id| ledger.close(*id));
        prop_assert_eq!(ledger.used(), 0);
    }
}

#[tokio::test(start_paused = true)]
async fn a_claim_waits_until_a_stalled_body_is_dropped() {
    let budget = BodyBudget::new(LIMIT);
    let stalled = budget.open();
    stalled.claim(LIMIT).await.unwrap();
    // The ledger uses the system's clock, which the paused one does not move.
    std::thread::sleep(Duration::from_millis(600));
    let claiming = budget.clone();
    let claimed = tokio::spawn(async move {
        let share = claiming.open();
        share.claim(10).await.map(|()| share)
    });
    stalled.evicted().await;
    assert!(!claimed.is_finished());
    drop(stalled);
    let share = claimed.await.unwrap().unwrap();
    assert_eq!(budget.used(), 10);
    let body = share.complete(vec![0; 5]).unwrap();
    assert_eq!((body.len(), budget.used()), (5, 5));
    let copy = body.clone();
    drop(body);
    assert_eq!(budget.used(), 5, "a copy uses the same memory");
    drop(copy);
    assert_eq!(budget.used(), 0);
}

#[tokio::test]
async fn a_claim_that_nobody_makes_room_for_is_refused_at_once() {
    let budget = BodyBudget::new(LIMIT);
    let share = budget.open();
    share.claim(LIMIT).await.unwrap();
    let complete = share.complete(vec![0; LIMIT]).unwrap();
    assert_eq!(budget.open().claim(1).await, Err(BudgetExhausted));
    drop(complete);
    assert_eq!(budget.open().claim(1).await, Ok(()));
}
