//! Slots that customers hold at the endpoints of each target.

use std::collections::BTreeMap;

use crate::types::{CustomerId, TargetId};

/// Factor on a customer's fair share of slots above which it is over its share.
const MAX_SHARE_FACTOR: f64 = 2.0;
/// Slots above that bound that are tolerated as random variation.
const SHARE_ALLOWANCE: f64 = 2.0;

/// Slots held by one customer.
#[derive(Clone, Copy, Debug)]
struct HeldSlots {
    /// Invariant: above 0.
    slots: u32,
    weight: f64,
}

/// Slots in use, by target and customer.
#[derive(Debug, Default)]
pub struct Shares {
    targets: BTreeMap<TargetId, BTreeMap<CustomerId, HeldSlots>>,
}

impl Shares {
    /// Records that a customer takes a slot.
    pub fn take(&mut self, target: &TargetId, customer: &CustomerId, weight: u32) {
        let held = self
            .targets
            .entry(target.clone())
            .or_default()
            .entry(customer.clone())
            .or_insert(HeldSlots {
                slots: 0,
                weight: 1.0,
            });
        held.slots += 1;
        held.weight = f64::from(weight.max(1));
    }

    /// Records that a customer releases a slot.
    pub fn release(&mut self, target: &str, customer: &str) {
        let Some(customers) = self.targets.get_mut(target) else {
            return;
        };
        if let Some(held) = customers.get_mut(customer) {
            held.slots -= 1;
            if held.slots == 0 {
                customers.remove(customer);
            }
        }
    }

    /// True when a customer holds far more than its fair share of the slots in use. Fair shares are
    /// in proportion to the weights of the customers that hold slots of the target.
    ///
    /// A single customer is never over its share.
    pub fn is_over_share(&self, target: &str, customer: &str) -> bool {
        let Some(customers) = self.targets.get(target) else {
            return false;
        };
        let Some(held) = customers.get(customer) else {
            return false;
        };
        let slots: u32 = customers.values().map(|held| held.slots).sum();
        let weights: f64 = customers.values().map(|held| held.weight).sum();
        let fair = f64::from(slots) * held.weight / weights;
        f64::from(held.slots) > fair * MAX_SHARE_FACTOR + SHARE_ALLOWANCE
    }
}
