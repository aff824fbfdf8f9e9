//! Start-time fair queueing: customers share by weight, however much each one sends.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use crate::types::{CustomerId, RequestId};

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ticket {
    /// The request.
    pub req: RequestId,
    /// Amount of work, in any unit common to all requests; above 0.
    pub cost: f64,
    /// Time after which the request can no longer start in time.
    pub latest_start: Instant,
}

#[derive(Clone, Copy, Debug)]
struct TaggedTicket {
    ticket: Ticket,
    /// Start tag in virtual time.
    start: f64,
}

/// Waiting requests of one customer.
#[derive(Debug)]
struct CustomerQueue {
    weight: f64,
    /// Finish tag of the customer's last request in virtual time.
    finish: f64,
    /// Invariant: start tags are in ascending order.
    waiting: VecDeque<TaggedTicket>,
}

/// Start-time fair queue of one class.
#[derive(Debug, Default)]
pub struct FairQueue {
    customers: BTreeMap<CustomerId, CustomerQueue>,
    /// Highest start tag of the requests taken so far.
    virtual_time: f64,
    len: usize,
}

impl FairQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True when no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting requests of one customer.
    pub fn len_of(&self, customer: &str) -> usize {
        self.customers
            .get(customer)
            .map_or(0, |queue| queue.waiting.len())
    }

    /// Adds a request after the other requests of its customer.
    pub fn push(&mut self, customer: &CustomerId, weight: u32, ticket: Ticket) {
        let weight = f64::from(weight.max(1));
        let start = self.next_start(customer);
        let queue = self
            .customers
            .entry(customer.clone())
            .or_insert_with(|| CustomerQueue {
                weight,
                finish: 0.0,
                waiting: VecDeque::new(),
            });
        queue.weight = weight;
        queue.finish = start + ticket.cost / weight;
        queue.waiting.push_back(TaggedTicket { ticket, start });
        self.len += 1;
    }

    /// Start tag of the customer's next request.
    fn next_start(&self, customer: &str) -> f64 {
        let finish = self
            .customers
            .get(customer)
            .map_or(0.0, |queue| queue.finish);
        finish.max(self.virtual_time)
    }

    /// Number of waiting requests that would precede a new one of the customer.
    pub fn count_ahead_of(&self, customer: &str) -> usize {
        let start = self.next_start(customer);
        self.customers
            .values()
            .map(|queue| {
                queue
                    .waiting
                    .partition_point(|tagged| tagged.start <= start)
            })
            .sum()
    }

    /// First request of each customer, by start tag.
    pub fn heads(&self) -> Vec<(CustomerId, Ticket)> {
        let mut heads: Vec<(f64, &CustomerId, Ticket)> = self
            .customers
            .iter()
            .filter_map(|(customer, queue)| {
                let head = queue.waiting.front()?;
                Some((head.start, customer, head.ticket))
            })
            .collect();
        heads.sort_by(|a, b| a.0.total_cmp(&b.0));
        heads
            .into_iter()
            .map(|(_, customer, ticket)| (customer.clone(), ticket))
            .collect()
    }

    /// Removes and returns the first request of a customer.
    pub fn pop_of(&mut self, customer: &str) -> Option<Ticket> {
        let queue = self.customers.get_mut(customer)?;
        let tagged = queue.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(tagged.start);
        self.len -= 1;
        self.drop_idle_customers();
        Some(tagged.ticket)
    }

    /// Removes and returns the request with the lowest start tag.
    pub fn pop(&mut self) -> Option<(CustomerId, Ticket)> {
        let (customer, _) = self.heads().into_iter().next()?;
        let ticket = self.pop_of(&customer)?;
        Some((customer, ticket))
    }

    /// Removes a request. Returns false when it is not in the queue.
    pub fn remove(&mut self, customer: &str, req: RequestId) -> bool {
        let Some(queue) = self.customers.get_mut(customer) else {
            return false;
        };
        let Some(index) = queue.waiting.iter().position(|w| w.ticket.req == req) else {
            return false;
        };
        queue.waiting.remove(index);
        self.len -= 1;
        true
    }

    /// Removes the last request of the customer with the most waiting requests per weight.
    pub fn evict(&mut self) -> Option<RequestId> {
        let queue = self
            .customers
            .values_mut()
            .max_by(|a, b| a.per_weight().total_cmp(&b.per_weight()))?;
        let tagged = queue.waiting.pop_back()?;
        queue.finish = tagged.start;
        self.len -= 1;
        Some(tagged.ticket.req)
    }

    /// Customer with the most waiting requests per weight.
    pub fn heaviest_customer(&self) -> Option<&CustomerId> {
        self.customers
            .iter()
            .max_by(|a, b| a.1.per_weight().total_cmp(&b.1.per_weight()))
            .map(|(customer, _)| customer)
    }

    /// Drops customers without waiting requests whose finish tag has passed, so that memory stays
    /// bounded.
    fn drop_idle_customers(&mut self) {
        let virtual_time = self.virtual_time;
        self.customers
            .retain(|_, queue| !queue.waiting.is_empty() || queue.finish > virtual_time);
    }
}

impl CustomerQueue {
    /// Waiting requests per weight.
    fn per_weight(&self) -> f64 {
        self.waiting.len() as f64 / self.weight
    }
}
