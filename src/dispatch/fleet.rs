//! The endpoints that an entry knows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::types::{EndpointId, RegionId, TargetId, ZoneId};

use super::endpoint::{Endpoint, EndpointLoad, ListedEndpoint};
use super::estimate::EngineModel;
use super::patterns::{Mitigations, takes_until_change};

/// Time for which an endpoint whose lease ran out still gets work: entries of endpoints that live
/// are back within two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(1_700);

/// The endpoints that an entry knows, and what operators said about zones and versions.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    mitigations: Mitigations,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    evacuated: BTreeSet<ZoneId>,
    /// Versions that were named for each model, with the time; `None` when that was before this
    /// process listened, and so may be long ago.
    named: BTreeMap<Arc<str>, BTreeMap<u64, Option<Instant>>>,
}

/// What a request asks of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Model or service.
    pub target: &'a TargetId,
    /// Time model of the target's engines, which need weights; absent for a plain service.
    pub engine: Option<&'a EngineModel>,
    /// Estimate of the answer's tokens, when the caller gives one.
    pub answer_tokens: Option<u32>,
    /// Model that the request names.
    pub model: Option<&'a str>,
    /// Version that a continued answer must keep.
    pub version: Option<u64>,
    /// Regions that the route allows; empty for all.
    pub route_regions: &'a [RegionId],
    /// Regions that the customer allows; empty for all.
    pub customer_regions: &'a [RegionId],
    /// Endpoints that were tried already.
    pub tried: &'a [EndpointId],
}

impl Fleet {
    /// A fleet without endpoints.
    pub fn new(mitigations: Mitigations) -> Self {
        Self {
            mitigations,
            ..Self::default()
        }
    }

    /// Takes in one entry of the list; true when it is new or its process is another.
    pub fn update_endpoint(&mut self, now: Instant, listed: ListedEndpoint) -> bool {
        match self.endpoints.get_mut(&listed.id) {
            Some(endpoint) => endpoint.update_listing(now, listed),
            None => {
                let id = listed.id.clone();
                let endpoint = Endpoint::new(now, listed, self.mitigations);
                self.endpoints.insert(id, endpoint);
                true
            }
        }
    }

    /// An entry has left the list; its endpoint gets nothing more.
    pub fn remove_endpoint(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.gone = true;
        }
        self.sweep();
    }

    /// An entry left the list because its lease ran out while the store was away.
    pub fn lapse(&mut self, now: Instant, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.lapsed_until.get_or_insert(now + LAPSE_GRACE);
        }
    }

    /// Drops what left the list and has no request of this entry.
    pub fn sweep(&mut self) {
        self.endpoints
            .retain(|_, e| !e.gone || e.occupancy.own() > 0);
    }

    /// All endpoints on the list.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().filter(|e| !e.gone)
    }

    /// An endpoint by name.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// An endpoint by name.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Takes in a load report from the agent of a host; false when no endpoint is listed there.
    pub fn update_load(&mut self, now: Instant, host: IpAddr, load: EndpointLoad) -> bool {
        let mut found = self
            .endpoints
            .values_mut()
            .filter(|e| !e.gone && e.listed.addr.ip() == host);
        match found.next() {
            Some(endpoint) => {
                endpoint.update_load(now, load);
                true
            }
            None => false,
        }
    }

    /// Sets the zones whose endpoints get nothing.
    pub fn set_evacuated_zones(&mut self, zones: BTreeSet<ZoneId>) {
        self.evacuated = zones;
    }

    /// A version was named for a model, at `since` if that is known; true when it is newer than
    /// those before.
    pub fn announce_version(&mut self, model: &str, version: u64, since: Option<Instant>) -> bool {
        let named = self.named.entry(model.into()).or_default();
        let is_newest = named.keys().next_back().is_none_or(|last| *last < version);
        let known = named.entry(version).or_default();
        *known = (*known).max(since);
        is_newest
    }

    /// Newest named version of each model, with the time at which it was named.
    pub fn newest_versions(&self) -> impl Iterator<Item = (&str, u64, Option<Instant>)> {
        self.named.iter().filter_map(|(model, named)| {
            let (version, since) = named.last_key_value()?;
            Some((&**model, *version, *since))
        })
    }

    /// Oldest version of a model that may still begin a request, `grace` after a newer was named.
    pub fn oldest_allowed_version(&self, now: Instant, model: &str, grace: Duration) -> u64 {
        let due = self.named.get(model).into_iter().flatten();
        let is_due = |since: Option<Instant>| {
            let age = since.map(|since| now.saturating_duration_since(since));
            age.is_none_or(|age| age >= grace)
        };
        due.filter(|(_, since)| is_due(**since))
            .map(|(version, _)| *version)
            .max()
            .unwrap_or(0)
    }

    /// Endpoints that may run a request now, whatever their load.
    pub fn eligible<'a>(
        &'a self,
        now: Instant,
        ask: Ask<'a>,
        grace: Duration,
    ) -> impl Iterator<Item = &'a Endpoint> + 'a {
        let allows = |regions: &[RegionId], region: &RegionId| {
            regions.is_empty() || regions.contains(region)
        };
        self.endpoints.values().filter(move |e| {
            !e.gone
                && e.lapsed_until.is_none_or(|until| now < until)
                && e.listed.target == *ask.target
                && !e.listed.is_leaving
                && !self.evacuated.contains(&e.listed.zone)
                && allows(ask.route_regions, &e.listed.region)
                && allows(ask.customer_regions, &e.listed.region)
                && !ask.tried.contains(&e.listed.id)
                && !e.health.is_paused(now)
                && ask.engine.is_none_or(|engine| {
                    self.has_version(now, e, ask, grace) && self.ends_in_time(now, e, engine, ask)
                })
        })
    }

    fn has_version(&self, now: Instant, endpoint: &Endpoint, ask: Ask, grace: Duration) -> bool {
        if self.mitigations.push && endpoint.is_switching(now) {
            return false;
        }
        let model = ask
            .model
            .or_else(|| endpoint.listed.models.first().map(|(name, _)| &**name));
        let Some((model, version)) = model.zip(endpoint.version(ask.model)) else {
            return false;
        };
        ask.version.is_none_or(|wanted| wanted == version)
            && version >= self.oldest_allowed_version(now, model, grace)
    }

    /// False when the request would hold up an engine that is about to change its version.
    fn ends_in_time(
        &self,
        now: Instant,
        endpoint: &Endpoint,
        engine: &EngineModel,
        ask: Ask,
    ) -> bool {
        let answer = ask
            .answer_tokens
            .map_or(engine.mean_answer_tokens, f64::from);
        let change_at = endpoint.switch_at(now).filter(|_| self.mitigations.push);
        takes_until_change(now, change_at, engine.decode_time(answer))
    }
}
