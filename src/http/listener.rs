//! Traffic listener: limits its connections and can be drained.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::unconstrained;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::settings::LimitsSettings;

use super::AnswerBody;
use super::activity::{Activity, OpenConnections};
use super::connection::Connection;
use super::unframed::{ResettingStream, UnframedAnswer};
use super::write_timeout::WriteTimeout;

/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Pause between two attempts to close idle connections for one that has none free.
const CLOSE_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a caller may leave an answer unread. Callers give a stream up within seconds.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits of a traffic listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Largest number of open connections. For a further one, those that have idled longest close, or else those
    /// whose request's body has stalled longest; while there are none it waits, and others behind it in the accept
    /// queue.
    pub connections: usize,
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Timeout for the arrival of a request's head, counted from the time at which its connection
    /// began to idle. [`Listener::with_head_timeout`] replaces it.
    pub header_timeout: Duration,
}

impl ListenerLimits {
    /// Creates limits from the settings. `header_timeout` differs between the kinds of listeners.
    pub fn new(settings: &LimitsSettings, header_timeout: Duration) -> Self {
        Self {
            connections: settings.traffic_connections as usize,
            header_bytes: usize::try_from(settings.header_bytes).unwrap_or(usize::MAX),
            header_timeout,
        }
    }
}

/// A bound traffic listener.
#[derive(Debug)]
pub struct Listener {
    tcp: TcpListener,
    limits: ListenerLimits,
    head_timeout: watch::Receiver<Duration>,
    header_bytes: watch::Receiver<usize>,
    drain: CancellationToken,
    kill: CancellationToken,
    open: Arc<OpenConnections>,
    tasks: TaskTracker,
}

impl Listener {
    /// Binds `addr`. Cancelling `drain` closes idle connections and lets the others finish their
    /// request; cancelling `kill` closes all of them at once.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn bind(
        addr: SocketAddr,
        limits: ListenerLimits,
        drain: CancellationToken,
        kill: CancellationToken,
    ) -> io::Result<Self> {
        let tcp = TcpListener::bind(addr).await?;
        Ok(Self {
            tcp,
            limits,
            head_timeout: watch::channel(limits.header_timeout).1,
            header_bytes: watch::channel(limits.header_bytes).1,
            drain,
            kill,
            open: Arc::default(),
            tasks: TaskTracker::new(),
        })
    }

    /// Replaces the timeout for a request's head by one that may change. While a connection idles, the
    /// longest value applies.
    pub fn with_head_timeout(mut self, timeout: watch::Receiver<Duration>) -> Self {
        self.head_timeout = timeout;
        self
    }

    /// Replaces the size of the largest head by one that may change; a connection keeps that of its start.
    pub fn with_header_bytes(mut self, bytes: watch::Receiver<usize>) -> Self {
        self.header_bytes = bytes;
        self
    }

    /// Address that the listener is bound to.
    ///
    /// # Errors
    ///
    /// Fails when the operating system does not report the address.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.tcp.local_addr()
    }

    /// Serves requests until `drain` or `kill` is cancelled; returns once all connections are
    /// closed.
    pub async fn serve<H, F>(self, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<AnswerBody>> + Send + 'static,
    {
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        while let Some(stream) = self.accept().await {
            let Some(permit) = self.permit(&permits).await else {
                break;
            };
            self.spawn_connection((stream, permit), handler.clone());
        }
        // Connections in the accept queue may have sent their request already.
        while let Some(accepted) = self.accept_queued(&permits) {
            self.spawn_connection(accepted, handler.clone());
        }
        drop(self.tcp);
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn spawn_connection<H, F>(&self, accepted: (TcpStream, OwnedSemaphorePermit), handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<AnswerBody>> + Send + 'static,
    {
        let (stream, permit) = accepted;
        // When this fails, small writes are delayed but the connection works.
        let _ = stream.set_nodelay(true);
        let activity = Activity::new(Instant::now());
        let open = self.open.insert(activity.clone());
        let connection = Connection {
            limits: ListenerLimits {
                header_bytes: *self.header_bytes.borrow(),
                ..self.limits
            },
            head_timeout: self.head_timeout.clone(),
            drain: self.drain.clone(),
            kill: self.kill.clone(),
            activity,
            unframed_answer: UnframedAnswer::default(),
        };
        let stream = ResettingStream::new(stream, connection.unframed_answer.clone());
        let stream = WriteTimeout::new(stream, WRITE_TIMEOUT);
        let serving = connection.serve(stream, handler);
        self.tasks.spawn(async move {
            serving.await;
            drop((permit, open));
        });
    }

    /// Waits for a connection; `None` when the listener is drained or killed.
    async fn accept(&self) -> Option<TcpStream> {
        tokio::select! {
            () = self.drain.cancelled() => None,
            () = self.kill.cancelled() => None,
            stream = self.accept_next() => Some(stream),
        }
    }

    /// Waits for the permit of an accepted connection, and closes unused ones for it; `None` when the listener
    /// is killed.
    async fn permit(&self, permits: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
        let mut permit = permits.clone().try_acquire_owned();
        while permit.is_err() {
            self.open.close_unused(Instant::now());
            let free = tokio::time::timeout(CLOSE_INTERVAL, permits.clone().acquire_owned());
            tokio::select! {
                () = self.kill.cancelled() => return None,
                free = free => if let Ok(Ok(free)) = free {
                    return Some(free);
                },
            }
            permit = permits.clone().try_acquire_owned();
        }
        permit.ok()
    }

    /// Takes a connection from the accept queue; `None` when it is empty, no permit is free, or the
    /// listener is killed.
    fn accept_queued(&self, permits: &Arc<Semaphore>) -> Option<(TcpStream, OwnedSemaphorePermit)> {
        if self.kill.is_cancelled() {
            return None;
        }
        let permit = permits.clone().try_acquire_owned().ok()?;
        // Tokio's cooperative budget would make a longer queue seem empty.
        let accepted = unconstrained(self.tcp.accept()).now_or_never()?;
        accepted.ok().map(|(stream, _)| (stream, permit))
    }

    async fn accept_next(&self) -> TcpStream {
        loop {
            match self.tcp.accept().await {
                Ok((stream, _)) => return stream,
                Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
            }
        }
    }
}
