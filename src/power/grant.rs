//! Division of the site's power over its endpoints.
//!
//! A share is lowered before another is raised: a grant carries a ceiling, which stays at the
//! earlier share until the endpoint's agent has taken in the lower one and draws no more than it.
//! The ceilings sum up to the cap at most, so a lost message can only lower the total.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::types::{EndpointId, HostId, Milliwatts};

/// Share of an endpoint at most, as a multiple of its declared draw at full load.
const SHARE_PER_FULL_MAX: u64 = 16;

/// Share of one endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Host of the endpoint.
    pub host: HostId,
    /// Power that the endpoint may draw from now on.
    pub power: Milliwatts,
    /// Most that the endpoint may still draw under an earlier grant.
    ///
    /// Invariant: at least `power`; the ceilings of a placement sum up to the cap at most, unless
    /// the cap itself was lowered.
    pub ceiling: Milliwatts,
    /// Declared draw at full load.
    #[serde(rename = "full")]
    pub full_load: Milliwatts,
}

/// What an entry knows of the power of one endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointPower {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its host.
    pub host: HostId,
    /// Declared draw at full load.
    pub full_load: Milliwatts,
    /// True when its agent has taken in the present grant.
    pub has_applied_grant: bool,
    /// Draw that the agent reports.
    pub draw: Milliwatts,
}

/// Shares by endpoint.
pub type Grants = BTreeMap<EndpointId, Grant>;

/// Computes the next shares: the cap in proportion to the declared draw at full load.
///
/// A grant of an endpoint that the entry does not know stays as it is while its host is listed.
pub fn divide_power(
    cap: Milliwatts,
    current: &Grants,
    known: &[EndpointPower],
    is_listed: impl Fn(&HostId) -> bool,
) -> Grants {
    if cap == 0 {
        return Grants::new();
    }
    let mut next = carried(current, known, is_listed);
    let total = next.values().map(|grant| grant.full_load).sum();
    for grant in next.values_mut() {
        grant.power = grant.power.min(share(cap, grant.full_load, total));
        grant.ceiling = grant.ceiling.max(grant.power);
    }
    let bound: Milliwatts = next.values().map(|grant| grant.ceiling).sum();
    let mut spare = cap.saturating_sub(bound);
    for grant in next.values_mut() {
        spare -= raise(grant, share(cap, grant.full_load, total), spare);
    }
    next
}

/// Present grants, with the ceilings lowered where the agent has followed.
fn carried(
    current: &Grants,
    known: &[EndpointPower],
    is_listed: impl Fn(&HostId) -> bool,
) -> Grants {
    let listed = current.iter().filter(|(_, grant)| is_listed(&grant.host));
    let mut next: Grants = listed
        .map(|(endpoint, grant)| (endpoint.clone(), grant.clone()))
        .collect();
    for fact in known {
        let grant = next.entry(fact.endpoint.clone()).or_insert_with(|| Grant {
            host: fact.host.clone(),
            power: 0,
            ceiling: 0,
            full_load: fact.full_load,
        });
        grant.full_load = fact.full_load;
        if fact.has_applied_grant && fact.draw <= grant.power {
            grant.ceiling = grant.power;
        }
    }
    next
}

fn share(cap: Milliwatts, full: Milliwatts, total: Milliwatts) -> Milliwatts {
    if total == 0 {
        return 0;
    }
    let share = u128::from(cap) * u128::from(full) / u128::from(total);
    let most = full.saturating_mul(SHARE_PER_FULL_MAX);
    u64::try_from(share).map_or(most, |share| share.min(most))
}

/// Raises a grant towards its share; returns how much of `spare` that takes.
fn raise(grant: &mut Grant, share: Milliwatts, spare: Milliwatts) -> Milliwatts {
    let power = share.min(grant.ceiling + spare);
    let before = grant.ceiling;
    grant.power = grant.power.max(power);
    grant.ceiling = grant.ceiling.max(grant.power);
    grant.ceiling - before
}
