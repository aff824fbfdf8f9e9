//! Traffic listener: limits its connections and can be drained.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
use super::connection::Connection;
use super::unframed::{ResettingStream, UnframedAnswer};

/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Limits of a traffic listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Largest number of open connections; further ones wait in the accept queue.
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
    drain: CancellationToken,
    kill: CancellationToken,
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
            drain,
            kill,
            tasks: TaskTracker::new(),
        })
    }

    /// Replaces the timeout for a request's head by one that may change. While a connection idles, the
    /// longest value applies.
    pub fn with_head_timeout(mut self, timeout: watch::Receiver<Duration>) -> Self {
        self.head_timeout = timeout;
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
        while let Some(accepted) = self.accept(&permits).await {
            self.spawn_connection(accepted, handler.clone());
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
        let connection = Connection {
            limits: self.limits,
            head_timeout: self.head_timeout.clone(),
            drain: self.drain.clone(),
            kill: self.kill.clone(),
            unframed_answer: UnframedAnswer::default(),
        };
        let stream = ResettingStream::new(stream, connection.unframed_answer.clone());
        let serving = connection.serve(stream, handler);
        self.tasks.spawn(async move {
            serving.await;
            drop(permit);
        });
    }

    /// Waits for a connection and its permit; `None` when the listener is drained or killed.
    async fn accept(&self, permits: &Arc<Semaphore>) -> Option<(TcpStream, OwnedSemaphorePermit)> {
        tokio::select! {
            () = self.drain.cancelled() => None,
            () = self.kill.cancelled() => None,
            accepted = self.accept_next(permits) => Some(accepted),
        }
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

    async fn accept_next(&self, permits: &Arc<Semaphore>) -> (TcpStream, OwnedSemaphorePermit) {
        let permit = permits
            .clone()
            .acquire_owned()
            .await
            .expect("the semaphore is never closed");
        loop {
            match self.tcp.accept().await {
                Ok((stream, _)) => return (stream, permit),
                Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
            }
        }
    }
}
