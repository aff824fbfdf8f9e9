//! Which endpoints are reported in a heartbeat: those that an entry does not know as they are.

use std::collections::BTreeMap;

use crate::types::EndpointId;
use crate::wire::{EndpointReport, EndpointState, SyncRequest};

/// Parts into which the limit of an endpoint is divided; a load is new when its part changes. The
/// exact load rides on answers.
const LOAD_PARTS: u32 = 4;
/// Thousandths by which progress must grow to be new; the end always is.
const PROGRESS_STEP_PERMILLE: u32 = 100;

/// Revisions of the reports of a host's endpoints.
#[derive(Debug, Default)]
pub(super) struct Reports {
    /// Revision of the newest change.
    ///
    /// Invariant: no endpoint has a higher one.
    revision: u64,
    endpoints: BTreeMap<EndpointId, Known>,
}

#[derive(Debug)]
struct Known {
    shape: Shape,
    changed: u64,
}

/// What has to change in a report for it to be sent again.
#[derive(Debug, PartialEq)]
struct Shape {
    state: EndpointState,
    instance: u64,
    version: Option<String>,
    limit: u32,
    load_part: u32,
    progress_step: u32,
}

impl From<&EndpointReport> for Shape {
    fn from(report: &EndpointReport) -> Self {
        let load = report.in_flight.saturating_add(report.queued);
        Self {
            state: report.state,
            instance: report.instance,
            version: report.version.clone(),
            limit: report.limit,
            load_part: load.saturating_mul(LOAD_PARTS) / report.limit.max(1),
            progress_step: report.progress_permille.unwrap_or(0) / PROGRESS_STEP_PERMILLE,
        }
    }
}

impl Reports {
    /// Revision of the newest change.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes in the present reports and returns those that changed after `seen`.
    pub(super) fn since(&mut self, seen: u64, reports: Vec<EndpointReport>) -> Vec<EndpointReport> {
        reports
            .into_iter()
            .filter(|report| self.changed(report) > seen)
            .collect()
    }

    fn changed(&mut self, report: &EndpointReport) -> u64 {
        let shape = Shape::from(report);
        let known = self.endpoints.get(report.endpoint.as_str());
        if let Some(known) = known.filter(|known| known.shape == shape) {
            return known.changed;
        }
        self.revision += 1;
        let known = Known {
            shape,
            changed: self.revision,
        };
        self.endpoints
            .insert(report.endpoint.as_str().into(), known);
        self.revision
    }
}

/// Revision that the sender of a heartbeat has from this instance of the agent; 0 for none.
pub(super) fn seen_by(request: &SyncRequest, instance: u64) -> u64 {
    let is_own = request.seen_instance == Some(instance);
    request.seen_revision.filter(|_| is_own).unwrap_or(0)
}
