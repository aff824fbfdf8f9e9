//! Places that customers hold at the endpoints of each target.

use std::collections::BTreeMap;

use crate::types::{CustomerId, TargetId};

/// A customer that holds this many times its fair share of places is over it.
const OVER_FACTOR: f64 = 2.0;
/// Places above that bound that chance may give.
const OVER_SLACK: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
struct Held {
    /// Invariant: above 0.
    places: u32,
    weight: f64,
}

/// Places in use, by target and customer.
#[derive(Debug, Default)]
pub struct Shares {
    targets: BTreeMap<TargetId, BTreeMap<CustomerId, Held>>,
}

impl Shares {
    /// A customer takes a place.
    pub fn take(&mut self, target: &TargetId, customer: &CustomerId, weight: u32) {
        let held = self
            .targets
            .entry(target.clone())
            .or_default()
            .entry(customer.clone())
            .or_insert(Held {
                places: 0,
                weight: 1.0,
            });
        held.places += 1;
        held.weight = f64::from(weight.max(1));
    }

    /// A customer gives a place back.
    pub fn release(&mut self, target: &str, customer: &str) {
        let Some(customers) = self.targets.get_mut(target) else {
            return;
        };
        if let Some(held) = customers.get_mut(customer) {
            held.places -= 1;
            if held.places == 0 {
                customers.remove(customer);
            }
        }
    }

    /// True when a customer holds far more than its fair share of the places in use.
    ///
    /// A customer that is alone is never over its share.
    pub fn is_over_share(&self, target: &str, customer: &str) -> bool {
        let Some(customers) = self.targets.get(target) else {
            return false;
        };
        let Some(held) = customers.get(customer) else {
            return false;
        };
        let places: u32 = customers.values().map(|held| held.places).sum();
        let weights: f64 = customers.values().map(|held| held.weight).sum();
        let fair = f64::from(places) * held.weight / weights;
        f64::from(held.places) > fair * OVER_FACTOR + OVER_SLACK
    }
}
