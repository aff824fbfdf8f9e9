//! The placement as it is stored in the object API.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::power::Grants;
use crate::types::{Digest, EndpointId, Generation, HostId, TargetId};

/// Model version and power grant of each endpoint. The version of the stored object is the fencing
/// number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// Generation of the targets that the placement was computed from.
    ///
    /// Invariant: never lower than that of the placement it replaced.
    pub generation: Generation,
    /// Assignments by endpoint; an endpoint without one receives no orders.
    pub endpoints: BTreeMap<EndpointId, Assignment>,
    /// Shares of the site's power by endpoint, including endpoints of plain services.
    #[serde(default, skip_serializing_if = "Grants::is_empty")]
    pub grants: Grants,
}

/// Versions that one endpoint has to serve and fetch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// Host of the endpoint.
    pub host: HostId,
    /// Model that the endpoint serves.
    pub model: TargetId,
    /// Version to serve, as the digest of its manifest.
    pub version: Digest,
    /// Version to fetch before a later switch to it; absent once it is the version to serve.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<Digest>,
}

impl Placement {
    /// Reads a placement from its JSON text.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is not a valid placement.
    pub fn from_json(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Writes the placement as JSON text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("maps with string keys serialize to JSON")
    }

    /// Splits the placement into one per host, with only the assignments and grants of that host.
    pub fn split_by_host(&self) -> BTreeMap<HostId, Self> {
        let mut by_host = BTreeMap::new();
        for (id, assignment) in &self.endpoints {
            let part = self.host_part(&mut by_host, &assignment.host);
            part.endpoints.insert(id.clone(), assignment.clone());
        }
        for (id, grant) in &self.grants {
            let part = self.host_part(&mut by_host, &grant.host);
            part.grants.insert(id.clone(), grant.clone());
        }
        by_host
    }

    fn host_part<'a>(
        &self,
        by_host: &'a mut BTreeMap<HostId, Self>,
        host: &HostId,
    ) -> &'a mut Self {
        by_host.entry(host.clone()).or_insert_with(|| Self {
            generation: self.generation,
            ..Self::default()
        })
    }

    /// Hosts that have to hold a version, sorted; they exchange its chunks with each other.
    pub fn hosts_of(&self, version: &str) -> Vec<HostId> {
        let mut hosts: Vec<HostId> = self
            .endpoints
            .values()
            .filter(|assignment| assignment.requires(version))
            .map(|assignment| assignment.host.clone())
            .collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }
}

impl Assignment {
    /// Version that the host has to hold: `next` if present, otherwise `version`.
    pub fn version_to_hold(&self) -> &Digest {
        self.next.as_ref().unwrap_or(&self.version)
    }

    fn requires(&self, version: &str) -> bool {
        &**self.version_to_hold() == version
    }
}
