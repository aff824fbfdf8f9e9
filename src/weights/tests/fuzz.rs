//! Random sequences of faults; afterwards every host must hold all chunks of the newest version.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestError, TestRunner};
use rstest::rstest;

use crate::fuzz_config::fuzz_config;

use super::fleet::{CHUNKS, Fleet, MAX_REQUEST_WAIT, NARROW_CHUNK_TIME, wanted};

/// Random histories per test case.
const CASES: u32 = 48;
const HOSTS: usize = 9;

#[derive(Clone, Copy, Debug)]
enum Op {
    Run(u16),
    Kill(usize),
    Start(usize),
    Origin(bool),
    Partition(bool),
    Stall(Option<usize>),
    Corrupt(Option<usize>),
    /// The link of a host becomes narrow, or is no longer.
    Narrow(usize, bool),
    WantVersion(u8),
}

fn op() -> impl Strategy<Value = Op> {
    let host = 0..HOSTS;
    prop_oneof![
        6 => (0u16..3_000).prop_map(Op::Run),
        3 => host.clone().prop_map(Op::Kill),
        3 => host.clone().prop_map(Op::Start),
        1 => any::<bool>().prop_map(Op::Origin),
        1 => any::<bool>().prop_map(Op::Partition),
        1 => proptest::option::of(host.clone()).prop_map(Op::Stall),
        1 => proptest::option::of(host.clone()).prop_map(Op::Corrupt),
        1 => (host, any::<bool>()).prop_map(|(host, narrow)| Op::Narrow(host, narrow)),
        2 => (1u8..5).prop_map(Op::WantVersion),
    ]
}

/// A fault that lasts beyond the end of a history, to show that the test detects it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InjectedFault {
    NoFault,
    /// The origin does not come back.
    OriginStaysDown,
    /// Hosts that are started do not receive the wanted version.
    RestartsNotInformed,
    /// Hosts fetch as many chunks on a narrow link as on any other.
    ChunksFillLinks,
}

struct History {
    fleet: Fleet,
    newest: u8,
    injected: InjectedFault,
}

impl History {
    fn new(share_origin_download: bool, injected: InjectedFault) -> Self {
        let mut fleet = match share_origin_download {
            true => Fleet::with_shared_origin_download(HOSTS, 3),
            false => Fleet::new(HOSTS, 3),
        };
        if injected == InjectedFault::ChunksFillLinks {
            fleet.max_link_wait = Duration::from_secs(60);
            (0..HOSTS).for_each(|host| fleet.start(host));
        }
        fleet.want_everywhere(&wanted("m", "v1"));
        Self {
            fleet,
            newest: 1,
            injected,
        }
    }

    fn newest_version(&self) -> String {
        format!("v{}", self.newest)
    }

    fn start(&mut self, host: usize) {
        if self.fleet.nodes[host].is_some() {
            return;
        }
        self.fleet.start(host);
        if self.injected != InjectedFault::RestartsNotInformed {
            let wanted = wanted("m", &self.newest_version());
            self.fleet.want_at(host, &wanted);
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Run(millis) => self.fleet.run_for(Duration::from_millis(millis.into())),
            Op::Kill(host) => self.fleet.kill(host),
            Op::Start(host) => self.start(host),
            Op::Origin(up) => self.fleet.origin_up = up,
            Op::Partition(active) => self.fleet.is_partitioned = active,
            Op::Stall(host) => self.fleet.stalled_host = host,
            Op::Corrupt(host) => self.fleet.corrupting_host = host,
            Op::Narrow(host, true) => {
                self.fleet.link_chunk_time.insert(host, NARROW_CHUNK_TIME);
            }
            Op::Narrow(host, false) => {
                self.fleet.link_chunk_time.remove(&host);
            }
            Op::WantVersion(version) if version > self.newest => {
                self.newest = version;
                let wanted = wanted("m", &self.newest_version());
                for host in 0..HOSTS {
                    if self.fleet.nodes[host].is_some() {
                        self.fleet.want_at(host, &wanted);
                    }
                }
            }
            Op::WantVersion(_) => {}
        }
    }

    /// Ends all faults but narrow links, then checks that every host gets all chunks of the newest
    /// version, and that packets to hosts on narrow links do not wait long behind them.
    fn end_faults_and_check(&mut self) -> Result<(), TestCaseError> {
        self.fleet.origin_up = self.injected != InjectedFault::OriginStaysDown;
        self.fleet.is_partitioned = false;
        self.fleet.stalled_host = None;
        self.fleet.corrupting_host = None;
        (0..HOSTS).for_each(|host| self.start(host));
        // Chunks that were requested before a link became narrow may still be on it.
        self.fleet.run_for(Duration::from_secs(4));
        let narrow: Vec<usize> = self.fleet.link_chunk_time.keys().copied().collect();
        for host in narrow {
            let wait = self.fleet.longest_link_wait(host, Duration::from_secs(1));
            prop_assert!(wait <= MAX_REQUEST_WAIT, "a packet waited {:?}", wait);
        }
        let version = self.newest_version();
        let held = self.fleet.run_until_held(&version);
        prop_assert!(held.is_some(), "not every host holds {}", version);
        for host in 0..HOSTS {
            prop_assert_eq!(self.fleet.chunk_count(host, &version), CHUNKS as usize);
        }
        Ok(())
    }
}

fn run_random_histories(
    share_origin_download: bool,
    injected: InjectedFault,
) -> Result<(), TestError<Vec<Op>>> {
    let config = ProptestConfig {
        max_shrink_iters: 0,
        ..fuzz_config(CASES)
    };
    let mut runner = TestRunner::new(config);
    runner.run(&proptest::collection::vec(op(), 1..40), |ops| {
        let mut history = History::new(share_origin_download, injected);
        ops.iter().for_each(|op| history.apply(*op));
        history.end_faults_and_check()
    })
}

#[rstest]
#[case::each_region_downloads(false)]
#[case::shared_download(true)]
fn after_any_faults_every_host_holds_the_newest_version(#[case] share_origin_download: bool) {
    if let Err(err) = run_random_histories(share_origin_download, InjectedFault::NoFault) {
        panic!("{err}");
    }
}

#[rstest]
#[case::origin_stays_down(InjectedFault::OriginStaysDown)]
#[case::restarts_not_informed(InjectedFault::RestartsNotInformed)]
#[case::chunks_fill_links(InjectedFault::ChunksFillLinks)]
fn an_injected_fault_is_detected(#[case] injected: InjectedFault) {
    assert!(run_random_histories(true, injected).is_err());
}
