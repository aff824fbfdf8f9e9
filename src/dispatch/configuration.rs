//! Routes, customers, targets and limits that operators declare.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::types::{CustomerId, RegionId, TargetId};

use super::estimate::EngineModel;

/// Whether a request may be repeated after an attempt that may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// It must not run again.
    Never,
    /// It may run any number of times (idempotent).
    Safe,
    /// Its event stream may be resumed at another endpoint after the last event received.
    Resumable,
}

/// Rules for the requests of one host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name that the operator gave it; used in logs and metrics.
    pub name: Arc<str>,
    /// Host name in lower case, without the port.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Targets that serve it, with their traffic weights.
    ///
    /// Invariant: not empty.
    pub targets: Vec<(TargetId, u32)>,
    /// True when answers are event streams.
    pub is_stream: bool,
    /// Whether a request may be repeated after an attempt that may have run.
    pub repeat: Repeat,
    /// Upper bound on the time for the whole answer.
    pub timeout: Duration,
    /// Objective for the time to the start of the answer; a later start counts as late.
    pub start_goal: Duration,
    /// Objective for the longest gap between two events of a stream.
    pub gap_goal: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// True when callers need no API key.
    pub anonymous: bool,
    /// Regions that may serve it; empty for all.
    pub regions: Vec<RegionId>,
}

/// Customer that requests are accounted to.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Unique name.
    pub id: CustomerId,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Regions that may serve it; empty for all.
    pub regions: Vec<RegionId>,
}

/// Model or plain service that routes send requests to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Unique name.
    pub id: TargetId,
    /// Performance model of its engines; `None` for a plain service.
    pub engine: Option<EngineModel>,
    /// Names of the models that its engines may serve; empty for a plain service.
    pub models: Vec<Arc<str>>,
    /// Requests per second that a cold endpoint accepts from all entries together; 0 for no limit.
    pub cold_rate: f64,
}

/// Limits on caller connections and requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Timeout for reading a request head, and for reading a body.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Complete configuration declared by the operator.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Version number; increases with each change.
    pub version: u64,
    /// Routes of each host name, longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Customers by API key.
    keys: HashMap<Arc<str>, Arc<Customer>>,
    /// True when customers are declared, so that requests need an API key unless their route is
    /// anonymous.
    pub requires_key: bool,
    /// Targets by name.
    pub targets: HashMap<TargetId, Arc<Target>>,
    /// Limits on caller connections and requests.
    pub limits: CallerLimits,
}

impl Configuration {
    /// Builds a configuration; without `customers` no API key is required.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        customers: Option<Vec<(Customer, Vec<Arc<str>>)>>,
        targets: Vec<Target>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let requires_key = customers.is_some();
        let keys = customers
            .unwrap_or_default()
            .into_iter()
            .flat_map(|(customer, keys)| {
                let customer = Arc::new(customer);
                keys.into_iter().map(move |key| (key, customer.clone()))
            })
            .collect();
        Self {
            version,
            routes: by_host,
            keys,
            requires_key,
            targets: targets
                .into_iter()
                .map(|target| (target.id.clone(), Arc::new(target)))
                .collect(),
            limits,
        }
    }

    /// Returns the host's route with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the customer that an API key belongs to.
    pub fn customer(&self, key: &str) -> Option<&Arc<Customer>> {
        self.keys.get(key)
    }

    /// Returns an API key of a customer; `None` when it has none.
    pub fn key_of(&self, customer: &str) -> Option<Arc<str>> {
        let mut keys = self.keys.iter();
        let (key, _) = keys.find(|(_, owner)| *owner.id == *customer)?;
        Some(key.clone())
    }

    /// Number of routes over all hosts.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
