//! Random histories of lists that two entries send an agent in parts, over a network that loses, repeats and
//! reorders datagrams.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{TestError, TestRunner};
use rstest::rstest;

use super::peer_lists::{apply, list, position};
use crate::fuzz_config::fuzz_config;
use crate::heartbeat::*;

const CASES: u32 = 96;
/// Most agents of a list; it has up to three parts.
const MAX_AGENTS: u32 = 300;

#[derive(Clone, Debug)]
enum Op {
    /// The store moves on, and an entry learns the list of that moment.
    Change {
        entry: usize,
        agents: u32,
    },
    /// An entry learns what the other one knows.
    CatchUp {
        entry: usize,
    },
    /// An entry's heartbeat arrives; it is asked for its list if the agent wants it.
    Heartbeat {
        entry: usize,
    },
    /// A datagram that is on its way arrives, and stays on its way if it is repeated.
    Arrive {
        index: usize,
        repeated: bool,
    },
    /// A datagram is lost.
    Lose {
        index: usize,
    },
    Wait {
        millis: u64,
    },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InjectedFault {
    NoFault,
    /// An entry sends a part twice instead of the next one, under its number.
    RepeatedPart,
}

fn op() -> impl Strategy<Value = Op> {
    let entry = 0..2_usize;
    prop_oneof![
        2 => (entry.clone(), 0..MAX_AGENTS).prop_map(|(entry, agents)| Op::Change { entry, agents }),
        1 => entry.clone().prop_map(|entry| Op::CatchUp { entry }),
        4 => entry.prop_map(|entry| Op::Heartbeat { entry }),
        8 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(index, repeated)| Op::Arrive { index, repeated }),
        1 => any::<usize>().prop_map(|index| Op::Lose { index }),
        2 => (0..600_u64).prop_map(|millis| Op::Wait { millis }),
    ]
}

struct World {
    fault: InjectedFault,
    now: Instant,
    revision: u64,
    /// What each entry knows: the position and the list.
    entries: [(u64, PeerList); 2],
    agent: PlanState,
    datagrams: Vec<PeerListPart>,
    /// Every list that was in force, as an oracle.
    published: Vec<PeerList>,
}

impl World {
    fn new(fault: InjectedFault) -> Self {
        let first = list(200);
        Self {
            fault,
            now: Instant::now(),
            revision: 1,
            entries: [(1, first.clone()), (1, first.clone())],
            agent: PlanState::default(),
            datagrams: Vec::new(),
            published: vec![first],
        }
    }

    fn heartbeat(&mut self, entry: usize) {
        let (revision, list) = self.entries[entry].clone();
        apply(&mut self.agent, self.now, revision, &list);
        if !self.agent.wants_peer_list(self.now) {
            return;
        }
        let mut parts = list.parts(position(revision));
        if self.fault == InjectedFault::RepeatedPart
            && let [first, second, ..] = &mut parts[..]
        {
            second.zones.clone_from(&first.zones);
        }
        self.datagrams.extend(parts);
    }

    fn run(&mut self, op: &Op) -> Result<(), TestCaseError> {
        match *op {
            Op::Change { entry, agents } => {
                self.revision += 1;
                let list = list(agents);
                self.entries[entry] = (self.revision, list.clone());
                self.published.push(list);
            }
            // An entry never goes back.
            Op::CatchUp { entry } => {
                if self.entries[entry].0 < self.entries[1 - entry].0 {
                    self.entries[entry] = self.entries[1 - entry].clone();
                }
            }
            Op::Heartbeat { entry } => self.heartbeat(entry),
            Op::Arrive { index, repeated } if !self.datagrams.is_empty() => {
                let index = index % self.datagrams.len();
                let part = match repeated {
                    true => self.datagrams[index].clone(),
                    false => self.datagrams.remove(index),
                };
                self.agent.apply_peer_list(part);
            }
            Op::Lose { index } if !self.datagrams.is_empty() => {
                let index = index % self.datagrams.len();
                self.datagrams.remove(index);
            }
            Op::Wait { millis } => self.now += Duration::from_millis(millis),
            Op::Arrive { .. } | Op::Lose { .. } => {}
        }
        if let Some(peers) = self.agent.peers() {
            prop_assert!(self.published.contains(peers), "a list that never was");
        }
        Ok(())
    }

    /// The network calms down: the agent holds the newest list after a heartbeat of each entry.
    fn finish(&mut self) -> Result<(), TestCaseError> {
        let newest = usize::from(self.entries[1].0 > self.entries[0].0);
        self.entries[1 - newest] = self.entries[newest].clone();
        self.datagrams.clear();
        for entry in [0, 1] {
            self.now += Duration::from_secs(1);
            self.heartbeat(entry);
            while !self.datagrams.is_empty() {
                let part = self.datagrams.remove(0);
                self.agent.apply_peer_list(part);
            }
        }
        prop_assert_eq!(self.agent.peers(), Some(&self.entries[newest].1));
        Ok(())
    }
}

fn run_sequences(fault: InjectedFault) -> Result<(), TestError<Vec<Op>>> {
    let mut runner = TestRunner::new(fuzz_config(CASES));
    runner.run(&proptest::collection::vec(op(), 1..80), |ops| {
        let mut world = World::new(fault);
        ops.iter().try_for_each(|op| world.run(op))?;
        world.finish()
    })
}

#[test]
fn an_agent_holds_only_lists_that_were_and_ends_with_the_newest() {
    if let Err(err) = run_sequences(InjectedFault::NoFault) {
        panic!("{err}");
    }
}

#[rstest]
#[case::repeated_part(InjectedFault::RepeatedPart)]
fn an_injected_fault_is_detected(#[case] fault: InjectedFault) {
    assert!(run_sequences(fault).is_err());
}
