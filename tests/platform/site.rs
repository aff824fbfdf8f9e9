//! A small deployment on loopback addresses: the fakes of the platform (store, origin, engines and
//! a plain service), an agent process for each engine, and one entry process.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use limpetloom_fakes::site::{SiteEngine, SiteEngineKind, SiteOrigin, SiteStore};
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

const BINARY: &str = env!("CARGO_BIN_EXE_limpetloom");
/// Port for callers. Ports are the same on every host; hosts differ by their loopback address.
const CALLER_PORT: u16 = 8_005;
/// Port of the readiness check.
const READINESS_PORT: u16 = 8_002;
/// Port of an engine or a plain endpoint.
const ENDPOINT_PORT: u16 = 8_001;
/// First port of the range for connections between processes; the next one serves the metrics.
const INTERNAL_PORT: u16 = 7_700;
/// Number of events in a complete stream.
pub const STREAM_EVENTS: u64 = 12;
/// Number of chunks in each version of the weights.
pub const CHUNKS_PER_VERSION: u64 = 8;
/// Time for which the settings say that the store keeps changes.
const HISTORY_TIME: Duration = Duration::from_secs(5);
/// Size above which the body of an answer is not read to its end.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Longest wait for a condition before the test fails.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A running deployment; dropping it kills its processes.
pub struct Site {
    pub store: SiteStore,
    pub origin: SiteOrigin,
    pub engines: Vec<SiteEngine>,
    pub plain_endpoints: Vec<SiteEngine>,
    pub entry: Option<Child>,
    agents: Vec<Child>,
    /// Second byte of the loopback addresses; unique to each test.
    network: u8,
    /// Limits of each process, as in the platform's settings.
    pub limits: Value,
    /// Holds the settings and the logs of the processes.
    folder: PathBuf,
}

/// An answer as a caller receives it.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// False when the connection ended before the body did, and for an oversized body.
    pub is_whole: bool,
}

impl Answer {
    /// Ids of the received events, in order.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.parse().unwrap()).collect()
    }
}

impl Site {
    /// Starts the fakes in the loopback network `127.network.0.0`, without entry and agents.
    pub fn start(network: u8, engines: u8) -> Self {
        let kind = SiteEngineKind::Model {
            events: STREAM_EVENTS,
            pieces: CHUNKS_PER_VERSION,
        };
        let addr = |host| SocketAddr::new(ip(network, host), ENDPOINT_PORT);
        let engines = (0..engines)
            .map(|n| SiteEngine::spawn(&format!("engine-{n}"), addr(20 + n), kind).unwrap())
            .collect();
        let plain_endpoints = (0..2)
            .map(|n| {
                let kind = SiteEngineKind::Plain;
                SiteEngine::spawn(&format!("plain-{n}"), addr(10 + n), kind).unwrap()
            })
            .collect();
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("platform-{network}"));
        fs::create_dir_all(&folder).unwrap();
        let site = Self {
            store: SiteStore::spawn().unwrap(),
            origin: SiteOrigin::spawn(CHUNKS_PER_VERSION).unwrap(),
            engines,
            plain_endpoints,
            entry: None,
            agents: Vec::new(),
            network,
            limits: json!({"linkMbps": 100.0}),
            folder,
        };
        site.list_servers();
        site
    }

    /// Starts everything with the first configuration, and waits until the entry answers streams.
    pub async fn start_serving(network: u8, engines: u8) -> Self {
        let mut site = Self::start(network, engines);
        site.declare(1, &["key-1"]);
        site.start_agents();
        site.start_entry();
        site.wait_until_ready().await;
        site.wait_until(|site| site.engines.iter().all(|e| e.version() == Some(1)))
            .await;
        // The agents then report to the entry which version the engines serve.
        site.wait_until_answered("chat").await;
        site
    }

    /// Writes an object of kind `servers` for each engine and plain endpoint.
    pub fn list_servers(&self) {
        for (n, engine) in self.engines.iter().enumerate() {
            let spec = engine.server_spec("engines", "zone-a");
            self.store.put("servers", &format!("engine-{n}"), spec);
        }
        for (n, endpoint) in self.plain_endpoints.iter().enumerate() {
            let spec = endpoint.server_spec("plain", "zone-a");
            self.store.put("servers", &format!("plain-{n}"), spec);
        }
    }

    /// Writes a configuration whose only customer has these keys.
    pub fn declare(&self, version: u64, keys: &[&str]) {
        self.declare_edited(version, keys, |_| {});
    }

    /// The same after `edit` has changed the configuration.
    pub fn declare_edited(&self, version: u64, keys: &[&str], edit: impl FnOnce(&mut Value)) {
        let route = |name: &str, kind: &str, service: &str| {
            json!({
                "name": name, "host": "site.example", "pathPrefix": format!("/{name}/"),
                "kind": kind, "timeoutMs": 6_000, "goalMs": 400, "priority": 1,
                "service": service, "maxAttempts": 2, "anonymous": false,
                "sticky": false, "resumable": kind == "streaming", "gapGoalMs": 300,
                "allowedRegions": [],
            })
        };
        let engine = json!({
            "slots": 16, "stride": 6, "models": [{"name": "m0", "pace": 1.0}],
            "step_ms": 6.73, "per_seq_ms": 0.02, "read_per_s": 30_600.0, "layers": 16,
            "usual": {"prompt": 964, "answer": 119},
        });
        let mut config = json!({
            "version": version,
            "routes": [
                route("chat", "streaming", "engines"),
                route("read", "idempotent", "plain"),
                route("write", "non_idempotent", "plain"),
            ],
            "services": [
                {"name": "engines", "maxConns": 400, "coldS": 3.0, "coldPerS": 36.0,
                 "engine": engine},
                {"name": "plain", "maxConns": 90, "coldS": 0.0, "coldPerS": 0.0},
                {"name": "weights", "origin": self.origin.addr().to_string()},
            ],
            "limits": {"headerBytes": 16_384, "bodyBytes": 4_194_304,
                       "headerMs": 3_000, "idleMs": 15_000},
            "tenants": [{"name": "customer-1", "apiKeys": keys, "priority": 1,
                         "allowedRegions": []}],
        });
        edit(&mut config);
        self.store.put("config", "main", config);
    }

    /// Starts the entry.
    pub fn start_entry(&mut self) {
        self.entry = Some(self.spawn_entry(ip(self.network, 1)));
    }

    /// Starts another entry, and returns the address that callers connect to. It runs until the
    /// returned process is dropped.
    pub fn start_other_entry(&self) -> (Child, SocketAddr) {
        let ip = ip(self.network, 2);
        (self.spawn_entry(ip), SocketAddr::new(ip, CALLER_PORT))
    }

    fn spawn_entry(&self, ip: IpAddr) -> Child {
        let listen = json!({
            "front": SocketAddr::new(ip, CALLER_PORT).to_string(),
            "readyAddr": SocketAddr::new(ip, READINESS_PORT).to_string(),
        });
        self.spawn_process("entry", ip, &listen, None)
    }

    /// Kills the entry and starts it again.
    pub async fn restart_entry(&mut self) {
        self.entry.as_mut().unwrap().kill().await.unwrap();
        self.start_entry();
        self.wait_until_ready().await;
    }

    /// Starts an agent for each engine.
    pub fn start_agents(&mut self) {
        for n in 0..self.engines.len() {
            let engine = self.engines[n].addr();
            let child = self.spawn_process("agent", engine.ip(), &json!({}), Some(engine));
            self.agents.push(child);
        }
    }

    /// Kills an agent and starts it again.
    pub async fn restart_agent(&mut self, n: usize) {
        self.agents[n].kill().await.unwrap();
        let engine = self.engines[n].addr();
        self.agents[n] = self.spawn_process("agent", engine.ip(), &json!({}), Some(engine));
    }

    fn spawn_process(
        &self,
        role: &str,
        ip: IpAddr,
        listen: &Value,
        engine: Option<SocketAddr>,
    ) -> Child {
        let settings = json!({
            "nodeName": format!("{role}-{ip}"), "role": role, "ip": ip.to_string(),
            "zone": "zone-a", "region": "north", "zones": {"zone-a": "north"},
            "listen": listen, "portRange": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "limits": self.limits, "app": engine.map(|addr| addr.to_string()),
            "platform": {"address": self.store.addr().to_string(),
                         "historyS": HISTORY_TIME.as_secs_f64()},
            "bounds": {"drainMs": 2_000, "graceS": 8, "version_ms": 2_500},
        });
        let path = self.folder.join(format!("{role}-{ip}.json"));
        fs::write(&path, settings.to_string()).unwrap();
        let log = fs::File::create(self.folder.join(format!("{role}-{ip}.log"))).unwrap();
        Command::new(BINARY)
            .args(["platform", role])
            .env("LIMPETLOOM_SETTINGS", path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .kill_on_drop(true)
            .spawn()
            .unwrap()
    }

    /// Log of the entry so far.
    pub fn entry_log(&self) -> String {
        let name = format!("entry-{}.log", ip(self.network, 1));
        fs::read_to_string(self.folder.join(name)).unwrap()
    }

    /// Lines of the entry's log with the number of an event.
    pub fn entry_events(&self, number: u64) -> Vec<Value> {
        let log = self.entry_log();
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines
            .filter(|line: &Value| line["event"] == number)
            .collect()
    }

    /// Most memory that the entry has used at any time, in bytes.
    pub fn entry_peak_memory(&self) -> u64 {
        peak_memory(self.entry.as_ref().unwrap())
    }

    /// Most memory that an agent has used at any time, in bytes.
    pub fn agent_peak_memory(&self, n: usize) -> u64 {
        peak_memory(&self.agents[n])
    }

    /// Sends the entry a signal, given as an option of `kill` such as `-TERM`.
    pub async fn signal_entry(&self, signal: &str) {
        let id = self.entry.as_ref().and_then(Child::id).unwrap().to_string();
        let sent = Command::new("kill").args([signal, &id]).status().await;
        assert!(sent.unwrap().success());
    }

    /// Status of the load balancer's readiness check; `None` when the entry does not answer.
    pub async fn readiness(&self) -> Option<StatusCode> {
        let addr = SocketAddr::new(ip(self.network, 1), READINESS_PORT);
        let req = request("GET", "/limpetloom/ready", "ready");
        Some(send(addr, req).await?.status)
    }

    /// Waits until the entry is ready.
    pub async fn wait_until_ready(&self) {
        let start = tokio::time::Instant::now();
        while self.readiness().await != Some(StatusCode::OK) {
            assert!(start.elapsed() < WAIT_LIMIT, "the entry is not ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Metrics of the entry.
    pub async fn entry_metrics(&self) -> String {
        scrape(ip(self.network, 1)).await
    }

    /// Output of `limpetloom explain` for a request of a customer that goes to the entry.
    pub async fn explain(&self, path: &str, customer: &str) -> String {
        let addr = SocketAddr::new(ip(self.network, 1), INTERNAL_PORT + 1).to_string();
        let output = Command::new(BINARY)
            .args(["explain", &addr, "--host", "site.example", "--path", path])
            .args(["--customer", customer, "--prompt", "1000"])
            .output();
        String::from_utf8(output.await.unwrap().stdout).unwrap()
    }

    /// Metrics of an agent.
    pub async fn agent_metrics(&self, n: usize) -> String {
        scrape(self.engines[n].addr().ip()).await
    }

    /// Address from which an agent serves chunks to others.
    pub fn agent_addr(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.engines[n].addr().ip(), INTERNAL_PORT)
    }

    /// Waits until a condition is true; panics after `WAIT_LIMIT`.
    pub async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        let start = tokio::time::Instant::now();
        while !condition(self) {
            assert!(start.elapsed() < WAIT_LIMIT, "the condition is still false");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until a request on the route succeeds.
    pub async fn wait_until_answered(&self, route: &str) {
        let start = tokio::time::Instant::now();
        while self.call(route).await.status != StatusCode::OK {
            assert!(start.elapsed() < WAIT_LIMIT, "no request succeeded");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Address that callers connect to.
    pub fn caller_addr(&self) -> SocketAddr {
        SocketAddr::new(ip(self.network, 1), CALLER_PORT)
    }

    /// Sends a valid request on a route.
    pub async fn call(&self, route: &str) -> Answer {
        self.call_with_id(route, "request-1").await
    }

    /// Sends a valid request with the given request id on a route.
    pub async fn call_with_id(&self, route: &str, id: &str) -> Answer {
        let method = if route == "read" { "GET" } else { "POST" };
        let req = request(method, &format!("/{route}/x?y=1"), id);
        send(self.caller_addr(), req).await.unwrap()
    }
}

/// Most memory that a process has used at any time, in bytes.
fn peak_memory(process: &Child) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id().unwrap())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.unwrap().trim().strip_suffix(" kB").unwrap();
    kilobytes.parse::<u64>().unwrap() * 1024
}

/// Fetches the metrics of the process on a host.
async fn scrape(ip: IpAddr) -> String {
    let req = request("GET", "/metrics", "scrape");
    let answer = send(SocketAddr::new(ip, INTERNAL_PORT + 1), req)
        .await
        .unwrap();
    String::from_utf8(answer.body.to_vec()).unwrap()
}

/// Address of a host: 1 is the entry, 2 the other one, 10 and 11 are the plain endpoints, and from 20 on each host
/// has an engine and its agent.
fn ip(network: u8, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network, 0, host))
}

/// A valid request of `customer-1`, with a forged `tenant` header that the entry has to replace.
pub fn request(method: &str, path: &str, id: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "site.example")
        .header("request-id", id)
        .header("deadline-ms", "6000")
        .header("authorization", "Token key-1")
        .header("token-usage", "100,72")
        .header("tenant", "somebody-else")
        .body(Full::new(Bytes::from(format!("body of {id}"))))
        .unwrap()
}

/// Sends a request on a new connection and reads its answer without keeping it. False when it was
/// incomplete.
pub async fn discard(addr: SocketAddr, req: Request<Full<Bytes>>) -> bool {
    let Some(mut answer) = open(addr, req).await else {
        return false;
    };
    loop {
        match answer.body_mut().frame().await {
            None => return true,
            Some(Ok(_)) => {}
            Some(Err(_)) => return false,
        }
    }
}

/// Sends a request on a new connection; `None` when no response head arrives.
async fn open(addr: SocketAddr, req: Request<Full<Bytes>>) -> Option<Response<Incoming>> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    sender.send_request(req).await.ok()
}

/// Sends a request on a new connection; `None` when no response head arrives.
pub async fn send(addr: SocketAddr, req: Request<Full<Bytes>>) -> Option<Answer> {
    let (head, mut body) = open(addr, req).await?.into_parts();
    let mut bytes = Vec::new();
    let is_whole = loop {
        match body.frame().await {
            None => break true,
            Some(Ok(_)) if bytes.len() > MAX_BODY_BYTES => break false,
            Some(Ok(frame)) => bytes.extend(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => break false,
        }
    };
    Some(Answer {
        status: head.status,
        headers: head.headers,
        body: bytes.into(),
        is_whole,
    })
}
