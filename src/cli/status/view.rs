//! The view that `status` shows, aggregated from the status of all entries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;

use crate::cli::operator::CurrentConfig;
use crate::cli::{Lag, lagging_processes};
use crate::config::{Class, Model, Targets};
use crate::membership::HostEntry;
use crate::types::{Digest, Generation, HostId, Milliwatts, ZoneId};
use crate::wire::{EndpointReport, EndpointState, EntryStatus, HostStatus, QuarantineRecord};

/// State of the whole system.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetView {
    /// Newest generation known; 0 if there is none.
    pub generation: Generation,
    /// True if the object API returned a valid configuration to this command.
    pub store_answers: bool,
    /// Processes that are not known to hold the generation.
    pub lagging: Vec<Lag>,
    /// Cap on the power of all endpoints, in milliwatts.
    pub power_cap_mw: Milliwatts,
    /// Power that all endpoints draw, in milliwatts.
    pub power_mw: Milliwatts,
    /// Classes of work, by priority.
    pub classes: Vec<ClassView>,
    /// Availability zones, by name.
    pub zones: Vec<ZoneView>,
    /// Models, by name.
    pub models: Vec<ModelView>,
    /// Requests that have crashed endpoints.
    pub quarantine: Vec<QuarantineRecord>,
}

/// Targets and current state of a class of work.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassView {
    /// Name of the class.
    pub class: String,
    /// Target time until an answer starts, in milliseconds.
    pub first_token_target_ms: u64,
    /// 95th percentile of the time until an answer starts, in milliseconds: the highest of all
    /// entries.
    pub first_token_p95_ms: u32,
    /// Power that the class may draw, in milliwatts.
    pub power_target_mw: Milliwatts,
    /// Power drawn by the endpoints that serve the class, in milliwatts. Endpoints that serve
    /// several classes count in full for each of them.
    pub power_mw: Milliwatts,
    /// Requests queued at the entries.
    pub queued: u32,
    /// Requests sent to endpoints and not finished.
    pub in_flight: u32,
    /// Requests answered since the entries started.
    pub answered: u64,
    /// Requests refused since the entries started.
    pub refused: u64,
}

/// State of an availability zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ZoneView {
    /// Name of the zone.
    pub zone: String,
    /// True if operators took the zone out of service; it takes no new work.
    pub out: bool,
    /// Hosts of the zone in the host list.
    pub hosts: usize,
    /// Endpoints that accept requests up to their full limit.
    pub ready: usize,
    /// Endpoints that accept requests up to their cold limit only.
    pub cold: usize,
    /// Endpoints that are loading a version.
    pub loading: usize,
    /// Endpoints that are leaving and take no new work.
    pub leaving: usize,
    /// Endpoints that do not answer.
    pub down: usize,
}

/// State of a model and the rollout of its version.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ModelView {
    /// Name of the model.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// Digest of the version's manifest.
    pub manifest: Digest,
    /// Replicas that serve the version.
    pub ready: usize,
    /// Desired number of replicas.
    pub wanted: usize,
    /// Share of the chunks that the desired replicas hold verified, in thousandths.
    pub progress_permille: u64,
    /// Estimated time until every desired replica holds the version, in seconds; `None` if there
    /// was no progress to estimate it from.
    pub time_left_s: Option<u64>,
}

impl FleetView {
    /// Aggregates the configuration, the host list and the status of the entries. Of several
    /// entries' reports on a host, the most recent one counts.
    pub(in crate::cli) fn new(
        current: Option<&CurrentConfig>,
        hosts: &[HostEntry],
        statuses: &BTreeMap<HostId, Option<EntryStatus>>,
    ) -> Self {
        let generation = newest_generation(current, statuses);
        let empty = Targets::default();
        let targets = current.map_or(&empty, |current| &current.body.targets);
        let host_statuses = newest_host_statuses(statuses);
        let endpoints: Vec<&EndpointReport> = host_statuses
            .values()
            .flat_map(|status| &status.endpoints)
            .collect();
        Self {
            generation,
            store_answers: current.is_some(),
            lagging: lagging_processes(generation, hosts, statuses),
            power_cap_mw: targets.site_power,
            power_mw: endpoints.iter().filter_map(|e| e.power_mw).sum(),
            classes: classes(targets, statuses, &endpoints),
            zones: zones(targets, hosts, &host_statuses),
            models: targets
                .models
                .iter()
                .map(|model| model_view(model, &endpoints))
                .collect(),
            quarantine: quarantine(statuses),
        }
    }

    /// True while a model has fewer ready replicas than desired.
    pub(super) fn is_rolling_out(&self) -> bool {
        self.models.iter().any(|model| model.ready < model.wanted)
    }

    /// True if every process holds the generation and every model has its replicas.
    pub(super) fn matches_targets(&self) -> bool {
        self.lagging.is_empty() && !self.is_rolling_out()
    }

    /// Estimates the time left from the progress since `earlier`, `elapsed` ago.
    pub(super) fn with_time_left(mut self, earlier: &Self, elapsed: Duration) -> Self {
        for model in &mut self.models {
            let before = earlier.models.iter().find(|m| m.manifest == model.manifest);
            model.time_left_s = before.and_then(|before| time_left(before, model, elapsed));
        }
        self
    }
}

/// Extrapolates the progress of a model linearly; returns seconds, rounded up.
fn time_left(before: &ModelView, now: &ModelView, elapsed: Duration) -> Option<u64> {
    let gained = now
        .progress_permille
        .checked_sub(before.progress_permille)?;
    let left = 1_000_u64.saturating_sub(now.progress_permille);
    if now.ready >= now.wanted {
        return Some(0);
    }
    if gained == 0 {
        return None;
    }
    let millis = elapsed.as_millis().saturating_mul(left.into()) / u128::from(gained);
    u64::try_from(millis.div_ceil(1_000)).ok()
}

fn newest_generation(
    current: Option<&CurrentConfig>,
    statuses: &BTreeMap<HostId, Option<EntryStatus>>,
) -> Generation {
    let held = statuses.values().flatten().map(|status| status.generation);
    current
        .map(|current| current.generation)
        .into_iter()
        .chain(held)
        .max()
        .unwrap_or(0)
}

/// Returns the most recent report on each host from any entry.
fn newest_host_statuses(
    statuses: &BTreeMap<HostId, Option<EntryStatus>>,
) -> BTreeMap<&str, &HostStatus> {
    let mut newest: BTreeMap<&str, &HostStatus> = BTreeMap::new();
    for host in statuses.values().flatten().flat_map(|status| &status.hosts) {
        let best = newest.entry(&host.host).or_insert(host);
        if host.age_ms < best.age_ms {
            *best = host;
        }
    }
    newest
}

fn classes(
    targets: &Targets,
    statuses: &BTreeMap<HostId, Option<EntryStatus>>,
    endpoints: &[&EndpointReport],
) -> Vec<ClassView> {
    let mut classes: Vec<&Class> = targets.classes.iter().collect();
    classes.sort_by_key(|class| class.priority);
    classes
        .into_iter()
        .map(|class| class_view(class, statuses, endpoints))
        .collect()
}

fn class_view(
    class: &Class,
    statuses: &BTreeMap<HostId, Option<EntryStatus>>,
    endpoints: &[&EndpointReport],
) -> ClassView {
    let mut view = ClassView {
        class: class.id.to_string(),
        first_token_target_ms: u64::try_from(class.first_token.as_millis()).unwrap_or(u64::MAX),
        first_token_p95_ms: 0,
        power_target_mw: class.power,
        power_mw: endpoints
            .iter()
            .filter(|endpoint| endpoint.target.as_deref() == Some(&class.target))
            .filter_map(|endpoint| endpoint.power_mw)
            .sum(),
        queued: 0,
        in_flight: 0,
        answered: 0,
        refused: 0,
    };
    let class_statuses = statuses
        .values()
        .flatten()
        .flat_map(|status| &status.classes);
    for status in class_statuses.filter(|status| *status.class == *class.id) {
        view.first_token_p95_ms = view.first_token_p95_ms.max(status.first_token_p95_ms);
        view.queued += status.queued;
        view.in_flight += status.in_flight;
        view.answered += status.answered;
        view.refused += status.refused;
    }
    view
}

fn zones(
    targets: &Targets,
    hosts: &[HostEntry],
    host_statuses: &BTreeMap<&str, &HostStatus>,
) -> Vec<ZoneView> {
    let listed = hosts.iter().map(|host| &host.zone);
    let names: BTreeSet<&ZoneId> = listed
        .chain(&targets.zones)
        .chain(&targets.zones_out)
        .collect();
    names
        .into_iter()
        .map(|zone| zone_view(zone, targets, hosts, host_statuses))
        .collect()
}

fn zone_view(
    zone: &ZoneId,
    targets: &Targets,
    hosts: &[HostEntry],
    host_statuses: &BTreeMap<&str, &HostStatus>,
) -> ZoneView {
    let mut view = ZoneView {
        zone: zone.to_string(),
        out: targets.zones_out.contains(zone),
        hosts: hosts.iter().filter(|host| host.zone == *zone).count(),
        ..ZoneView::default()
    };
    let in_zone = host_statuses.values().filter(|host| *host.zone == **zone);
    for endpoint in in_zone.flat_map(|host| &host.endpoints) {
        *match endpoint.state {
            EndpointState::Ready => &mut view.ready,
            EndpointState::Cold => &mut view.cold,
            EndpointState::Loading => &mut view.loading,
            EndpointState::Leaving => &mut view.leaving,
            EndpointState::Down => &mut view.down,
        } += 1;
    }
    view
}

fn model_view(model: &Model, endpoints: &[&EndpointReport]) -> ModelView {
    let serving: Vec<_> = endpoints
        .iter()
        .filter(|endpoint| endpoint.target.as_deref() == Some(&model.id))
        .collect();
    let holds = |e: &EndpointReport| e.version.as_deref() == Some(&model.manifest);
    let is_up = |e: &EndpointReport| matches!(e.state, EndpointState::Ready | EndpointState::Cold);
    let wanted = model.replicas.map_or(serving.len(), |n| n as usize);
    let mut held_permilles: Vec<u64> = serving
        .iter()
        .map(|e| {
            if holds(e) {
                1_000
            } else {
                e.progress_permille.unwrap_or(0).into()
            }
        })
        .collect();
    held_permilles.sort_unstable_by(|a, b| b.cmp(a));
    let held: u64 = held_permilles.iter().take(wanted).sum();
    ModelView {
        model: model.id.to_string(),
        version: model.version.to_string(),
        manifest: model.manifest.clone(),
        ready: serving.iter().filter(|e| holds(e) && is_up(e)).count(),
        wanted,
        progress_permille: held / (wanted as u64).max(1),
        time_left_s: None,
    }
}

/// Merges the quarantine records of all entries; for each fingerprint, the one with the most
/// crashes counts.
fn quarantine(statuses: &BTreeMap<HostId, Option<EntryStatus>>) -> Vec<QuarantineRecord> {
    let mut records: BTreeMap<&str, &QuarantineRecord> = BTreeMap::new();
    for record in statuses
        .values()
        .flatten()
        .flat_map(|status| &status.quarantine)
    {
        let most = records.entry(&record.fingerprint).or_insert(record);
        if record.crashes > most.crashes {
            *most = record;
        }
    }
    records.into_values().cloned().collect()
}
