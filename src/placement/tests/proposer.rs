use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use crate::placement::{Placement, Proposer, ProposerConfig};

const MAX_DELAY: Duration = Duration::from_secs(1);
const MIN_INTERVAL: Duration = Duration::from_secs(5);
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

fn proposer() -> (Proposer, SmallRng) {
    let cfg = ProposerConfig {
        max_delay: MAX_DELAY,
        min_interval: MIN_INTERVAL,
        write_timeout: WRITE_TIMEOUT,
    };
    (Proposer::new(cfg), SmallRng::seed_from_u64(1))
}

fn placement(generation: u64, endpoint: &str) -> Placement {
    let assignment = crate::placement::Assignment {
        host: "h".into(),
        model: "m".into(),
        version: "v".into(),
        next: None,
    };
    Placement {
        generation,
        endpoints: [(endpoint.into(), assignment)].into(),
        ..Placement::default()
    }
}

#[test]
fn change_is_written_after_the_longest_delay() {
    let (mut proposer, mut rng) = proposer();
    let now = Instant::now();
    assert_eq!(proposer.propose(now, placement(1, "a"), &mut rng), None);
    let proposal = proposer.propose(now + MAX_DELAY, placement(1, "a"), &mut rng);
    assert_eq!(proposal.map(|proposal| proposal.if_version), Some(0));
}

#[test]
fn change_requested_again_after_withdrawal_waits_for_a_new_delay() {
    let (mut proposer, mut rng) = proposer();
    let now = Instant::now();
    proposer.observe(now, 3, placement(1, "a"));
    let later = now + MIN_INTERVAL;
    assert_eq!(proposer.propose(later, placement(1, "b"), &mut rng), None);
    assert_eq!(proposer.propose(later, placement(1, "a"), &mut rng), None);
    // The change is requested again after the delay of the first request has passed, but a new
    // delay applies.
    let mut first = 0;
    for step in 0..100 {
        let at = later + MAX_DELAY * 2 + Duration::from_millis(step * 10);
        if proposer.propose(at, placement(1, "b"), &mut rng).is_some() {
            first = step;
            break;
        }
    }
    assert!(first > 0);
}

#[rstest]
#[case::newer(4, true)]
#[case::same(3, false)]
#[case::rolled_back(2, false)]
fn only_a_higher_version_replaces_the_current_placement(
    #[case] version: u64,
    #[case] is_replaced: bool,
) {
    let (mut proposer, _) = proposer();
    let now = Instant::now();
    proposer.observe(now, 3, placement(1, "a"));
    proposer.observe(now, version, placement(1, "b"));
    let (current, _) = proposer.current();
    assert_eq!(current.endpoints.contains_key("b"), is_replaced);
}

#[test]
fn proposal_names_the_version_that_it_was_computed_from() {
    let (mut proposer, mut rng) = proposer();
    let now = Instant::now();
    proposer.observe(now, 3, placement(1, "a"));
    proposer.propose(now + MIN_INTERVAL, placement(1, "b"), &mut rng);
    let proposal = proposer.propose(now + MIN_INTERVAL + MAX_DELAY, placement(1, "b"), &mut rng);
    // Even if the process pauses before the write, the object API accepts it only over version 3.
    assert_eq!(proposal.map(|proposal| proposal.if_version), Some(3));
}

#[test]
fn entries_with_different_views_write_at_most_once_per_interval() {
    let (mut one, mut rng) = proposer();
    let (mut two, _) = proposer();
    let start = Instant::now();
    let (mut version, mut writes) = (0, 0);
    for step in 0..600 {
        let now = start + Duration::from_millis(step * 100);
        let offers = [
            one.propose(now, placement(1, "a"), &mut rng),
            two.propose(now, placement(1, "b"), &mut rng),
        ];
        for proposal in offers.into_iter().flatten() {
            if proposal.if_version == version {
                version += 1;
                writes += 1;
                one.observe(now, version, proposal.placement.clone());
                two.observe(now, version, proposal.placement);
            }
        }
    }
    let max_writes = 60 / MIN_INTERVAL.as_secs() + 1;
    assert!(writes <= max_writes, "{writes} writes in a minute");
}

#[test]
fn failed_writes_are_retried_without_changing_the_current_version() {
    let (mut proposer, mut rng) = proposer();
    let start = Instant::now();
    proposer.observe(start, 3, placement(1, "a"));
    let mut writes = 0;
    for step in 0..600 {
        let now = start + MIN_INTERVAL + Duration::from_millis(step * 100);
        if proposer.propose(now, placement(1, "b"), &mut rng).is_some() {
            writes += 1;
            proposer.write_failed(now);
        }
        assert_eq!(proposer.current().1, 3);
    }
    assert!((30..=61).contains(&writes), "{writes} writes in a minute");
}
