//! Shares of the site's power, one for each endpoint.

use serde::{Deserialize, Serialize};

use crate::types::{EndpointId, Milliwatts};

/// Share of one endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Power that the endpoint may draw from now on.
    pub power: Milliwatts,
    /// Most that the endpoint may still draw under an earlier placement.
    ///
    /// Invariant: at least `power`; the ceilings of a placement sum up to the cap at most.
    pub ceiling: Milliwatts,
}

/// The part of a placement that speaks of power.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementGrants {
    /// Shares; an endpoint without one is not limited.
    #[serde(default)]
    pub grants: Vec<Grant>,
}

impl PlacementGrants {
    /// Share of an endpoint.
    pub fn of(&self, endpoint: &str) -> Option<Milliwatts> {
        self.grants
            .iter()
            .find(|grant| &*grant.endpoint == endpoint)
            .map(|grant| grant.power)
    }
}
