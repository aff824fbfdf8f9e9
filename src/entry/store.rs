//! Follows the configuration, the placement and the host list of the platform.

use std::time::Duration;

use tokio::sync::mpsc;

use crate::clients::{Change, HostList, HttpHostList, HttpObjectApi, ObjectApi, PlatformError};
use crate::timer::{Tick, Timer};
use crate::types::Generation;
use crate::wire::ConfigDoc;

use super::control::Reports;
use super::core::{EntryEvent, PLACEMENT_KEY};

/// Key of the configuration.
pub const CONFIG_KEY: &str = "config/current";

/// Time for which the object API holds a watch of the configuration; short, so that its answer
/// confirms the generation in force.
const CONFIG_WATCH: Duration = Duration::from_secs(1);
/// Time for which the object API holds a watch of the placement.
const PLACEMENT_WATCH: Duration = Duration::from_secs(5);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time between two reads of the host list.
const HOST_LIST_PERIOD: Duration = Duration::from_secs(1);

/// Follows the configuration until the control thread ends.
pub(super) async fn follow_config(objects: HttpObjectApi, reports: Reports) {
    let follower = Follower {
        objects,
        reports,
        key: CONFIG_KEY,
        wait: CONFIG_WATCH,
    };
    follower.run(EntryEvent::ConfigRead, true).await;
}

/// Follows the placement until the control thread ends.
pub(super) async fn follow_placement(objects: HttpObjectApi, reports: Reports) {
    let follower = Follower {
        objects,
        reports,
        key: PLACEMENT_KEY,
        wait: PLACEMENT_WATCH,
    };
    follower.run(EntryEvent::PlacementRead, false).await;
}

/// Reads the host list again and again until the control thread ends.
pub(super) async fn follow_hosts(hosts: HttpHostList, reports: Reports, timer: Timer) {
    let mut ticks: mpsc::Receiver<Tick> = timer.every_jittered(HOST_LIST_PERIOD);
    while !reports.is_closed() {
        if let Ok(list) = hosts.hosts().await {
            reports.event(EntryEvent::HostsListed(list));
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

struct Follower {
    objects: HttpObjectApi,
    reports: Reports,
    key: &'static str,
    wait: Duration,
}

impl Follower {
    async fn run(self, seen: fn(ConfigDoc) -> EntryEvent, confirms: bool) {
        let mut known = None;
        while !self.reports.is_closed() {
            let step = match known {
                None => self.read().await,
                Some(version) => self.watch(version).await,
            };
            if confirms {
                self.reports.event(EntryEvent::StoreContact {
                    reached: step.is_ok(),
                });
            }
            match step {
                Ok(Some(doc)) => {
                    known = Some(doc.generation);
                    self.reports.event(seen(doc));
                }
                Ok(None) => known = known.or(Some(0)),
                Err(_) => {
                    // The next read finds what was missed meanwhile.
                    known = None;
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn read(&self) -> Result<Option<ConfigDoc>, PlatformError> {
        let object = self.objects.get(self.key).await?;
        Ok(object.map(|object| doc(object.version, &object.value)))
    }

    async fn watch(&self, after: Generation) -> Result<Option<ConfigDoc>, PlatformError> {
        let changes = self.objects.watch(self.key, after, self.wait).await?;
        Ok(changes.iter().rev().find_map(Change::to_doc))
    }
}

impl Change {
    fn to_doc(&self) -> Option<ConfigDoc> {
        self.value.as_ref().map(|value| doc(self.version, value))
    }
}

fn doc(generation: Generation, body: &str) -> ConfigDoc {
    ConfigDoc {
        generation,
        body: body.to_owned(),
    }
}
