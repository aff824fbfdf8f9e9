use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use crate::placement::{Placement, Proposer, ProposerConfig};

const SETTLE: Duration = Duration::from_secs(1);
const HOLD: Duration = Duration::from_secs(5);
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

fn proposer() -> (Proposer, SmallRng) {
    let cfg = ProposerConfig {
        settle: SETTLE,
        hold: HOLD,
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
fn a_wish_is_written_once_it_has_lasted() {
    let (mut proposer, mut rng) = proposer();
    let now = Instant::now();
    assert_eq!(proposer.propose(now, placement(1, "a"), &mut rng), None);
    let proposal = proposer.propose(now + SETTLE, placement(1, "a"), &mut rng);
    assert_eq!(proposal.map(|proposal| proposal.if_version), Some(0));
}

#[test]
fn a_wish_that_passes_is_not_written() {
    let (mut proposer, mut rng) = proposer();
    let now = Instant::now();
    proposer.observe(now, 3, placement(1, "a"));
    let later = now + HOLD;
    assert_eq!(proposer.propose(later, placement(1, "b"), &mut rng), None);
    assert_eq!(proposer.propose(later, placement(1, "a"), &mut rng), None);
    // The wish comes back after the settling time: it has to last anew.
    let mut first = 0;
    for step in 0..100 {
        let at = later + SETTLE * 2 + Duration::from_millis(step * 10);
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
fn only_a_higher_version_is_followed(#[case] version: u64, #[case] followed: bool) {
    let (mut proposer, _) = proposer();
    let now = Instant::now();
    proposer.observe(now, 3, placement(1, "a"));
    proposer.observe(now, version, placement(1, "b"));
    let (current, _) = proposer.current();
    assert_eq!(current.endpoints.contains_key("b"), followed);
}

#[test]
fn a_paused_proposer_writes_over_the_version_that_it_computed_from() {
    let (mut proposer, mut rng) = proposer();
    let now = Instant::now();
    proposer.observe(now, 3, placement(1, "a"));
    proposer.propose(now + HOLD, placement(1, "b"), &mut rng);
    let proposal = proposer.propose(now + HOLD + SETTLE, placement(1, "b"), &mut rng);
    // Whatever happens until the write arrives, the store takes it only over version 3.
    assert_eq!(proposal.map(|proposal| proposal.if_version), Some(3));
}

#[test]
fn two_entries_with_different_views_do_not_thrash() {
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
    let most = 60 / HOLD.as_secs() + 1;
    assert!(writes <= most, "{writes} writes in a minute");
}

#[test]
fn a_store_that_is_down_is_tried_again_and_nothing_changes_meanwhile() {
    let (mut proposer, mut rng) = proposer();
    let start = Instant::now();
    proposer.observe(start, 3, placement(1, "a"));
    let mut writes = 0;
    for step in 0..600 {
        let now = start + HOLD + Duration::from_millis(step * 100);
        if proposer.propose(now, placement(1, "b"), &mut rng).is_some() {
            writes += 1;
            proposer.write_failed(now);
        }
        assert_eq!(proposer.current().1, 3);
    }
    assert!((30..=61).contains(&writes), "{writes} writes in a minute");
}
