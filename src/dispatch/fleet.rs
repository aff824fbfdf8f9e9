//! Endpoints known to an entry, and the filter for those that may run a request.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::ops::Bound;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::types::{ChangeTime, EndpointId, RegionId, TargetId, ZoneId};

use super::endpoint::{Endpoint, EndpointLoad, ListedEndpoint};
use super::estimate::EngineModel;
use super::exclusion::Exclusion;
use super::leaving::Leaving;
use super::patterns::{Mitigations, ends_before_change};
use super::rest::Rests;
use super::shared_places::Sharing;
use super::subset::{Candidate, preferred};

/// Time for which an endpoint whose lease expired during a store outage is still used. Live
/// endpoints are back on the list within two seconds.
const LEASE_GRACE: Duration = Duration::from_millis(1_700);

/// Wanted versions that are remembered for a model: more than are named before the older ones of
/// them end.
const MAX_WANTED_VERSIONS: usize = 8;
/// Least change of the time since which a version is wanted that is reported; reports of that time
/// differ by their delays on the network.
const MIN_REPORTED_MOVE: Duration = Duration::from_millis(100);

/// Effect of [`Fleet::set_wanted_version`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionUpdate {
    /// True when the version is newer than all wanted ones before.
    pub is_newest: bool,
    /// Time at which the version became the wanted one.
    pub named: ChangeTime,
    /// True when `named` was set for the first time or has changed noticeably.
    pub is_dated: bool,
    /// True when `named` was set for the first time or has changed at all.
    pub is_changed: bool,
}

/// Endpoints known to an entry, with evacuated zones and wanted weight versions.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    mitigations: Mitigations,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Endpoints that this entry prefers.
    preferred: BTreeSet<EndpointId>,
    /// True when `preferred` does not follow from `endpoints` and `evacuated` any more.
    is_subset_outdated: bool,
    /// Rests that endpoints have asked of this entry.
    pub(super) rests: Rests,
    pub(super) leaving: Leaving,
    /// Zones whose endpoints get no new requests.
    evacuated: BTreeSet<ZoneId>,
    /// Versions that became the wanted version of each model, with the time at which each did.
    wanted_versions: BTreeMap<Arc<str>, BTreeMap<u64, ChangeTime>>,
}

/// All endpoints that may run a request rest or leave.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct NoneAccepts {
    /// Earliest end of a rest; `None` when all leave.
    pub first_end: Option<Instant>,
}

/// Constraints of a request on its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointQuery<'a> {
    /// Model or service.
    pub target: &'a TargetId,
    /// Performance model of the target's engines, which need weights; `None` for a plain service.
    pub engine: Option<&'a EngineModel>,
    /// Caller's estimate of the answer length in tokens.
    pub answer_tokens: Option<u32>,
    /// Model that the request names; `None` for the endpoint's first model.
    pub model: Option<&'a str>,
    /// Weight version that a resumed stream must use.
    pub version: Option<u64>,
    /// Regions allowed by the route; empty for all.
    pub route_regions: &'a [RegionId],
    /// Regions allowed by the customer; empty for all.
    pub customer_regions: &'a [RegionId],
    /// Endpoints that were tried already and are excluded.
    pub tried: &'a [EndpointId],
}

impl Fleet {
    /// Creates a fleet without endpoints.
    pub fn new(mitigations: Mitigations) -> Self {
        Self {
            mitigations,
            ..Self::default()
        }
    }

    /// Adds or updates an endpoint from the list. Returns true when it is new or has restarted.
    pub fn update_endpoint(&mut self, now: Instant, listed: ListedEndpoint) -> bool {
        if listed.is_leaving {
            self.leaving.insert((listed.incarnation, listed.id.clone()));
        }
        match self.endpoints.get_mut(&listed.id) {
            Some(endpoint) => {
                self.is_subset_outdated |= endpoint.is_unlisted;
                endpoint.update_listing(now, listed)
            }
            None => {
                let id = listed.id.clone();
                let endpoint = Endpoint::new(now, listed, self.mitigations);
                self.endpoints.insert(id, endpoint);
                self.is_subset_outdated = true;
                true
            }
        }
    }

    /// Handles the removal of an endpoint from the list; it gets no new requests.
    pub fn remove_endpoint(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.is_unlisted = true;
            self.is_subset_outdated = true;
        }
        self.sweep();
    }

    /// Handles an endpoint whose lease expired while the store was unavailable: it stays in use for
    /// `LEASE_GRACE`.
    pub fn start_lease_grace(&mut self, now: Instant, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.grace_deadline.get_or_insert(now + LEASE_GRACE);
        }
    }

    /// Drops endpoints that left the list and have no request of this entry.
    pub fn sweep(&mut self) {
        self.endpoints
            .retain(|_, e| !e.is_unlisted || e.occupancy.own() > 0);
    }

    /// Chooses the endpoints that the entry with `key` in `region` prefers, if those that it may use
    /// have changed.
    pub(super) fn refresh_subset(&mut self, key: u64, region: &str) {
        if !std::mem::take(&mut self.is_subset_outdated) {
            return;
        }
        let in_service = self
            .endpoints()
            .filter(|e| !self.evacuated.contains(&e.listed.zone));
        let candidates = in_service.map(|e| Candidate {
            id: &e.listed.id,
            target: &e.listed.target,
            region: &e.listed.region,
        });
        self.preferred = preferred(key, region, candidates);
    }

    /// True when this entry prefers an endpoint.
    pub fn is_preferred(&self, id: &str) -> bool {
        self.preferred.contains(id)
    }

    /// All endpoints on the list.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().filter(|e| !e.is_unlisted)
    }

    /// Endpoint by name, also when it has left the list.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// Endpoint by name, also when it has left the list.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Applies a load report from the agent of a host, and returns the endpoint; `None` when none is
    /// listed there.
    pub(super) fn update_load(
        &mut self,
        now: Instant,
        host: IpAddr,
        load: EndpointLoad,
    ) -> Option<&mut Endpoint> {
        let mut found = self
            .endpoints
            .values_mut()
            .filter(|e| !e.is_unlisted && e.listed.addr.ip() == host);
        let endpoint = found.next()?;
        endpoint.update_load(now, load);
        Some(endpoint)
    }

    /// How `entries` entries share the endpoints of a target, by those whose load is known.
    pub(super) fn sharing(&self, now: Instant, target: &str, entries: u32) -> Sharing {
        let known = self.endpoints.values();
        let known = known.filter(|e| *e.listed.target == *target && e.load_age(now).is_some());
        let (own, all) = known.fold((0_u32, 0_u32), |(own, all), e| {
            let in_system = e.in_system(now, entries);
            (
                own.saturating_add(e.occupancy.own()),
                all.saturating_add(in_system),
            )
        });
        Sharing::new(own, all, entries)
    }

    /// Prepares the limits that endpoints name for another number of entries; `entries` is the one up
    /// to now.
    pub(super) fn settle_limits(&mut self, now: Instant, entries: u32) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.limit.settle(now, entries);
        }
    }

    /// Sets the zones whose endpoints get no new requests.
    pub fn set_evacuated_zones(&mut self, zones: BTreeSet<ZoneId>) {
        self.evacuated = zones;
        self.is_subset_outdated = true;
    }

    /// Records a report on the time at which a version became the wanted one of a model.
    pub fn set_wanted_version(
        &mut self,
        model: &str,
        version: u64,
        named: ChangeTime,
    ) -> VersionUpdate {
        let versions = self.wanted_versions.entry(model.into()).or_default();
        let is_newest = versions
            .keys()
            .next_back()
            .is_none_or(|last| *last < version);
        let before = versions.get(&version).copied();
        let refined = before.unwrap_or_default().refined(named);
        versions.insert(version, refined);
        while versions.len() > MAX_WANTED_VERSIONS {
            versions.pop_first();
        }
        let is_moved = match (before.and_then(ChangeTime::earliest), refined.earliest()) {
            (Some(before), Some(after)) => {
                before.max(after) - before.min(after) >= MIN_REPORTED_MOVE
            }
            (before, after) => before != after,
        };
        VersionUpdate {
            is_newest,
            named: refined,
            is_dated: before.is_none() || is_moved,
            is_changed: before != Some(refined),
        }
    }

    /// Forgets the wanted versions of a model.
    pub fn forget_model(&mut self, model: &str) {
        self.wanted_versions.remove(model);
    }

    /// Remembered wanted versions of each model, oldest first, with the time at which each became that.
    pub fn wanted_versions(&self) -> impl Iterator<Item = (&str, u64, ChangeTime)> {
        self.wanted_versions.iter().flat_map(|(model, versions)| {
            let versions = versions.iter();
            versions.map(move |(version, named)| (&**model, *version, *named))
        })
    }

    /// Time at which a version of a model ends: `grace` after a newer one may have become the wanted
    /// version. That is `now` where the time is not known, and `None` while no newer one is wanted.
    pub fn version_end(
        &self,
        now: Instant,
        model: &str,
        version: u64,
        grace: Duration,
    ) -> Option<Instant> {
        let newer = (Bound::Excluded(version), Bound::Unbounded);
        let newer = self.wanted_versions.get(model)?.range(newer);
        newer
            .map(|(_, named)| named.earliest().map_or(now, |at| at + grace))
            .min()
    }

    /// Endpoints that may run a request now, regardless of their load.
    pub fn eligible<'a>(
        &'a self,
        now: Instant,
        query: EndpointQuery<'a>,
        grace: Duration,
    ) -> impl Iterator<Item = &'a Endpoint> + 'a {
        self.of_target(query.target)
            .filter(move |e| self.exclusion(now, e, query, grace).is_none())
    }

    /// Why an endpoint of a request's target may not run the request now, regardless of its load.
    pub(super) fn exclusion(
        &self,
        now: Instant,
        endpoint: &Endpoint,
        query: EndpointQuery,
        grace: Duration,
    ) -> Option<Exclusion> {
        if let Some(exclusion) = self.unsuitable(now, endpoint, query, grace) {
            return Some(exclusion);
        }
        if endpoint.health.is_paused(now) {
            return Some(Exclusion::Paused);
        }
        (!self.accepts(now, endpoint)).then_some(Exclusion::NotAccepting)
    }

    /// Why none of the endpoints that may run a request wants one; `None` when one does, or there are none.
    pub(super) fn none_accepts(
        &self,
        now: Instant,
        query: EndpointQuery,
        grace: Duration,
    ) -> Option<NoneAccepts> {
        let mut found = None;
        for endpoint in self.suitable(now, query, grace) {
            let key = endpoint.key();
            let rest_end = match self.leaving.contains(&key) {
                true => None,
                false => Some(self.rests.until(now, &key)?),
            };
            let NoneAccepts { first_end } = found.unwrap_or_default();
            let first_end = first_end.into_iter().chain(rest_end).min();
            found = Some(NoneAccepts { first_end });
        }
        found
    }

    /// True when no endpoint of the target may run a request by its version now or `within` a time: all serve
    /// versions that have ended, or none at all, and none is changing its version. False without a recent load
    /// report of any, as this entry then does not know.
    pub(super) fn lacks_version(
        &self,
        now: Instant,
        query: EndpointQuery,
        grace: Duration,
        within: Duration,
    ) -> bool {
        let by = now + within;
        let endpoints = || {
            let endpoints = self.of_target(query.target);
            endpoints.filter(|e| self.out_of_reach(now, e, query).is_none())
        };
        endpoints().any(|e| e.load_age(now).is_some())
            && endpoints().all(|e| {
                let changes = e.is_switching(now) || e.switch_at(now).is_some_and(|at| at <= by);
                !changes && !self.serves_wanted(now, e, query, grace)
            })
    }

    /// True unless an endpoint wants no request of this entry.
    pub(super) fn accepts(&self, now: Instant, endpoint: &Endpoint) -> bool {
        let key = endpoint.key();
        !self.leaving.contains(&key) && self.rests.until(now, &key).is_none()
    }

    /// Endpoints that may run a request, also those that are paused, rest or leave.
    fn suitable<'a>(
        &'a self,
        now: Instant,
        query: EndpointQuery<'a>,
        grace: Duration,
    ) -> impl Iterator<Item = &'a Endpoint> + 'a {
        self.of_target(query.target)
            .filter(move |e| self.unsuitable(now, e, query, grace).is_none())
    }

    /// All endpoints of a target.
    pub(super) fn of_target<'a>(
        &'a self,
        target: &'a TargetId,
    ) -> impl Iterator<Item = &'a Endpoint> + 'a {
        let endpoints = self.endpoints.values();
        endpoints.filter(move |e| e.listed.target == *target)
    }

    /// Why an endpoint of a request's target may not run it, whether it would accept it or not.
    fn unsuitable(
        &self,
        now: Instant,
        endpoint: &Endpoint,
        query: EndpointQuery,
        grace: Duration,
    ) -> Option<Exclusion> {
        if let Some(exclusion) = self.out_of_reach(now, endpoint, query) {
            return Some(exclusion);
        }
        let engine = query.engine?;
        if self.mitigations.push && endpoint.is_switching(now) {
            return Some(Exclusion::Switching);
        }
        if !self.serves_wanted(now, endpoint, query, grace) {
            return Some(Exclusion::Version);
        }
        (!self.ends_in_time(now, endpoint, engine, query)).then_some(Exclusion::SwitchingSoon)
    }

    /// Why a request may not go to an endpoint of its target, whatever that serves.
    fn out_of_reach(
        &self,
        now: Instant,
        endpoint: &Endpoint,
        query: EndpointQuery,
    ) -> Option<Exclusion> {
        let allows =
            |regions: &[RegionId]| regions.is_empty() || regions.contains(&endpoint.listed.region);
        if !self.is_in_service(now, endpoint) {
            Some(Exclusion::OutOfService)
        } else if !allows(query.route_regions) || !allows(query.customer_regions) {
            Some(Exclusion::Region)
        } else if query.tried.contains(&endpoint.listed.id) {
            Some(Exclusion::Tried)
        } else {
            None
        }
    }

    /// True while an endpoint gets new requests: it is listed and its zone is in service.
    pub(super) fn is_in_service(&self, now: Instant, endpoint: &Endpoint) -> bool {
        !endpoint.is_unlisted
            && endpoint.grace_deadline.is_none_or(|until| now < until)
            && !self.evacuated.contains(&endpoint.listed.zone)
    }

    /// True when an endpoint serves a version on which the request may begin now.
    fn serves_wanted(
        &self,
        now: Instant,
        endpoint: &Endpoint,
        query: EndpointQuery,
        grace: Duration,
    ) -> bool {
        let model = endpoint.model(query.model);
        let Some((model, version)) = model.zip(endpoint.version(query.model)) else {
            return false;
        };
        let end = self.version_end(now, model, version, grace);
        query.version.is_none_or(|wanted| wanted == version) && end.is_none_or(|end| now < end)
    }

    /// False when the request would delay an engine that is about to switch its version.
    fn ends_in_time(
        &self,
        now: Instant,
        endpoint: &Endpoint,
        engine: &EngineModel,
        query: EndpointQuery,
    ) -> bool {
        let answer = query
            .answer_tokens
            .map_or(engine.mean_answer_tokens, f64::from);
        let change_at = endpoint.switch_at(now).filter(|_| self.mitigations.push);
        ends_before_change(now, change_at, engine.decode_time(answer))
    }
}
