use std::time::{Duration, Instant};

use rstest::rstest;

use crate::placement::{EndpointView, Order, OrderAction, OrderConfig, OrderEvent, OrderMachine};

const LIFE: Duration = Duration::from_secs(10);

/// An engine that takes orders when they land, as the platform describes it.
#[derive(Default)]
struct Engine {
    version: Option<&'static str>,
    fence: u64,
    checks: bool,
}

impl Engine {
    fn land(&mut self, version: &'static str, fence: u64) -> bool {
        if self.checks && fence < self.fence {
            return false;
        }
        self.version = Some(version);
        self.fence = if self.checks { fence } else { 0 };
        true
    }

    fn view(&self) -> EndpointView {
        EndpointView {
            instance: 1,
            version: self.version.map(Into::into),
            fence: self.fence,
        }
    }
}

fn machine(checks_fence: bool, now: Instant) -> OrderMachine {
    let cfg = OrderConfig {
        checks_fence,
        order_life: LIFE,
        retry: Duration::from_millis(100),
    };
    OrderMachine::new(cfg, now)
}

fn order(version: &str, fence: u64) -> Order {
    Order {
        version: version.into(),
        fence,
    }
}

fn loads(actions: &[OrderAction]) -> Vec<&Order> {
    actions
        .iter()
        .filter_map(|action| match action {
            OrderAction::Load(order) => Some(order),
            _ => None,
        })
        .collect()
}

/// Brings a machine to ready with version `a` under fence 5.
fn ready(checks_fence: bool, now: Instant) -> (OrderMachine, Engine) {
    let mut machine = machine(checks_fence, now - LIFE);
    let mut engine = Engine {
        checks: checks_fence,
        ..Engine::default()
    };
    machine.handle(now, OrderEvent::Wanted(order("a", 5)));
    let actions = machine.handle(now, OrderEvent::Held("a".into()));
    assert_eq!(loads(&actions), [&order("a", 5)]);
    engine.land("a", 5);
    let answered = OrderEvent::Answered {
        fence: 5,
        version: Some("a".into()),
    };
    machine.handle(now, answered);
    machine.handle(now, OrderEvent::Probed(Some(engine.view())));
    assert_eq!(
        machine.ready(),
        None,
        "one probe may be older than the order"
    );
    machine.handle(now, OrderEvent::Probed(Some(engine.view())));
    assert_eq!(machine.ready(), Some(&order("a", 5)));
    (machine, engine)
}

#[rstest]
#[case::older(4)]
#[case::equal(5)]
fn a_placement_that_is_not_newer_changes_nothing(
    #[values(true, false)] checks: bool,
    #[case] fence: u64,
) {
    let now = Instant::now();
    let (mut machine, _) = ready(checks, now);
    machine.handle(now, OrderEvent::Held("b".into()));
    let actions = machine.handle(now, OrderEvent::Wanted(order("b", fence)));
    assert_eq!(actions, []);
    assert_eq!(machine.ready(), Some(&order("a", 5)));
}

#[rstest]
fn an_unchanged_version_stays_ready_under_a_newer_number(#[values(true, false)] checks: bool) {
    let now = Instant::now();
    let (mut machine, _) = ready(checks, now);
    let actions = machine.handle(now, OrderEvent::Wanted(order("a", 9)));
    assert_eq!(actions, [OrderAction::Ready(order("a", 9))]);
}

#[rstest]
fn a_switch_waits_for_the_chunks_and_for_running_work(#[values(true, false)] checks: bool) {
    let now = Instant::now();
    let (mut machine, _) = ready(checks, now);
    machine.handle(now, OrderEvent::InFlight(2));
    let actions = machine.handle(now, OrderEvent::Wanted(order("b", 6)));
    assert_eq!(actions, [OrderAction::NotReady]);
    assert_eq!(
        loads(&machine.handle(now, OrderEvent::Held("b".into()))).len(),
        0
    );
    assert_eq!(
        loads(&machine.handle(now, OrderEvent::InFlight(1))).len(),
        0
    );
    let actions = machine.handle(now, OrderEvent::InFlight(0));
    assert_eq!(loads(&actions), [&order("b", 6)]);
}

/// An order of the agent's predecessor lands at any moment within its life.
#[rstest]
fn an_order_of_a_predecessor_never_shows_after_ready(
    #[values(true, false)] checks: bool,
    #[values(0, 1, 5, 9, 10)] lands_after_s: u64,
) {
    let start = Instant::now();
    let mut machine = machine(checks, start);
    let mut engine = Engine {
        checks,
        ..Engine::default()
    };
    machine.handle(start, OrderEvent::Wanted(order("b", 7)));
    let mut actions = machine.handle(start, OrderEvent::Held("b".into()));
    let mut landed = false;
    for second in 0..40 {
        let now = start + Duration::from_secs(second);
        if second == lands_after_s && !landed {
            engine.land("old", 3);
            landed = true;
        }
        actions.extend(machine.handle(now, OrderEvent::Tick));
        let sent: Vec<Order> = loads(&actions).into_iter().cloned().collect();
        actions.clear();
        for order in sent {
            engine.land("b", order.fence);
            let answered = OrderEvent::Answered {
                fence: order.fence,
                version: Some("b".into()),
            };
            actions.extend(machine.handle(now, answered));
        }
        actions.extend(machine.handle(now, OrderEvent::Probed(Some(engine.view()))));
        if machine.ready().is_some() {
            assert_eq!(engine.version, Some("b"));
            assert!(checks || second >= lands_after_s);
        }
    }
    assert_eq!(machine.ready(), Some(&order("b", 7)));
}

#[rstest]
fn a_newer_order_waits_until_a_lost_one_can_not_land(#[values(true, false)] checks: bool) {
    let now = Instant::now();
    let (mut machine, _) = ready(checks, now);
    machine.handle(now, OrderEvent::Wanted(order("b", 6)));
    let actions = machine.handle(now, OrderEvent::Held("b".into()));
    assert_eq!(loads(&actions), [&order("b", 6)]);
    // The answer is lost, and a newer version is wanted meanwhile.
    machine.handle(now, OrderEvent::Wanted(order("c", 7)));
    machine.handle(now, OrderEvent::Held("c".into()));
    let lost = OrderEvent::Answered {
        fence: 6,
        version: None,
    };
    machine.handle(now, lost);
    let soon = now + Duration::from_secs(1);
    let early = loads(&machine.handle(soon, OrderEvent::Tick)).len();
    assert_eq!(early, usize::from(checks));
    let late = machine.handle(now + LIFE, OrderEvent::Tick);
    assert_eq!(loads(&late).len(), usize::from(!checks));
}

#[rstest]
#[case::unanswered(false)]
#[case::answered(true)]
fn a_superseded_order_does_not_make_the_endpoint_ready(
    #[values(true, false)] checks: bool,
    #[case] answer: bool,
) {
    let now = Instant::now();
    let (mut machine, mut engine) = ready(checks, now);
    machine.handle(now, OrderEvent::Wanted(order("b", 6)));
    machine.handle(now, OrderEvent::Held("b".into()));
    machine.handle(now, OrderEvent::Wanted(order("c", 7)));
    engine.land("b", 6);
    if answer {
        let answered = OrderEvent::Answered {
            fence: 6,
            version: Some("b".into()),
        };
        machine.handle(now, answered);
    }
    for _ in 0..4 {
        machine.handle(now, OrderEvent::Probed(Some(engine.view())));
        assert_eq!(machine.ready(), None);
    }
}

#[rstest]
#[case::restarted(Some(EndpointView { instance: 2, version: None, fence: 0 }))]
#[case::other_version(Some(EndpointView { instance: 1, version: Some("x".into()), fence: 5 }))]
#[case::restarted_with_the_version(
    Some(EndpointView { instance: 2, version: Some("a".into()), fence: 0 })
)]
#[case::silent(None)]
fn an_endpoint_that_changes_without_an_order_is_not_ready(
    #[values(true, false)] checks: bool,
    #[case] view: Option<EndpointView>,
) {
    let now = Instant::now();
    let (mut machine, _) = ready(checks, now);
    let actions = machine.handle(now, OrderEvent::Probed(view));
    assert_eq!(actions.first(), Some(&OrderAction::NotReady));
    assert_eq!(machine.ready(), None);
}
