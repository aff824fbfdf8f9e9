mod delivery;
mod placed;
mod power;
mod reports;
mod warm_up;

use std::time::{Duration, Instant};

use rstest::rstest;

use super::*;
use crate::config::{Class, Model, Service};
use crate::wire::{
    EndpointState, SettleRequest, SettleState, StoreContact, SyncReply, SyncRequest,
    VersionedDocument,
};

const AGENT: u64 = 7;
const SECOND: Duration = Duration::from_secs(1);

fn class(id: &str, target: &str, priority: u8) -> Class {
    Class {
        id: id.into(),
        target: target.into(),
        first_token: SECOND,
        power: 0,
        priority,
        keyed: id == "booking",
        deferrable: id == "batch",
    }
}

fn targets(manifest: &str) -> Targets {
    Targets {
        classes: vec![
            class("chat", "clay", 1),
            class("batch", "clay", 5),
            class("booking", "seats", 0),
        ],
        models: vec![Model {
            id: "clay".into(),
            version: "v".into(),
            manifest: manifest.into(),
            replicas: None,
        }],
        services: vec![Service { id: "seats".into() }],
        ..Targets::default()
    }
}

fn endpoint(id: &str, target: &str, kind: EndpointKind) -> EndpointConfig {
    EndpointConfig {
        id: id.into(),
        target: target.into(),
        kind,
        cold_limit: 2,
        warm_up_answers: 0,
        limit: 4,
        checks_fencing: true,
        idle_power_mw: 100,
        millijoules_per_token: 10,
    }
}

/// An agent with one engine that serves version `v1` and one service.
struct Bench {
    core: AgentCore,
    /// Newest stamp of the agent's clock.
    stamp_ms: Option<u64>,
    now: Instant,
    attempts: u32,
}

impl Bench {
    fn new() -> Self {
        Self::with_fencing(true)
    }

    fn with_fencing(checks_fencing: bool) -> Self {
        let now = Instant::now();
        let engine = EndpointConfig {
            checks_fencing,
            ..endpoint("engine", "clay", EndpointKind::Model)
        };
        let cfg = AgentCoreConfig {
            endpoints: vec![engine, endpoint("desk", "seats", EndpointKind::Service)],
            ..AgentCoreConfig::new("h1".into(), "kochi-a".into(), "kerala".into(), AGENT)
        };
        let core = AgentCore::new(cfg, now);
        let mut bench = Self {
            core,
            stamp_ms: None,
            now,
            attempts: 0,
        };
        bench.sync(5, Some(targets("v1")));
        bench.sync(5, None);
        bench.probe("engine", 11, Some("v1"));
        bench.probe("desk", 12, None);
        bench
    }

    fn handle(&mut self, event: AgentEvent) -> Vec<AgentAction> {
        self.core.handle(self.now, event)
    }

    fn sync(&mut self, generation: u64, config: Option<Targets>) -> SyncReply {
        let config = config.map(|targets| VersionedDocument {
            generation,
            body: serde_json::to_string(&targets).expect("targets"),
        });
        let request = SyncRequest {
            seen_instance: None,
            seen_revision: None,
            entry: "e1".into(),
            zone: None,
            generation,
            config,
            placement: None,
            placement_version: None,
            store: StoreContact {
                age_ms: 0,
                reachable: true,
                outages: Vec::new(),
                stamp_ms: Some(0),
                echo_ms: self.stamp_ms,
            },
            quarantine: Vec::new(),
        };
        let actions = self.handle(AgentEvent::Synced(Box::new(request)));
        let reply = actions.into_iter().find_map(|action| match action {
            AgentAction::SyncReply(reply) => Some(*reply),
            _ => None,
        });
        let reply = reply.expect("a sync reply");
        self.stamp_ms = reply.store.stamp_ms;
        reply
    }

    fn probe(&mut self, endpoint: &str, instance: u64, version: Option<&str>) -> Vec<AgentAction> {
        let probe = EndpointProbe {
            instance,
            version: version.map(Into::into),
            fence: 0,
            running: 0,
            power: 0,
        };
        let endpoint = endpoint.into();
        self.handle(AgentEvent::Probed {
            endpoint,
            probe: Some(probe),
        })
    }

    fn offer(&mut self, class: &str) -> Offer {
        self.attempts += 1;
        let booking = class == "booking";
        Offer {
            attempt: format!("a{}", self.attempts).into(),
            entry: "e1".into(),
            endpoint: if booking { "desk" } else { "engine" }.into(),
            agent_instance: AGENT,
            generation: 5,
            class: class.into(),
            customer: "studio".into(),
            key: booking.then(|| format!("k{}", self.attempts).into()),
            fingerprint: format!("f{}", self.attempts).into(),
            version: (!booking).then(|| "v1".into()),
            tokens: 10,
            start_budget: SECOND,
            suspect: false,
        }
    }

    /// An entry passes a share of power for the engine on.
    fn grant(&mut self, power: u64) -> String {
        let grant = crate::power::Grant {
            host: "h1".into(),
            power,
            ceiling: power,
            full_load: 1_700,
        };
        let assignment = Assignment {
            host: "h1".into(),
            model: "clay".into(),
            version: "v1".into(),
            next: None,
        };
        let placement = Placement {
            generation: 5,
            endpoints: [("engine".into(), assignment)].into(),
            grants: [("engine".into(), grant)].into(),
        };
        let actions = placed::place(self, 9, &placement);
        brief(&actions)
    }

    /// Offers work of a class; returns what came of it.
    fn send(&mut self, class: &str) -> String {
        let offer = self.offer(class);
        self.send_offer(offer)
    }

    fn send_offer(&mut self, offer: Offer) -> String {
        let actions = self.handle(AgentEvent::Offered(offer));
        brief(&actions)
    }

    fn answer(&mut self, attempt: &str) -> String {
        let attempt: AttemptId = attempt.into();
        self.handle(AgentEvent::Started {
            attempt: attempt.clone(),
        });
        let actions = self.handle(AgentEvent::Answered {
            attempt,
            tokens: 10,
            answer: Some("ok".into()),
        });
        brief(&actions)
    }

    fn warm(&mut self) {
        for _ in 0..2 {
            let admitted = self.send("chat");
            self.answer(&admitted[1..]);
        }
    }

    fn settle(&mut self, attempt: &str) -> SettleState {
        let request = SettleRequest {
            key: "k".into(),
            attempt: attempt.into(),
        };
        let actions = self.handle(AgentEvent::Settle(request));
        let state = actions.iter().find_map(|action| match action {
            AgentAction::SettleReply(reply) => Some(reply.state),
            _ => None,
        });
        state.expect("a settle reply")
    }

    fn state(&mut self, endpoint: &str) -> (EndpointState, u32) {
        let reply = self.sync(0, None);
        let mut reports = reply.endpoints.into_iter();
        let report = reports.find(|report| report.endpoint == endpoint);
        let report = report.expect("a report");
        (report.state, report.limit)
    }
}

/// Actions in short: `+a` admit, `-CODE a` refuse, `=a` replay, and so on.
fn brief(actions: &[AgentAction]) -> String {
    let words: Vec<String> = actions
        .iter()
        .filter_map(|action| match action {
            AgentAction::Admit { attempt, .. } => Some(format!("+{attempt}")),
            AgentAction::Refuse { attempt, code, .. } => {
                Some(format!("-{} {attempt}", code.number()))
            }
            AgentAction::Replay { attempt, .. } => Some(format!("={attempt}")),
            AgentAction::Cancel { attempt, .. } => Some(format!("cancel {attempt}")),
            AgentAction::Pause { attempt } => Some(format!("pause {attempt}")),
            AgentAction::Resume { attempt } => Some(format!("resume {attempt}")),
            AgentAction::Fetch { version, .. } => Some(format!("fetch {version}")),
            AgentAction::Load {
                endpoint, version, ..
            } => Some(format!("load {endpoint} {version}")),
            AgentAction::Drained => Some("drained".into()),
            _ => None,
        })
        .collect();
    words.join(", ")
}

#[rstest]
#[case::good(|_: &mut Offer| {}, "+a1")]
#[case::other_agent_instance(|o: &mut Offer| o.agent_instance = 8, "-2012 a1")]
#[case::stale_entry(|o: &mut Offer| o.generation = 4, "-2006 a1")]
#[case::entry_ahead(|o: &mut Offer| o.generation = 6, "+a1")]
#[case::unknown_endpoint(|o: &mut Offer| o.endpoint = "none".into(), "-2004 a1")]
#[case::unknown_class(|o: &mut Offer| o.class = "none".into(), "-1003 a1")]
#[case::class_of_another_target(|o: &mut Offer| o.class = "booking".into(), "-1008 a1")]
#[case::other_version(|o: &mut Offer| o.version = Some("v0".into()), "-2013 a1")]
#[case::no_version(|o: &mut Offer| o.version = None, "-2013 a1")]
fn offers_are_checked(#[case] change: fn(&mut Offer), #[case] expected: &str) {
    let mut bench = Bench::new();
    let mut offer = bench.offer("chat");
    change(&mut offer);
    assert_eq!(bench.send_offer(offer), expected);
}

#[test]
fn cold_bound_holds_whatever_entries_offer() {
    let mut bench = Bench::new();
    assert_eq!(bench.send("chat"), "+a1");
    assert_eq!(bench.send("chat"), "+a2");
    assert_eq!(bench.send("chat"), "");
    assert_eq!(bench.answer("a1"), "+a3");
}

#[rstest]
#[case::restarted(|b: &mut Bench| drop(b.probe("engine", 99, Some("v1"))), EndpointState::Cold, 2)]
#[case::version_gone(|b: &mut Bench| drop(b.probe("engine", 11, None)), EndpointState::Down, 0)]
#[case::silent_once(|b: &mut Bench| silent(b), EndpointState::Cold, 2)]
#[case::silent_twice(|b: &mut Bench| { silent(b); silent(b) }, EndpointState::Down, 0)]
#[case::no_evidence(|b: &mut Bench| b.now += 4 * SECOND, EndpointState::Ready, 2)]
#[case::first_token_jumped(|b: &mut Bench| slow_answer(b), EndpointState::Cold, 2)]
#[case::connection_broke(|b: &mut Bench| broken(b), EndpointState::Cold, 2)]
fn capacity_falls_at_once(
    #[case] event: fn(&mut Bench),
    #[case] state: EndpointState,
    #[case] limit: u32,
) {
    let mut bench = Bench::new();
    bench.warm();
    assert_eq!(bench.state("engine"), (EndpointState::Ready, 4));
    event(&mut bench);
    assert_eq!(bench.state("engine"), (state, limit));
}

fn silent(bench: &mut Bench) {
    let endpoint = "engine".into();
    bench.handle(AgentEvent::Probed {
        endpoint,
        probe: None,
    });
}

fn slow_answer(bench: &mut Bench) {
    let attempt = bench.send("chat")[1..].into();
    bench.now += 5 * SECOND;
    bench.handle(AgentEvent::Started { attempt });
}

fn broken(bench: &mut Bench) {
    let attempt = bench.send("chat")[1..].into();
    bench.handle(AgentEvent::Broken {
        attempt,
        maybe_sent: true,
    });
}

#[test]
fn late_and_doubled_ends_count_once() {
    let mut bench = Bench::new();
    bench.send("chat");
    bench.send("chat");
    bench.handle(AgentEvent::EntryGone {
        attempt: "a1".into(),
    });
    assert_eq!(bench.answer("a1"), "");
    assert_eq!(bench.answer("a1"), "");
    assert_eq!(bench.send("chat"), "+a3");
    let offer = bench.offer("chat");
    bench.send_offer(offer.clone());
    assert_eq!(
        bench.send_offer(offer),
        "",
        "a doubled offer changes nothing"
    );
}

#[test]
fn waiting_work_is_refused_as_not_run_when_its_patience_ends() {
    let mut bench = Bench::new();
    (0..3).for_each(|_| drop(bench.send("chat")));
    assert_eq!(bench.core.next_wakeup(), Some(bench.now + SECOND));
    bench.now += SECOND;
    let actions = bench.handle(AgentEvent::Tick);
    assert_eq!(brief(&actions), "-2001 a3");
}

#[test]
fn queue_is_bounded() {
    let mut bench = Bench::new();
    (0..6).for_each(|_| drop(bench.send("chat")));
    assert_eq!(bench.send("chat"), "-2017 a7");
}

#[test]
fn zone_out_refuses_new_and_waiting_work() {
    let mut bench = Bench::new();
    (0..3).for_each(|_| drop(bench.send("chat")));
    let mut next = targets("v1");
    next.zones_out.insert("kochi-a".into());
    bench.sync(6, Some(next));
    let mut offer = bench.offer("chat");
    offer.generation = 6;
    assert_eq!(bench.send_offer(offer), "-2005 a4");
    assert_eq!(
        bench.answer("a1"),
        "",
        "running work ends, waiting work is gone"
    );
}

#[rstest]
#[case::older(4, 5)]
#[case::same(5, 5)]
#[case::newer(6, 6)]
fn configuration_never_goes_back(#[case] seen: u64, #[case] in_force: u64) {
    let mut bench = Bench::new();
    let reply = bench.sync(seen, Some(targets("v1")));
    assert_eq!(reply.generation, in_force);
    let teaches = reply.config.is_some();
    assert_eq!(teaches, seen < in_force, "only an entry behind is taught");
}

#[test]
fn stop_lets_running_work_end() {
    let mut bench = Bench::new();
    bench.send("chat");
    let actions = bench.handle(AgentEvent::Stop);
    assert_eq!(brief(&actions), "");
    assert_eq!(bench.send("chat"), "-2018 a2");
    assert_eq!(bench.answer("a1"), "drained");
}

#[test]
fn new_version_is_fetched_then_loaded_when_the_endpoint_has_drained() {
    let mut bench = Bench::new();
    bench.send("chat");
    bench.sync(6, Some(targets("v2")));
    let actions = bench.handle(AgentEvent::VersionHeld {
        version: "v2".into(),
    });
    assert_eq!(
        brief(&actions),
        "",
        "an answer of the old version still runs"
    );
    assert_eq!(bench.state("engine").0, EndpointState::Loading);
    assert_eq!(bench.answer("a1"), "load engine v2");
    bench.handle(AgentEvent::Loaded {
        endpoint: "engine".into(),
        version: Some("v2".into()),
        fence: 6,
    });
    assert_eq!(bench.state("engine"), (EndpointState::Cold, 2));
}

#[test]
fn agent_out_of_touch_refuses_new_work_and_ends_what_runs() {
    let mut bench = Bench::new();
    bench.send("chat");
    bench.now += 6 * SECOND;
    assert_eq!(bench.send("chat"), "-2008 a2");
    assert_eq!(bench.answer("a1"), "");
    bench.sync(5, None);
    bench.sync(5, None);
    assert_eq!(bench.send("chat"), "+a3");
}
