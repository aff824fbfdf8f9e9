//! Fake platform services, a fake entry, and an operator's files.

use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use argh::FromArgs;
use jsonrpsee::RpcModule;
use jsonrpsee::core::{RpcResult, async_trait};
pub use limpetloom::cli::Exit;
use limpetloom::cli::{Args, Output, run};
use limpetloom::config::Body;
use limpetloom::control::{ControlLimits, ControlServer};
use limpetloom::settings::Secret;
use limpetloom::wire::{EntryControlServer, EntryStatus, ProcessControlServer, StoreContact};
use limpetloom_fakes::hosts::{Host, Hosts, HostsConfig, Role};
use limpetloom_fakes::objects::{Objects, ObjectsConfig};
use limpetloom_fakes::origin::{Origin, OriginConfig};
use serde_json::{Value, json};

const TOKEN: &str = "0123456789abcdef";
pub const CONFIG_KEY: &str = "config/current";
pub const TARGETS: &str = "\
[site]
power = 12 kW
[zones]
names = a, b
[class chat]
target = llama
first_token = 0.89 s
power = 8 kW
[customer studio]
[model llama]
version = v1
";

/// Control server of an entry that is `behind` generations behind the stored configuration.
#[derive(Clone)]
struct FixedEntry {
    objects: Arc<Objects>,
    behind: u64,
}

#[async_trait]
impl EntryControlServer for FixedEntry {
    async fn status(&self) -> RpcResult<EntryStatus> {
        let newest = self
            .objects
            .peek(CONFIG_KEY)
            .map_or(0, |(version, _)| version);
        Ok(EntryStatus {
            entry: "entry-1".to_owned(),
            zone: "a".to_owned(),
            generation: newest.saturating_sub(self.behind),
            in_force: true,
            store: StoreContact {
                age_ms: 0,
                reachable: true,
                outages: Vec::new(),
                stamp_ms: None,
                echo_ms: None,
            },
            hosts: Vec::new(),
            classes: Vec::new(),
            quarantine: Vec::new(),
        })
    }
}

#[async_trait]
impl ProcessControlServer for FixedEntry {
    async fn dump(&self) -> RpcResult<Value> {
        Ok(json!({"entry": "entry-1"}))
    }
}

/// Fake platform services, a fake entry, and a folder with an operator's files.
pub struct Site {
    pub objects: Arc<Objects>,
    pub hosts: Hosts,
    pub weights: Origin,
    pub entry: ControlServer,
    pub folder: PathBuf,
}

impl Site {
    pub async fn new(behind: u64) -> Self {
        static SITES: AtomicU32 = AtomicU32::new(0);
        let site = SITES.fetch_add(1, Ordering::Relaxed);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("operator-{site}"));
        fs::create_dir_all(&folder).unwrap();
        let objects = Arc::new(Objects::spawn(ObjectsConfig::default()).unwrap());
        let entry = FixedEntry {
            objects: Arc::clone(&objects),
            behind,
        };
        let mut methods = RpcModule::new(());
        methods
            .merge(EntryControlServer::into_rpc(entry.clone()))
            .unwrap();
        methods
            .merge(ProcessControlServer::into_rpc(entry))
            .unwrap();
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let limits = ControlLimits::default();
        let entry = ControlServer::spawn(addr, Secret::new(TOKEN), limits, methods)
            .await
            .unwrap();
        let site = Self {
            objects,
            hosts: Hosts::spawn(HostsConfig::default()).unwrap(),
            weights: Origin::spawn(OriginConfig::default()).unwrap(),
            entry,
            folder,
        };
        site.add_host("entry-1", "a");
        site.weights.publish("llama", "v1", 1, 1_000, 400);
        site.weights.publish("llama", "v2", 2, 1_000, 400);
        site.write("targets.ini", TARGETS);
        site.write_settings(TOKEN);
        site
    }

    fn add_host(&self, name: &str, zone: &str) {
        self.hosts.add(Host {
            host: name.to_owned(),
            zone: zone.to_owned(),
            region: "r".to_owned(),
            role: Role::Entry,
            control: self.entry.addr(),
            traffic: self.entry.addr(),
            leaving: false,
        });
    }

    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.folder.join(name), text).unwrap();
    }

    pub fn write_settings(&self, token: &str) {
        let text = format!(
            "[platform]\nobject_api = http://{}\nhost_list = http://{}\n\
             weight_store = http://{}\norigin = http://{}\nstore_region = r\n\
             [security]\ntoken = {token}\n",
            self.objects.addr(),
            self.hosts.addr(),
            self.weights.addr(),
            self.weights.addr(),
        );
        self.write("limpetloom.ini", &text);
    }

    /// Runs a command line with `--settings` and, except for `dump`, `--json` appended. `TARGETS`
    /// stands for the path of the targets file.
    pub async fn run(&self, line: &str) -> (Exit, Value) {
        let targets = self.folder.join("targets.ini").display().to_string();
        let settings = self.folder.join("limpetloom.ini").display().to_string();
        let mut words: Vec<&str> = line
            .split_whitespace()
            .map(|word| if word == "TARGETS" { &*targets } else { word })
            .collect();
        words.extend(["--settings", &settings]);
        if words[0] != "dump" {
            words.push("--json");
        }
        self.run_words(&words).await
    }

    /// Runs a command with exactly these arguments, and returns its exit code and JSON output.
    pub async fn run_words(&self, words: &[&str]) -> (Exit, Value) {
        let args = Args::from_args(&["limpetloom"], words).unwrap();
        let buffer = Buffer::default();
        let mut out = Output::new(buffer.clone(), buffer.clone(), true, false);
        let exit = run(args.command, &mut out).await;
        let text = buffer.0.lock().unwrap().clone();
        (exit, serde_json::from_slice(&text).unwrap())
    }

    /// The stored configuration.
    pub fn body(&self) -> Body {
        let (_, value) = self.objects.peek(CONFIG_KEY).unwrap();
        Body::parse(&value).unwrap()
    }
}

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
