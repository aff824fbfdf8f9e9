//! Attempts that the dispatcher takes back because the version of their engine ends.

use std::time::Duration;

use proptest::prelude::*;

use super::ops::InjectedFault;
use super::{Check, START_GRACE, World};
use crate::dispatch::AttemptOutcome;

impl World {
    /// Ends the attempts that the dispatcher takes back, and checks that it did so in time.
    pub(super) fn recall(&mut self) -> Check {
        self.check_queued(START_GRACE + Duration::from_nanos(1))?;
        for ticket in self.core.recall_overdue(self.now) {
            if self.fault != InjectedFault::RecallIgnored {
                self.end_attempt(ticket, AttemptOutcome::Recalled)?;
            }
        }
        self.check_queued(START_GRACE)
    }

    /// Checks that no attempt waits at an engine on a version older than one named `age` ago.
    fn check_queued(&self, age: Duration) -> Check {
        let ended = self.version_named_before(age);
        let mut queued = self
            .tickets
            .values()
            .filter(|req| req.route == 0 && req.running_at.is_some() && !req.has_begun);
        prop_assert!(
            queued.all(|req| ended.is_none_or(|ended| req.version >= ended)),
            "an attempt may begin on a version that has ended"
        );
        Ok(())
    }

    /// Newest version that was named at least so long ago.
    pub(super) fn version_named_before(&self, age: Duration) -> Option<u64> {
        let named = self.wanted_versions.iter();
        let named = named.filter(|(_, at)| self.now.duration_since(**at) >= age);
        named.map(|(version, _)| *version).max()
    }

    pub(super) fn reports_versions(&self) -> bool {
        !matches!(
            self.fault,
            InjectedFault::VersionNotApplied | InjectedFault::VersionReportedLate
        )
    }
}
