//! `entry`, `agent` and `platform`: run the processes of the system.

use std::future::Future;
use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::codes::Code;
use crate::log_event;
use crate::platform;
use crate::settings::{AgentSettings, EntrySettings, FromIni};
use crate::telemetry::{Event, start_logs, start_rate_limited_logs};
use crate::{agent, entry};

use super::args::{AgentArgs, EntryArgs, PlatformArgs, Role};
use super::{Exit, Failure};

pub(super) async fn run_entry(args: &EntryArgs) -> Result<Exit, Failure> {
    let settings = EntrySettings::load(&args.settings)?;
    let _log = start_logs(&settings.log).map_err(|e| not_started(&e))?;
    let mut signals = Signals::new().map_err(|e| not_started(&e))?;
    let handle = entry::spawn(settings).await.map_err(|e| not_started(&e))?;
    signals.wait().await;
    Ok(signals.stop_or_abort(handle.stop()).await)
}

pub(super) async fn run_agent(args: &AgentArgs) -> Result<Exit, Failure> {
    let settings = AgentSettings::load(&args.settings)?;
    let _log = start_logs(&settings.log).map_err(|e| not_started(&e))?;
    let mut signals = Signals::new().map_err(|e| not_started(&e))?;
    let handle = agent::spawn(settings).await.map_err(|e| not_started(&e))?;
    signals.wait().await;
    Ok(signals.stop_or_abort(handle.stop()).await)
}

pub(super) async fn run_platform(args: &PlatformArgs) -> Result<Exit, Failure> {
    let _log = start_rate_limited_logs(log::LevelFilter::Info).map_err(|e| not_started(&e))?;
    let result = match args.role {
        Role::Entry => platform::run_entry().await,
        Role::Agent => platform::run_agent().await,
    };
    result.map(|()| Exit::Done).map_err(|e| {
        log_event!(Event::SettingsRefused, "{e}");
        not_started(&e)
    })
}

fn not_started(e: &dyn std::error::Error) -> Failure {
    Failure::NotStarted {
        code: Code::NotStarted,
        detail: e.to_string(),
    }
}

/// Signals that stop a process: the first one gracefully, the second one immediately.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next SIGTERM or SIGINT.
    async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Waits for the graceful stop `stop` to finish; a further signal abandons it.
    async fn stop_or_abort(&mut self, stop: impl Future<Output = ()>) -> Exit {
        tokio::select! {
            () = stop => Exit::Done,
            () = self.wait() => {
                log_event!(Event::Cut, "second stop signal");
                Exit::Aborted
            }
        }
    }
}
