//! Targets that operators declare in a configuration.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::types::{ClassId, CustomerId, Digest, Milliwatts, TargetId, ZoneId};

/// Everything that operators declare.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Targets {
    /// Cap on the total power of all endpoints, in milliwatts.
    pub site_power: Milliwatts,
    /// Classes of work.
    pub classes: Vec<Class>,
    /// Customers that send requests.
    pub customers: Vec<Customer>,
    /// Models, each with the version that it serves.
    pub models: Vec<Model>,
    /// Services that are not models.
    pub services: Vec<Service>,
    /// All availability zones; empty if the operators do not list them.
    #[serde(default)]
    pub zones: BTreeSet<ZoneId>,
    /// Availability zones out of service, which take no new work.
    pub zones_out: BTreeSet<ZoneId>,
}

/// A class of work.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Class {
    /// Name of the class.
    pub id: ClassId,
    /// Model or service that serves the class.
    pub target: TargetId,
    /// Target time until an answer starts.
    pub first_token: Duration,
    /// Power that the class may use, in milliwatts.
    pub power: Milliwatts,
    /// Priority among classes; a lower number is served first.
    pub priority: u8,
    /// True if a request must run at most once and therefore needs an idempotency key.
    pub keyed: bool,
    /// True if running work may be paused, or cancelled and resumed later.
    pub deferrable: bool,
}

/// A customer and its weight in fair sharing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Customer {
    /// Name of the customer.
    pub id: CustomerId,
    /// Weight of the customer's fair share.
    pub weight: u32,
}

/// A model with the version and number of replicas to serve.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Model {
    /// Name of the model.
    pub id: TargetId,
    /// Version name that callers see.
    pub version: Arc<str>,
    /// Digest of the version's manifest, resolved when the targets are applied.
    pub manifest: Digest,
    /// Desired number of replicas; `None` for every endpoint of the model's kind.
    pub replicas: Option<u32>,
}

/// A service that is not a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub id: TargetId,
}

impl Targets {
    /// Finds a class by name.
    pub fn class(&self, id: &str) -> Option<&Class> {
        self.classes.iter().find(|class| &*class.id == id)
    }

    /// Finds a customer by name.
    pub fn customer(&self, id: &str) -> Option<&Customer> {
        self.customers.iter().find(|customer| &*customer.id == id)
    }

    /// Finds a model by name.
    pub fn model(&self, id: &str) -> Option<&Model> {
        self.models.iter().find(|model| &*model.id == id)
    }
}
