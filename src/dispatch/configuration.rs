//! What operators want, as the request core sees it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::types::{CustomerId, RegionId, TargetId};

use super::estimate::EngineModel;

/// What may be done with a request that may have run already.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// It must not run again.
    Never,
    /// It may run any number of times.
    Safe,
    /// Its event stream may be continued after the last event that was received.
    Resumable,
}

/// Rules for the requests of one host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name that operators gave it.
    pub name: Arc<str>,
    /// Host name of the requests.
    pub host: Arc<str>,
    /// Leading part of the path, from slash to slash.
    pub prefix: Arc<str>,
    /// Targets that serve it, with their weights.
    ///
    /// Invariant: not empty.
    pub targets: Vec<(TargetId, u32)>,
    /// Whether answers are event streams.
    pub is_stream: bool,
    /// What may be done with a request that may have run.
    pub repeat: Repeat,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the start of the answer for which service counts in full.
    pub start_goal: Duration,
    /// Longest pause between two events of an answer that is on time.
    pub gap_goal: Option<Duration>,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// True when callers need no key.
    pub anonymous: bool,
    /// Regions that may serve it; empty for all.
    pub regions: Vec<RegionId>,
}

/// Who requests are accounted to.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name.
    pub id: CustomerId,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Regions that may serve it; empty for all.
    pub regions: Vec<RegionId>,
}

/// Model or plain service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name.
    pub id: TargetId,
    /// Time model of its engines; absent for a plain service.
    pub engine: Option<EngineModel>,
    /// Models that its engines may serve; empty for a plain service.
    pub models: Vec<Arc<str>>,
    /// Requests a second that a cold endpoint bears from all entries; 0 when it has no bound.
    pub cold_rate: f64,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time within which a head or a body must arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may stay unused.
    pub idle_timeout: Duration,
}

/// What operators want in full.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Version; grows with each change.
    pub version: u64,
    /// Routes of each host name, longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    keys: HashMap<Arc<str>, Arc<Customer>>,
    /// True when requests need a key unless their route is anonymous.
    pub has_customers: bool,
    /// Targets by name.
    pub targets: HashMap<TargetId, Arc<Target>>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
}

impl Configuration {
    /// Puts a configuration together.
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
        let has_customers = customers.is_some();
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
            has_customers,
            targets: targets
                .into_iter()
                .map(|target| (target.id.clone(), Arc::new(target)))
                .collect(),
            limits,
        }
    }

    /// The route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The customer that holds a key.
    pub fn customer(&self, key: &str) -> Option<&Arc<Customer>> {
        self.keys.get(key)
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
