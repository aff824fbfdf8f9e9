//! Follows the endpoints' own reports, the host list and the weight transfer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::clients::{EndpointAdmin, HostList, HttpClient, HttpEndpoint, HttpHostList};
use crate::membership::{HostEntry, HostRole};
use crate::settings::EndpointSettings;
use crate::timer::{Tick, Timer};
use crate::weights::{Peer, WeightsNotice, WeightsService};

use super::control::Reports;
use super::core::AgentEvent;

/// Time between two reads of the host list.
const HOST_LIST_PERIOD: Duration = Duration::from_secs(30);
/// Time between two reads of the host list until a first one succeeds.
const FIRST_HOST_LIST_PERIOD: Duration = Duration::from_millis(500);

/// Probes an endpoint again and again until the control thread ends.
pub(super) async fn follow_endpoint(
    endpoint: EndpointSettings,
    http: HttpClient,
    reports: Reports,
    mut ticks: mpsc::Receiver<Tick>,
) {
    let admin = HttpEndpoint::new(endpoint.address, http);
    while !reports.is_closed() {
        let probe = admin.status().await.ok();
        reports.event(AgentEvent::Probed {
            endpoint: endpoint.name.clone(),
            probe,
        });
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Passes the notices of the weight transfer on until it ends.
pub(super) async fn follow_weights(
    mut notices: mpsc::UnboundedReceiver<WeightsNotice>,
    reports: Reports,
) {
    while let Some(notice) = notices.recv().await {
        reports.event(match notice {
            WeightsNotice::Held { version } => AgentEvent::VersionHeld { version },
            WeightsNotice::Fetched { .. } => continue,
            WeightsNotice::Progress { version, permille } => {
                AgentEvent::VersionProgress { version, permille }
            }
        });
    }
}

/// Tells the weight transfer who the hosts are, until the control thread ends.
pub(super) async fn follow_peers(
    hosts: HttpHostList,
    weights: WeightsService,
    reports: Reports,
    timer: Timer,
) {
    let mut ticks = timer.every_jittered(FIRST_HOST_LIST_PERIOD);
    let mut is_first = true;
    while !reports.is_closed() {
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

/// This host as a peer of others.
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
