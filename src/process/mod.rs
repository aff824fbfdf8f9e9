//! Lifecycle of a process of the system: running, draining, stopped.

mod resources;
mod stop_times;
#[cfg(test)]
mod tests;
mod traffic;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::control::ControlServer;
use crate::log_event;
use crate::telemetry::Event;

pub use resources::ProcessResources;
pub use stop_times::StopTimes;
pub use traffic::TrafficRuntime;

/// Handle to a running process. Dropping it aborts all connections and requests at once.
#[derive(Debug)]
pub struct ProcessHandle {
    traffic: SocketAddr,
    control: SocketAddr,
    stop: CancellationToken,
    kill: CancellationToken,
    lifecycle: JoinHandle<()>,
}

impl ProcessHandle {
    /// Address of the traffic listener.
    pub fn traffic(&self) -> SocketAddr {
        self.traffic
    }

    /// Address of the control listener.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Stops gracefully: the process ends when its last request has finished or the drain timeout
    /// has expired.
    pub async fn stop(mut self) {
        self.stop.cancel();
        // An error here means that the task panicked, which has been reported already.
        let _ = (&mut self.lifecycle).await;
    }

    /// Ends the process at once and aborts all connections and requests, as a crash does.
    pub fn kill(self) {
        self.kill.cancel();
    }
}

impl Drop for ProcessHandle {
    fn drop(&mut self) {
        self.kill.cancel();
    }
}

/// Runs a process until it is stopped, drains it, and ends it.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    name: String,
    drain_timeout: Duration,
    /// Cancelled when no new connections are accepted any more.
    pub(crate) drain: CancellationToken,
    /// Cancelled when all connections and requests are aborted.
    pub(crate) kill: CancellationToken,
}

impl Lifecycle {
    /// Creates the lifecycle of the process `name`, which may drain for `drain_timeout`.
    pub(crate) fn new(name: String, drain_timeout: Duration) -> Self {
        Self {
            name,
            drain_timeout,
            drain: CancellationToken::new(),
            kill: CancellationToken::new(),
        }
    }

    /// Starts the task that waits for the stop. `drained` is polled from the stop on and completes
    /// when the last request has finished.
    pub(crate) fn spawn(
        self,
        traffic: SocketAddr,
        rpc: ControlServer,
        drained: impl Future<Output = ()> + Send + 'static,
    ) -> ProcessHandle {
        let control = rpc.addr();
        let stop = CancellationToken::new();
        let kill = self.kill.clone();
        let lifecycle = tokio::spawn(self.run(stop.clone(), rpc, drained));
        ProcessHandle {
            traffic,
            control,
            stop,
            kill,
            lifecycle,
        }
    }

    async fn run(
        self,
        stop: CancellationToken,
        _rpc: ControlServer,
        drained: impl Future<Output = ()>,
    ) {
        log_event!(Event::Started, "{}", self.name);
        tokio::select! {
            () = self.kill.cancelled() => return,
            () = stop.cancelled() => {}
        }
        log_event!(Event::Stopping, "{}", self.name);
        tokio::select! {
            () = drained => {}
            () = tokio::time::sleep(self.drain_timeout) => {}
            () = self.kill.cancelled() => {}
        }
        self.kill.cancel();
        log_event!(Event::Stopped, "{}", self.name);
    }
}
