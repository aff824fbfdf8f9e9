//! Progress of a version's rollout.

use std::time::{Duration, Instant};

use super::BoxError;
use super::common::Site;

/// Interval at which progress is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Shows on which engines a version is active.
pub struct Progress<'a> {
    site: &'a Site,
    version: &'static str,
    digest: String,
    start: Instant,
    last_printed: Option<String>,
}

impl<'a> Progress<'a> {
    pub fn new(site: &'a Site, version: &'static str, digest: String) -> Self {
        Self {
            site,
            version,
            digest,
            start: Instant::now(),
            last_printed: None,
        }
    }

    /// Prints the progress if it has changed since the last call: `#` for each engine on which the
    /// version is active, `.` for the others.
    pub fn print_changes(&mut self) {
        let marks = self
            .site
            .models
            .iter()
            .map(|model| model.engine.version().as_deref() == Some(&self.digest))
            .map(|is_ready| if is_ready { '#' } else { '.' })
            .collect::<String>();
        if self.last_printed.as_ref() == Some(&marks) {
            return;
        }
        let (ready, all) = (self.site.replicas(&self.digest), marks.len());
        let seconds = self.start.elapsed().as_secs_f64();
        println!(
            "{} [{marks}] {ready}/{all} ready after {seconds:.1} s",
            self.version
        );
        self.last_printed = Some(marks);
    }

    /// Shows the progress until the version is active on every engine, and returns the time since
    /// the start.
    pub async fn wait_until_ready(&mut self, timeout: Duration) -> Result<Duration, BoxError> {
        loop {
            self.print_changes();
            if self.site.replicas(&self.digest) == self.site.models.len() {
                return Ok(self.start.elapsed());
            }
            if self.start.elapsed() > timeout {
                return Err(format!("{} is not ready after {timeout:?}", self.version).into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
