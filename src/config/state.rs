//! The configuration generation that a process holds, and whether it may act on it.

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
    /// Time without confirmation by the object API after which new work is refused.
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

/// Declared targets with their generation.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedTargets {
    /// Version of the object that holds the configuration.
    pub generation: Generation,
    /// Declared targets.
    pub targets: Targets,
}

/// Result of observing a configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// It is newer and is now held.
    Adopted,
    /// It is already held.
    Known,
    /// It is older than the held one.
    Older,
    /// It is newer but cannot be parsed; the held one is kept.
    Invalid,
}

/// Whether a process may act on the configuration that it holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// No configuration is known.
    Unknown,
    /// The object API confirmed it within [`ConfigParams::isolation_after`].
    Confirmed,
    /// The object API is down, so no change can have been accepted.
    StoreDown,
    /// A newer configuration may have been accepted without this process knowing.
    Isolated,
}

/// The configuration of a process, as a sans-IO state machine.
#[derive(Debug)]
pub struct ConfigState {
    /// Invariant: the generation never decreases.
    held: Option<Arc<VersionedTargets>>,
    /// Invariant: the document that `held` was parsed from.
    doc: Option<VersionedDocument>,
    contact: Contact,
}

impl ConfigState {
    /// Creates the state of a process that holds no configuration yet.
    pub fn new(params: ConfigParams, instance: InstanceId, now: Instant) -> Self {
        Self {
            held: None,
            doc: None,
            contact: Contact::new(params, instance, now),
        }
    }

    /// Handles a configuration from the object API or a peer; only a higher generation is adopted.
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

    /// Handles a configuration read from the object API. An older one is a stale read and does not
    /// count as contact, even if [`Self::record_store_contact`] recorded the contact before.
    pub fn observe_store_read(&mut self, now: Instant, doc: &VersionedDocument) -> Observation {
        let observation = self.observe(doc);
        match observation {
            Observation::Older | Observation::Invalid => self.contact.retract_direct(),
            Observation::Adopted | Observation::Known => self.contact.record_direct(now, true),
        }
        observation
    }

    /// Records whether the object API answered a read or watch of the configuration.
    pub fn record_store_contact(&mut self, now: Instant, reached: bool) {
        self.contact.record_direct(now, reached);
    }

    /// Applies the contact that a peer with `generation` reports with the object API. To be called
    /// after the peer's configuration was observed; a peer that still holds a newer generation
    /// confirms nothing.
    pub fn apply_peer_contact(
        &mut self,
        now: Instant,
        peer: &str,
        generation: Generation,
        contact: &StoreContact,
    ) {
        if generation <= self.generation() {
            self.contact.apply_report(now, contact);
        }
        self.contact.record_stamp(now, peer, contact);
    }

    /// Sets the entries that the host list shows in the object API's region.
    pub fn set_store_entries(&mut self, entries: impl IntoIterator<Item = EntryId>) {
        let entries: BTreeSet<_> = entries.into_iter().collect();
        self.contact.set_store_entries(entries);
    }

    /// Returns the contact with the object API to report in a message to `peer`.
    pub fn contact_for(&mut self, now: Instant, peer: &str) -> StoreContact {
        self.contact.report(now, peer)
    }

    /// Returns the held configuration if it is newer than `generation`.
    pub fn doc_newer_than(&self, generation: Generation) -> Option<VersionedDocument> {
        self.doc
            .as_ref()
            .filter(|doc| doc.generation > generation)
            .cloned()
    }

    /// Returns the configuration that new work runs under.
    ///
    /// # Errors
    ///
    /// Returns [`Code::NoConfiguration`] before the first one is known, and [`Code::Isolated`]
    /// while a newer one may have been accepted without this process knowing.
    pub fn in_force(&self, now: Instant) -> Result<&Arc<VersionedTargets>, Code> {
        let held = self.held.as_ref().ok_or(Code::NoConfiguration)?;
        match self.freshness(now) {
            Freshness::Unknown => Err(Code::NoConfiguration),
            Freshness::Isolated => Err(Code::Isolated),
            Freshness::Confirmed | Freshness::StoreDown => Ok(held),
        }
    }

    /// Returns whether the process may act on the held configuration.
    pub fn freshness(&self, now: Instant) -> Freshness {
        if self.held.is_none() {
            Freshness::Unknown
        } else if self.contact.is_fresh(now) {
            Freshness::Confirmed
        } else if self.contact.is_store_down(now) {
            Freshness::StoreDown
        } else {
            Freshness::Isolated
        }
    }

    /// The held configuration, in force or not; for running work and for status reports.
    pub fn held(&self) -> Option<&Arc<VersionedTargets>> {
        self.held.as_ref()
    }

    /// Generation that is held; 0 if none is known.
    pub fn generation(&self) -> Generation {
        self.held.as_ref().map_or(0, |held| held.generation)
    }

    /// Time since the object API confirmed the held generation, directly or through peers.
    pub fn contact_age(&self, now: Instant) -> Option<Duration> {
        self.contact.age(now)
    }

    /// True if the object API answered this process's own last call.
    pub fn is_store_reachable(&self) -> bool {
        self.contact.is_reachable()
    }
}
