//! Time until a configuration is in force everywhere, with slow links and a store outage.

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
/// Agents of the site that is compared with, to see the calls that agents cause.
const FEW_AGENTS: usize = 20;
/// Changes before the outage, and as many after it.
const CHANGES: usize = 100;
const CHANGE_PERIOD: Duration = Duration::from_millis(70);
/// Longer than the time after which an isolated process refuses work.
const OUTAGE: Duration = Duration::from_secs(9);
const SETTLE: Duration = Duration::from_secs(5);
/// Delay of a slow link in each direction.
const SLOW: Duration = Duration::from_millis(150);
const POLL: Duration = Duration::from_millis(250);
/// Time for which the calls of a quiet site are counted.
const QUIET: Duration = Duration::from_secs(3);
const IN_FORCE_S: f64 = 5.0;

type BoxError = Box<dyn Error + Send + Sync>;

pub async fn run(args: &Args) -> Report {
    let mut report = Report::new("config");
    if let Err(e) = measure(args, &mut report).await {
        report.figure(format!("failed: {e}"), f64::NAN, "-", Target::None);
    }
    report
}

async fn measure(args: &Args, report: &mut Report) -> Result<(), BoxError> {
    let few = quiet_calls(&start(args, FEW_AGENTS).await?.0).await;
    let (site, _links) = start(args, AGENTS).await?;
    let many = quiet_calls(&site).await;
    let watch = Watch::new(&site);
    let before = site.objects.counters().calls();
    let begin = Instant::now();
    let observed = tokio::spawn(watch.observe());
    let accepted = change(&site).await?;
    let calls = site.objects.counters().calls() - before;
    let seconds = begin.elapsed().as_secs_f64();
    let seen = observed.await?;
    site.stop().await;

    figures(report, &accepted, &seen);
    report.figure(
        "store_calls_with_changes",
        calls as f64 / seconds,
        "calls/s",
        Target::None,
    );
    report.figure("store_calls_quiet", many, "calls/s", Target::None);
    let growth = many / few.max(f64::MIN_POSITIVE);
    let name = format!("store_calls_{AGENTS}_over_{FEW_AGENTS}_agents");
    report.figure(name, growth, "ratio", Target::AtMost(1.1));
    Ok(())
}

/// Starts a site in which every second agent is behind a slow link.
async fn start(args: &Args, agents: usize) -> Result<(Site, Vec<DelayProxy>), BoxError> {
    let site = Site::builder()
        .zones(6)
        .entries(ENTRIES)
        .models(0)
        .services(agents)
        .seed(args.seed)
        .start()
        .await?;
    let mut links = Vec::new();
    for seat in site.services.iter().step_by(2) {
        let Some(agent) = &seat.agent else { continue };
        let link = DelayProxy::spawn(agent.control(), SLOW).await?;
        let process = &seat.settings.process;
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
    site.wait_ready(Duration::from_secs(10)).await?;
    Ok((site, links))
}

/// Calls a second of a site without changes.
async fn quiet_calls(site: &Site) -> f64 {
    tokio::time::sleep(QUIET).await;
    let before = site.objects.counters().calls();
    tokio::time::sleep(QUIET).await;
    (site.objects.counters().calls() - before) as f64 / QUIET.as_secs_f64()
}

/// Makes the changes, with the outage in the middle; gives the time at which each was accepted.
async fn change(site: &Site) -> Result<Vec<(u64, Instant)>, BoxError> {
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
            tokio::time::sleep(OUTAGE).await;
            site.objects
                .update_faults(|faults| faults.outage = Outage::None);
        }
    }
    tokio::time::sleep(SETTLE).await;
    Ok(accepted)
}

/// What one process held at one time.
#[derive(Clone, Copy, Debug)]
struct Held {
    at: Instant,
    generation: u64,
    /// False while an entry refuses new work; an agent is always counted as working.
    works: bool,
}

/// Looks at every process past the links.
struct Watch {
    clients: ControlClients,
    entries: Vec<SocketAddr>,
    agents: Vec<SocketAddr>,
}

impl Watch {
    fn new(site: &Site) -> Self {
        let entries = site.entries.iter().filter_map(|seat| seat.entry.as_ref());
        let agents = site.services.iter().filter_map(|seat| seat.agent.as_ref());
        Self {
            clients: ControlClients::new(Secret::new(TOKEN), Duration::from_secs(2)),
            entries: entries.map(|entry| entry.control()).collect(),
            agents: agents.map(|agent| agent.control()).collect(),
        }
    }

    /// Looks until the changes have settled.
    async fn observe(self) -> BTreeMap<SocketAddr, Vec<Held>> {
        let period = CHANGE_PERIOD * (2 * CHANGES as u32) + OUTAGE + SETTLE;
        let end = Instant::now() + period;
        let mut seen: BTreeMap<SocketAddr, Vec<Held>> = BTreeMap::new();
        while Instant::now() < end {
            let entries = self.entries.iter().map(|addr| self.entry(*addr));
            let agents = self.agents.iter().map(|addr| self.agent(*addr));
            let (entries, agents) = tokio::join!(join_all(entries), join_all(agents));
            for (addr, held) in entries.into_iter().chain(agents).flatten() {
                seen.entry(addr).or_default().push(held);
            }
            tokio::time::sleep(POLL).await;
        }
        seen
    }

    async fn entry(&self, addr: SocketAddr) -> Option<(SocketAddr, Held)> {
        let call = |client: Arc<_>| async move { EntryControlClient::status(&*client).await };
        let status = self.clients.call(addr, call).await.ok()?;
        let held = Held {
            at: Instant::now(),
            generation: status.generation,
            works: status.in_force,
        };
        Some((addr, held))
    }

    async fn agent(&self, addr: SocketAddr) -> Option<(SocketAddr, Held)> {
        let call = |client: Arc<_>| async move { ProcessControlClient::dump(&*client).await };
        let dump = self.clients.call(addr, call).await.ok()?;
        let held = Held {
            at: Instant::now(),
            generation: dump["generation"].as_u64()?,
            works: true,
        };
        Some((addr, held))
    }
}

fn figures(
    report: &mut Report,
    accepted: &[(u64, Instant)],
    seen: &BTreeMap<SocketAddr, Vec<Held>>,
) {
    let processes = (ENTRIES + AGENTS) as f64;
    report.figure(
        "processes",
        seen.len() as f64,
        "processes",
        Target::Exactly(processes),
    );
    let changes = accepted.len() as f64;
    report.figure(
        "changes",
        changes,
        "changes",
        Target::Exactly(2.0 * CHANGES as f64),
    );
    let mut delays: Vec<f64> = accepted
        .iter()
        .flat_map(|change| seen.values().map(|held| delay(*change, held)))
        .collect();
    delays.sort_by(f64::total_cmp);
    let at = |share: f64| delays[((delays.len() - 1) as f64 * share) as usize];
    report.figure("in_force_p50", at(0.5), "s", Target::None);
    report.figure("in_force_p99", at(0.99), "s", Target::None);
    report.figure("in_force_max", at(1.0), "s", Target::AtMost(IN_FORCE_S));
    let reverts: usize = seen.values().map(|held| reverts(held)).sum();
    report.figure("reverts", reverts as f64, "reverts", Target::Exactly(0.0));
    let looks = seen.values().flatten().count();
    let refusing = seen.values().flatten().filter(|held| !held.works).count();
    let share = refusing as f64 / looks.max(1) as f64;
    report.figure(
        "refusing_in_outage",
        share,
        "of looks",
        Target::Exactly(0.0),
    );
}

/// Time from acceptance until a process was seen to hold the change, in seconds.
fn delay((generation, accepted): (u64, Instant), held: &[Held]) -> f64 {
    held.iter()
        .find(|held| held.generation >= generation)
        .map_or(f64::INFINITY, |held| {
            held.at.saturating_duration_since(accepted).as_secs_f64()
        })
}

fn reverts(held: &[Held]) -> usize {
    held.windows(2)
        .filter(|pair| pair[1].generation < pair[0].generation)
        .count()
}
