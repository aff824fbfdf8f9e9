//! Start and stop of an entry.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::control::{ControlClients, ControlLimits, ControlServer};
use crate::http::{BodyLimits, Listener, ListenerLimits, traffic_client};
use crate::log_event;
use crate::platform::{HttpClient, HttpHostList, HttpObjectApi, HttpTimeouts};
use crate::settings::EntrySettings;
use crate::telemetry::{Event, Metrics};
use crate::timer::Timer;

use super::attempt::AttemptLimits;
use super::control::{self, Control};
use super::core::{EntryCore, EntryCoreConfig, EntryEvent};
use super::exchange::ExchangeContext;
use super::executor::Executor;
use super::traffic::Traffic;
use super::{rpc, store};

/// Time within which an agent must answer a control call.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of an answer that is not streamed.
const ANSWER_BYTES: usize = 900 * 1024;
/// Time for which an entry that stops still takes requests, so that the balancer can follow.
const STOP_GRACE: Duration = Duration::from_secs(3);

/// A running entry. Dropping it cuts everything at once.
#[derive(Debug)]
pub struct EntryHandle {
    traffic: SocketAddr,
    control: SocketAddr,
    stop: CancellationToken,
    kill: CancellationToken,
    ended: JoinHandle<()>,
}

impl EntryHandle {
    /// Address that callers reach.
    pub fn traffic(&self) -> SocketAddr {
        self.traffic
    }

    /// Address of the control listener.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Stops gracefully: readiness goes first, then no new connection is taken, then the process
    /// ends with its last request or at the stop deadline.
    pub async fn stop(mut self) {
        self.stop.cancel();
        // The task ends by itself; a panic in it has been reported already.
        let _ = (&mut self.ended).await;
    }

    /// Ends at once and cuts every request, as a crash does.
    pub fn kill(self) {
        self.kill.cancel();
    }
}

impl Drop for EntryHandle {
    fn drop(&mut self) {
        self.kill.cancel();
    }
}

/// Starts an entry on the current runtime.
///
/// # Errors
///
/// Fails when an address can not be bound or the control thread can not be started.
pub async fn spawn(settings: EntrySettings) -> io::Result<EntryHandle> {
    let kill = CancellationToken::new();
    let drain = CancellationToken::new();
    let (control, inputs) = Control::new();
    let limits = ListenerLimits::new(&settings.limits, settings.limits.body_timeout);
    let listener =
        Listener::bind(settings.listen.traffic, limits, drain.clone(), kill.clone()).await?;
    let rpc = control_server(&settings, &control).await?;
    start_control_thread(&settings, &control, inputs)?;
    start_followers(&settings, &control);

    let exchanges = TaskTracker::new();
    let traffic = Traffic {
        cx: Arc::new(exchange_context(&settings, &control)),
        limits: BodyLimits::from(&settings.limits),
        token: settings.security.token.clone(),
        exchanges: exchanges.clone(),
        kill: kill.clone(),
    };
    let handle = Running {
        name: settings.process.name.clone(),
        stop: CancellationToken::new(),
        drain,
        kill,
        deadline: settings.limits.stop_deadline,
        control,
        exchanges,
    };
    let (traffic_addr, control_addr) = (listener.addr()?, rpc.addr());
    let serving = tokio::spawn(listener.serve(move |req| traffic.clone().serve(req)));
    let (stop, kill) = (handle.stop.clone(), handle.kill.clone());
    let ended = tokio::spawn(handle.run(serving, rpc));
    Ok(EntryHandle {
        traffic: traffic_addr,
        control: control_addr,
        stop,
        kill,
        ended,
    })
}

struct Running {
    name: Arc<str>,
    stop: CancellationToken,
    drain: CancellationToken,
    kill: CancellationToken,
    deadline: Duration,
    control: Control,
    exchanges: TaskTracker,
}

impl Running {
    async fn run(self, serving: JoinHandle<()>, _rpc: ControlServer) {
        log_event!(Event::Started, "entry {}", self.name);
        tokio::select! {
            () = self.kill.cancelled() => return,
            () = self.stop.cancelled() => {}
        }
        log_event!(Event::Stopping, "entry {}", self.name);
        self.control.event(EntryEvent::Stop);
        let drained = async {
            tokio::time::sleep(STOP_GRACE).await;
            self.drain.cancel();
            // The listener's task ends by itself; a panic in it has been reported already.
            let _ = serving.await;
            self.exchanges.close();
            self.exchanges.wait().await;
        };
        tokio::select! {
            () = drained => {}
            () = tokio::time::sleep(self.deadline) => {}
            () = self.kill.cancelled() => {}
        }
        self.kill.cancel();
        log_event!(Event::Stopped, "entry {}", self.name);
    }
}

async fn control_server(settings: &EntrySettings, control: &Control) -> io::Result<ControlServer> {
    let methods = rpc::methods(control.clone()).map_err(io::Error::other)?;
    let limits = ControlLimits::from(&settings.limits);
    let token = settings.security.token.clone();
    ControlServer::spawn(settings.listen.control, token, limits, methods).await
}

fn start_control_thread(
    settings: &EntrySettings,
    control: &Control,
    inputs: control::ControlInputs,
) -> io::Result<()> {
    let executor = Executor {
        runtime: Handle::current(),
        objects: objects(settings),
        agents: ControlClients::new(settings.security.token.clone(), CONTROL_TIMEOUT),
        reports: control.reports(),
    };
    let seed = settings.process.seed.unwrap_or_else(rand::random);
    let cfg = core_config(settings, seed);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    std::thread::Builder::new()
        .name("entry-control".into())
        .spawn(move || {
            let core = EntryCore::new(cfg, seed, Instant::now());
            runtime.block_on(control::run(core, inputs, executor));
        })?;
    Ok(())
}

fn core_config(settings: &EntrySettings, seed: u64) -> EntryCoreConfig {
    let process = &settings.process;
    let instance = seed ^ u64::from(std::process::id()) ^ rand::random::<u64>();
    let mut cfg = EntryCoreConfig::new(
        process.host.clone(),
        process.zone.clone(),
        process.region.clone(),
        instance,
    );
    cfg.store_region = settings.platform.store_region.clone();
    cfg.queue_len = settings.limits.queue_length as usize;
    cfg.heartbeat = settings.limits.heartbeat;
    cfg.isolation = settings.limits.isolation_after;
    cfg.policy = settings.limits.routing;
    cfg.stall = settings.limits.stall_timeout;
    cfg.stop_grace = settings.limits.stop_deadline;
    cfg
}

fn start_followers(settings: &EntrySettings, control: &Control) {
    let timer = Timer::spawn(settings.process.seed.unwrap_or_else(rand::random));
    let hosts = HttpHostList::new(settings.platform.host_list, platform_client());
    tokio::spawn(store::follow_config(objects(settings), control.reports()));
    tokio::spawn(store::follow_placement(
        objects(settings),
        control.reports(),
    ));
    tokio::spawn(store::follow_hosts(hosts, control.reports(), timer));
}

fn objects(settings: &EntrySettings) -> HttpObjectApi {
    HttpObjectApi::new(settings.platform.object_api, platform_client())
}

fn platform_client() -> HttpClient {
    HttpClient::new(HttpTimeouts::default())
}

fn exchange_context(settings: &EntrySettings, control: &Control) -> ExchangeContext {
    ExchangeContext {
        client: traffic_client(),
        control: control.clone(),
        entry: settings.process.name.clone(),
        metrics: Metrics::new(),
        limits: AttemptLimits {
            answer_bytes: ANSWER_BYTES,
            silence: settings.limits.answer_timeout,
            write_timeout: settings.limits.write_timeout,
        },
    }
}
