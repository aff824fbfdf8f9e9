//! Start and stop of an entry.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::runtime::Handle;
use tokio_util::task::TaskTracker;

use crate::clients::{HttpClient, HttpHostList, HttpObjectApi, HttpTimeouts};
use crate::control::{ControlClients, ControlLimits, ControlServer};
use crate::http::{BodyBudget, BodyLimits, Listener, ListenerLimits, traffic_client};
use crate::process::{Lifecycle, ProcessHandle, StopTimes};
use crate::settings::EntrySettings;
use crate::telemetry::Metrics;
use crate::timer::Timer;

use super::attempt::AttemptLimits;
use super::control::{self, ControlHandle};
use super::core::{EntryCore, EntryCoreConfig, EntryEvent};
use super::exchange::ExchangeContext;
use super::executor::Executor;
use super::traffic::TrafficHandler;
use super::{platform, rpc};

/// Time within which an agent must answer a control call.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of an answer that is not streamed.
const MAX_ANSWER_BYTES: usize = 900 * 1024;
/// A running entry. When it stops, it first reports that it is not ready and later stops accepting
/// connections.
pub type EntryHandle = ProcessHandle;

/// Starts an entry on the current runtime.
///
/// # Errors
///
/// Returns an error when an address cannot be bound or the control thread cannot be started.
pub async fn spawn(settings: EntrySettings) -> io::Result<EntryHandle> {
    let lifecycle = Lifecycle::new(
        format!("entry {}", settings.process.name),
        settings.limits.stop_deadline,
    );
    let (drain, kill) = (lifecycle.drain.clone(), lifecycle.kill.clone());
    let (control, inputs) = ControlHandle::new();
    let limits = ListenerLimits::new(&settings.limits, settings.limits.body_timeout);
    let listener =
        Listener::bind(settings.listen.traffic, limits, drain.clone(), kill.clone()).await?;
    let addr = listener.addr()?;
    let rpc = control_server(&settings, &control).await?;
    start_control_thread(&settings, &control, inputs)?;
    start_platform_watches(&settings, &control);

    let exchanges = TaskTracker::new();
    let traffic = TrafficHandler {
        cx: Arc::new(exchange_context(&settings, &control)),
        limits: BodyLimits::from(&settings.limits),
        bodies: BodyBudget::from(&settings.limits),
        token: settings.security.token.clone(),
        exchanges: exchanges.clone(),
        kill,
    };
    let serving = tokio::spawn(listener.serve(move |req| traffic.clone().serve(req)));
    let stop = StopTimes::new(settings.limits.stop_deadline);
    let drained = async move {
        control.send_event(EntryEvent::Stop);
        tokio::time::sleep(stop.accept).await;
        drain.cancel();
        // An error here means that the task panicked, which has been reported already.
        let _ = serving.await;
        exchanges.close();
        exchanges.wait().await;
    };
    Ok(lifecycle.spawn(addr, rpc, drained))
}

async fn control_server(
    settings: &EntrySettings,
    control: &ControlHandle,
) -> io::Result<ControlServer> {
    let methods = rpc::methods(control.clone()).map_err(io::Error::other)?;
    let limits = ControlLimits::from(&settings.limits);
    let token = settings.security.token.clone();
    ControlServer::spawn(settings.listen.control, token, limits, methods).await
}

fn start_control_thread(
    settings: &EntrySettings,
    control: &ControlHandle,
    inputs: control::ControlInputs,
) -> io::Result<()> {
    let executor = Executor {
        runtime: Handle::current(),
        objects: object_api(settings),
        agents: ControlClients::new(settings.security.token.clone(), CONTROL_TIMEOUT),
        events: control.event_sender(),
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
    cfg.heartbeat_interval = settings.limits.heartbeat;
    cfg.isolation_after = settings.limits.isolation_after;
    cfg.policy = settings.limits.routing;
    cfg.stall_timeout = settings.limits.stall_timeout;
    cfg.stop_grace = settings.limits.stop_deadline;
    cfg.stop_answer_time = StopTimes::new(settings.limits.stop_deadline).answer;
    cfg
}

fn start_platform_watches(settings: &EntrySettings, control: &ControlHandle) {
    let timer = Timer::spawn(settings.process.seed.unwrap_or_else(rand::random));
    let hosts = HttpHostList::new(settings.platform.host_list, platform_client());
    tokio::spawn(platform::watch_config(
        object_api(settings),
        control.event_sender(),
    ));
    tokio::spawn(platform::watch_placement(
        object_api(settings),
        control.event_sender(),
    ));
    tokio::spawn(platform::poll_hosts(hosts, control.event_sender(), timer));
}

fn object_api(settings: &EntrySettings) -> HttpObjectApi {
    HttpObjectApi::new(settings.platform.object_api, platform_client())
}

fn platform_client() -> HttpClient {
    HttpClient::new(HttpTimeouts::default())
}

fn exchange_context(settings: &EntrySettings, control: &ControlHandle) -> ExchangeContext {
    ExchangeContext {
        client: traffic_client(),
        control: control.clone(),
        entry: settings.process.name.clone(),
        metrics: Metrics::new(),
        limits: AttemptLimits {
            max_answer_bytes: MAX_ANSWER_BYTES,
            answer_timeout: settings.limits.answer_timeout,
            write_timeout: settings.limits.write_timeout,
        },
    }
}
