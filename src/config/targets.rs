//! Body of a configuration.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::types::{ClassId, CustomerId, Digest, Milliwatts, TargetId, ZoneId};

/// Everything that operators declare.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Targets {
    /// Cap on the power that all endpoints draw together.
    pub site_power: Milliwatts,
    /// Classes of work.
    pub classes: Vec<Class>,
    /// Customers.
    pub customers: Vec<Customer>,
    /// Models and the version that each one serves.
    pub models: Vec<Model>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Every availability zone; empty when the operators do not list them.
    #[serde(default)]
    pub zones: BTreeSet<ZoneId>,
    /// Availability zones that take no new work.
    pub zones_out: BTreeSet<ZoneId>,
}

/// A class of work.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Class {
    /// Name of the class.
    pub id: ClassId,
    /// Model or service that serves it.
    pub target: TargetId,
    /// Time within which an answer starts.
    pub first_token: Duration,
    /// Power that the class may draw.
    pub power: Milliwatts,
    /// Rank among classes; a lower number goes first.
    pub priority: u8,
    /// True when a request must run at most once and so needs an idempotency key.
    pub keyed: bool,
    /// True when running work may be paused or cancelled and resumed later.
    pub deferrable: bool,
}

/// A customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Customer {
    /// Name of the customer.
    pub id: CustomerId,
    /// Weight of the customer's fair share.
    pub weight: u32,
}

/// A model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Model {
    /// Name of the model.
    pub id: TargetId,
    /// Name of the version that callers see.
    pub version: Arc<str>,
    /// Digest of the version's manifest, resolved when the targets were applied.
    pub manifest: Digest,
    /// Replicas wanted; `None` for every endpoint of the model's kind.
    pub replicas: Option<u32>,
}

/// A plain service.
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
