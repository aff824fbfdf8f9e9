//! Sans-IO core of the entry: decides without access to sockets or clocks.
//!
//! The driver passes each [`EntryEvent`] with the current time to [`EntryCore::handle`] and
//! performs the [`EntryAction`]s that it returns.

mod action;
mod config;
mod control;
mod dump;
mod event;
mod keyed;
mod outcomes;
mod placement;
mod requests;
mod stats;
mod status;
mod stop;
#[cfg(test)]
mod tests;
mod traffic;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::{Admission, Shares};
use crate::config::{ConfigParams, ConfigState, VersionedTargets};
use crate::delivery::{Claim, Quarantine, RetryLimit, RetryWindow};
use crate::membership::{Membership, Mesh};
use crate::routing::{Chooser, Endpoint};
use crate::types::{ClassId, EndpointId, RequestId};

pub use action::{Dispatch, EntryAction, StoreCallId};
pub use config::EntryCoreConfig;
pub use event::EntryEvent;
pub use placement::PLACEMENT_KEY;

use placement::PlacementState;
use requests::Request;
use stats::ClassStats;

/// Retry budget of one entry: a tenth of its requests, plus a few so that an entry with little
/// traffic can retry at all.
const RETRY_LIMIT: RetryLimit = RetryLimit {
    ratio: 0.1,
    slack: 5.0,
    window: Duration::from_secs(10),
};

/// Decision logic and state of one entry.
pub struct EntryCore {
    cfg: EntryCoreConfig,
    rng: SmallRng,
    config: ConfigState,
    /// Newest known placement.
    placement: PlacementState,
    membership: Membership,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    requests: BTreeMap<RequestId, Request>,
    /// Queues of waiting requests. Invariant: each of them is in `requests`.
    admission: Admission,
    /// Slots in use per customer. Invariant: counts exactly the attempts of `requests`.
    shares: Shares,
    chooser: Chooser,
    retry_window: RetryWindow,
    /// Invariant: holds only classes that a configuration has declared.
    class_stats: BTreeMap<ClassId, ClassStats>,
    quarantine: Quarantine,
    /// Incremented with every change of the quarantine.
    quarantine_revision: u64,
    /// Claims of keyed requests. A claim stays after its request has been answered, until the
    /// outcome is recorded in the object API.
    claims: BTreeMap<RequestId, Claim>,
    /// Pending calls to the object API for keyed requests.
    store_calls: BTreeMap<StoreCallId, RequestId>,
    next_store_call_id: StoreCallId,
    started_at: Instant,
    /// Number of the latest attempt, part of its id.
    last_attempt_number: u64,
    stop_requested_at: Option<Instant>,
    actions: Vec<EntryAction>,
}

impl EntryCore {
    /// Creates an entry that has no configuration and knows no host.
    pub fn new(cfg: EntryCoreConfig, seed: u64, now: Instant) -> Self {
        let mesh = Mesh {
            full_mesh_max: cfg.full_mesh_max_agents,
            entries_per_agent: cfg.entries_per_agent,
        };
        let params = ConfigParams {
            name: cfg.entry.clone(),
            region: cfg.region.clone(),
            store_region: cfg.store_region.clone(),
            isolation_after: cfg.isolation_after,
        };
        Self {
            config: ConfigState::new(params, cfg.instance, now),
            membership: Membership::new(cfg.entry.clone(), mesh, cfg.suspect_after, now),
            admission: Admission::new(cfg.queue_len),
            shares: Shares::default(),
            chooser: Chooser::new(cfg.policy),
            retry_window: RetryWindow::new(RETRY_LIMIT.window),
            cfg,
            rng: SmallRng::seed_from_u64(seed),
            placement: PlacementState::new(),
            endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            class_stats: BTreeMap::new(),
            quarantine: Quarantine::default(),
            quarantine_revision: 0,
            claims: BTreeMap::new(),
            store_calls: BTreeMap::new(),
            next_store_call_id: 0,
            started_at: now,
            last_attempt_number: 0,
            stop_requested_at: None,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to perform, in order.
    pub fn handle(&mut self, now: Instant, event: EntryEvent) -> Vec<EntryAction> {
        self.membership.record_activity(now);
        match event {
            EntryEvent::Arrived { req, meta } => self.on_request_arrived(now, req, meta),
            EntryEvent::CallerGone { req } => self.on_caller_gone(now, req),
            EntryEvent::AnswerStarted { req, attempt } => {
                self.on_answer_started(now, req, &attempt)
            }
            EntryEvent::LoadReported {
                endpoint,
                in_flight,
                limit,
            } => self.on_load_reported(&endpoint, in_flight, limit),
            EntryEvent::AttemptEnded {
                req,
                attempt,
                outcome,
                answer,
            } => self.on_attempt_ended(now, req, &attempt, outcome, answer),
            EntryEvent::StoreReplied { call_id, reply } => {
                if !self.on_placement_write_replied(now, call_id, &reply) {
                    self.on_store_replied(now, call_id, reply);
                }
            }
            EntryEvent::SettleReplied { req, reply } => self.on_settle_replied(now, req, reply),
            EntryEvent::Synced { host, reply } => self.on_synced(now, &host, reply),
            EntryEvent::SyncFailed { host } => self.on_sync_failed(now, &host),
            EntryEvent::HostsListed(hosts) => self.on_hosts_listed(now, &hosts),
            EntryEvent::ConfigRead(doc) => self.on_config_read(now, &doc),
            EntryEvent::ConfigReceived(doc) => self.on_config_received(now, &doc),
            EntryEvent::PlacementRead(doc) => self.on_placement_read(now, &doc),
            EntryEvent::StoreContact { reached } => self.config.record_store_contact(now, reached),
            EntryEvent::Stop => self.stop_requested_at = self.stop_requested_at.or(Some(now)),
            EntryEvent::Tick => {}
        }
        self.review_placement(now);
        self.send_due_heartbeats(now);
        self.end_at_stop(now);
        self.dispatch_waiting(now);
        std::mem::take(&mut self.actions)
    }

    /// Latest time at which the next [`EntryEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let heartbeat = self.next_heartbeat();
        heartbeat
            .into_iter()
            .chain(self.admission.next_expiry())
            .chain(self.placement.next_review())
            .chain(self.next_stop_end())
            .min()
    }

    /// True when no request is queued or in flight and every outcome of a keyed request is
    /// recorded.
    pub fn is_drained(&self) -> bool {
        self.requests.is_empty() && self.claims.is_empty()
    }

    /// Newest known configuration, whether or not it is in force.
    pub fn latest_config(&self) -> Option<&Arc<VersionedTargets>> {
        self.config.held()
    }
}
