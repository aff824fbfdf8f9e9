//! Start-time fair queue: customers share by weight, whatever each one sends.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use crate::types::{CustomerId, RequestId};

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ticket {
    /// The request.
    pub req: RequestId,
    /// Work that it stands for, in any unit that is the same for all; above 0.
    pub cost: f64,
    /// Time after which the request can no longer start in time.
    pub latest_start: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Tagged {
    ticket: Ticket,
    start: f64,
}

#[derive(Debug)]
struct Lane {
    weight: f64,
    /// Virtual time at which the customer's last request ends.
    finish: f64,
    /// Invariant: start tags ascend.
    waiting: VecDeque<Tagged>,
}

/// Queue of one class.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: BTreeMap<CustomerId, Lane>,
    /// Start tag of the request that was taken last.
    virtual_time: f64,
    len: usize,
}

impl FairQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True when no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting requests of one customer.
    pub fn len_of(&self, customer: &str) -> usize {
        self.lanes
            .get(customer)
            .map_or(0, |lane| lane.waiting.len())
    }

    /// Adds a request at its customer's end.
    pub fn push(&mut self, customer: &CustomerId, weight: u32, ticket: Ticket) {
        let weight = f64::from(weight.max(1));
        let start = self.next_start(customer);
        let lane = self.lanes.entry(customer.clone()).or_insert_with(|| Lane {
            weight,
            finish: 0.0,
            waiting: VecDeque::new(),
        });
        lane.weight = weight;
        lane.finish = start + ticket.cost / weight;
        lane.waiting.push_back(Tagged { ticket, start });
        self.len += 1;
    }

    fn next_start(&self, customer: &str) -> f64 {
        let finish = self.lanes.get(customer).map_or(0.0, |lane| lane.finish);
        finish.max(self.virtual_time)
    }

    /// Number of waiting requests that would go before a new one of the customer.
    pub fn ahead_of(&self, customer: &str) -> usize {
        let start = self.next_start(customer);
        self.lanes
            .values()
            .map(|lane| lane.waiting.partition_point(|tagged| tagged.start <= start))
            .sum()
    }

    /// First request of each customer, in the order of their turns.
    pub fn heads(&self) -> Vec<(CustomerId, Ticket)> {
        let mut heads: Vec<(f64, &CustomerId, Ticket)> = self
            .lanes
            .iter()
            .filter_map(|(customer, lane)| {
                let head = lane.waiting.front()?;
                Some((head.start, customer, head.ticket))
            })
            .collect();
        heads.sort_by(|a, b| a.0.total_cmp(&b.0));
        heads
            .into_iter()
            .map(|(_, customer, ticket)| (customer.clone(), ticket))
            .collect()
    }

    /// Takes the first request of a customer.
    pub fn pop_of(&mut self, customer: &str) -> Option<Ticket> {
        let lane = self.lanes.get_mut(customer)?;
        let tagged = lane.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(tagged.start);
        self.len -= 1;
        self.forget_idle();
        Some(tagged.ticket)
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<(CustomerId, Ticket)> {
        let (customer, _) = self.heads().into_iter().next()?;
        let ticket = self.pop_of(&customer)?;
        Some((customer, ticket))
    }

    /// Removes a request.
    pub fn remove(&mut self, customer: &str, req: RequestId) -> bool {
        let Some(lane) = self.lanes.get_mut(customer) else {
            return false;
        };
        let Some(index) = lane.waiting.iter().position(|w| w.ticket.req == req) else {
            return false;
        };
        lane.waiting.remove(index);
        self.len -= 1;
        true
    }

    /// Removes the last request of the customer that waits with the most for its weight.
    pub fn evict(&mut self) -> Option<RequestId> {
        let lane = self
            .lanes
            .values_mut()
            .max_by(|a, b| a.per_weight().total_cmp(&b.per_weight()))?;
        let tagged = lane.waiting.pop_back()?;
        lane.finish = tagged.start;
        self.len -= 1;
        Some(tagged.ticket.req)
    }

    /// Customer that waits with the most for its weight.
    pub fn largest(&self) -> Option<&CustomerId> {
        self.lanes
            .iter()
            .max_by(|a, b| a.1.per_weight().total_cmp(&b.1.per_weight()))
            .map(|(customer, _)| customer)
    }

    /// Drops customers whose past no longer counts, so that memory stays bounded.
    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.lanes
            .retain(|_, lane| !lane.waiting.is_empty() || lane.finish > virtual_time);
    }
}

impl Lane {
    fn per_weight(&self) -> f64 {
        self.waiting.len() as f64 / self.weight
    }
}
