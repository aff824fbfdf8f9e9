//! Which connections of a listener idle, and which of them close first when it is full.

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
    /// Time since which no request is in progress; `None` beside a request.
    idle_since: Mutex<Option<Instant>>,
    /// Notified when the connection should close for another one.
    close: Notify,
}

impl Activity {
    /// Activity of a connection that begins to idle.
    pub fn new(now: Instant) -> Self {
        Self {
            shared: Arc::new(Shared {
                idle_since: Mutex::new(Some(now)),
                close: Notify::new(),
            }),
        }
    }

    /// Marks the connection as busy until the returned guard is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        *self.lock() = None;
        RequestGuard(self.clone())
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
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.shared
            .idle_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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
        *self.0.lock() = Some(Instant::now());
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

    /// Closes the connections that have idled longest, as soon as their tasks run.
    pub fn close_idle(&self, now: Instant) {
        let registry = self.lock();
        let mut idle: Vec<_> = registry
            .activities
            .values()
            .filter_map(|activity| Some((activity.idle_since()?, activity)))
            .filter(|(since, _)| now.saturating_duration_since(*since) >= MIN_IDLE_TIME)
            .collect();
        idle.sort_by_key(|(since, _)| *since);
        for (_, activity) in idle.into_iter().take(CLOSE_BATCH) {
            activity.shared.close.notify_one();
        }
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
