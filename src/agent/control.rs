//! Control thread of the agent: owns the decision logic.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use tokio::sync::{mpsc, oneshot, watch};

use crate::codes::Code;
use crate::log_event;
use crate::timer::sleep_until;
use crate::types::{AttemptId, EndpointId};
use crate::wire::{SettleReply, SettleRequest, SyncReply, SyncRequest, VersionedDocument};

use super::core::{AgentAction, AgentCore, AgentEvent, EndpointLoad, Offer};
use super::orders::Orders;

/// What an attempt's task is told to do.
#[derive(Debug)]
pub(super) enum Decision {
    /// Pass the attempt to its endpoint.
    Admit {
        /// Rank for the endpoint's scheduler.
        priority: u8,
    },
    /// Refuse the attempt.
    Refuse {
        /// Why.
        code: Code,
        /// Newer configuration for the entry.
        config: Option<VersionedDocument>,
    },
    /// Answer with a stored answer.
    Replay(Arc<str>),
}

/// A decision with the load of the endpoint at that time.
#[derive(Debug)]
pub(super) struct Decided {
    /// The decision.
    pub(super) decision: Decision,
    /// Load of the endpoint.
    pub(super) load: EndpointLoad,
}

enum Input {
    Event(AgentEvent),
    Offer(Offer, oneshot::Sender<Decided>),
    Sync(Box<SyncRequest>, oneshot::Sender<SyncReply>),
    Settle(SettleRequest, oneshot::Sender<SettleReply>),
    Dump(oneshot::Sender<serde_json::Value>),
}

/// Handle to the control thread; the thread ends when every handle is dropped.
#[derive(Clone)]
pub(super) struct Control {
    tx: mpsc::UnboundedSender<Input>,
    drained: watch::Receiver<bool>,
}

/// Receiving end of [`Control`].
pub(super) struct ControlInputs {
    rx: mpsc::UnboundedReceiver<Input>,
    drained: watch::Sender<bool>,
}

/// Reports to the control thread without keeping it alive.
#[derive(Clone)]
pub(super) struct Reports(mpsc::WeakUnboundedSender<Input>);

impl Reports {
    /// Reports something that was seen. After the end of the control thread it is dropped.
    pub(super) fn event(&self, event: AgentEvent) {
        if let Some(tx) = self.0.upgrade() {
            let _ = tx.send(Input::Event(event));
        }
    }

    /// True when the control thread has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.0.upgrade().is_none_or(|tx| tx.is_closed())
    }
}

impl Control {
    /// A handle with its receiving end.
    pub(super) fn new() -> (Self, ControlInputs) {
        let (tx, rx) = mpsc::unbounded_channel();
        let (drained_tx, drained) = watch::channel(false);
        (
            Self { tx, drained },
            ControlInputs {
                rx,
                drained: drained_tx,
            },
        )
    }

    /// Reports that do not keep the control thread alive.
    pub(super) fn reports(&self) -> Reports {
        Reports(self.tx.downgrade())
    }

    /// Reports something that was seen. After the end of the control thread it is dropped.
    pub(super) fn event(&self, event: AgentEvent) {
        let _ = self.tx.send(Input::Event(event));
    }

    /// Offers an attempt; the decision never comes when the control thread has ended.
    pub(super) fn offer(&self, offer: Offer) -> oneshot::Receiver<Decided> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Input::Offer(offer, tx));
        rx
    }

    /// Exchanges heartbeats; `None` when the control thread has ended.
    pub(super) async fn sync(&self, request: SyncRequest) -> Option<SyncReply> {
        self.ask(|tx| Input::Sync(Box::new(request), tx)).await
    }

    /// Asks about a keyed attempt; `None` when the control thread has ended.
    pub(super) async fn settle(&self, request: SettleRequest) -> Option<SettleReply> {
        self.ask(|tx| Input::Settle(request, tx)).await
    }

    /// Dump of the state; `None` when the control thread has ended.
    pub(super) async fn dump(&self) -> Option<serde_json::Value> {
        self.ask(Input::Dump).await
    }

    /// Waits until every attempt has ended after a stop.
    pub(super) async fn drained(&self) {
        let mut drained = self.drained.clone();
        // An ended control thread is drained too.
        let _ = drained.wait_for(|is_drained| *is_drained).await;
    }

    async fn ask<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> Input) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(input(tx));
        rx.await.ok()
    }
}

/// Runs the decision logic until every handle is dropped.
pub(super) async fn run(core: AgentCore, inputs: ControlInputs, orders: Orders) {
    let ControlInputs { mut rx, drained } = inputs;
    let mut state = State {
        core,
        orders,
        offers: HashMap::new(),
        drained,
    };
    loop {
        let input = tokio::select! {
            input = rx.recv() => input,
            () = sleep_until(state.core.next_wakeup()) => Some(Input::Event(AgentEvent::Tick)),
        };
        match input {
            Some(input) => state.take(input),
            None => return,
        }
    }
}

struct PendingOffer {
    endpoint: EndpointId,
    tx: oneshot::Sender<Decided>,
}

struct State {
    core: AgentCore,
    orders: Orders,
    /// Invariant: holds each attempt between its offer and the decision.
    offers: HashMap<AttemptId, PendingOffer>,
    drained: watch::Sender<bool>,
}

impl State {
    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.handle(event),
            Input::Offer(offer, tx) => self.offer(offer, tx),
            Input::Sync(request, tx) => self.sync(request, tx),
            Input::Settle(request, tx) => self.settle(request, tx),
            // A caller that has gone does not mind.
            Input::Dump(tx) => drop(tx.send(self.core.dump())),
        }
    }

    fn offer(&mut self, offer: Offer, tx: oneshot::Sender<Decided>) {
        let pending = PendingOffer {
            endpoint: offer.endpoint.clone(),
            tx,
        };
        if self.offers.contains_key(&offer.attempt) {
            // The first offer of the attempt still waits for its decision.
            return self.send(
                pending,
                Decision::Refuse {
                    code: Code::Fenced,
                    config: None,
                },
            );
        }
        self.offers.insert(offer.attempt.clone(), pending);
        self.handle(AgentEvent::Offered(offer));
    }

    fn sync(&mut self, request: Box<SyncRequest>, tx: oneshot::Sender<SyncReply>) {
        let actions = self
            .core
            .handle(Instant::now(), AgentEvent::Synced(request));
        let mut tx = Some(tx);
        for action in actions {
            match action {
                AgentAction::SyncReply(reply) => answer(&mut tx, *reply),
                other => self.perform(other),
            }
        }
    }

    fn settle(&mut self, request: SettleRequest, tx: oneshot::Sender<SettleReply>) {
        let actions = self
            .core
            .handle(Instant::now(), AgentEvent::Settle(request));
        let mut tx = Some(tx);
        for action in actions {
            match action {
                AgentAction::SettleReply(reply) => answer(&mut tx, reply),
                other => self.perform(other),
            }
        }
    }

    fn handle(&mut self, event: AgentEvent) {
        if let AgentEvent::EntryGone { attempt } = &event {
            self.offers.remove(attempt);
        }
        let actions = self.core.handle(Instant::now(), event);
        actions.into_iter().for_each(|action| self.perform(action));
    }

    fn perform(&mut self, action: AgentAction) {
        match action {
            AgentAction::Admit { attempt, priority } => {
                self.decide(&attempt, Decision::Admit { priority });
            }
            AgentAction::Refuse {
                attempt,
                code,
                config,
            } => {
                self.decide(&attempt, Decision::Refuse { code, config });
            }
            AgentAction::Replay { attempt, answer } => {
                self.decide(&attempt, Decision::Replay(answer));
            }
            AgentAction::Drained => drop(self.drained.send(true)),
            AgentAction::Log { event, detail } => log_event!(event, "{detail}"),
            // Replies are taken where the question is asked.
            AgentAction::SyncReply(_) | AgentAction::SettleReply(_) => {}
            order => self.orders.carry_out(order),
        }
    }

    fn decide(&mut self, attempt: &AttemptId, decision: Decision) {
        if let Some(pending) = self.offers.remove(attempt) {
            self.send(pending, decision);
        }
    }

    fn send(&self, pending: PendingOffer, decision: Decision) {
        let load = self.core.load(Instant::now(), &pending.endpoint);
        // The task reports by itself when it ends early.
        let _ = pending.tx.send(Decided { decision, load });
    }
}

fn answer<T>(tx: &mut Option<oneshot::Sender<T>>, reply: T) {
    if let Some(tx) = tx.take() {
        // A caller that has gone does not mind.
        let _ = tx.send(reply);
    }
}
