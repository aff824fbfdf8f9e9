//! What `status` shows, put together from what the entries say.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;

use crate::cli::operator::Current;
use crate::cli::{Lag, lagging};
use crate::config::{Class, Model, Targets};
use crate::membership::HostEntry;
use crate::types::{Digest, Generation, HostId, Milliwatts, ZoneId};
use crate::wire::{EndpointReport, EndpointState, EntryStatus, HostStatus, QuarantineRecord};

/// The system at a glance.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetView {
    /// Newest generation known; 0 when there is none.
    pub generation: Generation,
    /// True when the object API answered this command.
    pub store_answers: bool,
    /// Processes that are not known to hold the generation.
    pub lagging: Vec<Lag>,
    /// Cap on the power of all endpoints, in milliwatts.
    pub power_cap_mw: Milliwatts,
    /// Draw of all endpoints, in milliwatts.
    pub power_mw: Milliwatts,
    /// Classes of work, by rank.
    pub classes: Vec<ClassView>,
    /// Availability zones, by name.
    pub zones: Vec<ZoneView>,
    /// Models, by name.
    pub models: Vec<ModelView>,
    /// Requests that have crashed endpoints.
    pub quarantine: Vec<QuarantineRecord>,
}

/// A class of work: target against now.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassView {
    /// Name of the class.
    pub class: String,
    /// Time within which an answer has to start, in milliseconds.
    pub first_token_target_ms: u64,
    /// Worst 95th percentile at any entry, in milliseconds.
    pub first_token_p95_ms: u32,
    /// Power that the class may draw, in milliwatts.
    pub power_target_mw: Milliwatts,
    /// Draw of the endpoints that serve the class, in milliwatts; classes may share them.
    pub power_mw: Milliwatts,
    /// Requests that wait.
    pub queued: u32,
    /// Requests at endpoints.
    pub in_flight: u32,
    /// Requests answered since the entries started.
    pub answered: u64,
    /// Requests refused since the entries started.
    pub refused: u64,
}

/// An availability zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ZoneView {
    /// Name of the zone.
    pub zone: String,
    /// True when the zone takes no new work.
    pub out: bool,
    /// Hosts that the host list shows.
    pub hosts: usize,
    /// Endpoints at full limit.
    pub ready: usize,
    /// Endpoints that bear only a little.
    pub cold: usize,
    /// Endpoints that load a version.
    pub loading: usize,
    /// Endpoints that leave.
    pub leaving: usize,
    /// Endpoints that do not answer.
    pub down: usize,
}

/// A model and the spread of its version.
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
    /// Replicas wanted.
    pub wanted: usize,
    /// Verified share of the wanted replicas' chunks, in thousandths.
    pub progress_permille: u64,
    /// Time until every wanted replica holds the version, in seconds, at the rate last seen.
    pub time_left_s: Option<u64>,
}

impl FleetView {
    /// Puts together what the object API, the host list and the entries say; the newest view of
    /// each host counts.
    pub(in crate::cli) fn new(
        current: Option<&Current>,
        hosts: &[HostEntry],
        statuses: &BTreeMap<HostId, Option<EntryStatus>>,
    ) -> Self {
        let generation = newest_generation(current, statuses);
        let nothing = Targets::default();
        let targets = current.map_or(&nothing, |current| &current.body.targets);
        let seen = newest_hosts(statuses);
        let endpoints: Vec<&EndpointReport> =
            seen.values().flat_map(|status| &status.endpoints).collect();
        Self {
            generation,
            store_answers: current.is_some(),
            lagging: lagging(generation, hosts, statuses),
            power_cap_mw: targets.site_power,
            power_mw: endpoints.iter().filter_map(|e| e.power_mw).sum(),
            classes: classes(targets, statuses, &endpoints),
            zones: zones(targets, hosts, &seen),
            models: targets
                .models
                .iter()
                .map(|model| model_view(model, &endpoints))
                .collect(),
            quarantine: quarantine(statuses),
        }
    }

    /// True while a version spreads.
    pub(super) fn is_moving(&self) -> bool {
        self.models.iter().any(|model| model.ready < model.wanted)
    }

    /// True when every process holds the generation and every version has its replicas.
    pub(super) fn is_as_declared(&self) -> bool {
        self.lagging.is_empty() && !self.is_moving()
    }

    /// Tells the time left from the progress since `earlier`.
    pub(super) fn with_time_left(mut self, earlier: &Self, elapsed: Duration) -> Self {
        for model in &mut self.models {
            let before = earlier.models.iter().find(|m| m.manifest == model.manifest);
            model.time_left_s = before.and_then(|before| time_left(before, model, elapsed));
        }
        self
    }
}

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
    current: Option<&Current>,
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

/// The newest view that any entry has of each host.
fn newest_hosts(statuses: &BTreeMap<HostId, Option<EntryStatus>>) -> BTreeMap<&str, &HostStatus> {
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
    let parts = statuses
        .values()
        .flatten()
        .flat_map(|status| &status.classes);
    for part in parts.filter(|part| *part.class == *class.id) {
        view.first_token_p95_ms = view.first_token_p95_ms.max(part.first_token_p95_ms);
        view.queued += part.queued;
        view.in_flight += part.in_flight;
        view.answered += part.answered;
        view.refused += part.refused;
    }
    view
}

fn zones(
    targets: &Targets,
    hosts: &[HostEntry],
    seen: &BTreeMap<&str, &HostStatus>,
) -> Vec<ZoneView> {
    let listed = hosts.iter().map(|host| &host.zone);
    let names: BTreeSet<&ZoneId> = listed
        .chain(&targets.zones)
        .chain(&targets.zones_out)
        .collect();
    names
        .into_iter()
        .map(|zone| zone_view(zone, targets, hosts, seen))
        .collect()
}

fn zone_view(
    zone: &ZoneId,
    targets: &Targets,
    hosts: &[HostEntry],
    seen: &BTreeMap<&str, &HostStatus>,
) -> ZoneView {
    let mut view = ZoneView {
        zone: zone.to_string(),
        out: targets.zones_out.contains(zone),
        hosts: hosts.iter().filter(|host| host.zone == *zone).count(),
        ..ZoneView::default()
    };
    let in_zone = seen.values().filter(|host| *host.zone == **zone);
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
    let mut shares: Vec<u64> = serving
        .iter()
        .map(|e| {
            if holds(e) {
                1_000
            } else {
                e.progress_permille.unwrap_or(0).into()
            }
        })
        .collect();
    shares.sort_unstable_by(|a, b| b.cmp(a));
    let held: u64 = shares.iter().take(wanted).sum();
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

fn quarantine(statuses: &BTreeMap<HostId, Option<EntryStatus>>) -> Vec<QuarantineRecord> {
    let mut entries: BTreeMap<&str, &QuarantineRecord> = BTreeMap::new();
    for entry in statuses
        .values()
        .flatten()
        .flat_map(|status| &status.quarantine)
    {
        let most = entries.entry(&entry.fingerprint).or_insert(entry);
        if entry.crashes > most.crashes {
            *most = entry;
        }
    }
    entries.into_values().cloned().collect()
}
