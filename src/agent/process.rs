//! Start and stop of an agent.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

use crate::clients::{HttpClient, HttpHostList, HttpTimeouts};
use crate::config::ConfigParams;
use crate::control::{ControlLimits, ControlServer};
use crate::http::{BodyBudget, BodyLimits, Listener, ListenerLimits, endpoint_client};
use crate::process::{Lifecycle, ProcessHandle};
use crate::settings::{AgentSettings, EndpointKind};
use crate::telemetry::Metrics;
use crate::timer::Timer;
use crate::weights::{WeightsConfig, WeightsNotice, WeightsService};

use super::attempt::{AttemptContext, AttemptLimits};
use super::control::{self, Control, ControlReceiver};
use super::core::{AgentCore, AgentCoreConfig, AgentEvent, EndpointConfig};
use super::orders::OrderExecutor;
use super::traffic::Traffic;
use super::{background, rpc};

/// Time after which an idle connection from an entry is closed. Longer than the idle timeout of the
/// entry, so that the entry closes first and does not send a request on a closing connection.
const ENTRY_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of an answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 900 * 1024;

/// A running agent. Dropping it ends the process and all its attempts at once.
#[derive(Debug)]
pub struct AgentHandle {
    process: ProcessHandle,
    weights: WeightsService,
}

impl AgentHandle {
    /// Address of the traffic listener, for entries and other agents.
    pub fn traffic(&self) -> SocketAddr {
        self.process.traffic()
    }

    /// Address of the control listener.
    pub fn control(&self) -> SocketAddr {
        self.process.control()
    }

    /// Weight transfer of the host.
    pub fn weights(&self) -> &WeightsService {
        &self.weights
    }

    /// Stops gracefully: new attempts are refused, and the process ends with its last attempt or at
    /// the stop deadline.
    pub async fn stop(self) {
        self.process.stop().await;
    }

    /// Ends at once and aborts every attempt, as a crash does.
    pub fn kill(self) {
        self.process.kill();
    }
}

/// Starts an agent on the current runtime.
///
/// # Errors
///
/// Fails when an address cannot be bound or the control thread cannot be started.
pub async fn spawn(settings: AgentSettings) -> io::Result<AgentHandle> {
    let life = Lifecycle::new(
        format!("agent {}", settings.process.name),
        settings.limits.stop_deadline,
    );
    let (drain, kill) = (life.drain.clone(), life.kill.clone());
    let limits = ListenerLimits::new(&settings.limits, ENTRY_IDLE_TIMEOUT);
    let listener =
        Listener::bind(settings.listen.traffic, limits, drain.clone(), kill.clone()).await?;
    let addr = listener.addr()?;
    let seed = settings.process.seed.unwrap_or_else(rand::random);

    let (control, receiver) = Control::new();
    let (weights, notices) = WeightsService::spawn(weights_config(&settings, addr), seed);
    let rpc = control_server(&settings, &control).await?;
    start_control_thread(&settings, &control, receiver, &weights)?;
    start_background_tasks(&settings, seed, &control, &weights, notices);

    let traffic = Traffic {
        cx: Arc::new(attempt_context(&settings, &control)),
        limits: BodyLimits::from(&settings.limits),
        bodies: BodyBudget::from(&settings.limits),
        token: settings.security.token.clone(),
        weights: weights.clone(),
        attempts: TaskTracker::new(),
        kill,
    };
    let serving = tokio::spawn(listener.serve(move |req| traffic.clone().serve(req)));
    let drained = async move {
        control.send_event(AgentEvent::Stop);
        control.drained().await;
        drain.cancel();
        // The listener's task has no result; a panic in it has already been reported.
        let _ = serving.await;
    };
    let process = life.spawn(addr, rpc, drained);
    Ok(AgentHandle { process, weights })
}

async fn control_server(settings: &AgentSettings, control: &Control) -> io::Result<ControlServer> {
    let methods = rpc::methods(control.clone()).map_err(io::Error::other)?;
    let limits = ControlLimits::from(&settings.limits);
    let token = settings.security.token.clone();
    ControlServer::spawn(settings.listen.control, token, limits, methods).await
}

fn start_control_thread(
    settings: &AgentSettings,
    control: &Control,
    receiver: ControlReceiver,
    weights: &WeightsService,
) -> io::Result<()> {
    let orders = OrderExecutor {
        runtime: Handle::current(),
        http: endpoint_admin_client(),
        endpoints: settings.endpoints.clone().into(),
        weights: weights.clone(),
        events: control.event_sender(),
    };
    let cfg = core_config(settings);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    std::thread::Builder::new()
        .name("agent-control".into())
        .spawn(move || {
            let core = AgentCore::new(cfg, Instant::now());
            runtime.block_on(control::run(core, receiver, orders));
        })?;
    Ok(())
}

fn core_config(settings: &AgentSettings) -> AgentCoreConfig {
    let process = &settings.process;
    AgentCoreConfig {
        endpoints: settings
            .endpoints
            .iter()
            .map(EndpointConfig::from)
            .collect(),
        config: ConfigParams::from_settings(process, &settings.platform, &settings.limits),
        ..AgentCoreConfig::new(
            process.host.clone(),
            process.zone.clone(),
            process.region.clone(),
            rand::random(),
        )
    }
}

fn start_background_tasks(
    settings: &AgentSettings,
    seed: u64,
    control: &Control,
    weights: &WeightsService,
    notices: mpsc::UnboundedReceiver<WeightsNotice>,
) {
    let timer = Timer::spawn(seed);
    let http = endpoint_admin_client();
    for endpoint in &settings.endpoints {
        let ticks = timer.every_jittered(settings.limits.probe_interval);
        let events = control.event_sender();
        tokio::spawn(background::probe_endpoint(
            endpoint.clone(),
            http.clone(),
            events,
            ticks,
        ));
    }
    tokio::spawn(background::forward_weight_notices(
        notices,
        control.event_sender(),
    ));
    if has_models(settings) {
        let hosts = HttpHostList::new(settings.platform.host_list, http);
        tokio::spawn(background::refresh_peers(
            hosts,
            weights.clone(),
            control.event_sender(),
            timer,
        ));
    }
}

fn has_models(settings: &AgentSettings) -> bool {
    settings
        .endpoints
        .iter()
        .any(|endpoint| endpoint.kind == EndpointKind::Model)
}

fn weights_config(settings: &AgentSettings, addr: SocketAddr) -> WeightsConfig {
    let process = &settings.process;
    let own = background::own_peer(&process.host, &process.zone, &process.region, addr);
    let origins = vec![settings.platform.weight_store, settings.platform.origin];
    let limits = &settings.limits;
    WeightsConfig {
        max_chunk_memory: limits.chunk_memory,
        download_rate: Some(limits.download_rate),
        upload_rate: Some(limits.upload_rate),
        ..WeightsConfig::new(own, origins)
    }
}

fn attempt_context(settings: &AgentSettings, control: &Control) -> AttemptContext {
    AttemptContext {
        control: control.clone(),
        metrics: Metrics::new(),
        client: endpoint_client(),
        endpoints: settings.endpoints.clone(),
        limits: AttemptLimits {
            max_answer_bytes: MAX_ANSWER_BYTES,
            answer_timeout: settings.limits.answer_timeout,
        },
    }
}

fn endpoint_admin_client() -> HttpClient {
    HttpClient::new(HttpTimeouts::default())
}
