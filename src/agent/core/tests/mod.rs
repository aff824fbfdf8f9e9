mod delivery;
mod placement;
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

const AGENT_INSTANCE: u64 = 7;
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

/// An agent core with configuration generation 5, a model engine that serves version `v1` and a
/// plain service.
struct Fixture {
    core: AgentCore,
    /// Clock stamp in the latest reply of the agent, echoed in the next heartbeat.
    stamp_ms: Option<u64>,
    now: Instant,
    attempts: u32,
}

impl Fixture {
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
            ..AgentCoreConfig::new(
                "h1".into(),
                "kochi-a".into(),
                "kerala".into(),
                AGENT_INSTANCE,
            )
        };
        let core = AgentCore::new(cfg, now);
        let mut fixture = Self {
            core,
            stamp_ms: None,
            now,
            attempts: 0,
        };
        fixture.sync(5, Some(targets("v1")));
        fixture.sync(5, None);
        fixture.probe("engine", 11, Some("v1"));
        fixture.probe("desk", 12, None);
        fixture
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
        let is_booking = class == "booking";
        Offer {
            attempt: format!("a{}", self.attempts).into(),
            entry: "e1".into(),
            endpoint: if is_booking { "desk" } else { "engine" }.into(),
            agent_instance: AGENT_INSTANCE,
            generation: 5,
            class: class.into(),
            customer: "studio".into(),
            key: is_booking.then(|| format!("k{}", self.attempts).into()),
            fingerprint: format!("f{}", self.attempts).into(),
            version: (!is_booking).then(|| "v1".into()),
            tokens: 10,
            start_budget: SECOND,
            suspect: false,
        }
    }

    /// Sends a placement with a power grant for the engine; returns the resulting actions as text.
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
        let actions = placement::send_placement(self, 9, &placement);
        summarize(&actions)
    }

    /// Offers an attempt of a class; returns the resulting actions as text.
    fn send(&mut self, class: &str) -> String {
        let offer = self.offer(class);
        self.send_offer(offer)
    }

    fn send_offer(&mut self, offer: Offer) -> String {
        let actions = self.handle(AgentEvent::Offered(offer));
        summarize(&actions)
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
        summarize(&actions)
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

    fn state_and_limit(&mut self, endpoint: &str) -> (EndpointState, u32) {
        let reply = self.sync(0, None);
        let mut reports = reply.endpoints.into_iter();
        let report = reports.find(|report| report.endpoint == endpoint);
        let report = report.expect("a report");
        (report.state, report.limit)
    }
}

/// Actions as short text: `+a` admits attempt `a`, `-CODE a` refuses it, `=a` replays an answer.
fn summarize(actions: &[AgentAction]) -> String {
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
#[case::valid(|_: &mut Offer| {}, "+a1")]
#[case::other_agent_instance(|o: &mut Offer| o.agent_instance = 8, "-2012 a1")]
#[case::stale_entry(|o: &mut Offer| o.generation = 4, "-2006 a1")]
#[case::newer_entry(|o: &mut Offer| o.generation = 6, "+a1")]
#[case::unknown_endpoint(|o: &mut Offer| o.endpoint = "none".into(), "-2004 a1")]
#[case::unknown_class(|o: &mut Offer| o.class = "none".into(), "-1003 a1")]
#[case::class_of_another_target(|o: &mut Offer| o.class = "booking".into(), "-1008 a1")]
#[case::other_version(|o: &mut Offer| o.version = Some("v0".into()), "-2013 a1")]
#[case::no_version(|o: &mut Offer| o.version = None, "-2013 a1")]
fn invalid_offers_are_refused(#[case] change: fn(&mut Offer), #[case] expected: &str) {
    let mut fixture = Fixture::new();
    let mut offer = fixture.offer("chat");
    change(&mut offer);
    assert_eq!(fixture.send_offer(offer), expected);
}

#[test]
fn cold_limit_holds_under_excess_offers() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.send("chat"), "+a1");
    assert_eq!(fixture.send("chat"), "+a2");
    assert_eq!(fixture.send("chat"), "");
    assert_eq!(fixture.answer("a1"), "+a3");
}

#[rstest]
#[case::restarted(|f: &mut Fixture| drop(f.probe("engine", 99, Some("v1"))), EndpointState::Cold, 2)]
#[case::version_unloaded(|f: &mut Fixture| drop(f.probe("engine", 11, None)), EndpointState::Down, 0)]
#[case::one_failed_probe(|f: &mut Fixture| fail_probe(f), EndpointState::Cold, 2)]
#[case::two_failed_probes(|f: &mut Fixture| { fail_probe(f); fail_probe(f) }, EndpointState::Down, 0)]
#[case::no_sign_of_life(|f: &mut Fixture| f.now += 4 * SECOND, EndpointState::Ready, 2)]
#[case::slow_first_token(|f: &mut Fixture| slow_answer(f), EndpointState::Cold, 2)]
#[case::connection_broke(|f: &mut Fixture| broken(f), EndpointState::Cold, 2)]
fn limit_drops_at_once(
    #[case] event: fn(&mut Fixture),
    #[case] state: EndpointState,
    #[case] limit: u32,
) {
    let mut fixture = Fixture::new();
    fixture.warm();
    assert_eq!(fixture.state_and_limit("engine"), (EndpointState::Ready, 4));
    event(&mut fixture);
    assert_eq!(fixture.state_and_limit("engine"), (state, limit));
}

fn fail_probe(fixture: &mut Fixture) {
    let endpoint = "engine".into();
    fixture.handle(AgentEvent::Probed {
        endpoint,
        probe: None,
    });
}

fn slow_answer(fixture: &mut Fixture) {
    let attempt = fixture.send("chat")[1..].into();
    fixture.now += 5 * SECOND;
    fixture.handle(AgentEvent::Started { attempt });
}

fn broken(fixture: &mut Fixture) {
    let attempt = fixture.send("chat")[1..].into();
    fixture.handle(AgentEvent::Broken {
        attempt,
        maybe_sent: true,
    });
}

#[test]
fn duplicate_answers_and_offers_have_no_effect() {
    let mut fixture = Fixture::new();
    fixture.send("chat");
    fixture.send("chat");
    fixture.handle(AgentEvent::EntryGone {
        attempt: "a1".into(),
    });
    assert_eq!(fixture.answer("a1"), "");
    assert_eq!(fixture.answer("a1"), "");
    assert_eq!(fixture.send("chat"), "+a3");
    let offer = fixture.offer("chat");
    fixture.send_offer(offer.clone());
    assert_eq!(
        fixture.send_offer(offer),
        "",
        "a duplicate offer has no effect"
    );
}

#[test]
fn queued_attempt_is_refused_when_its_start_budget_ends() {
    let mut fixture = Fixture::new();
    (0..3).for_each(|_| drop(fixture.send("chat")));
    assert_eq!(fixture.core.next_wakeup(), Some(fixture.now + SECOND));
    fixture.now += SECOND;
    let actions = fixture.handle(AgentEvent::Tick);
    assert_eq!(summarize(&actions), "-2001 a3");
}

#[test]
fn queue_is_bounded() {
    let mut fixture = Fixture::new();
    (0..6).for_each(|_| drop(fixture.send("chat")));
    assert_eq!(fixture.send("chat"), "-2017 a7");
}

#[test]
fn zone_out_refuses_new_and_queued_attempts() {
    let mut fixture = Fixture::new();
    (0..3).for_each(|_| drop(fixture.send("chat")));
    let mut next = targets("v1");
    next.zones_out.insert("kochi-a".into());
    fixture.sync(6, Some(next));
    let mut offer = fixture.offer("chat");
    offer.generation = 6;
    assert_eq!(fixture.send_offer(offer), "-2005 a4");
    assert_eq!(
        fixture.answer("a1"),
        "",
        "the running attempt completes, the queued one was refused"
    );
}

#[rstest]
#[case::older(4, 5)]
#[case::same(5, 5)]
#[case::newer(6, 6)]
fn only_a_newer_configuration_is_adopted(#[case] seen: u64, #[case] in_force: u64) {
    let mut fixture = Fixture::new();
    let reply = fixture.sync(seen, Some(targets("v1")));
    assert_eq!(reply.generation, in_force);
    let sends_config = reply.config.is_some();
    assert_eq!(
        sends_config,
        seen < in_force,
        "only an outdated entry receives it"
    );
}

#[test]
fn stop_drains_running_attempts() {
    let mut fixture = Fixture::new();
    fixture.send("chat");
    let actions = fixture.handle(AgentEvent::Stop);
    assert_eq!(summarize(&actions), "");
    assert_eq!(fixture.send("chat"), "-2018 a2");
    assert_eq!(fixture.answer("a1"), "drained");
}

#[test]
fn held_version_is_loaded_after_the_endpoint_drained() {
    let mut fixture = Fixture::new();
    fixture.send("chat");
    fixture.sync(6, Some(targets("v2")));
    let actions = fixture.handle(AgentEvent::VersionHeld {
        version: "v2".into(),
    });
    assert_eq!(
        summarize(&actions),
        "",
        "an attempt on the old version still runs"
    );
    assert_eq!(fixture.state_and_limit("engine").0, EndpointState::Loading);
    assert_eq!(fixture.answer("a1"), "load engine v2");
    fixture.handle(AgentEvent::Loaded {
        endpoint: "engine".into(),
        version: Some("v2".into()),
        fence: 6,
    });
    assert_eq!(fixture.state_and_limit("engine"), (EndpointState::Cold, 2));
}

#[test]
fn isolated_agent_refuses_new_attempts_and_completes_running_ones() {
    let mut fixture = Fixture::new();
    fixture.send("chat");
    fixture.now += 6 * SECOND;
    assert_eq!(fixture.send("chat"), "-2008 a2");
    assert_eq!(fixture.answer("a1"), "");
    fixture.sync(5, None);
    fixture.sync(5, None);
    assert_eq!(fixture.send("chat"), "+a3");
}
