//! Progress of a version by replica.

use std::time::{Duration, Instant};

use super::BoxError;
use super::common::Site;

/// Interval at which progress is looked at.
const POLL: Duration = Duration::from_millis(50);

/// Shows on which replicas a version is active.
pub struct Progress<'a> {
    site: &'a Site,
    version: &'static str,
    digest: String,
    start: Instant,
    shown: Option<String>,
}

impl<'a> Progress<'a> {
    pub fn new(site: &'a Site, version: &'static str, digest: String) -> Self {
        Self {
            site,
            version,
            digest,
            start: Instant::now(),
            shown: None,
        }
    }

    /// Prints a line when the progress has changed.
    pub fn show(&mut self) {
        let marks = self
            .site
            .models
            .iter()
            .map(|seat| seat.engine.version().as_deref() == Some(&self.digest))
            .map(|is_ready| if is_ready { '#' } else { '.' })
            .collect::<String>();
        if self.shown.as_ref() == Some(&marks) {
            return;
        }
        let (ready, all) = (self.site.replicas(&self.digest), marks.len());
        let seconds = self.start.elapsed().as_secs_f64();
        println!(
            "{} [{marks}] {ready}/{all} ready after {seconds:.1} s",
            self.version
        );
        self.shown = Some(marks);
    }

    /// Shows the progress until every replica is ready, and returns how long that took.
    pub async fn wait(&mut self, limit: Duration) -> Result<Duration, BoxError> {
        loop {
            self.show();
            if self.site.replicas(&self.digest) == self.site.models.len() {
                return Ok(self.start.elapsed());
            }
            if self.start.elapsed() > limit {
                return Err(format!("{} is not ready after {limit:?}", self.version).into());
            }
            tokio::time::sleep(POLL).await;
        }
    }
}
