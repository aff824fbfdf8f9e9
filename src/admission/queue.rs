//! Admission control for the queues of all classes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use crate::codes::Code;
use crate::types::{ClassId, CustomerId, Refusal, RequestId, TargetId};

use super::{FairQueue, Rate, Ticket};

/// Largest share of a request's start budget that its expected wait may take at admission.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Shortest Retry-After.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest Retry-After; also bounds the expected wait for the backlog.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Maximum number of requests ahead of a new one while the rate of completions is not known.
const MAX_QUEUE_WITHOUT_RATE: usize = 32;

/// Request offered for admission.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The request.
    pub req: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Model or service that serves the class.
    pub target: TargetId,
    /// Priority of the class; a lower number goes first.
    pub priority: u8,
    /// Customer that the request is accounted to.
    pub customer: CustomerId,
    /// Weight of the customer in its class.
    pub weight: u32,
    /// Amount of work, in any unit common to all requests.
    pub cost: f64,
    /// Time after which the request can no longer start in time.
    pub latest_start: Instant,
}

/// Queue of one class.
#[derive(Debug)]
struct ClassQueue {
    target: TargetId,
    priority: u8,
    queue: FairQueue,
    /// Requests that an endpoint did not run; they precede those in `queue`.
    requeued: VecDeque<(CustomerId, Ticket)>,
    /// Rate of requests of the class that start at an endpoint.
    started: Rate,
}

impl ClassQueue {
    fn len(&self) -> usize {
        self.queue.len() + self.requeued.len()
    }
}

/// Index entry of a waiting request.
#[derive(Clone, Debug)]
struct WaitingRequest {
    class: ClassId,
    customer: CustomerId,
    latest_start: Instant,
}

/// Admission control with one queue per class.
#[derive(Debug)]
pub struct Admission {
    /// Maximum number of waiting requests for each class.
    limit: usize,
    classes: BTreeMap<ClassId, ClassQueue>,
    /// Rate of requests that end at an endpoint, for each target.
    completions: BTreeMap<TargetId, Rate>,
    /// Invariant: contains exactly the requests that are in a queue.
    waiting: BTreeMap<RequestId, WaitingRequest>,
    /// Invariant: contains exactly the requests in `waiting`, by latest start.
    by_latest_start: BTreeSet<(Instant, RequestId)>,
}

impl Admission {
    /// Creates empty queues of at most `limit` requests for each class.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            classes: BTreeMap::new(),
            completions: BTreeMap::new(),
            waiting: BTreeMap::new(),
            by_latest_start: BTreeSet::new(),
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Number of waiting requests of one class.
    pub fn len_of(&self, class: &str) -> usize {
        self.classes.get(class).map_or(0, ClassQueue::len)
    }

    /// True when no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Admits a request to its queue. Returns the request that was evicted for it, if any.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the request would start too late, or when the queue is full and no
    /// request of another customer can be evicted.
    pub fn offer(&mut self, now: Instant, offer: &Offer) -> Result<Option<RequestId>, Refusal> {
        self.classes
            .entry(offer.class.clone())
            .or_insert_with(|| ClassQueue {
                target: offer.target.clone(),
                priority: offer.priority,
                queue: FairQueue::default(),
                requeued: VecDeque::new(),
                started: Rate::new(now),
            });
        let wait = self.expected_wait(now, offer);
        let budget = offer.latest_start.saturating_duration_since(now);
        if wait.is_none_or(|wait| wait > budget.mul_f64(MAX_WAIT_SHARE)) {
            return Err(Refusal::new(Code::DeadlineUnreachable)
                .with_retry_after(self.retry_after(now, offer)));
        }
        let evicted = self.make_room(now, offer)?;
        let ticket = Ticket {
            req: offer.req,
            cost: offer.cost,
            latest_start: offer.latest_start,
        };
        let class = self.classes.get_mut(&offer.class).expect("just inserted");
        class.priority = offer.priority;
        class.queue.push(&offer.customer, offer.weight, ticket);
        self.insert_waiting(&offer.class, &offer.customer, ticket);
        Ok(evicted)
    }

    /// Makes room in a full queue: evicts a request of the customer with the most waiting requests
    /// per weight.
    fn make_room(&mut self, now: Instant, offer: &Offer) -> Result<Option<RequestId>, Refusal> {
        let class = self.classes.get_mut(&offer.class).expect("just inserted");
        if class.len() < self.limit {
            return Ok(None);
        }
        let is_heaviest = class.queue.heaviest_customer() == Some(&offer.customer);
        if is_heaviest || class.queue.is_empty() {
            let code = if is_heaviest {
                Code::OverShare
            } else {
                Code::QueueFull
            };
            return Err(Refusal::new(code).with_retry_after(self.retry_after(now, offer)));
        }
        let evicted = class.queue.evict();
        if let Some(req) = evicted {
            self.remove_waiting(req);
        }
        Ok(evicted)
    }

    /// Expected wait of the request; `None` when the rate is not known and many requests are ahead.
    fn expected_wait(&self, now: Instant, offer: &Offer) -> Option<Duration> {
        let higher_priority: usize = self
            .classes
            .values()
            .filter(|class| class.target == offer.target && class.priority < offer.priority)
            .map(ClassQueue::len)
            .sum();
        let class = &self.classes[&offer.class];
        let ahead =
            higher_priority + class.requeued.len() + class.queue.count_ahead_of(&offer.customer);
        if ahead == 0 {
            return Some(Duration::ZERO);
        }
        let rate = self.slot_rate(now, &offer.target, offer.priority);
        if rate < 1.0 {
            return (ahead < MAX_QUEUE_WITHOUT_RATE).then_some(Duration::ZERO);
        }
        Some(Duration::from_secs_f64(ahead as f64 / rate))
    }

    /// Slots per second that become free for classes of a priority.
    fn slot_rate(&self, now: Instant, target: &str, priority: u8) -> f64 {
        let higher_priority: f64 = self
            .classes
            .values()
            .filter(|class| &*class.target == target && class.priority < priority)
            .map(|class| class.started.per_second(now))
            .sum();
        self.completion_rate(now, target) - higher_priority
    }

    /// Requests per second that end at endpoints of the target.
    fn completion_rate(&self, now: Instant, target: &str) -> f64 {
        self.completions
            .get(target)
            .map_or(0.0, |rate| rate.per_second(now))
    }

    /// Expected time until the queue of the class has drained, within the bounds of a Retry-After.
    fn retry_after(&self, now: Instant, offer: &Offer) -> Duration {
        let waiting = self.classes[&offer.class].len() as f64;
        let rate = self.slot_rate(now, &offer.target, offer.priority).max(1.0);
        let drain_s = (waiting / rate).min(MAX_RETRY_AFTER.as_secs_f64());
        MIN_RETRY_AFTER + Duration::from_secs_f64(drain_s)
    }

    /// Expected time until the last request waiting for the target gets a slot.
    pub fn backlog_wait(&self, now: Instant, target: &str) -> Duration {
        let waiting: usize = self
            .classes
            .values()
            .filter(|class| &*class.target == target)
            .map(ClassQueue::len)
            .sum();
        let rate = self.completion_rate(now, target).max(1.0);
        Duration::from_secs_f64((waiting as f64 / rate).min(MAX_RETRY_AFTER.as_secs_f64()))
    }

    /// Puts a request that did not run back at the head of its class.
    pub fn requeue(&mut self, class: &ClassId, customer: &CustomerId, ticket: Ticket) {
        if let Some(queue) = self.classes.get_mut(class) {
            queue.requeued.push_back((customer.clone(), ticket));
            self.insert_waiting(class, customer, ticket);
        }
    }

    /// Targets with waiting requests.
    pub fn targets(&self) -> BTreeSet<TargetId> {
        self.classes
            .values()
            .filter(|class| class.len() > 0)
            .map(|class| class.target.clone())
            .collect()
    }

    /// Classes of a target with waiting requests, highest priority first.
    pub fn classes(&self, target: &str) -> Vec<ClassId> {
        let mut classes: Vec<(u8, &ClassId)> = self
            .classes
            .iter()
            .filter(|(_, class)| &*class.target == target && class.len() > 0)
            .map(|(id, class)| (class.priority, id))
            .collect();
        classes.sort_unstable();
        classes.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Requests of a class that may start next, in order: the first requeued one, or else the first
    /// of each customer.
    pub fn heads(&self, class: &str) -> Vec<(CustomerId, Ticket)> {
        let Some(class) = self.classes.get(class) else {
            return Vec::new();
        };
        match class.requeued.front() {
            Some(first) => vec![first.clone()],
            None => class.queue.heads(),
        }
    }

    /// Removes and returns a request that [`Self::heads`] returned.
    pub fn take(&mut self, class: &str, customer: &str, req: RequestId) -> Option<Ticket> {
        let queue = self.classes.get_mut(class)?;
        let is_requeued = queue.requeued.front().is_some_and(|(_, t)| t.req == req);
        let ticket = match is_requeued {
            true => queue.requeued.pop_front().map(|(_, ticket)| ticket),
            false => queue.queue.pop_of(customer),
        }?;
        self.remove_waiting(ticket.req);
        Some(ticket)
    }

    /// Records that a request of a class started at an endpoint.
    pub fn started(&mut self, now: Instant, class: &str) {
        if let Some(class) = self.classes.get_mut(class) {
            class.started.record(now);
        }
    }

    /// Records that a request of a target ended at its endpoint.
    pub fn ended(&mut self, now: Instant, target: &TargetId) {
        self.completions
            .entry(target.clone())
            .or_insert_with(|| Rate::new(now))
            .record(now);
    }

    /// Removes a request. Returns false when it is not waiting.
    pub fn remove(&mut self, req: RequestId) -> bool {
        let Some(waiting) = self.remove_waiting(req) else {
            return false;
        };
        if let Some(class) = self.classes.get_mut(&waiting.class)
            && !class.queue.remove(&waiting.customer, req)
        {
            class.requeued.retain(|(_, ticket)| ticket.req != req);
        }
        true
    }

    /// Removes and returns the requests that can no longer start in time.
    pub fn take_expired(&mut self, now: Instant) -> Vec<RequestId> {
        let expired: Vec<RequestId> = self
            .by_latest_start
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, req)| *req)
            .collect();
        for req in &expired {
            self.remove(*req);
        }
        expired
    }

    /// Removes and returns all requests.
    pub fn take_all(&mut self) -> Vec<RequestId> {
        let all: Vec<RequestId> = self.waiting.keys().copied().collect();
        for req in &all {
            self.remove(*req);
        }
        all
    }

    /// Earliest latest start of a waiting request.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.by_latest_start.first().map(|(at, _)| *at)
    }

    fn insert_waiting(&mut self, class: &ClassId, customer: &CustomerId, ticket: Ticket) {
        let waiting = WaitingRequest {
            class: class.clone(),
            customer: customer.clone(),
            latest_start: ticket.latest_start,
        };
        self.waiting.insert(ticket.req, waiting);
        self.by_latest_start
            .insert((ticket.latest_start, ticket.req));
    }

    fn remove_waiting(&mut self, req: RequestId) -> Option<WaitingRequest> {
        let waiting = self.waiting.remove(&req)?;
        self.by_latest_start.remove(&(waiting.latest_start, req));
        Some(waiting)
    }
}
