use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use argh::FromArgs;
use rstest::rstest;

use super::args::Direction;
use super::*;
use crate::codes::Code;
use crate::config::Targets;
use crate::membership::{HostEntry, HostRole};
use crate::types::{HostId, ZoneId};
use crate::wire::{EntryStatus, HostStatus, StoreContact};

fn host(name: &str, role: HostRole) -> HostEntry {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    HostEntry {
        host: name.into(),
        zone: "a".into(),
        region: "r".into(),
        role,
        control: addr,
        traffic: addr,
        leaving: false,
    }
}

fn status(generation: u64, in_force: bool, agents: &[(&str, u64)]) -> Option<EntryStatus> {
    let host = |(name, generation): &(&str, u64)| HostStatus {
        host: (*name).to_owned(),
        zone: "a".to_owned(),
        generation: *generation,
        age_ms: 0,
        leaving: false,
        suspect: false,
        endpoints: Vec::new(),
    };
    Some(EntryStatus {
        entry: "e".to_owned(),
        zone: "a".to_owned(),
        generation,
        in_force,
        store: StoreContact {
            age_ms: 0,
            reachable: true,
            outages: Vec::new(),
            stamp_ms: None,
            echo_ms: None,
        },
        hosts: agents.iter().map(host).collect(),
        classes: Vec::new(),
        quarantine: Vec::new(),
    })
}

#[rstest]
#[case::held_everywhere([status(7, true, &[("a1", 7)]), status(7, true, &[])], &[])]
#[case::entry_behind([status(7, true, &[("a1", 7)]), status(6, true, &[])], &[("e2", LagReason::Holds(6))])]
#[case::entry_refuses([status(7, true, &[("a1", 7)]), status(6, false, &[])], &[("e2", LagReason::Refuses(6))])]
#[case::entry_unreachable([status(7, true, &[("a1", 7)]), None], &[("e2", LagReason::NotReached)])]
#[case::agent_behind([status(7, true, &[("a1", 6)]), status(7, true, &[("a1", 5)])], &[("a1", LagReason::Holds(6))])]
#[case::one_entry_reports_the_generation([status(7, true, &[("a1", 6)]), status(7, true, &[("a1", 7)])], &[])]
#[case::agent_not_reported([status(7, true, &[]), status(7, true, &[])], &[("a1", LagReason::NotReached)])]
fn process_lags_until_known_to_hold_the_generation(
    #[case] statuses: [Option<EntryStatus>; 2],
    #[case] expected: &[(&str, LagReason)],
) {
    let hosts = [
        host("e1", HostRole::Entry),
        host("e2", HostRole::Entry),
        host("a1", HostRole::Agent),
    ];
    let names = ["e1", "e2"].map(HostId::from);
    let statuses: BTreeMap<_, _> = names.into_iter().zip(statuses).collect();
    let found = lagging_processes(7, &hosts, &statuses);
    let found: Vec<_> = found.iter().map(|lag| (&*lag.host, lag.reason)).collect();
    assert_eq!(found, expected);
}

#[rstest]
#[case::out(&[], "a", Direction::Out, false, Ok(["a"].as_slice()))]
#[case::out_again(&["a"], "a", Direction::Out, false, Ok(["a"].as_slice()))]
#[case::back(&["a"], "a", Direction::In, false, Ok(Default::default()))]
#[case::unknown(&[], "c", Direction::Out, false, Err(Code::BadReference))]
#[case::last_zone(&["b"], "a", Direction::Out, false, Err(Code::BadReference))]
#[case::last_zone_allowed(&["b"], "a", Direction::Out, true, Ok(["a", "b"].as_slice()))]
#[case::back_when_no_longer_known(&["gone"], "gone", Direction::In, false, Ok(Default::default()))]
fn zone_is_taken_out_and_brought_back(
    #[case] out: &[&str],
    #[case] zone: &str,
    #[case] direction: Direction,
    #[case] allow_last: bool,
    #[case] expected: Result<&[&str], Code>,
) {
    let names = |names: &[&str]| -> BTreeSet<ZoneId> {
        names.iter().map(|name| ZoneId::from(*name)).collect()
    };
    let targets = Targets {
        zones_out: names(out),
        ..Targets::default()
    };
    let known = names(&["a", "b"]);
    let found = zone::with_zone_changed(&targets, &zone.into(), direction, &known, allow_last);
    let found = found.map(|targets| targets.zones_out).map_err(|e| e.code());
    assert_eq!(found, expected.map(names));
}

/// Writer whose clones share one buffer, so that the test can read the output.
#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[tokio::test]
async fn failure_is_printed_as_text_or_json() {
    for json in [false, true] {
        let buffer = Buffer::default();
        let mut out = Output::new(buffer.clone(), buffer.clone(), json, true);
        let args = Args::from_args(&["limpetloom"], &["check", "no-such-file.ini"]).unwrap();
        assert_eq!(run(args.command, &mut out).await, Exit::FileRefused);
        let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
        if json {
            let value: serde_json::Value = serde_json::from_str(&text).unwrap();
            assert_eq!(value["code"], 4001);
        } else {
            assert!(
                text.contains("no-such-file.ini:0") && text.contains("(4001)"),
                "{text}"
            );
        }
    }
}
