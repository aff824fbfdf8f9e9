//! Measures what each further host costs in processor time, memory, control traffic and object API
//! calls: the slope of each over the number of hosts.

use std::error::Error;
use std::fs;
use std::time::{Duration, Instant};

use limpetloom_fakes::hosts::{Host, Role};

use crate::Args;
use crate::common::{DelayProxy, Site};
use crate::report::{Report, Target};

/// Numbers of hosts of the sites that are measured, entries included.
const SITE_SIZES: [usize; 4] = [25, 50, 100, 200];
const ENTRIES: usize = 6;
/// Agents that serve the plain service; the others serve the model.
const SERVICE_AGENTS: usize = 4;
/// Number of endpoints of each agent, as in a site of the planned size.
const ENDPOINTS_PER_AGENT: usize = 3;
/// Time after the start by which the first placements are written and control traffic is steady.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Time over which processor time, traffic and calls are counted.
const MEASURE_TIME: Duration = Duration::from_secs(5);
/// Clock ticks per second, the unit of the process times in `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Hosts of a site of the planned size.
const PLANNED_HOSTS: f64 = 390.0;
const MAX_CORES_PER_HOST: f64 = 0.033;
const MAX_MEMORY_MB_PER_HOST: f64 = 32.0;
/// Maximum control traffic of an entry, and of each further host.
const MAX_BYTES_PER_S: f64 = 9_000.0;

type BoxError = Box<dyn Error + Send + Sync>;

/// What one site of a given size costs in total.
#[derive(Clone, Copy, Debug)]
struct SiteCost {
    hosts: f64,
    cores: f64,
    memory_mb: f64,
    bytes_per_s: f64,
    calls_per_s: f64,
}

pub async fn run(args: &Args) -> Report {
    let mut report = Report::new("control");
    if let Err(e) = measure(args, &mut report).await {
        report.record(format!("failed: {e}"), f64::NAN, "-", Target::None);
    }
    report
}

async fn measure(args: &Args, report: &mut Report) -> Result<(), BoxError> {
    let empty_mb = memory_mb()?;
    let mut costs = Vec::new();
    let hosts = args.hosts.map_or(SITE_SIZES.to_vec(), |hosts| vec![hosts]);
    for hosts in hosts {
        let mut cost = measure_site(args, hosts).await?;
        cost.memory_mb -= empty_mb;
        record_cost(report, hosts, &cost);
        costs.push(cost);
    }
    if costs.len() > 1 {
        record_slopes(report, &costs);
    }
    Ok(())
}

async fn measure_site(args: &Args, hosts: usize) -> Result<SiteCost, BoxError> {
    let site = Site::builder()
        .zones(6)
        .regions(2)
        .entries(ENTRIES)
        .models(hosts - ENTRIES - SERVICE_AGENTS)
        .services(SERVICE_AGENTS)
        .preloaded()
        .seed(args.seed)
        .agent_settings(|_, settings| {
            let first = settings.endpoints[0].clone();
            settings.endpoints.extend((1..ENDPOINTS_PER_AGENT).map(|i| {
                let mut endpoint = first.clone();
                endpoint.name = format!("{}-{i}", first.name).into();
                endpoint
            }));
        })
        .start()
        .await?;
    let proxies = relist_agents_behind_proxies(&site).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let count_bytes = || proxies.iter().map(DelayProxy::bytes).sum::<u64>() as f64;
    let count_calls = || site.objects.counters().calls() as f64;
    let (start, cpu, sent, called) = (Instant::now(), cpu_seconds()?, count_bytes(), count_calls());
    tokio::time::sleep(MEASURE_TIME).await;
    let seconds = start.elapsed().as_secs_f64();
    let cost = SiteCost {
        hosts: hosts as f64,
        cores: (cpu_seconds()? - cpu) / seconds,
        memory_mb: memory_mb()?,
        bytes_per_s: (count_bytes() - sent) / seconds,
        calls_per_s: (count_calls() - called) / seconds,
    };
    drop(proxies);
    site.stop().await;
    Ok(cost)
}

/// Replaces each agent's control address in the host list by that of a proxy that counts bytes.
async fn relist_agents_behind_proxies(site: &Site) -> Result<Vec<DelayProxy>, BoxError> {
    let mut proxies = Vec::new();
    let models = site
        .models
        .iter()
        .map(|model| (&model.agent, &model.settings));
    let services = site
        .services
        .iter()
        .map(|service| (&service.agent, &service.settings));
    for (agent, settings) in models.chain(services) {
        let Some(agent) = agent else { continue };
        let proxy = DelayProxy::spawn(agent.control(), Duration::ZERO).await?;
        let process = &settings.process;
        site.hosts.add(Host {
            host: process.host.to_string(),
            zone: process.zone.to_string(),
            region: process.region.to_string(),
            role: Role::Agent,
            control: proxy.addr(),
            traffic: agent.traffic(),
            leaving: false,
        });
        proxies.push(proxy);
    }
    Ok(proxies)
}

fn record_cost(report: &mut Report, hosts: usize, cost: &SiteCost) {
    let agents = cost.hosts - ENTRIES as f64;
    let mut add = |name, value, unit| {
        report.record(format!("{name}_{hosts}"), value, unit, Target::None);
    };
    add("core_share_a_host", cost.cores / cost.hosts, "cores");
    add("memory_a_host", cost.memory_mb / cost.hosts, "MB");
    add("bytes_an_agent", cost.bytes_per_s / agents, "B/s");
    add("bytes_an_entry", cost.bytes_per_s / ENTRIES as f64, "B/s");
    add("store_calls", cost.calls_per_s, "calls/s");
}

/// Records the cost of each further host, and the control traffic of an entry and the number of
/// entries needed at the planned size.
fn record_slopes(report: &mut Report, costs: &[SiteCost]) {
    let core = slope(costs, |cost| cost.cores);
    let memory = slope(costs, |cost| cost.memory_mb);
    let bytes = slope(costs, |cost| cost.bytes_per_s);
    let calls = slope(costs, |cost| cost.calls_per_s);
    report.record(
        "core_slope",
        core,
        "cores/host",
        Target::AtMost(MAX_CORES_PER_HOST),
    );
    report.record(
        "memory_slope",
        memory,
        "MB/host",
        Target::AtMost(MAX_MEMORY_MB_PER_HOST),
    );
    report.record(
        "bytes_slope",
        bytes,
        "B/s/host",
        Target::AtMost(MAX_BYTES_PER_S),
    );
    report.record(
        "store_calls_slope",
        calls,
        "calls/s/host",
        Target::AtMost(0.01),
    );
    let all_bytes = bytes * (PLANNED_HOSTS - ENTRIES as f64);
    let name = format!("bytes_an_entry_of_{ENTRIES}_at_{PLANNED_HOSTS}");
    let target = Target::AtMost(MAX_BYTES_PER_S);
    report.record(name, all_bytes / ENTRIES as f64, "B/s", target);
    let entries = (all_bytes / MAX_BYTES_PER_S).ceil();
    let name = format!("entries_within_budget_at_{PLANNED_HOSTS}");
    report.record(name, entries, "entries", Target::None);
}

/// Slope of the least-squares line through the values over the number of hosts.
fn slope(costs: &[SiteCost], value: impl Fn(&SiteCost) -> f64) -> f64 {
    let count = costs.len() as f64;
    let mean_x = costs.iter().map(|cost| cost.hosts).sum::<f64>() / count;
    let mean_y = costs.iter().map(&value).sum::<f64>() / count;
    let covariance: f64 = costs
        .iter()
        .map(|cost| (cost.hosts - mean_x) * (value(cost) - mean_y))
        .sum();
    let variance: f64 = costs.iter().map(|cost| (cost.hosts - mean_x).powi(2)).sum();
    covariance / variance
}

/// Processor time that this process has used so far, in seconds.
fn cpu_seconds() -> Result<f64, BoxError> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let (_, fields) = stat
        .rsplit_once(')')
        .ok_or("/proc/self/stat has no process name")?;
    let ticks = |index: usize| -> Result<f64, BoxError> {
        let field = fields
            .split_whitespace()
            .nth(index)
            .ok_or("/proc/self/stat has too few fields")?;
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
        .ok_or("/proc/self/status has no VmRSS line")?;
    let kib: f64 = line.trim().trim_end_matches("kB").trim().parse()?;
    Ok(kib * 1_024.0 / 1e6)
}
