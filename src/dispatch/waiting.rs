//! Requests that wait for an endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::patterns::Rank;
use super::request::TicketId;

/// Place of a waiting request: (rank, is returning, time of first attempt, ticket). The most urgent come
/// first; within a rank, callers that return after a refusal come last, and otherwise the oldest comes first. A
/// request that waits again after a failed attempt does not count as returning.
pub(super) type Place = (Option<Rank>, bool, Instant, TicketId);

/// Waiting requests in the order in which they are decided on, with the time until which each may wait.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingRequests {
    places: BTreeMap<Place, Instant>,
    /// Invariant: has the times of exactly the requests in `places`.
    deadlines: BTreeSet<(Instant, Place)>,
}

impl WaitingRequests {
    pub fn insert(&mut self, place: Place, deadline: Instant) {
        self.remove(&place);
        self.places.insert(place, deadline);
        self.deadlines.insert((deadline, place));
    }

    pub fn remove(&mut self, place: &Place) {
        if let Some(deadline) = self.places.remove(place) {
            self.deadlines.remove(&(deadline, *place));
        }
    }

    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// True when no other request comes before the one at `place`.
    pub fn is_first(&self, place: &Place) -> bool {
        self.places
            .first_key_value()
            .is_some_and(|(p, _)| p == place)
    }

    pub fn contains(&self, place: &Place) -> bool {
        self.places.contains_key(place)
    }

    /// All places in their order.
    pub fn places(&self) -> Vec<Place> {
        self.places.keys().copied().collect()
    }

    /// Places up to and including `last`, in their order.
    pub fn places_up_to(&self, last: Place) -> Vec<Place> {
        self.places
            .range(..=last)
            .map(|(place, _)| *place)
            .collect()
    }

    /// Places of the requests that may wait no longer, in their order.
    pub fn expired(&self, now: Instant) -> Vec<Place> {
        let expired = self.deadlines.iter().take_while(|(at, _)| *at <= now);
        let mut expired: Vec<Place> = expired.map(|(_, place)| *place).collect();
        expired.sort_unstable();
        expired
    }

    /// Earliest time until which a request may wait.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(at, _)| *at)
    }
}
