//! The placement object.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::power::Grants;
use crate::types::{Digest, EndpointId, Generation, HostId, TargetId};

/// Which endpoint holds which version; the object's version is the fencing number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// Generation of the targets that it was computed from.
    ///
    /// Invariant: never lower than that of the placement it replaced.
    pub generation: Generation,
    /// Assignments by endpoint; an endpoint without one gets no orders.
    pub endpoints: BTreeMap<EndpointId, Assignment>,
    /// Shares of the site's power by endpoint, of plain services as well.
    #[serde(default, skip_serializing_if = "Grants::is_empty")]
    pub grants: Grants,
}

/// What one endpoint has to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// Host of the endpoint.
    pub host: HostId,
    /// Model that the endpoint serves.
    pub model: TargetId,
    /// Version to serve, as the digest of its manifest.
    pub version: Digest,
    /// Version to fetch ahead of a later switch-over; absent once it is the one to serve.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<Digest>,
}

impl Placement {
    /// Reads a placement from its JSON text.
    ///
    /// # Errors
    ///
    /// The text is no placement.
    pub fn from_json(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Writes the placement as JSON text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("maps with text keys are written as JSON")
    }

    /// The part that each host has to know: its own assignments and grants.
    pub fn split_by_host(&self) -> BTreeMap<HostId, Self> {
        let mut parts = BTreeMap::new();
        for (id, assignment) in &self.endpoints {
            let part = self.part_of(&mut parts, &assignment.host);
            part.endpoints.insert(id.clone(), assignment.clone());
        }
        for (id, grant) in &self.grants {
            let part = self.part_of(&mut parts, &grant.host);
            part.grants.insert(id.clone(), grant.clone());
        }
        parts
    }

    fn part_of<'a>(&self, parts: &'a mut BTreeMap<HostId, Self>, host: &HostId) -> &'a mut Self {
        parts.entry(host.clone()).or_insert_with(|| Self {
            generation: self.generation,
            ..Self::default()
        })
    }

    /// Hosts that hold or fetch a version; the swarm of that version.
    pub fn hosts_of(&self, version: &str) -> Vec<HostId> {
        let mut hosts: Vec<HostId> = self
            .endpoints
            .values()
            .filter(|assignment| assignment.fetches(version))
            .map(|assignment| assignment.host.clone())
            .collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }
}

impl Assignment {
    /// Version that the host has to hold: the next one, or else the one to serve.
    pub fn version_to_hold(&self) -> &Digest {
        self.next.as_ref().unwrap_or(&self.version)
    }

    fn fetches(&self, version: &str) -> bool {
        &**self.version_to_hold() == version
    }
}
