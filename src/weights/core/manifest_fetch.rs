//! Fetches of manifests.

use std::sync::Arc;
use std::time::Instant;

use crate::telemetry::Event;
use crate::types::Digest;
use crate::weights::error::FetchError;
use crate::weights::manifest::Manifest;

use super::{Source, WeightsAction, WeightsCore};

impl WeightsCore {
    pub(super) fn fetch_manifest(
        &mut self,
        now: Instant,
        version: &Digest,
        out: &mut Vec<WeightsAction>,
    ) {
        let takeover = self.cfg.takeover_delay;
        let Some(transfer) = self.transfers.get(version) else {
            return;
        };
        if transfer.manifest.is_some() || transfer.manifest_fetch.is_some() {
            return;
        }
        let peer = transfer
            .peers
            .iter()
            .filter(|(_, peer)| peer.have.is_some())
            .filter_map(|(host, _)| Some((host, self.peer_stats.get(host)?)))
            .find(|(_, stats)| stats.is_usable(now));
        // Groups of `manifest_downloaders` hosts take turns, in the order of their ranks.
        let turn_start = transfer.started_at
            + takeover * u32::from(transfer.manifest_rank / self.cfg.manifest_downloaders.max(1));
        let is_own_turn = transfer.has_contacted_peers(now, takeover) && now >= turn_start;
        let origin = self
            .usable_origin(now, version)
            .filter(|_| is_own_turn)
            .map(|(origin, addr)| (Source::Origin(origin), addr));
        let remote = transfer
            .remote_peers
            .iter()
            .filter(|(_, peer)| is_own_turn && peer.have.is_some())
            .find_map(|(host, _)| Some((host, self.peer_stats.get(host)?)));
        let (source, addr) = match (peer, origin, remote) {
            (Some((host, stats)), _, _) => (Source::Peer(host.clone()), stats.addr),
            (None, Some(origin), _) => origin,
            (None, None, Some((host, stats))) => (Source::Peer(host.clone()), stats.addr),
            (None, None, None) => {
                if is_own_turn {
                    self.announce_to_remote_peers(now, version, out);
                }
                return;
            }
        };
        if let Some(transfer) = self.transfers.get_mut(version) {
            transfer.manifest_fetch = Some(source.clone());
            out.push(WeightsAction::FetchManifest {
                wanted: transfer.wanted.clone(),
                source,
                addr,
            });
        }
    }

    pub(super) fn manifest_fetch_done(
        &mut self,
        now: Instant,
        version: &Digest,
        source: &Source,
        result: Result<Arc<Manifest>, FetchError>,
        out: &mut Vec<WeightsAction>,
    ) {
        let Some(transfer) = self.transfers.get_mut(version) else {
            return;
        };
        if transfer.manifest_fetch.as_ref() != Some(source) {
            return;
        }
        transfer.manifest_fetch = None;
        match result {
            Ok(manifest) => self.accept_manifest(version, manifest, out),
            Err(error) => {
                if error == FetchError::Corrupt {
                    out.push(WeightsAction::Log {
                        event: Event::ManifestMismatch,
                        detail: format!("{source:?} sent a manifest that does not match {version}"),
                    });
                }
                self.record_source_failure(now, version, source, error);
            }
        }
    }
}
