//! The record of a run: what was sent, answered and run, with the time in milliseconds.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to `record.txt`; clones share it.
#[derive(Clone)]
pub struct Recorder {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Recorder {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} {}", text.as_ref());
    }
}
