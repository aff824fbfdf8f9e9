//! Thread that carries traffic, apart from the control loop.

use std::future::Future;
use std::io;
use std::thread;

use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Runtime on a thread of its own. Dropping it ends the thread and its tasks.
#[derive(Debug)]
pub struct TrafficRuntime {
    handle: Handle,
    /// Closed to end the thread.
    _stop_tx: oneshot::Sender<()>,
}

impl TrafficRuntime {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// When the system provides no thread, or no event queue.
    pub fn start() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop_tx, stop_rx) = oneshot::channel();
        thread::Builder::new()
            .name("traffic".to_owned())
            .spawn(move || {
                // Fails when the sender is dropped, as no value is ever sent.
                let _ = runtime.block_on(stop_rx);
            })?;
        Ok(Self {
            handle,
            _stop_tx: stop_tx,
        })
    }

    /// Runs a task on the thread.
    pub fn spawn<F>(&self, task: F) -> JoinHandle<F::Output>
    where
        F: Future<Output: Send + 'static> + Send + 'static,
    {
        self.handle.spawn(task)
    }
}
