//! Admission to the queues of all classes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use crate::codes::Code;
use crate::types::{ClassId, CustomerId, Refusal, RequestId, TargetId};

use super::{FairQueue, Rate, Ticket};

/// Share of a request's time to start that the expected wait may take when it is admitted.
const WAIT_SHARE: f64 = 0.5;
/// Shortest advice on when to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest advice on when to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Requests that may wait while nothing is known of the rate.
const UNKNOWN_RATE_QUEUE: usize = 32;

/// A request that asks to wait.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The request.
    pub req: RequestId,
    /// Class of work.
    pub class: ClassId,
    /// Model or service that serves the class.
    pub target: TargetId,
    /// Rank of the class; a lower number goes first.
    pub priority: u8,
    /// The customer.
    pub customer: CustomerId,
    /// Weight of the customer's share.
    pub weight: u32,
    /// Work that the request stands for.
    pub cost: f64,
    /// Time after which the request can no longer start in time.
    pub latest_start: Instant,
}

#[derive(Debug)]
struct ClassQueue {
    target: TargetId,
    priority: u8,
    queue: FairQueue,
    /// Requests that came back from an endpoint that did not run them; they go first.
    returned: VecDeque<(CustomerId, Ticket)>,
    /// Requests of the class that were started.
    started: Rate,
}

impl ClassQueue {
    fn len(&self) -> usize {
        self.queue.len() + self.returned.len()
    }
}

#[derive(Clone, Debug)]
struct Waiting {
    class: ClassId,
    customer: CustomerId,
    latest_start: Instant,
}

/// Queues of all classes.
#[derive(Debug)]
pub struct Admission {
    limit: usize,
    classes: BTreeMap<ClassId, ClassQueue>,
    /// Requests that ended, for each target.
    ended: BTreeMap<TargetId, Rate>,
    /// Invariant: holds exactly the requests that are in a queue.
    waiting: BTreeMap<RequestId, Waiting>,
    /// Invariant: holds exactly the requests in `waiting`, by time.
    by_latest_start: BTreeSet<(Instant, RequestId)>,
}

impl Admission {
    /// Queues of at most `limit` requests for each class.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            classes: BTreeMap::new(),
            ended: BTreeMap::new(),
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

    /// True when no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Admits a request to its queue, and names a request that had to make place for it.
    ///
    /// # Errors
    ///
    /// Refuses a request whose turn would come too late, and one over its customer's share when the
    /// queue is full.
    pub fn offer(&mut self, now: Instant, offer: &Offer) -> Result<Option<RequestId>, Refusal> {
        self.classes
            .entry(offer.class.clone())
            .or_insert_with(|| ClassQueue {
                target: offer.target.clone(),
                priority: offer.priority,
                queue: FairQueue::default(),
                returned: VecDeque::new(),
                started: Rate::new(now),
            });
        let wait = self.expected_wait(now, offer);
        let budget = offer.latest_start.saturating_duration_since(now);
        if wait.is_none_or(|wait| wait > budget.mul_f64(WAIT_SHARE)) {
            return Err(Refusal::new(Code::DeadlineUnreachable)
                .with_retry_after(self.retry_after(now, offer)));
        }
        let evicted = self.make_place(now, offer)?;
        let ticket = Ticket {
            req: offer.req,
            cost: offer.cost,
            latest_start: offer.latest_start,
        };
        let class = self.classes.get_mut(&offer.class).expect("just inserted");
        class.priority = offer.priority;
        class.queue.push(&offer.customer, offer.weight, ticket);
        self.note_waiting(&offer.class, &offer.customer, ticket);
        Ok(evicted)
    }

    fn make_place(&mut self, now: Instant, offer: &Offer) -> Result<Option<RequestId>, Refusal> {
        let class = self.classes.get_mut(&offer.class).expect("just inserted");
        if class.len() < self.limit {
            return Ok(None);
        }
        let is_largest = class.queue.largest() == Some(&offer.customer);
        if is_largest || class.queue.is_empty() {
            let code = if is_largest {
                Code::OverShare
            } else {
                Code::QueueFull
            };
            return Err(Refusal::new(code).with_retry_after(self.retry_after(now, offer)));
        }
        let evicted = class.queue.evict();
        if let Some(req) = evicted {
            self.forget_waiting(req);
        }
        Ok(evicted)
    }

    /// Time until the request's turn comes; `None` when it can not be told and many wait already.
    fn expected_wait(&self, now: Instant, offer: &Offer) -> Option<Duration> {
        let before: usize = self
            .classes
            .values()
            .filter(|class| class.target == offer.target && class.priority < offer.priority)
            .map(ClassQueue::len)
            .sum();
        let class = &self.classes[&offer.class];
        let ahead = before + class.returned.len() + class.queue.ahead_of(&offer.customer);
        if ahead == 0 {
            return Some(Duration::ZERO);
        }
        let rate = self.rate_for(now, &offer.target, offer.priority);
        if rate < 1.0 {
            return (ahead < UNKNOWN_RATE_QUEUE).then_some(Duration::ZERO);
        }
        Some(Duration::from_secs_f64(ahead as f64 / rate))
    }

    /// Places a second that become free for classes of a priority.
    fn rate_for(&self, now: Instant, target: &str, priority: u8) -> f64 {
        let before: f64 = self
            .classes
            .values()
            .filter(|class| &*class.target == target && class.priority < priority)
            .map(|class| class.started.per_second(now))
            .sum();
        self.end_rate(now, target) - before
    }

    fn end_rate(&self, now: Instant, target: &str) -> f64 {
        self.ended
            .get(target)
            .map_or(0.0, |rate| rate.per_second(now))
    }

    /// Time until the queue of the class is likely to have drained.
    fn retry_after(&self, now: Instant, offer: &Offer) -> Duration {
        let waiting = self.classes[&offer.class].len() as f64;
        let rate = self.rate_for(now, &offer.target, offer.priority).max(1.0);
        let drained = (waiting / rate).min(MAX_RETRY_AFTER.as_secs_f64());
        MIN_RETRY_AFTER + Duration::from_secs_f64(drained)
    }

    /// Time until a place for the target is likely to become free to the last of those that wait.
    pub fn backlog_wait(&self, now: Instant, target: &str) -> Duration {
        let waiting: usize = self
            .classes
            .values()
            .filter(|class| &*class.target == target)
            .map(ClassQueue::len)
            .sum();
        let rate = self.end_rate(now, target).max(1.0);
        Duration::from_secs_f64((waiting as f64 / rate).min(MAX_RETRY_AFTER.as_secs_f64()))
    }

    /// Puts a request that did not run back at the head of its class.
    pub fn requeue(&mut self, class: &ClassId, customer: &CustomerId, ticket: Ticket) {
        if let Some(queue) = self.classes.get_mut(class) {
            queue.returned.push_back((customer.clone(), ticket));
            self.note_waiting(class, customer, ticket);
        }
    }

    /// Targets for which requests wait.
    pub fn targets(&self) -> BTreeSet<TargetId> {
        self.classes
            .values()
            .filter(|class| class.len() > 0)
            .map(|class| class.target.clone())
            .collect()
    }

    /// Classes of a target for which requests wait, the first in rank first.
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

    /// Requests of a class that may go next, in the order of their turns: one that came back, else
    /// the first of each customer.
    pub fn heads(&self, class: &str) -> Vec<(CustomerId, Ticket)> {
        let Some(class) = self.classes.get(class) else {
            return Vec::new();
        };
        match class.returned.front() {
            Some(first) => vec![first.clone()],
            None => class.queue.heads(),
        }
    }

    /// Takes a request that [`Self::heads`] named.
    pub fn take(&mut self, class: &str, customer: &str, req: RequestId) -> Option<Ticket> {
        let queue = self.classes.get_mut(class)?;
        let is_returned = queue.returned.front().is_some_and(|(_, t)| t.req == req);
        let ticket = match is_returned {
            true => queue.returned.pop_front().map(|(_, ticket)| ticket),
            false => queue.queue.pop_of(customer),
        }?;
        self.forget_waiting(ticket.req);
        Some(ticket)
    }

    /// Notes that a request of a class was started at an endpoint.
    pub fn started(&mut self, now: Instant, class: &str) {
        if let Some(class) = self.classes.get_mut(class) {
            class.started.note(now);
        }
    }

    /// Notes that a request of a target ended at its endpoint.
    pub fn ended(&mut self, now: Instant, target: &TargetId) {
        self.ended
            .entry(target.clone())
            .or_insert_with(|| Rate::new(now))
            .note(now);
    }

    /// Removes a request; false when it does not wait.
    pub fn remove(&mut self, req: RequestId) -> bool {
        let Some(waiting) = self.forget_waiting(req) else {
            return false;
        };
        if let Some(class) = self.classes.get_mut(&waiting.class)
            && !class.queue.remove(&waiting.customer, req)
        {
            class.returned.retain(|(_, ticket)| ticket.req != req);
        }
        true
    }

    /// Takes the requests that can no longer start in time.
    pub fn take_expired(&mut self, now: Instant) -> Vec<RequestId> {
        let late: Vec<RequestId> = self
            .by_latest_start
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, req)| *req)
            .collect();
        for req in &late {
            self.remove(*req);
        }
        late
    }

    /// Takes every request.
    pub fn take_all(&mut self) -> Vec<RequestId> {
        let all: Vec<RequestId> = self.waiting.keys().copied().collect();
        for req in &all {
            self.remove(*req);
        }
        all
    }

    /// Time at which the first waiting request becomes too late.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.by_latest_start.first().map(|(at, _)| *at)
    }

    fn note_waiting(&mut self, class: &ClassId, customer: &CustomerId, ticket: Ticket) {
        let waiting = Waiting {
            class: class.clone(),
            customer: customer.clone(),
            latest_start: ticket.latest_start,
        };
        self.waiting.insert(ticket.req, waiting);
        self.by_latest_start
            .insert((ticket.latest_start, ticket.req));
    }

    fn forget_waiting(&mut self, req: RequestId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&req)?;
        self.by_latest_start.remove(&(waiting.latest_start, req));
        Some(waiting)
    }
}
