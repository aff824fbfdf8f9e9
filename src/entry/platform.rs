//! Watches the configuration and the placement in the object API, and polls the host list.

use std::time::Duration;

use tokio::sync::mpsc;

use crate::clients::{Change, HostList, HttpHostList, HttpObjectApi, ObjectApi, PlatformError};
use crate::timer::{Tick, Timer};
use crate::types::Generation;
use crate::wire::VersionedDocument;

use super::control::EventSender;
use super::core::{EntryEvent, PLACEMENT_KEY};

/// Key of the configuration in the object API.
pub const CONFIG_KEY: &str = "config/current";

/// Time for which the object API holds a watch of the configuration open. It is short because each
/// reply also confirms the generation in force.
const CONFIG_WATCH: Duration = Duration::from_secs(1);
/// Time for which the object API holds a watch of the placement open.
const PLACEMENT_WATCH: Duration = Duration::from_secs(5);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Interval between two reads of the host list.
const HOST_LIST_PERIOD: Duration = Duration::from_secs(1);

/// Sends new configurations to the control thread until that ends.
pub(super) async fn watch_config(objects: HttpObjectApi, events: EventSender) {
    let watch = KeyWatch {
        objects,
        events,
        key: CONFIG_KEY,
        wait: CONFIG_WATCH,
    };
    watch.run(EntryEvent::ConfigRead, true).await;
}

/// Sends new placements to the control thread until that ends.
pub(super) async fn watch_placement(objects: HttpObjectApi, events: EventSender) {
    let watch = KeyWatch {
        objects,
        events,
        key: PLACEMENT_KEY,
        wait: PLACEMENT_WATCH,
    };
    watch.run(EntryEvent::PlacementRead, false).await;
}

/// Polls the host list and sends it to the control thread until that ends.
pub(super) async fn poll_hosts(hosts: HttpHostList, events: EventSender, timer: Timer) {
    let mut ticks: mpsc::Receiver<Tick> = timer.every_jittered(HOST_LIST_PERIOD);
    while !events.is_closed() {
        if let Ok(list) = hosts.hosts().await {
            events.send(EntryEvent::HostsListed(list));
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Watches one key of the object API.
struct KeyWatch {
    objects: HttpObjectApi,
    events: EventSender,
    key: &'static str,
    wait: Duration,
}

impl KeyWatch {
    /// Sends each new value as the event that `to_event` makes of it, and the success of each call
    /// if `reports_contact` is set.
    async fn run(self, to_event: fn(VersionedDocument) -> EntryEvent, reports_contact: bool) {
        let mut known = None;
        while !self.events.is_closed() {
            let result = match known {
                None => self.read().await,
                Some(version) => self.watch(version).await,
            };
            if reports_contact {
                self.events.send(EntryEvent::StoreContact {
                    reached: result.is_ok(),
                });
            }
            match result {
                Ok(Some(doc)) => {
                    known = Some(doc.generation);
                    self.events.send(to_event(doc));
                }
                Ok(None) => known = known.or(Some(0)),
                Err(_) => {
                    // The next read returns the changes that were missed.
                    known = None;
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// The current value; `None` when the key does not exist.
    async fn read(&self) -> Result<Option<VersionedDocument>, PlatformError> {
        let object = self.objects.get(self.key).await?;
        Ok(object.map(|object| doc(object.version, &object.value)))
    }

    /// Waits for a change after the given version and returns the newest value, if any.
    async fn watch(&self, after: Generation) -> Result<Option<VersionedDocument>, PlatformError> {
        let changes = self.objects.watch(self.key, after, self.wait).await?;
        Ok(changes.iter().rev().find_map(Change::to_doc))
    }
}

impl Change {
    fn to_doc(&self) -> Option<VersionedDocument> {
        self.value.as_ref().map(|value| doc(self.version, value))
    }
}

fn doc(generation: Generation, body: &str) -> VersionedDocument {
    VersionedDocument {
        generation,
        body: body.to_owned(),
    }
}
