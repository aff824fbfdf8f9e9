//! Selects the endpoints that a heartbeat reports: those whose state changed since the entry last
//! received it.

use std::collections::BTreeMap;

use crate::types::EndpointId;
use crate::wire::{EndpointReport, EndpointState, SyncRequest};

/// Number of buckets into which the limit of an endpoint is divided. A load is reported again when
/// its bucket changes; the exact load is sent with each answer.
const LOAD_BUCKETS: u32 = 4;
/// Progress is reported again when it reaches another multiple of this, in thousandths. 1000 is a
/// multiple, so the end is always reported.
const PROGRESS_STEP_PERMILLE: u32 = 100;

/// Revision at which the report of each endpoint last changed.
#[derive(Debug, Default)]
pub(super) struct ReportRevisions {
    /// Revision of the newest change.
    ///
    /// Invariant: no endpoint has a higher revision.
    revision: u64,
    endpoints: BTreeMap<EndpointId, LastReport>,
}

#[derive(Debug)]
struct LastReport {
    summary: ReportSummary,
    /// Revision at which the summary changed.
    revision: u64,
}

/// The part of a report that must change for the report to be sent again.
#[derive(Debug, PartialEq)]
struct ReportSummary {
    state: EndpointState,
    instance: u64,
    version: Option<String>,
    limit: u32,
    load_bucket: u32,
    progress_step: u32,
}

impl From<&EndpointReport> for ReportSummary {
    fn from(report: &EndpointReport) -> Self {
        let load = report.in_flight.saturating_add(report.queued);
        Self {
            state: report.state,
            instance: report.instance,
            version: report.version.clone(),
            limit: report.limit,
            load_bucket: load.saturating_mul(LOAD_BUCKETS) / report.limit.max(1),
            progress_step: report.progress_permille.unwrap_or(0) / PROGRESS_STEP_PERMILLE,
        }
    }
}

impl ReportRevisions {
    /// Revision of the newest change.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Records the current reports and returns those that changed after revision `seen`.
    pub(super) fn changed_since(
        &mut self,
        seen: u64,
        reports: Vec<EndpointReport>,
    ) -> Vec<EndpointReport> {
        reports
            .into_iter()
            .filter(|report| self.update_revision(report) > seen)
            .collect()
    }

    /// Records a report and returns the revision at which it last changed.
    fn update_revision(&mut self, report: &EndpointReport) -> u64 {
        let summary = ReportSummary::from(report);
        let last = self.endpoints.get(report.endpoint.as_str());
        if let Some(last) = last.filter(|last| last.summary == summary) {
            return last.revision;
        }
        self.revision += 1;
        let last = LastReport {
            summary,
            revision: self.revision,
        };
        self.endpoints.insert(report.endpoint.as_str().into(), last);
        self.revision
    }
}

/// Newest revision that the sender of a heartbeat received from this incarnation of the agent; 0
/// for none.
pub(super) fn revision_seen_by(request: &SyncRequest, instance: u64) -> u64 {
    let is_own = request.seen_instance == Some(instance);
    request.seen_revision.filter(|_| is_own).unwrap_or(0)
}
