use std::time::{Duration, Instant};

use rstest::rstest;

use super::super::*;
use crate::codes::Code;
use crate::wire::VersionedDocument;

const ISOLATION_AFTER: Duration = Duration::from_secs(5);

fn doc(generation: u64) -> VersionedDocument {
    let targets = Targets {
        site_power: generation,
        ..Targets::default()
    };
    let body = serde_json::to_string(&targets).unwrap();
    VersionedDocument { generation, body }
}

/// Processes and the messages between them, at a simulated time.
struct Fleet {
    now: Instant,
    states: Vec<ConfigState>,
}

impl Fleet {
    /// Creates one process per given region; the object API is in region `a`.
    fn new(regions: &[&str]) -> Self {
        let now = Instant::now() + Duration::from_secs(1_000);
        let state = |(i, region): (usize, &&str)| {
            let params = ConfigParams {
                name: name(i),
                region: (*region).into(),
                store_region: "a".into(),
                isolation_after: ISOLATION_AFTER,
            };
            ConfigState::new(params, i as u64 + 1, now)
        };
        let states = regions.iter().enumerate().map(state).collect();
        Self { now, states }
    }

    /// Sends a heartbeat from `from` to `to`, which arrives after `delay` and is answered at once.
    fn sync(&mut self, from: usize, to: usize, delay: Duration) {
        let request = self.message(from, to);
        self.now += delay;
        self.deliver(from, to, &request);
        let reply = self.message(to, from);
        self.deliver(to, from, &reply);
    }

    fn message(
        &mut self,
        from: usize,
        to: usize,
    ) -> (u64, Option<VersionedDocument>, crate::wire::StoreContact) {
        let known = self.states[to].generation();
        let state = &mut self.states[from];
        let contact = state.contact_for(self.now, &name(to));
        (state.generation(), state.doc_newer_than(known), contact)
    }

    fn deliver(
        &mut self,
        from: usize,
        to: usize,
        message: &(u64, Option<VersionedDocument>, crate::wire::StoreContact),
    ) {
        let (generation, doc, contact) = message;
        if let Some(doc) = doc {
            self.states[to].observe(doc);
        }
        self.states[to].apply_peer_contact(self.now, &name(from), *generation, contact);
    }

    /// For `seconds` seconds, every second, reports to each of `entries` whether the object API
    /// answered it, and sends a heartbeat along each of `links`.
    fn run(&mut self, seconds: u64, links: &[(usize, usize)], entries: &[(usize, bool)]) {
        for _ in 0..seconds {
            self.now += Duration::from_secs(1);
            for (entry, reached) in entries {
                self.states[*entry].record_store_contact(self.now, *reached);
            }
            for (from, to) in links {
                self.sync(*from, *to, Duration::ZERO);
            }
        }
    }

    fn in_force(&self, process: usize) -> Result<u64, Code> {
        self.states[process]
            .in_force(self.now)
            .map(|held| held.generation)
    }
}

fn name(process: usize) -> std::sync::Arc<str> {
    format!("p{process}").into()
}

#[rstest]
#[case::higher(5, 6, Observation::Adopted, 6)]
#[case::same(5, 5, Observation::Known, 5)]
#[case::stale_read(5, 4, Observation::Older, 5)]
fn only_a_higher_generation_is_adopted(
    #[case] held: u64,
    #[case] seen: u64,
    #[case] expected: Observation,
    #[case] generation: u64,
) {
    let mut fleet = Fleet::new(&["a"]);
    fleet.states[0].observe(&doc(held));
    assert_eq!(fleet.states[0].observe(&doc(seen)), expected);
    assert_eq!(fleet.states[0].generation(), generation);
}

#[test]
fn invalid_body_keeps_the_held_configuration() {
    let mut fleet = Fleet::new(&["a"]);
    fleet.states[0].observe_store_read(fleet.now, &doc(5));
    let invalid = VersionedDocument {
        generation: 6,
        body: "{".to_owned(),
    };
    assert_eq!(fleet.states[0].observe(&invalid), Observation::Invalid);
    assert_eq!(fleet.in_force(0), Ok(5));
}

#[test]
fn nothing_is_in_force_before_the_first_configuration() {
    let mut fleet = Fleet::new(&["a"]);
    fleet.states[0].record_store_contact(fleet.now, true);
    assert_eq!(fleet.in_force(0), Err(Code::NoConfiguration));
}

#[test]
fn stale_read_does_not_count_as_contact() {
    let mut fleet = Fleet::new(&["a"]);
    fleet.states[0].observe_store_read(fleet.now, &doc(6));
    fleet.now += Duration::from_secs(6);
    fleet.states[0].record_store_contact(fleet.now, true);
    fleet.states[0].observe_store_read(fleet.now, &doc(5));
    assert_eq!(fleet.in_force(0), Err(Code::Isolated));
}

/// Processes 0 and 1 are entries in region a, 2 an entry in region b, 3 an agent in a, 4 in b.
const REGIONS: &[&str] = &["a", "a", "b", "a", "b"];
const LINKS: &[(usize, usize)] = &[(0, 3), (1, 3), (2, 3), (0, 4), (2, 4)];
/// `LINKS` without the links between the regions.
const CUT_LINKS: &[(usize, usize)] = &[(0, 3), (1, 3), (2, 4)];
/// `LINKS` without entry 1, which is dead.
const LINKS_WITHOUT_1: &[(usize, usize)] = &[(0, 3), (2, 3), (0, 4), (2, 4)];
const STORE_UP: &[(usize, bool)] = &[(0, true), (1, true), (2, true)];
const STORE_DOWN: &[(usize, bool)] = &[(0, false), (1, false), (2, false)];
/// The object API is reachable in its own region only.
const REGION_CUT: &[(usize, bool)] = &[(0, true), (1, true), (2, false)];
/// One entry in the object API's region cannot reach it, nor can the entry in the other region.
const ONE_UNREACHED: &[(usize, bool)] = &[(0, false), (1, true), (2, false)];
/// Entry 1 is dead and reports nothing; the others cannot reach the object API.
const ONE_DEAD: &[(usize, bool)] = &[(0, false), (2, false)];

type InForceResult = Result<u64, Code>;
const SERVES: InForceResult = Ok(5);
const REFUSES: InForceResult = Err(Code::Isolated);

#[rstest]
#[case::no_fault(LINKS, STORE_UP, [SERVES, SERVES, SERVES, SERVES, SERVES])]
#[case::store_outage(LINKS, STORE_DOWN, [SERVES, SERVES, SERVES, SERVES, SERVES])]
#[case::region_cut(CUT_LINKS, REGION_CUT, [SERVES, SERVES, REFUSES, SERVES, REFUSES])]
#[case::region_cut_during_store_outage(CUT_LINKS, STORE_DOWN, [SERVES, SERVES, REFUSES, SERVES, REFUSES])]
#[case::one_entry_without_store(LINKS, ONE_UNREACHED, [SERVES, SERVES, SERVES, SERVES, SERVES])]
#[case::one_entry_without_store_and_links(&[(1, 3)], ONE_UNREACHED, [REFUSES, SERVES, REFUSES, SERVES, REFUSES])]
#[case::dead_entry_still_listed(LINKS_WITHOUT_1, ONE_DEAD, [REFUSES, REFUSES, REFUSES, SERVES, SERVES])]
#[case::no_links(&[], STORE_DOWN, [REFUSES, REFUSES, REFUSES, REFUSES, REFUSES])]
fn isolated_processes_refuse_and_a_store_outage_is_tolerated(
    #[case] links: &[(usize, usize)],
    #[case] store: &[(usize, bool)],
    #[case] expected: [InForceResult; 5],
) {
    let mut fleet = Fleet::new(REGIONS);
    fleet.states[0].observe_store_read(fleet.now, &doc(5));
    for entry in 0..3 {
        fleet.states[entry].set_store_entries([name(0), name(1)]);
    }
    fleet.run(5, LINKS, STORE_UP);
    fleet.run(20, links, store);
    let found: [InForceResult; 5] = std::array::from_fn(|process| fleet.in_force(process));
    assert_eq!(found, expected);
}

#[test]
fn dead_entry_no_longer_counts_once_it_is_unlisted() {
    let mut fleet = Fleet::new(REGIONS);
    fleet.states[0].observe_store_read(fleet.now, &doc(5));
    fleet.run(5, LINKS, STORE_UP);
    for entry in [0, 2] {
        fleet.states[entry].set_store_entries([name(0)]);
    }
    fleet.run(20, LINKS_WITHOUT_1, ONE_DEAD);
    assert_eq!([fleet.in_force(0), fleet.in_force(2)], [SERVES, SERVES]);
}

#[test]
fn cut_region_refuses_until_it_receives_the_change() {
    let mut fleet = Fleet::new(REGIONS);
    fleet.states[0].observe_store_read(fleet.now, &doc(5));
    fleet.run(5, LINKS, STORE_UP);
    fleet.states[0].observe_store_read(fleet.now, &doc(6));
    fleet.run(6, CUT_LINKS, REGION_CUT);
    assert_eq!(fleet.in_force(2), Err(Code::Isolated));
    fleet.run(2, LINKS, REGION_CUT);
    assert_eq!(fleet.in_force(2), Ok(6));
    assert_eq!(fleet.in_force(4), Ok(6));
}

#[test]
fn process_restarted_in_an_outage_gets_the_highest_generation_from_peers() {
    let mut fleet = Fleet::new(REGIONS);
    fleet.states[0].observe_store_read(fleet.now, &doc(5));
    fleet.run(5, LINKS, STORE_UP);
    fleet.states[1].observe_store_read(fleet.now, &doc(6));
    let restarted = Fleet::new(REGIONS);
    fleet.states[2] = restarted.states.into_iter().nth(2).unwrap();
    assert_eq!(fleet.in_force(2), Err(Code::NoConfiguration));
    fleet.run(10, LINKS, STORE_DOWN);
    assert_eq!(fleet.in_force(2), Ok(6));
}

#[test]
fn peer_with_a_newer_generation_confirms_nothing() {
    let mut fleet = Fleet::new(&["a", "a"]);
    fleet.states[0].observe_store_read(fleet.now, &doc(5));
    fleet.states[1].observe_store_read(fleet.now, &doc(6));
    fleet.now += Duration::from_secs(6);
    fleet.states[1].record_store_contact(fleet.now, true);
    for _ in 0..3 {
        let (generation, _, contact) = fleet.message(1, 0);
        fleet.deliver(1, 0, &(generation, None, contact));
    }
    assert_eq!(fleet.in_force(0), Err(Code::Isolated));
}

#[test]
fn delayed_heartbeat_is_dated_by_the_stamp_it_echoes() {
    let mut fleet = Fleet::new(&["a", "a"]);
    fleet.states[0].observe_store_read(fleet.now, &doc(5));
    fleet.run(3, &[(0, 1)], &[(0, true)]);
    assert_eq!(fleet.in_force(1), Ok(5));
    let delayed = fleet.message(0, 1);
    fleet.now += Duration::from_secs(30);
    fleet.deliver(0, 1, &delayed);
    assert_eq!(fleet.in_force(1), Err(Code::Isolated));
}

#[test]
fn only_an_outdated_peer_is_sent_the_configuration() {
    let mut fleet = Fleet::new(&["a"]);
    fleet.states[0].observe(&doc(5));
    assert_eq!(fleet.states[0].doc_newer_than(4), Some(doc(5)));
    assert_eq!(fleet.states[0].doc_newer_than(5), None);
    assert_eq!(fleet.states[0].doc_newer_than(6), None);
}

/// A peer that was in contact with an earlier process of the same name echoes that process's stamp,
/// which must not be mistaken for a stamp of the new process.
#[test]
fn echo_of_an_earlier_process_does_not_count_as_contact() {
    let mut fleet = Fleet::new(&["a", "a"]);
    fleet.states[0].record_store_contact(fleet.now, true);
    fleet.sync(0, 1, Duration::ZERO);
    fleet.now += Duration::from_secs(30);
    fleet.sync(0, 1, Duration::ZERO);
    let late = fleet.message(0, 1);
    let params = ConfigParams {
        name: name(1),
        region: "a".into(),
        store_region: "a".into(),
        isolation_after: ISOLATION_AFTER,
    };
    fleet.states[1] = ConfigState::new(params, 99, fleet.now);
    fleet.deliver(0, 1, &late);
    assert_eq!(fleet.states[1].contact_age(fleet.now), None);
}
