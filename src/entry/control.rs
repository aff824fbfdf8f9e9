//! Control thread of the entry: owns the decision logic.

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

/// What a request's task is told to do.
#[derive(Debug)]
pub(super) enum Command {
    /// Run an attempt.
    Dispatch(Dispatch),
    /// Refuse the request.
    Refuse(Refusal),
    /// Answer with a stored answer.
    Replay(Arc<str>),
    /// The request is over.
    Complete,
}

/// Commands for one request.
pub(super) type Commands = mpsc::UnboundedReceiver<Command>;

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

/// Handle to the control thread; the thread ends when every handle is dropped.
#[derive(Clone)]
pub(super) struct Control {
    tx: mpsc::UnboundedSender<Input>,
    next_req: Arc<AtomicU64>,
    ready: Arc<AtomicBool>,
}

/// Receiving end of [`Control`].
pub(super) struct ControlInputs {
    rx: mpsc::UnboundedReceiver<Input>,
    ready: Arc<AtomicBool>,
}

/// Reports to the control thread without keeping it alive.
#[derive(Clone)]
pub(super) struct Reports(mpsc::WeakUnboundedSender<Input>);

impl Reports {
    /// Reports something that was seen. After the end of the control thread it is dropped.
    pub(super) fn event(&self, event: EntryEvent) {
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
        let ready = Arc::new(AtomicBool::new(false));
        let inputs = ControlInputs {
            rx,
            ready: ready.clone(),
        };
        (
            Self {
                tx,
                next_req: Arc::default(),
                ready,
            },
            inputs,
        )
    }

    /// Reports something that was seen. After the end of the control thread it is dropped.
    pub(super) fn event(&self, event: EntryEvent) {
        let _ = self.tx.send(Input::Event(event));
    }

    /// Reports that do not keep the control thread alive.
    pub(super) fn reports(&self) -> Reports {
        Reports(self.tx.downgrade())
    }

    /// Hands over a request; its commands end when the control thread ends.
    pub(super) fn request(&self, meta: RequestMeta) -> (RequestId, Commands) {
        let req = self.next_req.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = mpsc::unbounded_channel();
        let _ = self.tx.send(Input::Request { req, meta, tx });
        (req, rx)
    }

    /// True while the balancer should send requests here.
    pub(super) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// What the entry knows of the system; `None` when the control thread has ended.
    pub(super) async fn status(&self) -> Option<EntryStatus> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Input::Status(tx));
        rx.await.ok()
    }

    /// Dump of the state; `None` when the control thread has ended.
    pub(super) async fn dump(&self) -> Option<serde_json::Value> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Input::Dump(tx));
        rx.await.ok()
    }
}

/// Runs the decision logic until every handle is dropped.
pub(super) async fn run(core: EntryCore, inputs: ControlInputs, executor: Executor) {
    let ControlInputs { mut rx, ready } = inputs;
    let mut state = State {
        core,
        executor,
        requests: HashMap::new(),
        ready,
    };
    loop {
        let input = tokio::select! {
            input = rx.recv() => input,
            () = sleep_until(state.core.next_wakeup()) => Some(Input::Event(EntryEvent::Tick)),
        };
        match input {
            Some(input) => state.take(input),
            None => return,
        }
    }
}

struct State {
    core: EntryCore,
    executor: Executor,
    /// Invariant: holds each request between its arrival and its last command.
    requests: HashMap<RequestId, mpsc::UnboundedSender<Command>>,
    ready: Arc<AtomicBool>,
}

impl State {
    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.handle(event),
            Input::Request { req, meta, tx } => {
                self.requests.insert(req, tx);
                self.handle(EntryEvent::Arrived { req, meta });
            }
            // A caller that has gone does not mind.
            Input::Status(tx) => drop(tx.send(self.core.status(Instant::now()))),
            Input::Dump(tx) => drop(tx.send(self.core.dump(Instant::now()))),
        }
    }

    fn handle(&mut self, event: EntryEvent) {
        if let EntryEvent::CallerGone { req } = &event {
            self.requests.remove(req);
        }
        let actions = self.core.handle(Instant::now(), event);
        actions.into_iter().for_each(|action| self.perform(action));
        self.ready
            .store(self.core.is_ready(Instant::now()), Ordering::Relaxed);
    }

    fn perform(&mut self, action: EntryAction) {
        match action {
            EntryAction::Dispatch(dispatch) => {
                self.command(dispatch.req, Command::Dispatch(dispatch))
            }
            EntryAction::Refuse { req, refusal } => {
                self.last_command(req, Command::Refuse(refusal))
            }
            EntryAction::Replay { req, answer } => self.last_command(req, Command::Replay(answer)),
            EntryAction::Complete { req } => self.last_command(req, Command::Complete),
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

    fn command(&self, req: RequestId, command: Command) {
        if let Some(tx) = self.requests.get(&req) {
            // The task reports by itself when it ends early.
            let _ = tx.send(command);
        }
    }

    fn last_command(&mut self, req: RequestId, command: Command) {
        self.command(req, command);
        self.requests.remove(&req);
    }
}
