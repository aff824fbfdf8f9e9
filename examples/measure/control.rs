//! Cost of control for each host: slopes over the number of hosts.

use std::error::Error;
use std::fs;
use std::time::{Duration, Instant};

use limpetloom_fakes::hosts::{Host, Role};

use crate::Args;
use crate::common::{DelayProxy, Site};
use crate::report::{Report, Target};

/// Hosts of each step, entries included.
const STEPS: [usize; 4] = [25, 50, 100, 200];
const ENTRIES: usize = 6;
/// Agents of the plain service; the others serve the model.
const SERVICES: usize = 4;
/// Endpoints beside one agent at full size.
const ENDPOINTS: usize = 3;
/// Time until control has settled after the start, with the first placements written.
const SETTLE: Duration = Duration::from_secs(8);
const WINDOW: Duration = Duration::from_secs(5);
/// Clock ticks a second of the process times that the system reports.
const TICKS_PER_S: f64 = 100.0;
/// Hosts of the plan.
const PLAN_HOSTS: f64 = 390.0;
const MAX_CORE_SHARE: f64 = 0.033;
const MAX_MEMORY_MB: f64 = 32.0;
const MAX_BYTES_PER_S: f64 = 9_000.0;

type BoxError = Box<dyn Error + Send + Sync>;

/// Figures of one step, for the whole site.
#[derive(Clone, Copy, Debug)]
struct Step {
    hosts: f64,
    core_share: f64,
    memory_mb: f64,
    bytes_per_s: f64,
    calls_per_s: f64,
}

pub async fn run(args: &Args) -> Report {
    let mut report = Report::new("control");
    if let Err(e) = measure(args, &mut report).await {
        report.figure(format!("failed: {e}"), f64::NAN, "-", Target::None);
    }
    report
}

async fn measure(args: &Args, report: &mut Report) -> Result<(), BoxError> {
    let empty_mb = memory_mb()?;
    let mut steps = Vec::new();
    let hosts = args.hosts.map_or(STEPS.to_vec(), |hosts| vec![hosts]);
    for hosts in hosts {
        let mut step = step(args, hosts).await?;
        step.memory_mb -= empty_mb;
        add_step(report, hosts, &step);
        steps.push(step);
    }
    if steps.len() > 1 {
        add_fit(report, &steps);
    }
    Ok(())
}

async fn step(args: &Args, hosts: usize) -> Result<Step, BoxError> {
    let site = Site::builder()
        .zones(6)
        .regions(2)
        .entries(ENTRIES)
        .models(hosts - ENTRIES - SERVICES)
        .services(SERVICES)
        .preloaded()
        .seed(args.seed)
        .agent_settings(|_, settings| {
            let first = settings.endpoints[0].clone();
            settings.endpoints.extend((1..ENDPOINTS).map(|i| {
                let mut endpoint = first.clone();
                endpoint.name = format!("{}-{i}", first.name).into();
                endpoint
            }));
        })
        .start()
        .await?;
    let links = join_by_links(&site).await?;
    tokio::time::sleep(SETTLE).await;
    let bytes = || links.iter().map(DelayProxy::bytes).sum::<u64>() as f64;
    let calls = || site.objects.counters().calls() as f64;
    let (begin, cpu, sent, called) = (Instant::now(), cpu_seconds()?, bytes(), calls());
    tokio::time::sleep(WINDOW).await;
    let seconds = begin.elapsed().as_secs_f64();
    let step = Step {
        hosts: hosts as f64,
        core_share: (cpu_seconds()? - cpu) / seconds,
        memory_mb: memory_mb()?,
        bytes_per_s: (bytes() - sent) / seconds,
        calls_per_s: (calls() - called) / seconds,
    };
    drop(links);
    site.stop().await;
    Ok(step)
}

/// Puts a counting link before each agent's control listener.
async fn join_by_links(site: &Site) -> Result<Vec<DelayProxy>, BoxError> {
    let mut links = Vec::new();
    let models = site.models.iter().map(|seat| (&seat.agent, &seat.settings));
    let services = site
        .services
        .iter()
        .map(|seat| (&seat.agent, &seat.settings));
    for (agent, settings) in models.chain(services) {
        let Some(agent) = agent else { continue };
        let link = DelayProxy::spawn(agent.control(), Duration::ZERO).await?;
        let process = &settings.process;
        site.hosts.add(Host {
            host: process.host.to_string(),
            zone: process.zone.to_string(),
            region: process.region.to_string(),
            role: Role::Agent,
            control: link.addr(),
            traffic: agent.traffic(),
            leaving: false,
        });
        links.push(link);
    }
    Ok(links)
}

fn add_step(report: &mut Report, hosts: usize, step: &Step) {
    let agents = step.hosts - ENTRIES as f64;
    let mut add = |name, value, unit| {
        report.figure(format!("{name}_{hosts}"), value, unit, Target::None);
    };
    add("core_share_a_host", step.core_share / step.hosts, "cores");
    add("memory_a_host", step.memory_mb / step.hosts, "MB");
    add("bytes_an_agent", step.bytes_per_s / agents, "B/s");
    add("bytes_an_entry", step.bytes_per_s / ENTRIES as f64, "B/s");
    add("store_calls", step.calls_per_s, "calls/s");
}

/// Fits a line through the steps and gives what a host costs at the planned size.
fn add_fit(report: &mut Report, steps: &[Step]) {
    let core = slope(steps, |step| step.core_share);
    let memory = slope(steps, |step| step.memory_mb);
    let bytes = slope(steps, |step| step.bytes_per_s);
    let calls = slope(steps, |step| step.calls_per_s);
    report.figure(
        "core_slope",
        core,
        "cores/host",
        Target::AtMost(MAX_CORE_SHARE),
    );
    report.figure(
        "memory_slope",
        memory,
        "MB/host",
        Target::AtMost(MAX_MEMORY_MB),
    );
    report.figure(
        "bytes_slope",
        bytes,
        "B/s/host",
        Target::AtMost(MAX_BYTES_PER_S),
    );
    report.figure(
        "store_calls_slope",
        calls,
        "calls/s/host",
        Target::AtMost(0.01),
    );
    let all_bytes = bytes * (PLAN_HOSTS - ENTRIES as f64);
    let name = format!("bytes_an_entry_of_{ENTRIES}_at_{PLAN_HOSTS}");
    let target = Target::AtMost(MAX_BYTES_PER_S);
    report.figure(name, all_bytes / ENTRIES as f64, "B/s", target);
    let entries = (all_bytes / MAX_BYTES_PER_S).ceil();
    let name = format!("entries_within_budget_at_{PLAN_HOSTS}");
    report.figure(name, entries, "entries", Target::None);
}

/// Slope of the least-squares line over the number of hosts.
fn slope(steps: &[Step], value: impl Fn(&Step) -> f64) -> f64 {
    let count = steps.len() as f64;
    let mean_x = steps.iter().map(|step| step.hosts).sum::<f64>() / count;
    let mean_y = steps.iter().map(&value).sum::<f64>() / count;
    let shared: f64 = steps
        .iter()
        .map(|step| (step.hosts - mean_x) * (value(step) - mean_y))
        .sum();
    let spread: f64 = steps.iter().map(|step| (step.hosts - mean_x).powi(2)).sum();
    shared / spread
}

/// Processor time that this process has used, in seconds.
fn cpu_seconds() -> Result<f64, BoxError> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let (_, fields) = stat.rsplit_once(')').ok_or("no process name")?;
    let ticks = |index: usize| -> Result<f64, BoxError> {
        let field = fields
            .split_whitespace()
            .nth(index)
            .ok_or("too few fields")?;
        Ok(field.parse()?)
    };
    let (user, system) = (ticks(11)?, ticks(12)?);
    Ok((user + system) / TICKS_PER_S)
}

/// Resident memory of this process, in megabytes.
fn memory_mb() -> Result<f64, BoxError> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .ok_or("no resident size")?;
    let kib: f64 = line.trim().trim_end_matches("kB").trim().parse()?;
    Ok(kib * 1_024.0 / 1e6)
}
