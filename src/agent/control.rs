//! Control thread of the agent: owns the core and drives it.

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
use super::orders::OrderExecutor;

/// What the task of an attempt must do.
#[derive(Debug)]
pub(super) enum Decision {
    /// Forward the attempt to its endpoint.
    Admit {
        /// Priority for the endpoint's scheduler.
        priority: u8,
    },
    /// Refuse the attempt.
    Refuse {
        /// Reason.
        code: Code,
        /// Newer configuration, for an entry with an outdated one.
        config: Option<VersionedDocument>,
    },
    /// Return a stored answer.
    Replay(Arc<str>),
}

/// A decision, with the load of the endpoint at that time.
#[derive(Debug)]
pub(super) struct DecisionWithLoad {
    /// What to do.
    pub(super) decision: Decision,
    /// Load of the endpoint when the decision was made.
    pub(super) load: EndpointLoad,
}

enum Input {
    Event(AgentEvent),
    Offer(Offer, oneshot::Sender<DecisionWithLoad>),
    Sync(Box<SyncRequest>, oneshot::Sender<SyncReply>),
    Settle(SettleRequest, oneshot::Sender<SettleReply>),
    Dump(oneshot::Sender<serde_json::Value>),
}

/// Handle to the control thread. The thread ends when every handle is dropped.
#[derive(Clone)]
pub(super) struct Control {
    tx: mpsc::UnboundedSender<Input>,
    drained: watch::Receiver<bool>,
}

/// Receiving end of the inputs that [`Control`] sends.
pub(super) struct ControlReceiver {
    rx: mpsc::UnboundedReceiver<Input>,
    drained: watch::Sender<bool>,
}

/// Sends events to the control thread without keeping it alive.
#[derive(Clone)]
pub(super) struct EventSender(mpsc::WeakUnboundedSender<Input>);

impl EventSender {
    /// Sends an event; it is discarded when the control thread has ended.
    pub(super) fn send(&self, event: AgentEvent) {
        if let Some(tx) = self.0.upgrade() {
            let _ = tx.send(Input::Event(event));
        }
    }

    /// Returns true when the control thread has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.0.upgrade().is_none_or(|tx| tx.is_closed())
    }
}

impl Control {
    /// Creates a handle and its receiving end.
    pub(super) fn new() -> (Self, ControlReceiver) {
        let (tx, rx) = mpsc::unbounded_channel();
        let (drained_tx, drained) = watch::channel(false);
        (
            Self { tx, drained },
            ControlReceiver {
                rx,
                drained: drained_tx,
            },
        )
    }

    /// Creates a sender of events that does not keep the control thread alive.
    pub(super) fn event_sender(&self) -> EventSender {
        EventSender(self.tx.downgrade())
    }

    /// Sends an event; it is discarded when the control thread has ended.
    pub(super) fn send_event(&self, event: AgentEvent) {
        let _ = self.tx.send(Input::Event(event));
    }

    /// Offers an attempt. The receiver fails when the control thread has ended.
    pub(super) fn offer(&self, offer: Offer) -> oneshot::Receiver<DecisionWithLoad> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Input::Offer(offer, tx));
        rx
    }

    /// Passes a heartbeat to the core and returns its reply; `None` when the control thread has
    /// ended.
    pub(super) async fn sync(&self, request: SyncRequest) -> Option<SyncReply> {
        self.call(|tx| Input::Sync(Box::new(request), tx)).await
    }

    /// Returns the outcome of a keyed attempt from the core; `None` when the control thread has
    /// ended.
    pub(super) async fn settle(&self, request: SettleRequest) -> Option<SettleReply> {
        self.call(|tx| Input::Settle(request, tx)).await
    }

    /// State of the agent as JSON, for operators; `None` when the control thread has ended.
    pub(super) async fn dump(&self) -> Option<serde_json::Value> {
        self.call(Input::Dump).await
    }

    /// Waits until every attempt has ended after [`AgentEvent::Stop`].
    pub(super) async fn drained(&self) {
        let mut drained = self.drained.clone();
        // An error means that the control thread has ended, which counts as drained.
        let _ = drained.wait_for(|is_drained| *is_drained).await;
    }

    async fn call<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> Input) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(input(tx));
        rx.await.ok()
    }
}

/// Runs the agent core until every handle is dropped.
pub(super) async fn run(core: AgentCore, receiver: ControlReceiver, orders: OrderExecutor) {
    let ControlReceiver { mut rx, drained } = receiver;
    let mut driver = Driver {
        core,
        orders,
        pending_offers: HashMap::new(),
        drained,
    };
    loop {
        let input = tokio::select! {
            input = rx.recv() => input,
            () = sleep_until(driver.core.next_wakeup()) => Some(Input::Event(AgentEvent::Tick)),
        };
        match input {
            Some(input) => driver.handle_input(input),
            None => return,
        }
    }
}

/// Where the decision on an offer is sent.
struct PendingOffer {
    endpoint: EndpointId,
    tx: oneshot::Sender<DecisionWithLoad>,
}

/// Passes inputs to the core and performs its actions.
struct Driver {
    core: AgentCore,
    orders: OrderExecutor,
    /// Attempts that wait for their decision.
    pending_offers: HashMap<AttemptId, PendingOffer>,
    drained: watch::Sender<bool>,
}

impl Driver {
    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.handle_event(event),
            Input::Offer(offer, tx) => self.offer(offer, tx),
            Input::Sync(request, tx) => self.sync(request, tx),
            Input::Settle(request, tx) => self.settle(request, tx),
            // The requester may have disconnected.
            Input::Dump(tx) => drop(tx.send(self.core.dump())),
        }
    }

    fn offer(&mut self, offer: Offer, tx: oneshot::Sender<DecisionWithLoad>) {
        let pending = PendingOffer {
            endpoint: offer.endpoint.clone(),
            tx,
        };
        if self.pending_offers.contains_key(&offer.attempt) {
            // A duplicate: the first offer of the attempt still waits for its decision.
            return self.send_decision(
                pending,
                Decision::Refuse {
                    code: Code::Fenced,
                    config: None,
                },
            );
        }
        self.pending_offers.insert(offer.attempt.clone(), pending);
        self.handle_event(AgentEvent::Offered(offer));
    }

    fn sync(&mut self, request: Box<SyncRequest>, tx: oneshot::Sender<SyncReply>) {
        let actions = self
            .core
            .handle(Instant::now(), AgentEvent::Synced(request));
        let mut tx = Some(tx);
        for action in actions {
            match action {
                AgentAction::SyncReply(reply) => send_reply(&mut tx, *reply),
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
                AgentAction::SettleReply(reply) => send_reply(&mut tx, reply),
                other => self.perform(other),
            }
        }
    }

    fn handle_event(&mut self, event: AgentEvent) {
        if let AgentEvent::EntryGone { attempt } = &event {
            self.pending_offers.remove(attempt);
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
            // Sent by `sync` and `settle`, which hold the reply channel.
            AgentAction::SyncReply(_) | AgentAction::SettleReply(_) => {}
            order => self.orders.execute(order),
        }
    }

    /// Sends the decision on a pending offer. Does nothing when the offer is not pending any more.
    fn decide(&mut self, attempt: &AttemptId, decision: Decision) {
        if let Some(pending) = self.pending_offers.remove(attempt) {
            self.send_decision(pending, decision);
        }
    }

    fn send_decision(&self, pending: PendingOffer, decision: Decision) {
        let load = self.core.load(Instant::now(), &pending.endpoint);
        // A task that ended early has already reported the disconnect of its entry.
        let _ = pending.tx.send(DecisionWithLoad { decision, load });
    }
}

fn send_reply<T>(tx: &mut Option<oneshot::Sender<T>>, reply: T) {
    if let Some(tx) = tx.take() {
        // The requester may have disconnected.
        let _ = tx.send(reply);
    }
}
