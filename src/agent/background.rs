//! Background tasks: probe the endpoints, forward notices of the weight transfer and refresh its
//! peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::clients::{EndpointAdmin, HostList, HttpClient, HttpEndpoint, HttpHostList};
use crate::membership::{HostEntry, HostRole};
use crate::settings::EndpointSettings;
use crate::timer::{Tick, Timer};
use crate::weights::{Peer, WeightsNotice, WeightsService};

use super::control::EventSender;
use super::core::AgentEvent;

/// Interval between reads of the host list.
const HOST_LIST_PERIOD: Duration = Duration::from_secs(30);
/// Interval between reads of the host list until the first one succeeds.
const INITIAL_HOST_LIST_PERIOD: Duration = Duration::from_millis(500);

/// Probes an endpoint at every tick until the control thread ends.
pub(super) async fn probe_endpoint(
    endpoint: EndpointSettings,
    http: HttpClient,
    events: EventSender,
    mut ticks: mpsc::Receiver<Tick>,
) {
    let admin = HttpEndpoint::new(endpoint.address, http);
    while !events.is_closed() {
        let probe = admin.status().await.ok();
        events.send(AgentEvent::Probed {
            endpoint: endpoint.name.clone(),
            probe,
        });
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Forwards the notices of the weight transfer to the control thread until the transfer ends.
pub(super) async fn forward_weight_notices(
    mut notices: mpsc::UnboundedReceiver<WeightsNotice>,
    events: EventSender,
) {
    while let Some(notice) = notices.recv().await {
        events.send(match notice {
            WeightsNotice::Held { version } => AgentEvent::VersionHeld { version },
            WeightsNotice::ChunkFetched { .. } => continue,
            WeightsNotice::Progress { version, permille } => {
                AgentEvent::VersionProgress { version, permille }
            }
        });
    }
}

/// Updates the peers of the weight transfer from the host list until the control thread ends.
pub(super) async fn refresh_peers(
    hosts: HttpHostList,
    weights: WeightsService,
    events: EventSender,
    timer: Timer,
) {
    let mut ticks = timer.every_jittered(INITIAL_HOST_LIST_PERIOD);
    let mut is_first = true;
    while !events.is_closed() {
        if let Ok(list) = hosts.hosts().await {
            weights.set_peers(peers(&list));
            if std::mem::take(&mut is_first) {
                ticks = timer.every_jittered(HOST_LIST_PERIOD);
            }
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

fn peers(list: &[HostEntry]) -> Vec<Peer> {
    list.iter()
        .filter(|host| host.role == HostRole::Agent)
        .map(peer)
        .collect()
}

fn peer(host: &HostEntry) -> Peer {
    Peer {
        host: host.host.clone(),
        zone: host.zone.clone(),
        region: host.region.clone(),
        addr: host.traffic,
    }
}

/// This host as other hosts see it in the weight transfer.
pub(super) fn own_peer(
    host: &Arc<str>,
    zone: &Arc<str>,
    region: &Arc<str>,
    addr: SocketAddr,
) -> Peer {
    Peer {
        host: host.clone(),
        zone: zone.clone(),
        region: region.clone(),
        addr,
    }
}
