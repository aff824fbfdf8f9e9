//! A small site: a store, an origin, engines with agents, a plain service and one entry.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use limpetloom_fakes::site::{SiteEngine, SiteEngineKind, SiteOrigin, SiteStore};
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

const BINARY: &str = env!("CARGO_BIN_EXE_limpetloom");
/// Ports of every host; hosts differ by their loopback address.
const FRONT: u16 = 8_005;
const READY: u16 = 8_002;
const APP: u16 = 8_001;
const INNER: u16 = 7_700;
/// Events of a whole stream, and pieces of a version.
pub const EVENTS: u64 = 12;
pub const PIECES: u64 = 8;
/// Longest wait for something that has to happen.
const LIMIT: Duration = Duration::from_secs(30);

/// A site; dropping it ends its processes.
pub struct Site {
    pub store: SiteStore,
    pub origin: SiteOrigin,
    pub engines: Vec<SiteEngine>,
    pub desk: Vec<SiteEngine>,
    pub entry: Option<Child>,
    agents: Vec<Child>,
    network: u8,
    folder: PathBuf,
}

/// An answer as a caller sees it.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// False when the connection ended before the body did.
    pub is_whole: bool,
}

impl Answer {
    /// Numbers of the events.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.parse().unwrap()).collect()
    }
}

impl Site {
    /// Starts stand-ins in a loopback network of their own, `127.network.0.0`.
    pub fn start(network: u8, engines: u8) -> Self {
        let kind = SiteEngineKind::Model {
            events: EVENTS,
            pieces: PIECES,
        };
        let at = |host| SocketAddr::new(ip(network, host), APP);
        let engines = (0..engines)
            .map(|n| SiteEngine::spawn(&format!("engine-{n}"), at(20 + n), kind).unwrap())
            .collect();
        let desk = (0..2)
            .map(|n| {
                let kind = SiteEngineKind::Plain;
                SiteEngine::spawn(&format!("desk-{n}"), at(10 + n), kind).unwrap()
            })
            .collect();
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("platform-{network}"));
        fs::create_dir_all(&folder).unwrap();
        let site = Self {
            store: SiteStore::spawn().unwrap(),
            origin: SiteOrigin::spawn(PIECES).unwrap(),
            engines,
            desk,
            entry: None,
            agents: Vec::new(),
            network,
            folder,
        };
        site.list();
        site
    }

    /// Starts everything, with the first configuration in force, and waits until engines serve.
    pub async fn serving(network: u8, engines: u8) -> Self {
        let mut site = Self::start(network, engines);
        site.declare(1, &["key-1"]);
        site.start_agents();
        site.start_entry();
        site.until_ready().await;
        site.until(|site| site.engines.iter().all(|e| e.version() == Some(1)))
            .await;
        // The entry hears of it from the agents.
        site.until_answered("chat").await;
        site
    }

    /// Writes the list of servers.
    pub fn list(&self) {
        for (n, engine) in self.engines.iter().enumerate() {
            let entry = engine.server_spec("engines", "zone-a");
            self.store.put("servers", &format!("engine-{n}"), entry);
        }
        for (n, desk) in self.desk.iter().enumerate() {
            let entry = desk.server_spec("desk", "zone-a");
            self.store.put("servers", &format!("desk-{n}"), entry);
        }
    }

    /// Writes a configuration.
    pub fn declare(&self, version: u64, keys: &[&str]) {
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
        let config = json!({
            "version": version,
            "routes": [
                route("chat", "streaming", "engines"),
                route("look", "idempotent", "desk"),
                route("hold", "non_idempotent", "desk"),
            ],
            "services": [
                {"name": "engines", "maxConns": 400, "coldS": 3.0, "coldPerS": 36.0,
                 "engine": engine},
                {"name": "desk", "maxConns": 90, "coldS": 0.0, "coldPerS": 0.0},
                {"name": "weights", "origin": self.origin.addr().to_string()},
            ],
            "limits": {"headerBytes": 16_384, "bodyBytes": 4_194_304,
                       "headerMs": 3_000, "idleMs": 15_000},
            "tenants": [{"name": "studio", "apiKeys": keys, "priority": 1,
                         "allowedRegions": []}],
        });
        self.store.put("config", "main", config);
    }

    /// Starts the entry.
    pub fn start_entry(&mut self) {
        let ip = ip(self.network, 1);
        let listen = json!({
            "front": SocketAddr::new(ip, FRONT).to_string(),
            "readyAddr": SocketAddr::new(ip, READY).to_string(),
        });
        let child = self.process("entry", ip, &listen, None);
        self.entry = Some(child);
    }

    /// Starts an agent beside each engine.
    pub fn start_agents(&mut self) {
        for n in 0..self.engines.len() {
            let engine = self.engines[n].addr();
            let child = self.process("agent", engine.ip(), &json!({}), Some(engine));
            self.agents.push(child);
        }
    }

    /// Kills an agent and starts it again.
    pub async fn restart_agent(&mut self, n: usize) {
        self.agents[n].kill().await.unwrap();
        let engine = self.engines[n].addr();
        self.agents[n] = self.process("agent", engine.ip(), &json!({}), Some(engine));
    }

    fn process(&self, role: &str, ip: IpAddr, listen: &Value, app: Option<SocketAddr>) -> Child {
        let settings = json!({
            "nodeName": format!("{role}-{ip}"), "role": role, "ip": ip.to_string(),
            "zone": "zone-a", "region": "north", "zones": {"zone-a": "north"},
            "listen": listen, "portRange": [INNER, INNER + 15],
            "limits": {"linkMbps": 100.0}, "app": app.map(|app| app.to_string()),
            "platform": {"address": self.store.addr().to_string()},
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

    /// What the entry has logged.
    pub fn entry_log(&self) -> String {
        let name = format!("entry-{}.log", ip(self.network, 1));
        fs::read_to_string(self.folder.join(name)).unwrap()
    }

    /// Sends a signal to the entry.
    pub async fn signal_entry(&self, signal: &str) {
        let id = self.entry.as_ref().and_then(Child::id).unwrap().to_string();
        let sent = Command::new("kill").args([signal, &id]).status().await;
        assert!(sent.unwrap().success());
    }

    /// Status of the balancer's question; `None` when nobody answers.
    pub async fn ready(&self) -> Option<StatusCode> {
        let addr = SocketAddr::new(ip(self.network, 1), READY);
        let req = request("GET", "/limpetloom/ready", "ready");
        Some(send(addr, req).await?.status)
    }

    pub async fn until_ready(&self) {
        let start = tokio::time::Instant::now();
        while self.ready().await != Some(StatusCode::OK) {
            assert!(start.elapsed() < LIMIT, "never ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Metrics of the entry.
    pub async fn entry_metrics(&self) -> String {
        scrape(ip(self.network, 1)).await
    }

    /// Metrics of an agent.
    pub async fn agent_metrics(&self, n: usize) -> String {
        scrape(self.engines[n].addr().ip()).await
    }

    /// Waits until something holds.
    pub async fn until(&self, holds: impl Fn(&Self) -> bool) {
        let start = tokio::time::Instant::now();
        while !holds(self) {
            assert!(start.elapsed() < LIMIT, "waited in vain");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until a route answers with success.
    pub async fn until_answered(&self, route: &str) {
        let start = tokio::time::Instant::now();
        while self.call(route).await.status != StatusCode::OK {
            assert!(start.elapsed() < LIMIT, "never answered");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Address that callers connect to.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(ip(self.network, 1), FRONT)
    }

    /// Sends a proper request on a route.
    pub async fn call(&self, route: &str) -> Answer {
        self.call_as(route, "caller-1").await
    }

    /// Sends a proper request on a route under a name.
    pub async fn call_as(&self, route: &str, name: &str) -> Answer {
        let method = if route == "look" { "GET" } else { "POST" };
        let req = request(method, &format!("/{route}/x?y=1"), name);
        send(self.front(), req).await.unwrap()
    }
}

async fn scrape(ip: IpAddr) -> String {
    let req = request("GET", "/metrics", "scrape");
    let answer = send(SocketAddr::new(ip, INNER + 1), req).await.unwrap();
    String::from_utf8(answer.body.to_vec()).unwrap()
}

fn ip(network: u8, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network, 0, host))
}

/// A proper request.
pub fn request(method: &str, path: &str, name: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "site.example")
        .header("request-id", name)
        .header("deadline-ms", "6000")
        .header("authorization", "Token key-1")
        .header("token-usage", "100,72")
        .header("tenant", "somebody-else")
        .body(Full::new(Bytes::from(format!("body of {name}"))))
        .unwrap()
}

/// Sends a request on a connection of its own; `None` when nobody answers.
pub async fn send(addr: SocketAddr, req: Request<Full<Bytes>>) -> Option<Answer> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let (head, mut body) = sender.send_request(req).await.ok()?.into_parts();
    let mut bytes = Vec::new();
    let is_whole = loop {
        match body.frame().await {
            None => break true,
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
