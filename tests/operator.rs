//! Commands of operators against the stand-ins.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use argh::FromArgs;
use jsonrpsee::RpcModule;
use jsonrpsee::core::{RpcResult, async_trait};
use limpetloom::cli::{Args, Exit, Output, run};
use limpetloom::config::Body;
use limpetloom::control::{ControlLimits, ControlServer};
use limpetloom::settings::Secret;
use limpetloom::wire::{EntryControlServer, EntryStatus, ProcessControlServer, StoreContact};
use limpetloom_fakes::hosts::{Host, Hosts, HostsConfig, Role};
use limpetloom_fakes::objects::{Objects, ObjectsConfig, Outage};
use limpetloom_fakes::origin::{Origin, OriginConfig};
use rstest::rstest;
use serde_json::{Value, json};

const TOKEN: &str = "0123456789abcdef";
const CONFIG_KEY: &str = "config/current";
const TARGETS: &str = "\
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

/// An entry that holds the newest generation, or one some generations behind.
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

/// The platform's stand-ins, one entry, and an operator's files.
struct Site {
    objects: Arc<Objects>,
    hosts: Hosts,
    weights: Origin,
    entry: ControlServer,
    folder: PathBuf,
}

impl Site {
    async fn new(behind: u64) -> Self {
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
        site.list("entry-1", "a");
        site.weights.publish("llama", "v1", 1, 1_000, 400);
        site.weights.publish("llama", "v2", 2, 1_000, 400);
        site.write("targets.ini", TARGETS);
        site.write_settings(TOKEN);
        site
    }

    fn list(&self, name: &str, zone: &str) {
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

    fn write(&self, name: &str, text: &str) {
        fs::write(self.folder.join(name), text).unwrap();
    }

    fn write_settings(&self, token: &str) {
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

    /// Runs a command line; `TARGETS` stands for the targets file, and the settings are added.
    async fn run(&self, line: &str) -> (Exit, Value) {
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
        let args = Args::from_args(&["limpetloom"], &words).unwrap();
        let buffer = Buffer::default();
        let mut out = Output::new(buffer.clone(), buffer.clone(), true, false);
        let exit = run(args.command, &mut out).await;
        let text = buffer.0.lock().unwrap().clone();
        (exit, serde_json::from_slice(&text).unwrap())
    }

    fn body(&self) -> Body {
        let (_, value) = self.objects.peek(CONFIG_KEY).unwrap();
        Body::parse(&value).unwrap()
    }
}

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[tokio::test]
async fn targets_are_applied_compared_and_applied_again_without_a_write() {
    let site = Site::new(0).await;
    assert_eq!(site.run("diff TARGETS").await.0, Exit::Differs);
    let (exit, report) = site.run("apply TARGETS").await;
    assert_eq!((exit, &report["in_force"]), (Exit::Done, &json!(true)));
    assert_eq!(site.body().targets.models[0].manifest.len(), 64);
    assert_eq!(site.run("diff TARGETS").await.0, Exit::Done);
    assert_eq!(site.run("apply TARGETS").await.0, Exit::Done);
    assert_eq!(site.objects.counters().written, 1);
}

#[tokio::test]
async fn an_unknown_version_is_refused_and_nothing_is_written() {
    let site = Site::new(0).await;
    site.write("targets.ini", &TARGETS.replace("v1", "v9"));
    let (exit, report) = site.run("apply TARGETS").await;
    assert_eq!((exit, &report["code"]), (Exit::Refused, &json!(4012)));
    assert_eq!(site.objects.counters().writes, 0);
}

#[tokio::test]
async fn a_faulty_file_is_refused_before_any_call() {
    let site = Site::new(0).await;
    site.write("targets.ini", &TARGETS.replace("8 kW", "80 kW"));
    let (exit, report) = site.run("apply TARGETS").await;
    assert_eq!((exit, &report["code"]), (Exit::FileRefused, &json!(4006)));
    assert_eq!(site.objects.counters().calls(), 0);
}

#[tokio::test]
async fn a_lost_answer_to_a_write_that_took_effect_is_settled() {
    let site = Site::new(0).await;
    site.objects.faults(|faults| faults.lose_next = 1);
    assert_eq!(site.run("apply TARGETS").await.0, Exit::Done);
    assert_eq!(site.objects.counters().written, 1);
}

#[tokio::test]
async fn the_loser_of_a_race_is_told_with_a_diff_and_writes_nothing() {
    let site = Site::new(0).await;
    site.run("apply TARGETS").await;
    let mut rival = site.body();
    rival.targets.site_power += 1_000_000;
    rival.writers.insert(0, "rival".into());
    site.objects.poke(CONFIG_KEY, &rival.to_value());
    // The operator still reads what stood before the rival's write.
    site.objects.faults(|faults| faults.stale_writes = 1);
    site.write("targets.ini", &TARGETS.replace("v1", "v2"));
    let objects = Arc::clone(&site.objects);
    tokio::spawn(async move {
        while objects.counters().conflicts == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        objects.faults(|faults| faults.stale_writes = 0);
    });
    let (exit, report) = site.run("apply TARGETS").await;
    assert_eq!((exit, &report["code"]), (Exit::Refused, &json!(4011)));
    assert_eq!(report["detail"]["theirs"][0]["key"], json!("site.power"));
    let own = report["detail"]["ours"].as_array().unwrap();
    assert!(
        own.iter()
            .any(|change| change["key"] == "model llama.version")
    );
    assert_eq!(site.body(), rival);
}

#[rstest]
#[case::refused(Outage::Unavailable, Exit::Unreachable, 5001)]
#[case::cut(Outage::Cut, Exit::Unreachable, 5001)]
#[tokio::test]
async fn nothing_is_accepted_in_an_outage(
    #[case] outage: Outage,
    #[case] expected: Exit,
    #[case] code: u16,
) {
    let site = Site::new(0).await;
    site.objects.faults(|faults| faults.outage = outage);
    let (exit, report) = site.run("apply TARGETS").await;
    assert_eq!((exit, &report["code"]), (expected, &json!(code)));
    assert!(site.objects.peek(CONFIG_KEY).is_none());
}

#[tokio::test]
async fn a_process_that_lags_is_named() {
    let site = Site::new(1).await;
    let (exit, report) = site.run("apply TARGETS --wait 100ms").await;
    assert_eq!(exit, Exit::NotInForce);
    assert_eq!(report["in_force"], json!(false));
    assert_eq!(report["lagging"][0]["host"], json!("entry-1"));
}

#[tokio::test]
async fn a_zone_goes_out_and_back_and_survives_an_apply() {
    let site = Site::new(0).await;
    assert_eq!(site.run("zone out a").await.0, Exit::Refused);
    site.run("apply TARGETS").await;
    assert_eq!(site.run("zone out a").await.0, Exit::Done);
    assert_eq!(site.run("zone out b").await.0, Exit::Refused);
    assert_eq!(site.run("zone out nowhere").await.0, Exit::Refused);
    site.write("targets.ini", &TARGETS.replace("v1", "v2"));
    assert_eq!(site.run("apply TARGETS").await.0, Exit::Done);
    assert!(site.body().targets.zones_out.contains("a"));
    assert_eq!(site.run("zone in a").await.0, Exit::Done);
    assert!(site.body().targets.zones_out.is_empty());
}

#[tokio::test]
async fn status_and_dump_show_the_processes() {
    let site = Site::new(0).await;
    site.run("apply TARGETS").await;
    let (exit, view) = site.run("status").await;
    assert_eq!((exit, &view["store_answers"]), (Exit::Done, &json!(true)));
    assert_eq!(view["classes"][0]["first_token_target_ms"], json!(890));
    let address = site.entry.addr();
    let (exit, dump) = site.run(&format!("dump {address}")).await;
    assert_eq!((exit, &dump["entry"]), (Exit::Done, &json!("entry-1")));
}

#[tokio::test]
async fn a_wrong_token_shows_nothing() {
    let site = Site::new(0).await;
    site.write_settings("fedcba9876543210");
    let address = site.entry.addr();
    let (exit, report) = site.run(&format!("dump {address}")).await;
    assert_eq!((exit, &report["code"]), (Exit::Unreachable, &json!(5004)));
    let (exit, report) = site.run("apply TARGETS --wait 100ms").await;
    assert_eq!(exit, Exit::NotInForce, "{report}");
}
