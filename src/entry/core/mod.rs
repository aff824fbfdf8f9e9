//! Decision logic of the entry, free of sockets and clocks.
//!
//! [`EntryEvent`]s go in with the time, [`EntryAction`]s come out.

mod action;
mod config;
mod control;
mod dump;
mod ends;
mod event;
mod keyed;
mod placing;
mod requests;
mod stats;
mod status;
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
pub use placing::PLACEMENT_KEY;

use placing::Placing;
use requests::Request;
use stats::ClassStats;

/// What retries of one entry may amount to: a tenth of the requests, and a few that an idle entry
/// makes before requests have paid for them.
const RETRIES: RetryLimit = RetryLimit {
    ratio: 0.1,
    slack: 5.0,
    window: Duration::from_secs(10),
};

/// State of one entry.
pub struct EntryCore {
    cfg: EntryCoreConfig,
    rng: SmallRng,
    config: ConfigState,
    /// Highest placement seen; each agent gets its own part.
    placing: Placing,
    membership: Membership,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    requests: BTreeMap<RequestId, Request>,
    /// Invariant: each request that waits in it is in `requests`.
    admission: Admission,
    /// Invariant: counts the attempts of `requests`.
    shares: Shares,
    chooser: Chooser,
    retries: RetryWindow,
    /// Invariant: only classes that a configuration has declared.
    stats: BTreeMap<ClassId, ClassStats>,
    quarantine: Quarantine,
    /// Grows with every change of the quarantine.
    quarantine_revision: u64,
    /// Claims of keyed requests; a claim outlives its request until the outcome is recorded.
    claims: BTreeMap<RequestId, Claim>,
    /// Requests on whose behalf the object API was called.
    store_ops: BTreeMap<StoreCallId, RequestId>,
    next_store_op: StoreCallId,
    started_at: Instant,
    attempts: u64,
    stopped: Option<Instant>,
    actions: Vec<EntryAction>,
}

impl EntryCore {
    /// An entry that knows no configuration and no host.
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
            retries: RetryWindow::new(RETRIES.window),
            cfg,
            rng: SmallRng::seed_from_u64(seed),
            placing: Placing::new(),
            endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            stats: BTreeMap::new(),
            quarantine: Quarantine::default(),
            quarantine_revision: 0,
            claims: BTreeMap::new(),
            store_ops: BTreeMap::new(),
            next_store_op: 0,
            started_at: now,
            attempts: 0,
            stopped: None,
            actions: Vec::new(),
        }
    }

    /// Takes in an event and returns what has to be done, in this order.
    pub fn handle(&mut self, now: Instant, event: EntryEvent) -> Vec<EntryAction> {
        self.membership.record_activity(now);
        match event {
            EntryEvent::Arrived { req, meta } => self.arrived(now, req, meta),
            EntryEvent::CallerGone { req } => self.caller_gone(now, req),
            EntryEvent::AnswerStarted { req, attempt } => self.attempt_started(now, req, &attempt),
            EntryEvent::LoadReported {
                endpoint,
                in_flight,
                limit,
            } => self.load_seen(&endpoint, in_flight, limit),
            EntryEvent::AttemptEnded {
                req,
                attempt,
                outcome: end,
                answer,
            } => self.attempt_ended(now, req, &attempt, end, answer),
            EntryEvent::StoreReplied { call_id, reply } => {
                if !self.placement_written(now, call_id, &reply) {
                    self.store_replied(now, call_id, reply);
                }
            }
            EntryEvent::SettleReplied { req, reply } => self.settle_replied(now, req, reply),
            EntryEvent::Synced { host, reply } => self.synced(now, &host, reply),
            EntryEvent::SyncFailed { host } => self.sync_failed(now, &host),
            EntryEvent::HostsListed(hosts) => self.hosts_listed(now, &hosts),
            EntryEvent::ConfigRead(doc) => self.config_seen(now, &doc),
            EntryEvent::ConfigReceived(doc) => self.config_taught(now, &doc),
            EntryEvent::PlacementRead(doc) => self.placement_seen(now, &doc),
            EntryEvent::StoreContact { reached } => self.config.record_store_contact(now, reached),
            EntryEvent::Stop => self.stopped = self.stopped.or(Some(now)),
            EntryEvent::Tick => {}
        }
        self.review_placement(now);
        self.send_heartbeats(now);
        self.pump(now);
        std::mem::take(&mut self.actions)
    }

    /// Time at which [`EntryEvent::Tick`] is due at the latest.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let heartbeat = self.next_heartbeat();
        heartbeat
            .into_iter()
            .chain(self.admission.next_expiry())
            .chain(self.placing.next_review())
            .min()
    }

    /// True when no request is waiting or in flight and every outcome is recorded.
    pub fn is_drained(&self) -> bool {
        self.requests.is_empty() && self.claims.is_empty()
    }

    /// Configuration that is held, in force or not.
    pub fn latest_config(&self) -> Option<&Arc<VersionedTargets>> {
        self.config.held()
    }
}
