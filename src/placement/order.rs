//! Orders to one endpoint.
//!
//! An endpoint that checks fencing numbers refuses an older order by itself. One that ignores them
//! takes any order that arrives, so the machine keeps at most one order under way, waits until any
//! earlier one, sent by this agent or by its predecessor, can no longer take effect, and then reads
//! back what the endpoint holds. Only that makes the endpoint ready.

use std::time::{Duration, Instant};

use crate::types::{Digest, Generation, InstanceId};

/// Probe results after which a read-back is known to have started late enough.
///
/// Probes of one endpoint follow each other, so the first result may be of a probe that started
/// before the order took effect; the second can not.
const READ_BACK_PROBES: u8 = 2;

/// How orders reach an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct OrderConfig {
    /// True when the endpoint refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// Longest time after which an order that was sent may still take effect.
    pub order_life: Duration,
    /// Wait before an order that failed is sent again.
    pub retry: Duration,
}

/// An order to serve a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Digest of the version's manifest.
    pub version: Digest,
    /// Fencing number: version of the placement object.
    pub fence: Generation,
}

/// What a probe read back from the endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointView {
    /// Instance of the endpoint's process.
    pub instance: InstanceId,
    /// Version that it serves.
    pub version: Option<Digest>,
    /// Highest fencing number that it has accepted; 0 where it ignores them.
    pub fence: Generation,
}

/// Something that the agent has seen.
#[derive(Clone, Debug)]
pub enum OrderEvent {
    /// The placement asks for a version; an order that is not newer is ignored.
    Wanted(Order),
    /// The host holds this version completely, so that it can be loaded.
    Held(Digest),
    /// Number of requests that the endpoint runs for the agent.
    InFlight(u32),
    /// The endpoint answered an order, or the call failed.
    Answered {
        /// Fencing number of the order.
        fence: Generation,
        /// Version that the endpoint switched to; `None` when it refused or was not reached.
        version: Option<Digest>,
    },
    /// A probe ended; `None` when the endpoint did not answer.
    Probed(Option<EndpointView>),
    /// Time has passed.
    Tick,
}

/// Something that the agent has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderAction {
    /// Put the version into the endpoint's staging, then send the order.
    Load(Order),
    /// Probe the endpoint now.
    Probe,
    /// The endpoint serves the version; work for it may be admitted.
    Ready(Order),
    /// Admit no new work; running work goes on.
    NotReady,
}

/// State of the orders to one endpoint.
#[derive(Clone, Debug)]
pub struct OrderMachine {
    cfg: OrderConfig,
    state: State,
    /// Newest order that was asked for.
    ///
    /// Invariant: its fencing number never falls.
    wanted: Option<Order>,
    held: Vec<Digest>,
    in_flight: u32,
    instance: Option<InstanceId>,
    /// Time until which an order that was sent earlier may still take effect.
    unsettled_until: Option<Instant>,
}

#[derive(Clone, Debug)]
enum State {
    /// No order is under way and the endpoint is not ready.
    Idle { retry_at: Option<Instant> },
    /// An order was sent and not answered.
    Sent { order: Order, until: Instant },
    /// No order is under way; the endpoint is being read back.
    ReadBack { version: Digest, probes: u8 },
    /// The endpoint serves the wanted version.
    Ready,
}

impl OrderMachine {
    /// State of an agent that has just started and knows nothing of earlier orders.
    pub fn new(cfg: OrderConfig, now: Instant) -> Self {
        Self {
            cfg,
            state: State::Idle { retry_at: None },
            wanted: None,
            held: Vec::new(),
            in_flight: 0,
            instance: None,
            unsettled_until: Some(now + cfg.order_life),
        }
    }

    /// The order whose version the endpoint is known to serve and may admit work for.
    pub fn ready(&self) -> Option<&Order> {
        match self.state {
            State::Ready => self.wanted.as_ref(),
            _ => None,
        }
    }

    /// Highest fencing number seen.
    pub fn fence(&self) -> Generation {
        self.wanted.as_ref().map_or(0, |order| order.fence)
    }

    /// True while an order is under way or being read back.
    pub fn is_switching(&self) -> bool {
        matches!(self.state, State::Sent { .. } | State::ReadBack { .. })
    }

    /// Takes in an event and returns what has to be done.
    pub fn handle(&mut self, now: Instant, event: OrderEvent) -> Vec<OrderAction> {
        let mut out = Vec::new();
        match event {
            OrderEvent::Wanted(order) => self.want(order, &mut out),
            OrderEvent::Held(version) => {
                if !self.held.contains(&version) {
                    self.held.push(version);
                }
            }
            OrderEvent::InFlight(count) => self.in_flight = count,
            OrderEvent::Answered { fence, version } => {
                self.answered(now, fence, version, &mut out);
            }
            OrderEvent::Probed(view) => self.probed(now, view, &mut out),
            OrderEvent::Tick => self.expire(now),
        }
        self.send_when_due(now, &mut out);
        out
    }

    fn want(&mut self, order: Order, out: &mut Vec<OrderAction>) {
        if order.fence <= self.fence() {
            return;
        }
        let old = self.wanted.replace(order.clone());
        self.held.retain(|version| *version == order.version);
        if !matches!(self.state, State::Ready) {
            return;
        }
        if old.is_some_and(|old| old.version == order.version) {
            out.push(OrderAction::Ready(order));
        } else {
            self.state = State::Idle { retry_at: None };
            out.push(OrderAction::NotReady);
        }
    }

    fn answered(
        &mut self,
        now: Instant,
        fence: Generation,
        version: Option<Digest>,
        out: &mut Vec<OrderAction>,
    ) {
        let State::Sent { order, until } = &self.state else {
            return;
        };
        if order.fence != fence {
            return;
        }
        if version.as_ref() == Some(&order.version) {
            self.state = State::ReadBack {
                version: order.version.clone(),
                probes: 0,
            };
            out.push(OrderAction::Probe);
            return;
        }
        // A refusal can not be told from a lost answer, so the order may still take effect.
        self.unsettled_until = Some(*until);
        self.state = self.retry(now);
    }

    fn probed(&mut self, now: Instant, view: Option<EndpointView>, out: &mut Vec<OrderAction>) {
        let Some(view) = view else {
            self.lose_ready(now, out);
            return;
        };
        let restarted = self.instance.is_some_and(|old| old != view.instance);
        self.instance = Some(view.instance);
        if restarted {
            self.lose_ready(now, out);
        }
        match &mut self.state {
            State::ReadBack { version, probes } => {
                *probes += 1;
                if *probes < READ_BACK_PROBES {
                    out.push(OrderAction::Probe);
                    return;
                }
                let holds = view.version.as_ref() == Some(version);
                self.end_read_back(now, holds, &view, out);
            }
            State::Ready => {
                if view.version != self.wanted_version() {
                    self.lose_ready(now, out);
                }
            }
            State::Idle { .. } => self.adopt(now, &view, out),
            State::Sent { .. } => {}
        }
    }

    /// Declares the endpoint ready when it holds what the newest order asks for.
    fn end_read_back(
        &mut self,
        now: Instant,
        holds: bool,
        view: &EndpointView,
        out: &mut Vec<OrderAction>,
    ) {
        let wanted = self.wanted.clone();
        match wanted.filter(|order| view.version.as_ref() == Some(&order.version)) {
            Some(order) => {
                self.state = State::Ready;
                out.push(OrderAction::Ready(order));
            }
            // The endpoint took its order and a newer one is wanted by now: no reason to wait.
            None if holds => self.state = State::Idle { retry_at: None },
            None => self.state = self.retry(now),
        }
    }

    /// Reads back an endpoint that may hold the wanted version already, as after a restart of
    /// the agent, once no earlier order can change it.
    fn adopt(&mut self, now: Instant, view: &EndpointView, out: &mut Vec<OrderAction>) {
        let Some(order) = &self.wanted else {
            return;
        };
        let fenced = self.cfg.checks_fence && view.fence >= order.fence;
        if view.version.as_ref() == Some(&order.version) && (fenced || self.is_settled(now)) {
            self.state = State::ReadBack {
                version: order.version.clone(),
                probes: 0,
            };
            out.push(OrderAction::Probe);
        }
    }

    fn lose_ready(&mut self, now: Instant, out: &mut Vec<OrderAction>) {
        if matches!(self.state, State::Ready) {
            out.push(OrderAction::NotReady);
        }
        if !matches!(self.state, State::Sent { .. }) {
            self.state = self.retry(now);
        }
    }

    fn expire(&mut self, now: Instant) {
        if let State::Sent { until, .. } = self.state
            && now >= until
        {
            self.state = State::Idle { retry_at: None };
        }
    }

    fn send_when_due(&mut self, now: Instant, out: &mut Vec<OrderAction>) {
        let State::Idle { retry_at } = self.state else {
            return;
        };
        let Some(order) = self.wanted.clone() else {
            return;
        };
        let held = self.held.contains(&order.version);
        let due = retry_at.is_none_or(|at| now >= at);
        let clear = self.cfg.checks_fence || self.is_settled(now);
        if held && due && clear && self.in_flight == 0 {
            out.push(OrderAction::Load(order.clone()));
            self.state = State::Sent {
                order,
                until: now + self.cfg.order_life,
            };
        }
    }

    fn retry(&self, now: Instant) -> State {
        State::Idle {
            retry_at: Some(now + self.cfg.retry),
        }
    }

    fn wanted_version(&self) -> Option<Digest> {
        self.wanted.as_ref().map(|order| order.version.clone())
    }

    fn is_settled(&self, now: Instant) -> bool {
        self.unsettled_until.is_none_or(|until| now >= until)
    }
}
