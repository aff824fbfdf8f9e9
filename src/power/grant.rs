//! Division of the site's power cap among its endpoints.
//!
//! One grant is lowered before another is raised. Each grant has a ceiling, which stays at the
//! earlier, higher power until the endpoint's agent has applied the lower grant and the endpoint
//! draws no more than that. The sum of the ceilings never exceeds the cap, so a lost message can
//! only reduce the total draw.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::types::{EndpointId, HostId, Milliwatts};

/// Largest share of an endpoint, as a multiple of its declared draw at full load.
const MAX_SHARE_PER_FULL_LOAD: u64 = 16;

/// Power granted to one endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Host of the endpoint.
    pub host: HostId,
    /// Power that the endpoint may draw under this grant.
    pub power: Milliwatts,
    /// Most power that the endpoint may still draw under an earlier grant.
    ///
    /// Invariant: at least `power`. The sum of the ceilings of a placement does not exceed the cap
    /// unless the cap itself was lowered.
    pub ceiling: Milliwatts,
    /// Declared draw at full load.
    #[serde(rename = "full")]
    pub full_load: Milliwatts,
}

/// Power state of one endpoint as an entry last observed it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointPower {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Host of the endpoint.
    pub host: HostId,
    /// Declared draw at full load.
    pub full_load: Milliwatts,
    /// True when its agent has applied the current grant.
    pub has_applied_grant: bool,
    /// Power draw that the agent reports.
    pub draw: Milliwatts,
}

/// Grants by endpoint.
pub type Grants = BTreeMap<EndpointId, Grant>;

/// Computes the next grants. The cap is divided in proportion to the declared draw at full load.
///
/// The grant of an endpoint that the entry does not know is kept while its host is listed. Its
/// ceiling is not lowered, because the entry cannot tell what the endpoint still draws.
pub fn divide_power(
    cap: Milliwatts,
    current: &Grants,
    known: &[EndpointPower],
    is_listed: impl Fn(&HostId) -> bool,
) -> Grants {
    if cap == 0 {
        return Grants::new();
    }
    let mut next = carry_over(current, known, is_listed);
    let total_full_load = next.values().map(|grant| grant.full_load).sum();
    for grant in next.values_mut() {
        grant.power = grant
            .power
            .min(share(cap, grant.full_load, total_full_load));
        grant.ceiling = grant.ceiling.max(grant.power);
    }
    let committed: Milliwatts = next.values().map(|grant| grant.ceiling).sum();
    let mut spare = cap.saturating_sub(committed);
    for grant in next.values_mut() {
        spare -= raise(grant, share(cap, grant.full_load, total_full_load), spare);
    }
    next
}

/// Grants of listed hosts, with ceilings lowered where the agent has applied the grant, plus empty
/// grants for new endpoints.
fn carry_over(
    current: &Grants,
    known: &[EndpointPower],
    is_listed: impl Fn(&HostId) -> bool,
) -> Grants {
    let listed = current.iter().filter(|(_, grant)| is_listed(&grant.host));
    let mut next: Grants = listed
        .map(|(id, grant)| (id.clone(), grant.clone()))
        .collect();
    for endpoint in known {
        let grant = next.entry(endpoint.id.clone()).or_insert_with(|| Grant {
            host: endpoint.host.clone(),
            power: 0,
            ceiling: 0,
            full_load: endpoint.full_load,
        });
        grant.full_load = endpoint.full_load;
        if endpoint.has_applied_grant && endpoint.draw <= grant.power {
            grant.ceiling = grant.power;
        }
    }
    next
}

/// Share of `cap` of an endpoint, in proportion to its declared draw at full load.
fn share(cap: Milliwatts, full_load: Milliwatts, total_full_load: Milliwatts) -> Milliwatts {
    if total_full_load == 0 {
        return 0;
    }
    let share = u128::from(cap) * u128::from(full_load) / u128::from(total_full_load);
    let max_share = full_load.saturating_mul(MAX_SHARE_PER_FULL_LOAD);
    u64::try_from(share).map_or(max_share, |share| share.min(max_share))
}

/// Raises a grant towards its share; returns how much of `spare` this uses.
fn raise(grant: &mut Grant, share: Milliwatts, spare: Milliwatts) -> Milliwatts {
    let power = share.min(grant.ceiling + spare);
    let before = grant.ceiling;
    grant.power = grant.power.max(power);
    grant.ceiling = grant.ceiling.max(grant.power);
    grant.ceiling - before
}
