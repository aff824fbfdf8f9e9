//! Life of a process of the system: it runs, drains and ends.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::control::ControlServer;
use crate::log_event;
use crate::telemetry::Event;

/// A running process. Dropping it cuts everything at once.
#[derive(Debug)]
pub struct ProcessHandle {
    traffic: SocketAddr,
    control: SocketAddr,
    stop: CancellationToken,
    kill: CancellationToken,
    ended: JoinHandle<()>,
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

    /// Stops gracefully: the process ends when its work has, or at the stop deadline.
    pub async fn stop(mut self) {
        self.stop.cancel();
        // The task ends by itself; a panic in it has been reported already.
        let _ = (&mut self.ended).await;
    }

    /// Ends at once and cuts everything, as a crash does.
    pub fn kill(self) {
        self.kill.cancel();
    }
}

impl Drop for ProcessHandle {
    fn drop(&mut self) {
        self.kill.cancel();
    }
}

/// Steps of a process's end.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    name: String,
    deadline: Duration,
    /// Cancelled when no new connection is taken any more.
    pub(crate) drain: CancellationToken,
    /// Cancelled when everything is cut.
    pub(crate) kill: CancellationToken,
}

impl Lifecycle {
    /// Life of the process `name`, which may drain for `deadline`.
    pub(crate) fn new(name: String, deadline: Duration) -> Self {
        Self {
            name,
            deadline,
            drain: CancellationToken::new(),
            kill: CancellationToken::new(),
        }
    }

    /// Starts to wait for the end; `drained` runs from the stop on and ends with the last work.
    pub(crate) fn spawn(
        self,
        traffic: SocketAddr,
        rpc: ControlServer,
        drained: impl Future<Output = ()> + Send + 'static,
    ) -> ProcessHandle {
        let control = rpc.addr();
        let stop = CancellationToken::new();
        let kill = self.kill.clone();
        let ended = tokio::spawn(self.run(stop.clone(), rpc, drained));
        ProcessHandle {
            traffic,
            control,
            stop,
            kill,
            ended,
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
            () = tokio::time::sleep(self.deadline) => {}
            () = self.kill.cancelled() => {}
        }
        self.kill.cancel();
        log_event!(Event::Stopped, "{}", self.name);
    }
}
