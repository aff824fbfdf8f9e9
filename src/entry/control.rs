//! Control thread of the entry: runs the [`EntryCore`] and performs its actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use tokio::sync::{mpsc, oneshot};

use crate::log_event;
use crate::timer::sleep_until;
use crate::types::{Refusal, RequestId, RequestMeta};
use crate::wire::EntryStatus;

use super::core::{Dispatch, EntryAction, EntryCore, EntryEvent};
use super::executor::Executor;

/// Command to the task that serves a request.
#[derive(Debug)]
pub(super) enum Command {
    /// Run an attempt.
    Dispatch(Dispatch),
    /// Refuse the request.
    Refuse(Refusal),
    /// Send a stored answer.
    Replay(Arc<str>),
    /// Complete the answer; the request has ended.
    Complete,
}

/// Receives the commands for one request.
pub(super) type CommandReceiver = mpsc::UnboundedReceiver<Command>;

/// Message to the control thread.
enum Input {
    Event(EntryEvent),
    Request {
        req: RequestId,
        meta: RequestMeta,
        tx: mpsc::UnboundedSender<Command>,
    },
    Status(oneshot::Sender<EntryStatus>),
    Dump(oneshot::Sender<serde_json::Value>),
}

/// Handle to the control thread, which ends when all handles are dropped.
#[derive(Clone)]
pub(super) struct ControlHandle {
    tx: mpsc::UnboundedSender<Input>,
    next_req: Arc<AtomicU64>,
    is_ready: Arc<AtomicBool>,
}

/// Receiving end of [`ControlHandle`].
pub(super) struct ControlInputs {
    rx: mpsc::UnboundedReceiver<Input>,
    is_ready: Arc<AtomicBool>,
}

/// Sends events to the control thread without keeping it alive.
#[derive(Clone)]
pub(super) struct EventSender(mpsc::WeakUnboundedSender<Input>);

impl EventSender {
    /// Sends an event, which is dropped if the control thread has ended.
    pub(super) fn send(&self, event: EntryEvent) {
        if let Some(tx) = self.0.upgrade() {
            let _ = tx.send(Input::Event(event));
        }
    }

    /// True when the control thread has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.0.upgrade().is_none_or(|tx| tx.is_closed())
    }
}

impl ControlHandle {
    /// Creates a handle with its receiving end.
    pub(super) fn new() -> (Self, ControlInputs) {
        let (tx, rx) = mpsc::unbounded_channel();
        let is_ready = Arc::new(AtomicBool::new(false));
        let inputs = ControlInputs {
            rx,
            is_ready: is_ready.clone(),
        };
        (
            Self {
                tx,
                next_req: Arc::default(),
                is_ready,
            },
            inputs,
        )
    }

    /// Sends an event, which is dropped if the control thread has ended.
    pub(super) fn send_event(&self, event: EntryEvent) {
        let _ = self.tx.send(Input::Event(event));
    }

    /// Creates an event sender that does not keep the control thread alive.
    pub(super) fn event_sender(&self) -> EventSender {
        EventSender(self.tx.downgrade())
    }

    /// Submits a request and returns its id and commands. The command channel closes when the
    /// control thread ends.
    pub(super) fn submit(&self, meta: RequestMeta) -> (RequestId, CommandReceiver) {
        let req = self.next_req.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = mpsc::unbounded_channel();
        let _ = self.tx.send(Input::Request { req, meta, tx });
        (req, rx)
    }

    /// True while the load balancer should send requests to this entry.
    pub(super) fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }

    /// Status report of the entry; `None` when the control thread has ended.
    pub(super) async fn status(&self) -> Option<EntryStatus> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Input::Status(tx));
        rx.await.ok()
    }

    /// Dump of the entry's state; `None` when the control thread has ended.
    pub(super) async fn dump(&self) -> Option<serde_json::Value> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Input::Dump(tx));
        rx.await.ok()
    }
}

/// Runs the core until all handles are dropped.
pub(super) async fn run(core: EntryCore, inputs: ControlInputs, executor: Executor) {
    let ControlInputs { mut rx, is_ready } = inputs;
    let mut state = State {
        core,
        executor,
        requests: HashMap::new(),
        is_ready,
    };
    loop {
        let input = tokio::select! {
            input = rx.recv() => input,
            () = sleep_until(state.core.next_wakeup()) => Some(Input::Event(EntryEvent::Tick)),
        };
        match input {
            Some(input) => state.handle_input(input),
            None => return,
        }
    }
}

struct State {
    core: EntryCore,
    executor: Executor,
    /// Command channel of each request from its arrival to its last command.
    requests: HashMap<RequestId, mpsc::UnboundedSender<Command>>,
    is_ready: Arc<AtomicBool>,
}

impl State {
    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.handle_event(event),
            Input::Request { req, meta, tx } => {
                self.requests.insert(req, tx);
                self.handle_event(EntryEvent::Arrived { req, meta });
            }
            // Sending fails only when the receiver was dropped.
            Input::Status(tx) => drop(tx.send(self.core.status(Instant::now()))),
            Input::Dump(tx) => drop(tx.send(self.core.dump(Instant::now()))),
        }
    }

    fn handle_event(&mut self, event: EntryEvent) {
        if let EntryEvent::CallerGone { req } = &event {
            self.requests.remove(req);
        }
        let actions = self.core.handle(Instant::now(), event);
        actions.into_iter().for_each(|action| self.perform(action));
        self.is_ready
            .store(self.core.is_ready(Instant::now()), Ordering::Relaxed);
    }

    fn perform(&mut self, action: EntryAction) {
        match action {
            EntryAction::Dispatch(dispatch) => {
                self.send_command(dispatch.req, Command::Dispatch(dispatch))
            }
            EntryAction::Refuse { req, refusal } => {
                self.send_last_command(req, Command::Refuse(refusal))
            }
            EntryAction::Replay { req, answer } => {
                self.send_last_command(req, Command::Replay(answer))
            }
            EntryAction::Complete { req } => self.send_last_command(req, Command::Complete),
            EntryAction::Store { call_id, call } => self.executor.store(call_id, call),
            EntryAction::Settle {
                req,
                control,
                key,
                attempt,
                ..
            } => {
                self.executor.settle(req, control, key, attempt);
            }
            EntryAction::Sync {
                host,
                control,
                request,
            } => {
                self.executor.sync(host, control, *request);
            }
            EntryAction::Log { event, detail } => log_event!(event, "{detail}"),
        }
    }

    fn send_command(&self, req: RequestId, command: Command) {
        if let Some(tx) = self.requests.get(&req) {
            // A closed channel needs no handling: a task that ends early sends an event itself.
            let _ = tx.send(command);
        }
    }

    /// Sends the last command for a request and closes its channel.
    fn send_last_command(&mut self, req: RequestId, command: Command) {
        self.send_command(req, command);
        self.requests.remove(&req);
    }
}
