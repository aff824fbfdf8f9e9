//! What the connections of a listener do, and which of them close first when it is full.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;

use super::{AnswerBody, BodyError};

/// Shortest time for which a connection that closes for another has idled, so that a new one can send its
/// first request.
const MIN_IDLE_TIME: Duration = Duration::from_millis(100);
/// Time without data after which a body gives its connection up for another one. Sound callers send theirs with
/// the head, or at once behind it.
const MIN_STALL_TIME: Duration = Duration::from_millis(500);
/// Connections that close at once when a listener is full, so that a burst of new ones does not wait for
/// each.
const CLOSE_BATCH: usize = 16;

/// Activity of one connection; clones share it.
#[derive(Clone, Debug)]
pub(super) struct Activity {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    work: Mutex<Work>,
    /// Notified when the connection should close for another one.
    close: Notify,
}

/// What a connection does.
#[derive(Debug)]
enum Work {
    /// It waits for a request, since a time.
    Idle(Instant),
    /// It waits for a part of a request's body, since a time. Notified when it should give up.
    Receiving(Instant, Arc<Notify>),
    /// A request that has arrived whole is in progress.
    Answering,
}

impl Activity {
    /// Activity of a connection that begins to idle.
    pub fn new(now: Instant) -> Self {
        Self {
            shared: Arc::new(Shared {
                work: Mutex::new(Work::Idle(now)),
                close: Notify::new(),
            }),
        }
    }

    /// Marks the connection as busy until the returned guard is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        *self.lock() = Work::Answering;
        RequestGuard(self.clone())
    }

    /// Arrival of the body of the request in progress.
    pub fn arrival(&self) -> BodyArrival {
        BodyArrival {
            activity: self.clone(),
            give_up: Arc::default(),
        }
    }

    /// Completes when the connection should close and has no request in progress. `is_writing` is asked
    /// whether the end of an answer is still to be written.
    pub async fn closed_while_idle(&self, is_writing: impl Fn() -> bool) {
        loop {
            self.shared.close.notified().await;
            if self.idle_since().is_some() && !is_writing() {
                return;
            }
        }
    }

    fn idle_since(&self) -> Option<Instant> {
        match *self.lock() {
            Work::Idle(since) => Some(since),
            Work::Receiving(..) | Work::Answering => None,
        }
    }

    /// Time since which it waits for a part of a body, and what makes it give up.
    fn receiving_since(&self) -> Option<(Instant, Arc<Notify>)> {
        match &*self.lock() {
            Work::Receiving(since, give_up) => Some((*since, give_up.clone())),
            Work::Idle(_) | Work::Answering => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Work> {
        self.shared
            .work
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Arrival of a request's body, an extension of the request. A body that stalls gives its connection up when others
/// wait for one.
#[derive(Clone, Debug)]
pub struct BodyArrival {
    activity: Activity,
    give_up: Arc<Notify>,
}

impl BodyArrival {
    /// Records that the next part of the body is waited for from now on.
    pub fn wait_for_data(&self) {
        let work = Work::Receiving(Instant::now(), self.give_up.clone());
        *self.activity.lock() = work;
    }

    /// Records that nothing more of the body is waited for.
    pub fn complete(&self) {
        *self.activity.lock() = Work::Answering;
    }

    /// Completes when the body has to give its connection up.
    pub async fn given_up(&self) {
        self.give_up.notified().await;
    }
}

/// A request in progress, up to the end of its answer.
#[derive(Debug)]
pub(super) struct RequestGuard(Activity);

impl RequestGuard {
    /// Keeps the connection busy until the body of an answer was sent or dropped.
    pub fn attach(self, answer: Response<AnswerBody>) -> Response<AnswerBody> {
        answer.map(|body| {
            GuardedBody {
                body,
                _request: self,
            }
            .boxed()
        })
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        *self.0.lock() = Work::Idle(Instant::now());
    }
}

/// Body of an answer whose request is in progress.
struct GuardedBody {
    body: AnswerBody,
    _request: RequestGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Open connections of a listener.
#[derive(Debug, Default)]
pub(super) struct OpenConnections {
    registry: Mutex<Registry>,
}

#[derive(Debug, Default)]
struct Registry {
    next_id: u64,
    activities: BTreeMap<u64, Activity>,
}

impl OpenConnections {
    /// Adds a connection; it is removed when the returned guard is dropped.
    pub fn insert(self: &Arc<Self>, activity: Activity) -> OpenGuard {
        let mut registry = self.lock();
        let id = registry.next_id;
        registry.next_id += 1;
        registry.activities.insert(id, activity);
        OpenGuard {
            connections: self.clone(),
            id,
        }
    }

    /// Closes the connections that have idled longest, or else those whose body has stalled longest, as soon as
    /// their tasks run.
    pub fn close_unused(&self, now: Instant) {
        let registry = self.lock();
        let activities = || registry.activities.values();
        let is_older = |since: Instant, time| now.saturating_duration_since(since) >= time;
        let mut idle: Vec<_> = activities()
            .filter_map(|activity| Some((activity.idle_since()?, activity)))
            .filter(|(since, _)| is_older(*since, MIN_IDLE_TIME))
            .collect();
        if !idle.is_empty() {
            idle.sort_by_key(|(since, _)| *since);
            let first = idle.into_iter().take(CLOSE_BATCH);
            first.for_each(|(_, activity)| activity.shared.close.notify_one());
            return;
        }
        let mut stalled: Vec<_> = activities()
            .filter_map(Activity::receiving_since)
            .filter(|(since, _)| is_older(*since, MIN_STALL_TIME))
            .collect();
        stalled.sort_by_key(|(since, _)| *since);
        let first = stalled.into_iter().take(CLOSE_BATCH);
        first.for_each(|(_, give_up)| give_up.notify_one());
    }

    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection.
#[derive(Debug)]
pub(super) struct OpenGuard {
    connections: Arc<OpenConnections>,
    id: u64,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.connections.lock().activities.remove(&self.id);
    }
}
