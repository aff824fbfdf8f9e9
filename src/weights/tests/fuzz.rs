//! Random histories of faults: once they are over, every host holds the newest version whole.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestError, TestRunner};
use rstest::rstest;

use super::world::{CHUNKS, World, wanted};

/// Cases of one run.
const CASES: u32 = 48;
const HOSTS: usize = 9;

#[derive(Clone, Copy, Debug)]
enum Op {
    Run(u16),
    Kill(usize),
    Start(usize),
    Origin(bool),
    Cut(bool),
    Stall(Option<usize>),
    Corrupt(Option<usize>),
    Name(u8),
}

fn op() -> impl Strategy<Value = Op> {
    let host = 0..HOSTS;
    prop_oneof![
        6 => (0u16..3_000).prop_map(Op::Run),
        3 => host.clone().prop_map(Op::Kill),
        3 => host.clone().prop_map(Op::Start),
        1 => any::<bool>().prop_map(Op::Origin),
        1 => any::<bool>().prop_map(Op::Cut),
        1 => proptest::option::of(host.clone()).prop_map(Op::Stall),
        1 => proptest::option::of(host).prop_map(Op::Corrupt),
        2 => (1u8..5).prop_map(Op::Name),
    ]
}

/// What is kept from happening at the end of a history.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Planted {
    Nothing,
    /// The origin stays away.
    OriginStaysAway,
    /// Hosts that started are not told what is wanted.
    StartsUntold,
}

struct History {
    world: World,
    newest: u8,
    planted: Planted,
}

impl History {
    fn new(one_draw: bool, planted: Planted) -> Self {
        let mut world = match one_draw {
            true => World::with_one_draw(HOSTS, 3),
            false => World::new(HOSTS, 3),
        };
        world.want(&wanted("m", "v1"));
        Self {
            world,
            newest: 1,
            planted,
        }
    }

    fn version(&self) -> String {
        format!("v{}", self.newest)
    }

    fn start(&mut self, host: usize) {
        if self.world.nodes[host].is_some() {
            return;
        }
        self.world.start(host);
        if self.planted != Planted::StartsUntold {
            let wanted = wanted("m", &self.version());
            self.world.want_at(host, &wanted);
        }
    }

    fn run(&mut self, op: Op) {
        match op {
            Op::Run(millis) => self.world.run_for(Duration::from_millis(millis.into())),
            Op::Kill(host) => self.world.kill(host),
            Op::Start(host) => self.start(host),
            Op::Origin(up) => self.world.origin_up = up,
            Op::Cut(cut) => self.world.cut = cut,
            Op::Stall(host) => self.world.stalled = host,
            Op::Corrupt(host) => self.world.corrupt = host,
            Op::Name(version) if version > self.newest => {
                self.newest = version;
                let wanted = wanted("m", &self.version());
                for host in 0..HOSTS {
                    if self.world.nodes[host].is_some() {
                        self.world.want_at(host, &wanted);
                    }
                }
            }
            Op::Name(_) => {}
        }
    }

    /// Ends all faults; every host must then get the newest version whole.
    fn finish(&mut self) -> Result<(), TestCaseError> {
        self.world.origin_up = self.planted != Planted::OriginStaysAway;
        self.world.cut = false;
        self.world.stalled = None;
        self.world.corrupt = None;
        (0..HOSTS).for_each(|host| self.start(host));
        let version = self.version();
        let held = self.world.run_until_held(&version);
        prop_assert!(held.is_some(), "{} is not held everywhere", version);
        for host in 0..HOSTS {
            prop_assert_eq!(self.world.has(host, &version), CHUNKS as usize);
        }
        Ok(())
    }
}

fn histories(one_draw: bool, planted: Planted) -> Result<(), TestError<Vec<Op>>> {
    let config = ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new(config);
    runner.run(&proptest::collection::vec(op(), 1..40), |ops| {
        let mut history = History::new(one_draw, planted);
        ops.iter().for_each(|op| history.run(*op));
        history.finish()
    })
}

#[rstest]
#[case::each_region_draws(false)]
#[case::one_draw(true)]
fn after_any_history_every_host_holds_the_newest_version(#[case] one_draw: bool) {
    if let Err(err) = histories(one_draw, Planted::Nothing) {
        panic!("{err}");
    }
}

#[rstest]
#[case::origin_stays_away(Planted::OriginStaysAway)]
#[case::starts_untold(Planted::StartsUntold)]
fn a_planted_fault_is_caught(#[case] planted: Planted) {
    assert!(histories(true, planted).is_err());
}
