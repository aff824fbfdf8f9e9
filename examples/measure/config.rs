//! Measures the time until a configuration change is in force in every process, with slow links to
//! half of the agents and an outage of the object API.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use limpetloom::control::ControlClients;
use limpetloom::settings::Secret;
use limpetloom::wire::{EntryControlClient, ProcessControlClient};
use limpetloom_fakes::hosts::{Host, Role};
use limpetloom_fakes::objects::Outage;

use crate::Args;
use crate::common::{DelayProxy, Site, TOKEN};
use crate::report::{Report, Target};

const ENTRIES: usize = 10;
const AGENTS: usize = 90;
/// Agents of a second, smaller site. Comparing the two shows whether object API calls grow with the
/// number of agents.
const FEW_AGENTS: usize = 20;
/// Configuration changes before the outage; the same number follows it.
const CHANGES: usize = 100;
const CHANGE_PERIOD: Duration = Duration::from_millis(70);
/// Longer than the time after which an isolated process rejects requests.
const OUTAGE_DURATION: Duration = Duration::from_secs(9);
/// Time after the last change until observation ends.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Delay of a slow link, in each direction.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(150);
/// Interval at which every process is asked for its generation.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time over which the object API calls of a site without changes are counted, and time before it
/// in which the site settles.
const QUIET_WINDOW: Duration = Duration::from_secs(3);
/// Maximum time until a change is in force in every process, in seconds.
const MAX_IN_FORCE_S: f64 = 5.0;

type BoxError = Box<dyn Error + Send + Sync>;

pub async fn run(args: &Args) -> Report {
    let mut report = Report::new("config");
    if let Err(e) = measure(args, &mut report).await {
        report.record(format!("failed: {e}"), f64::NAN, "-", Target::None);
    }
    report
}

async fn measure(args: &Args, report: &mut Report) -> Result<(), BoxError> {
    let few_agents_rate = quiet_call_rate(&start(args, FEW_AGENTS).await?.0).await;
    let (site, _proxies) = start(args, AGENTS).await?;
    let many_agents_rate = quiet_call_rate(&site).await;
    let observer = Observer::new(&site);
    let before = site.objects.counters().calls();
    let start_time = Instant::now();
    let observed = tokio::spawn(observer.observe());
    let accepted = make_changes(&site).await?;
    let calls = site.objects.counters().calls() - before;
    let seconds = start_time.elapsed().as_secs_f64();
    let samples_by_process = observed.await?;
    site.stop().await;

    record_figures(report, &accepted, &samples_by_process);
    report.record(
        "store_calls_with_changes",
        calls as f64 / seconds,
        "calls/s",
        Target::None,
    );
    report.record(
        "store_calls_quiet",
        many_agents_rate,
        "calls/s",
        Target::None,
    );
    let growth = many_agents_rate / few_agents_rate.max(f64::MIN_POSITIVE);
    let name = format!("store_calls_{AGENTS}_over_{FEW_AGENTS}_agents");
    report.record(name, growth, "ratio", Target::AtMost(1.1));
    Ok(())
}

/// Starts a site in which every second agent is reached through a proxy that delays like a slow
/// link.
async fn start(args: &Args, agents: usize) -> Result<(Site, Vec<DelayProxy>), BoxError> {
    let site = Site::builder()
        .zones(6)
        .entries(ENTRIES)
        .models(0)
        .services(agents)
        .seed(args.seed)
        .start()
        .await?;
    let mut proxies = Vec::new();
    for service in site.services.iter().step_by(2) {
        let Some(agent) = &service.agent else {
            continue;
        };
        let proxy = DelayProxy::spawn(agent.control(), SLOW_LINK_DELAY).await?;
        let process = &service.settings.process;
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
    site.wait_ready(Duration::from_secs(10)).await?;
    Ok((site, proxies))
}

/// Object API calls per second of a site without changes.
async fn quiet_call_rate(site: &Site) -> f64 {
    tokio::time::sleep(QUIET_WINDOW).await;
    let before = site.objects.counters().calls();
    tokio::time::sleep(QUIET_WINDOW).await;
    (site.objects.counters().calls() - before) as f64 / QUIET_WINDOW.as_secs_f64()
}

/// Applies the changes, with the outage in the middle; returns the generation of each change and
/// the time at which it was accepted.
async fn make_changes(site: &Site) -> Result<Vec<(u64, Instant)>, BoxError> {
    let mut accepted = Vec::new();
    for round in 0..2 {
        for _ in 0..CHANGES {
            let generation = site.apply(|targets| targets.site_power += 1)?;
            accepted.push((generation, Instant::now()));
            tokio::time::sleep(CHANGE_PERIOD).await;
        }
        if round == 0 {
            site.objects
                .update_faults(|faults| faults.outage = Outage::Unavailable);
            tokio::time::sleep(OUTAGE_DURATION).await;
            site.objects
                .update_faults(|faults| faults.outage = Outage::None);
        }
    }
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(accepted)
}

/// Generation that a process had applied at one time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    generation: u64,
    /// False while an entry rejects new requests; always true for an agent.
    accepts_work: bool,
}

/// Polls every process directly, not through the slow links.
struct Observer {
    clients: ControlClients,
    entries: Vec<SocketAddr>,
    agents: Vec<SocketAddr>,
}

impl Observer {
    fn new(site: &Site) -> Self {
        let entries = site.entries.iter().filter_map(|entry| entry.entry.as_ref());
        let agents = site
            .services
            .iter()
            .filter_map(|service| service.agent.as_ref());
        Self {
            clients: ControlClients::new(Secret::new(TOKEN), Duration::from_secs(2)),
            entries: entries.map(|entry| entry.control()).collect(),
            agents: agents.map(|agent| agent.control()).collect(),
        }
    }

    /// Polls until the settle time after the last change has passed; returns the samples of each
    /// process, oldest first.
    async fn observe(self) -> BTreeMap<SocketAddr, Vec<Sample>> {
        let period = CHANGE_PERIOD * (2 * CHANGES as u32) + OUTAGE_DURATION + SETTLE_TIME;
        let end = Instant::now() + period;
        let mut samples_by_process: BTreeMap<SocketAddr, Vec<Sample>> = BTreeMap::new();
        while Instant::now() < end {
            let entries = self.entries.iter().map(|addr| self.entry(*addr));
            let agents = self.agents.iter().map(|addr| self.agent(*addr));
            let (entries, agents) = tokio::join!(join_all(entries), join_all(agents));
            for (addr, sample) in entries.into_iter().chain(agents).flatten() {
                samples_by_process.entry(addr).or_default().push(sample);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        samples_by_process
    }

    async fn entry(&self, addr: SocketAddr) -> Option<(SocketAddr, Sample)> {
        let call = |client: Arc<_>| async move { EntryControlClient::status(&*client).await };
        let status = self.clients.call(addr, call).await.ok()?;
        let sample = Sample {
            at: Instant::now(),
            generation: status.generation,
            accepts_work: status.in_force,
        };
        Some((addr, sample))
    }

    async fn agent(&self, addr: SocketAddr) -> Option<(SocketAddr, Sample)> {
        let call = |client: Arc<_>| async move { ProcessControlClient::dump(&*client).await };
        let dump = self.clients.call(addr, call).await.ok()?;
        let sample = Sample {
            at: Instant::now(),
            generation: dump["generation"].as_u64()?,
            accepts_work: true,
        };
        Some((addr, sample))
    }
}

fn record_figures(
    report: &mut Report,
    accepted: &[(u64, Instant)],
    samples_by_process: &BTreeMap<SocketAddr, Vec<Sample>>,
) {
    let processes = (ENTRIES + AGENTS) as f64;
    report.record(
        "processes",
        samples_by_process.len() as f64,
        "processes",
        Target::Exactly(processes),
    );
    let changes = accepted.len() as f64;
    report.record(
        "changes",
        changes,
        "changes",
        Target::Exactly(2.0 * CHANGES as f64),
    );
    let mut delays: Vec<f64> = accepted
        .iter()
        .flat_map(|change| {
            samples_by_process
                .values()
                .map(|samples| delay(*change, samples))
        })
        .collect();
    delays.sort_by(f64::total_cmp);
    let quantile = |share: f64| delays[((delays.len() - 1) as f64 * share) as usize];
    report.record("in_force_p50", quantile(0.5), "s", Target::None);
    report.record("in_force_p99", quantile(0.99), "s", Target::None);
    report.record(
        "in_force_max",
        quantile(1.0),
        "s",
        Target::AtMost(MAX_IN_FORCE_S),
    );
    let reverts: usize = samples_by_process
        .values()
        .map(|samples| count_reverts(samples))
        .sum();
    report.record("reverts", reverts as f64, "reverts", Target::Exactly(0.0));
    let total = samples_by_process.values().flatten().count();
    let refusing = samples_by_process
        .values()
        .flatten()
        .filter(|sample| !sample.accepts_work)
        .count();
    let share = refusing as f64 / total.max(1) as f64;
    report.record(
        "refusing_in_outage",
        share,
        "of samples",
        Target::Exactly(0.0),
    );
}

/// Time from the acceptance of a change until the first sample of a process that includes it, in
/// seconds; infinite if there is none.
fn delay((generation, accepted): (u64, Instant), samples: &[Sample]) -> f64 {
    samples
        .iter()
        .find(|sample| sample.generation >= generation)
        .map_or(f64::INFINITY, |sample| {
            sample.at.saturating_duration_since(accepted).as_secs_f64()
        })
}

/// Counts how often a process went back to an older generation.
fn count_reverts(samples: &[Sample]) -> usize {
    samples
        .windows(2)
        .filter(|pair| pair[1].generation < pair[0].generation)
        .count()
}
