//! The generation that a process holds, and whether it may act on it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::codes::Code;
use crate::settings::{LimitsSettings, PlatformSettings, ProcessSettings};
use crate::types::{EntryId, Generation, InstanceId, RegionId};
use crate::wire::{StoreContact, VersionedDocument};

use super::Targets;
use super::contact::Contact;

/// Identity and limits that [`ConfigState`] needs.
#[derive(Clone, Debug)]
pub struct ConfigParams {
    /// Name of the process, as in the host list.
    pub name: EntryId,
    /// Region of the process.
    pub region: RegionId,
    /// Region of the object API.
    pub store_region: RegionId,
    /// Time out of touch after which new work is refused.
    pub isolation_after: Duration,
}

impl ConfigParams {
    /// Takes the parameters from the settings of a process.
    pub fn from_settings(
        process: &ProcessSettings,
        platform: &PlatformSettings,
        limits: &LimitsSettings,
    ) -> Self {
        Self {
            name: process.host.clone(),
            region: process.region.clone(),
            store_region: platform.store_region.clone(),
            isolation_after: limits.isolation_after,
        }
    }
}

/// A configuration with its generation.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedTargets {
    /// Version of the object that holds the configuration.
    pub generation: Generation,
    /// What operators declare.
    pub targets: Targets,
}

/// What became of a configuration that was shown to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// It is newer and now held.
    Adopted,
    /// It is the one held.
    Known,
    /// It is older than the one held.
    Older,
    /// It is newer and can not be parsed; the one held stays.
    Invalid,
}

/// Whether a process may act on the configuration that it holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// No configuration is known.
    Unknown,
    /// The object API confirmed it within the promised time.
    Confirmed,
    /// The object API answers nobody, so that no change can be accepted.
    StoreDown,
    /// A change may have been accepted out of reach.
    Isolated,
}

/// The configuration of a process; free of sockets and clocks.
#[derive(Debug)]
pub struct ConfigState {
    /// Invariant: the generation only grows.
    held: Option<Arc<VersionedTargets>>,
    /// Invariant: the document that `held` was parsed from.
    doc: Option<VersionedDocument>,
    contact: Contact,
}

impl ConfigState {
    /// A process that knows no configuration yet.
    pub fn new(params: ConfigParams, instance: InstanceId, now: Instant) -> Self {
        Self {
            held: None,
            doc: None,
            contact: Contact::new(params, instance, now),
        }
    }

    /// Takes in a configuration from the object API or a peer; only a higher generation is
    /// adopted.
    pub fn observe(&mut self, doc: &VersionedDocument) -> Observation {
        let held = self.generation();
        if doc.generation < held {
            return Observation::Older;
        }
        if self.held.is_some() && doc.generation == held {
            return Observation::Known;
        }
        let Ok(targets) = serde_json::from_str(&doc.body) else {
            return Observation::Invalid;
        };
        self.held = Some(Arc::new(VersionedTargets {
            generation: doc.generation,
            targets,
        }));
        self.doc = Some(doc.clone());
        Observation::Adopted
    }

    /// Takes in a configuration that the object API itself showed; an older one is a stale read
    /// and does not count as contact, also when [`Self::record_store_contact`] was told of it before.
    pub fn observe_store_read(&mut self, now: Instant, doc: &VersionedDocument) -> Observation {
        let observation = self.observe(doc);
        match observation {
            Observation::Older | Observation::Invalid => self.contact.retract_direct(),
            Observation::Adopted | Observation::Known => self.contact.direct(now, true),
        }
        observation
    }

    /// Notes that the object API answered a read or a watch of the configuration, or failed to.
    pub fn record_store_contact(&mut self, now: Instant, reached: bool) {
        self.contact.direct(now, reached);
    }

    /// Takes in what a peer with `generation` says of the object API, after its configuration was
    /// observed. A peer that holds a newer generation confirms nothing.
    pub fn apply_peer_contact(
        &mut self,
        now: Instant,
        peer: &str,
        generation: Generation,
        contact: &StoreContact,
    ) {
        if generation <= self.generation() {
            self.contact.relayed(now, contact);
        }
        self.contact.take_stamp(now, peer, contact);
    }

    /// Sets the entries that the host list shows in the region of the object API.
    pub fn set_store_entries(&mut self, entries: impl IntoIterator<Item = EntryId>) {
        let entries: BTreeSet<_> = entries.into_iter().collect();
        self.contact.set_store_entries(entries);
    }

    /// What is said of the object API in a message to `peer`.
    pub fn contact_for(&mut self, now: Instant, peer: &str) -> StoreContact {
        self.contact.report(now, peer)
    }

    /// The configuration for a peer that holds `generation`; `None` when it is not behind.
    pub fn doc_newer_than(&self, generation: Generation) -> Option<VersionedDocument> {
        self.doc
            .as_ref()
            .filter(|doc| doc.generation > generation)
            .cloned()
    }

    /// The configuration that new work runs under.
    ///
    /// # Errors
    ///
    /// [`Code::NoConfiguration`] before the first one is known, [`Code::Isolated`] while a newer
    /// one may be in force out of reach.
    pub fn in_force(&self, now: Instant) -> Result<&Arc<VersionedTargets>, Code> {
        let held = self.held.as_ref().ok_or(Code::NoConfiguration)?;
        match self.freshness(now) {
            Freshness::Unknown => Err(Code::NoConfiguration),
            Freshness::Isolated => Err(Code::Isolated),
            Freshness::Confirmed | Freshness::StoreDown => Ok(held),
        }
    }

    /// Whether the process may act on what it holds.
    pub fn freshness(&self, now: Instant) -> Freshness {
        if self.held.is_none() {
            Freshness::Unknown
        } else if self.contact.is_fresh(now) {
            Freshness::Confirmed
        } else if self.contact.is_store_out(now) {
            Freshness::StoreDown
        } else {
            Freshness::Isolated
        }
    }

    /// The configuration held, in force or not; for work that is already running and for status.
    pub fn held(&self) -> Option<&Arc<VersionedTargets>> {
        self.held.as_ref()
    }

    /// Generation held; 0 when none is known.
    pub fn generation(&self) -> Generation {
        self.held.as_ref().map_or(0, |held| held.generation)
    }

    /// Time since the object API confirmed the generation held, directly or through peers.
    pub fn contact_age(&self, now: Instant) -> Option<Duration> {
        self.contact.age(now)
    }

    /// True while the object API answers this process itself.
    pub fn is_store_reachable(&self) -> bool {
        self.contact.is_reachable()
    }
}
