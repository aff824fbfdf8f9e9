//! Ranks: requests of several priorities compete for the engines of a target that can't serve all.
//!
//! A less urgent kind often has the longer goal. Judged by its own goal it is still sent to an engine on
//! which a more urgent request would already start late, so it fills every engine first, and the most urgent
//! requests are refused most. While more urgent requests arrive, a less urgent one is therefore sent only
//! where those would still start in time, and waits behind them.

use std::time::{Duration, Instant};

use crate::dispatch::estimate::EngineModel;

/// Part of the next more urgent rank's start budget that a rank may use. The rest is the room that arrivals
/// of that rank find until a load report shows the engine as fuller.
const RANK_SHARE: f64 = 0.8;
/// Time constant over which arrivals are counted. Probes of single routes do not show in it, and a rank whose
/// traffic ends stops to count within seconds.
const ARRIVAL_TIME: Duration = Duration::from_secs(4);
/// Share of a target's arrivals from which a priority counts as present.
const MIN_ARRIVAL_SHARE: f64 = 0.05;
/// Arrivals, counted over [`ARRIVAL_TIME`], from which it does whatever else arrives: three a second, more than
/// probes of single routes.
const ENOUGH_ARRIVALS: f64 = 12.0;

/// Least urgent priority that an engine knows.
const LEAST_URGENT: u8 = 9;
/// Priorities of routes that engines tell apart within one priority of customers.
const ROUTE_PRIORITIES: u8 = 3;

/// Rank of a request: the priority of its customer, which goes first, then that of its route; lower is more
/// urgent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(in crate::dispatch) struct Rank {
    customer: u8,
    route: u8,
}

impl Rank {
    /// Priority from 0 to 9 that an engine is asked to admit the request with.
    pub fn engine_priority(self) -> u8 {
        let route = self.route.min(ROUTE_PRIORITIES - 1);
        let rank = self.customer.saturating_mul(ROUTE_PRIORITIES);
        rank.saturating_add(route).min(LEAST_URGENT)
    }
}

/// Arrivals on the routes of one priority.
#[derive(Clone, Copy, Debug)]
struct Arrivals {
    priority: u8,
    /// Decaying number of arrivals, as of `at`.
    count: f64,
    at: Instant,
    /// Shortest goal among them.
    goal: Duration,
}

impl Arrivals {
    fn count_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.count * (-age.as_secs_f64() / ARRIVAL_TIME.as_secs_f64()).exp()
    }
}

/// Priorities that compete for the engines of one target, by the requests that arrive.
#[derive(Clone, Debug, Default)]
pub(in crate::dispatch) struct RankTraffic {
    /// Most urgent first, each priority once.
    arrivals: Vec<Arrivals>,
}

impl RankTraffic {
    /// Records a request on a route of `priority` with the objective `goal` for its start, and returns its
    /// rank; `None` while all have one priority. `customer` is the priority of its customer, where that has one.
    pub fn record(
        &mut self,
        now: Instant,
        priority: u8,
        customer: Option<u8>,
        goal: Duration,
    ) -> Option<Rank> {
        match self
            .arrivals
            .binary_search_by_key(&priority, |arrivals| arrivals.priority)
        {
            Ok(place) => {
                let arrivals = &mut self.arrivals[place];
                arrivals.count = arrivals.count_at(now) + 1.0;
                arrivals.at = now;
                arrivals.goal = goal.min(arrivals.goal);
            }
            Err(place) => self.arrivals.insert(
                place,
                Arrivals {
                    priority,
                    count: 1.0,
                    at: now,
                    goal,
                },
            ),
        }
        let is_ranked = self.present(now).count() > 1;
        is_ranked.then(|| Rank {
            customer: customer.unwrap_or(priority),
            route: priority,
        })
    }

    /// Longest time to the start that a request of `priority` may leave to more urgent ones that arrive behind
    /// it, `start_share` being the part of its goal that such a request may take to start; `None` without
    /// more urgent ones.
    pub fn start_cap(&self, now: Instant, priority: u8, start_share: f64) -> Option<Duration> {
        let more_urgent = || {
            self.present(now)
                .filter(|arrivals| arrivals.priority < priority)
        };
        let ranks = more_urgent().count();
        let goal = more_urgent().map(|arrivals| arrivals.goal).min()?;
        Some(goal.mul_f64(start_share * RANK_SHARE.powi(ranks as i32)))
    }

    fn present(&self, now: Instant) -> impl Iterator<Item = &Arrivals> {
        let all: f64 = self.arrivals.iter().map(|a| a.count_at(now)).sum();
        let least = (all * MIN_ARRIVAL_SHARE).clamp(1.0, ENOUGH_ARRIVALS);
        let arrivals = self.arrivals.iter();
        arrivals.filter(move |arrivals| arrivals.count_at(now) >= least)
    }
}

/// True when a more urgent request that arrives behind one with the predicted start `predicted` would still
/// start within `cap`. It starts later by the prompt before it, and by a place when `load`, in requests per
/// slot, leaves none free.
pub(in crate::dispatch) fn leaves_room(
    engine: &EngineModel,
    predicted: Duration,
    load: f64,
    cap: Duration,
) -> bool {
    let slot = 1.0 / f64::from(engine.slots.max(1));
    let place = match load + slot >= 1.0 {
        true => engine.completion_interval(),
        false => Duration::ZERO,
    };
    predicted + engine.prefill_time(engine.mean_prompt_tokens) + place <= cap
}
