//! A small deployment with its stand-ins, and traffic of callers.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::{Call, Outcome, send, send_kept};
use crate::deploy::{Deployment, Network, Process};
use crate::engine::{Engine, LAYERS, MODEL, Plain};
use crate::http::Reader;
use crate::origin::{Origin, PIECE_BYTES, PIECES};
use crate::record::Record;
use crate::store::Store;

/// Hosts of the entry, of the first plain service and of the first engine.
const ENTRY: u8 = 1;
const PLAIN: u8 = 10;
const ENGINE: u8 = 20;
/// Memory of an entry, in MB, as on the sheets.
const MEMORY_MB: u64 = 260;
/// Time after which a killed process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Longest wait for a condition before the case counts as not run.
const WAIT_LIMIT: Duration = Duration::from_secs(25);

/// A request that has ended.
#[derive(Clone, Debug)]
pub struct Ended {
    pub id: String,
    pub sent_at: f64,
    pub route: &'static str,
    pub outcome: Outcome,
}

/// What the platform has seen of the entry's memory.
#[derive(Default)]
struct Memory {
    peak_mb: u64,
    /// Number of times that the entry was killed because it used more than it may.
    kills: u32,
}

pub struct Site {
    pub record: Arc<Record>,
    pub network: Network,
    pub store: Arc<Store>,
    pub origin: Arc<Origin>,
    pub engines: Vec<Arc<Engine>>,
    plain: Vec<Arc<Plain>>,
    /// The last desired state.
    config: String,
    pub deployment: Deployment,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    memory: Arc<Mutex<Memory>>,
    /// Watches the memory of the entry.
    watch: Option<JoinHandle<()>>,
    ended: Arc<Mutex<Vec<Ended>>>,
    open: Arc<AtomicU64>,
    sent: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    /// True once all traffic has ended.
    is_over: Arc<AtomicBool>,
}

impl Site {
    /// Starts the stand-ins, with `engines` engines that hold version 1 and two plain services.
    pub fn start(
        record: Arc<Record>,
        folder: &Path,
        engines: u8,
        event_step: u64,
        work: Duration,
    ) -> io::Result<Self> {
        let network = Network::free()?;
        record.say(&format!(
            "hosts are {} and its neighbours",
            network.ip(ENTRY)
        ));
        let store = Store::spawn(network.store())?;
        let origin = Origin::spawn(network.origin(0), record.clone())?;
        let deployment = Deployment::new(network, folder)?;
        let plain = (0..2).map(|n| {
            let service = ("plain", "zone-a");
            let addr = network.app(PLAIN + n);
            Plain::spawn(
                &format!("plain-{n}"),
                addr,
                service,
                work,
                &store,
                record.clone(),
            )
        });
        let plain = plain.collect::<io::Result<Vec<_>>>()?;
        let engines = (0..engines).map(|n| {
            let service = ("engines", "zone-a");
            let (store, record) = (store.clone(), record.clone());
            let addr = network.app(ENGINE + n);
            Engine::spawn(
                &format!("engine-{n}"),
                addr,
                service,
                event_step,
                store,
                record,
            )
        });
        let engines = engines.collect::<io::Result<Vec<_>>>()?;
        Ok(Self {
            record,
            network,
            store,
            origin,
            engines,
            plain,
            config: String::new(),
            deployment,
            entries: Vec::new(),
            agents: Vec::new(),
            memory: Arc::default(),
            watch: None,
            ended: Arc::default(),
            open: Arc::default(),
            sent: Arc::default(),
            stop: Arc::default(),
            is_over: Arc::default(),
        })
    }

    /// Writes a desired state that names this origin.
    pub fn declare(&mut self, version: u64, origin: SocketAddr) {
        let route = |name: &str, kind: &str, service: &str| {
            format!(
                r#"{{"name":"{name}","host":"site.example","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":6000,"goalMs":400,"priority":1,"service":"{service}","maxAttempts":2,"anonymous":false,"sticky":{},"resumable":{0},"gapGoalMs":300,"allowedRegions":[]}}"#,
                kind == "streaming"
            )
        };
        let config = format!(
            r#"{{"version":{version},"routes":[{},{},{}],"services":[{{"name":"engines","healthPath":"/health","maxConns":424,"protocol":"h1","tls":false,"coldS":3.0,"coldPerS":36.0,"engine":{{"slots":16,"kvTokens":1640000,"kvBytes":163840,"linkMbps":400000.0,"stride":6,"models":[{{"name":"{MODEL}","pace":1.0,"loadS":4.0,"warmS":0.3}}],"mb":282000.0,"step_ms":6.73,"per_seq_ms":0.0219,"context_per_k":0.0068,"read_per_s":30600.0,"pairs_per_m":0.647,"chunk":2048,"report_lag_ms":200.0,"usual":{{"prompt":100,"answer":72}},"layers":{LAYERS},"layer_mb":4540.0,"act_bytes":16384,"chunks":{PIECES},"chunkBytes":{PIECE_BYTES}}}}},{{"name":"plain","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}},{{"name":"weights","origin":"{origin}","zone":"zone-a","linkMbps":7.3,"maxConns":48}}],"limits":{{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000}},"tenants":[{{"name":"customer-1","apiKeys":["key-1"],"priority":1,"allowedRegions":[]}}]}}"#,
            route("chat", "streaming", "engines"),
            route("read", "idempotent", "plain"),
            route("write", "non_idempotent", "plain")
        );
        self.store.put("config", "main", &config);
        self.config = config;
        self.record.say(&format!(
            "desired state {version} is acknowledged, origin {origin}"
        ));
    }

    /// Writes a desired state in which bookings go to the new service, and starts that.
    pub fn move_bookings(&mut self, version: u64) -> io::Result<Arc<Plain>> {
        let addr = self.network.app(PLAIN + 2);
        let service = ("plain-new", "zone-a");
        let (store, record) = (&self.store, self.record.clone());
        let new = Plain::spawn(
            "new-0",
            addr,
            service,
            Duration::from_millis(30),
            store,
            record,
        )?;
        let config = self.config.clone();
        let config = config.replace("\"version\":1,", &format!("\"version\":{version},"));
        let (before, route) = config
            .split_once(r#"{"name":"write""#)
            .ok_or_else(|| io::Error::other("no route for bookings"))?;
        let route = route.replacen(
            r#""service":"plain""#,
            r#""backends":[{"service":"plain","weight":0},{"service":"plain-new","weight":100}]"#,
            1,
        );
        let route = route.replacen(
            r#"{"name":"weights""#,
            r#"{"name":"plain-new","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0},{"name":"weights""#,
            1,
        );
        let config = format!(r#"{before}{{"name":"write"{route}"#);
        self.store.put("config", "main", &config);
        self.record
            .say(&format!("desired state {version} is acknowledged: bookings go to plain-new, with weight 100; plain has weight 0"));
        Ok(new)
    }

    /// Writes a desired state that drops the callers' key for another one.
    pub fn drop_key(&mut self, version: u64) {
        let config = self
            .config
            .replace("\"version\":1,", &format!("\"version\":{version},"));
        let config = config.replace("\"key-1\"", "\"key-2\"");
        self.store.put("config", "main", &config);
        self.record.say(&format!(
            "desired state {version} is acknowledged: key-1 is dropped, key-2 is added"
        ));
    }

    /// Names a version of the weights.
    pub fn name_version(&self, version: u64) {
        let spec = format!(r#"{{"model":"{MODEL}","version":{version}}}"#);
        self.store.put("versions", MODEL, &spec);
        self.record.say(&format!(
            "version {version} of the weights is named and acknowledged"
        ));
    }

    /// Starts the entry and the agents.
    pub fn start_processes(&mut self) -> io::Result<()> {
        self.entries.push(self.deployment.entry(ENTRY)?);
        for n in 0..self.engines.len() as u8 {
            self.agents.push(self.deployment.agent(ENGINE + n)?);
        }
        for process in self.entries.iter().chain(&self.agents) {
            self.record.say(&format!(
                "{} starts, process {}",
                process.name(),
                process.id()
            ));
        }
        Ok(())
    }

    /// Kills the entry and the agents.
    pub fn kill_processes(&mut self) {
        for process in self.entries.iter_mut().chain(&mut self.agents) {
            process.kill();
        }
        self.record.say("all processes are killed");
        self.entries.clear();
        self.agents.clear();
    }

    /// Takes the origin off its address, and starts it at another one.
    pub fn move_origin(&mut self) -> io::Result<()> {
        self.origin.is_gone.store(true, Ordering::SeqCst);
        self.origin = Origin::spawn(self.network.origin(1), self.record.clone())?;
        self.record.say("the origin has moved");
        Ok(())
    }

    /// Kills the entry, as the platform does, when it uses more memory than its settings say, and starts
    /// it again.
    pub fn watch_memory(&mut self) {
        let (record, memory) = (self.record.clone(), self.memory.clone());
        let (deployment, is_over) = (self.deployment.clone(), self.is_over.clone());
        let Some(mut entry) = self.entries.pop() else {
            return;
        };
        self.watch = Some(thread::spawn(move || {
            while let Some(mb) = entry
                .memory_mb()
                .filter(|_| !is_over.load(Ordering::SeqCst))
            {
                let mut seen = memory.lock().unwrap_or_else(PoisonError::into_inner);
                seen.peak_mb = seen.peak_mb.max(mb);
                if mb > MEMORY_MB {
                    seen.kills += 1;
                    record.say(&format!(
                        "the entry uses {mb} MB of {MEMORY_MB} MB and is killed"
                    ));
                    entry.kill();
                    thread::sleep(RESTART_DELAY);
                    match deployment.entry(ENTRY) {
                        Ok(restarted) => entry = restarted,
                        Err(_) => return,
                    }
                }
                drop(seen);
                thread::sleep(Duration::from_millis(5));
            }
        }));
    }

    /// Largest memory of the entry, in MB.
    pub fn peak_memory_mb(&self) -> u64 {
        self.memory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .peak_mb
    }

    /// Number of times that the entry was killed because of its memory.
    pub fn memory_kills(&self) -> u32 {
        self.memory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .kills
    }

    /// Sends a booking on a new channel.
    pub fn book(&self, id: &str) -> Outcome {
        let call = Call {
            id,
            method: "POST",
            path: "/write/x",
            body: id.as_bytes(),
            patience: Duration::from_millis(2_500),
        };
        let outcome = send(self.front(), &call);
        self.record
            .line(&format!("caller: {id} on write: {outcome:?}"));
        outcome
    }

    /// True when a service of the first desired state has begun a request.
    pub fn has_run_at_plain(&self, id: &str) -> bool {
        self.plain.iter().any(|plain| plain.has_run(id))
    }

    /// True when an engine has begun a request.
    pub fn has_run(&self, id: &str) -> bool {
        self.engines.iter().any(|engine| engine.has_run(id))
            || self.plain.iter().any(|plain| plain.has_run(id))
    }

    /// Address that callers connect to.
    pub fn front(&self) -> SocketAddr {
        self.network.front(ENTRY)
    }

    /// Waits until the entry is ready and streams are served.
    pub fn wait_until_serving(&self) -> io::Result<()> {
        wait_until("the entry serves", || self.is_ready())?;
        let mut tries = 0;
        wait_until("streams are served", || {
            tries += 1;
            thread::sleep(Duration::from_millis(50));
            let id = format!("warm-{tries}");
            let call = Call {
                id: &id,
                method: "POST",
                path: "/chat/x",
                body: b"warm",
                patience: Duration::from_secs(6),
            };
            send(self.front(), &call).status == 200
        })
    }

    /// Sends `per_s` requests a second until the traffic is stopped; each `nth` is a read, the others are
    /// streams. With 0, each fifth is a stream, the others are reads.
    pub fn start_traffic(&self, per_s: u32, nth: u64) {
        let front = self.front();
        let (record, ended) = (self.record.clone(), self.ended.clone());
        let (open, sent, stop) = (self.open.clone(), self.sent.clone(), self.stop.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let number = sent.fetch_add(1, Ordering::SeqCst) + 1;
                let is_read = match nth {
                    0 => !number.is_multiple_of(5),
                    nth => number.is_multiple_of(nth),
                };
                let (route, method) = match is_read {
                    true => ("read", "GET"),
                    false => ("chat", "POST"),
                };
                let (record, ended, open) = (record.clone(), ended.clone(), open.clone());
                open.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let id = format!("req-{number}");
                    let sent_at = record.seconds();
                    let body = if route == "chat" {
                        id.clone().into_bytes()
                    } else {
                        Vec::new()
                    };
                    let call = Call {
                        id: &id,
                        method,
                        path: &format!("/{route}/x"),
                        body: &body,
                        patience: Duration::from_secs(6),
                    };
                    let outcome = send(front, &call);
                    record.line(&format!(
                        "caller: {id} on {route} sent at {sent_at:.3}: {outcome:?}"
                    ));
                    let mut ended = ended.lock().unwrap_or_else(PoisonError::into_inner);
                    ended.push(Ended {
                        id,
                        sent_at,
                        route,
                        outcome,
                    });
                    open.fetch_sub(1, Ordering::SeqCst);
                });
                thread::sleep(Duration::from_secs(1) / per_s);
            }
        });
        self.record
            .say(&format!("traffic starts, {per_s} requests a second"));
    }

    /// Starts callers that send bookings one after the other, each on a channel that it keeps.
    pub fn start_kept_traffic(&self, callers: usize) {
        for caller in 0..callers {
            let front = self.front();
            let (record, ended, stop) =
                (self.record.clone(), self.ended.clone(), self.stop.clone());
            let open = self.open.clone();
            open.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || {
                let mut channel = None;
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("kept-{caller}-{number}");
                    let sent_at = record.seconds();
                    let body = id.clone().into_bytes();
                    let call = Call {
                        id: &id,
                        method: "POST",
                        path: "/write/x",
                        body: &body,
                        patience: Duration::from_secs(6),
                    };
                    let outcome = send_kept(&mut channel, front, &call);
                    record.line(&format!(
                        "caller: {id} on write sent at {sent_at:.3}: {outcome:?}"
                    ));
                    if !outcome.is_whole {
                        channel = None;
                        thread::sleep(Duration::from_millis(200));
                    }
                    let mut ended = ended.lock().unwrap_or_else(PoisonError::into_inner);
                    ended.push(Ended {
                        id,
                        sent_at,
                        route: "write",
                        outcome,
                    });
                }
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
        self.record
            .say(&format!("{callers} callers send bookings on kept channels"));
    }

    /// Starts more entries.
    pub fn add_entries(&mut self, entries: u8) -> io::Result<()> {
        for n in 1..=entries {
            let entry = self.deployment.entry(ENTRY + n)?;
            self.record
                .say(&format!("{} starts, process {}", entry.name(), entry.id()));
            self.entries.push(entry);
        }
        Ok(())
    }

    /// Kills the last entries.
    pub fn lose_entries(&mut self, entries: usize) {
        for mut entry in self.entries.split_off(self.entries.len() - entries) {
            entry.kill();
            self.record.say(&format!("{} is lost", entry.name()));
        }
    }

    /// Opens channels to the first `entries` entries in turn, each for one request, and returns those that
    /// are kept.
    pub fn open_channels(&self, entries: u8, per_s: u32, time: Duration) -> Vec<Reader> {
        const WORKERS: u32 = 32;
        let workers = (0..WORKERS).map(|worker| {
            let (network, record) = (self.network, self.record.clone());
            thread::spawn(move || {
                let start = Instant::now();
                let mut kept = Vec::new();
                for number in 0.. {
                    let due = Duration::from_secs(1) * (number * WORKERS + worker) / per_s;
                    if due >= time {
                        return kept;
                    }
                    thread::sleep(due.saturating_sub(start.elapsed()));
                    let id = format!("channel-{worker}-{number}");
                    let call = read_call(&id, Duration::from_secs(1));
                    let front = network.front(ENTRY + (number % u32::from(entries)) as u8);
                    let mut channel = None;
                    let outcome = send_kept(&mut channel, front, &call);
                    record.line(&format!("caller: {id} on a new channel: {outcome:?}"));
                    kept.extend(channel.filter(|_| outcome.is_whole));
                }
                kept
            })
        });
        let workers: Vec<_> = workers.collect();
        workers
            .into_iter()
            .filter_map(|worker| worker.join().ok())
            .flatten()
            .collect()
    }

    /// Lets requesters try to open a channel again and again, each for a second; returns which were
    /// answered.
    pub fn try_channels(&self, requesters: usize, time: Duration) -> Vec<bool> {
        let tries = (0..requesters).map(|requester| {
            let (front, record) = (self.front(), self.record.clone());
            thread::spawn(move || {
                let start = Instant::now();
                let mut answered = Vec::new();
                while start.elapsed() < time {
                    let id = format!("try-{requester}-{}", answered.len());
                    let outcome = send(front, &read_call(&id, Duration::from_secs(1)));
                    record.line(&format!("caller: {id} on a new channel: {outcome:?}"));
                    answered.push(outcome.status != 0);
                    thread::sleep(Duration::from_millis(100));
                }
                answered
            })
        });
        let tries: Vec<_> = tries.collect();
        tries
            .into_iter()
            .filter_map(|tries| tries.join().ok())
            .flatten()
            .collect()
    }

    /// True when the entry answers the status check with 200.
    pub fn is_ready(&self) -> bool {
        let call = Call {
            id: "probe",
            method: "GET",
            path: "/limpetloom/ready",
            body: b"",
            patience: Duration::from_secs(1),
        };
        send(self.network.ready(ENTRY), &call).status == 200
    }

    /// Stops the traffic and returns all requests once they have ended.
    pub fn stop_traffic(&self) -> Vec<Ended> {
        self.stop.store(true, Ordering::SeqCst);
        let start = Instant::now();
        thread::sleep(Duration::from_millis(200));
        while self.open.load(Ordering::SeqCst) > 0 && start.elapsed() < Duration::from_secs(8) {
            thread::sleep(Duration::from_millis(20));
        }
        self.is_over.store(true, Ordering::SeqCst);
        self.record.say("traffic has ended");
        self.ended
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.is_over.store(true, Ordering::SeqCst);
        if let Some(watch) = self.watch.take() {
            let _ = watch.join();
        }
    }
}

/// A read of a caller.
fn read_call(id: &str, patience: Duration) -> Call<'_> {
    Call {
        id,
        method: "GET",
        path: "/read/x",
        body: b"",
        patience,
    }
}

/// Waits until a condition is true.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) -> io::Result<()> {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > WAIT_LIMIT {
            return Err(io::Error::other(format!("not so in time: {what}")));
        }
        thread::sleep(Duration::from_millis(2));
    }
    Ok(())
}

/// Sleeps until a time of the record, in seconds.
pub fn sleep_until(record: &Record, at: f64) {
    let left = at - record.seconds();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

/// Requests of a span of time: those served, and all.
pub fn served(ended: &[Ended], route: Option<&str>, from: f64, to: f64) -> (usize, usize) {
    let in_span = ended.iter().filter(|e| (from..to).contains(&e.sent_at));
    let of_route = in_span.filter(|e| route.is_none_or(|route| route == e.route));
    of_route.fold((0, 0), |(served, all), e| {
        (served + usize::from(e.outcome.is_served()), all + 1)
    })
}
