//! Log lines on standard output that never hold up the process.

use std::io::{self, Write};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle};
use log::{LevelFilter, Record};

use super::Event;
use super::log_format::json;
use super::logs::LogError;

/// Lines that wait for a slow reader; further ones are left out and counted.
const LINES_WAITING: usize = 2_048;
/// Lines a second beyond which informative lines are left out; about two for each request that an
/// entry takes at its peak, and as many again.
const LINES_PER_SECOND: u32 = 400;
/// Window of the rate.
const WINDOW: Duration = Duration::from_secs(1);

/// Rate of lines, with a count of those left out.
#[derive(Debug)]
pub struct LogRateLimiter {
    start: Instant,
    written: u32,
    left_out: u64,
}

impl LogRateLimiter {
    /// A rate that has written nothing yet.
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            written: 0,
            left_out: 0,
        }
    }

    /// Whether a line is written; `important` lines always are. The number is that of the lines
    /// left out since it was last asked, once in a window.
    pub fn admit(&mut self, now: Instant, important: bool) -> (bool, Option<u64>) {
        let mut report = None;
        if now.saturating_duration_since(self.start) >= WINDOW {
            self.start = now;
            self.written = 0;
            report = (self.left_out > 0).then_some(self.left_out);
            self.left_out = 0;
        }
        let admitted = important || self.written < LINES_PER_SECOND;
        match admitted {
            true => self.written += 1,
            false => self.left_out += 1,
        }
        (admitted, report)
    }

    /// Counts a line that was admitted and not written.
    pub fn lost(&mut self) {
        self.left_out += 1;
    }
}

struct RateLimitedWriter {
    tx: SyncSender<Vec<u8>>,
    rate: Mutex<LogRateLimiter>,
}

impl LogWriter for RateLimitedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let mut rate = self
            .rate
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let important = record.level() <= log::Level::Error;
        let (admitted, left_out) = rate.admit(Instant::now(), important);
        if let Some(count) = left_out {
            let event = Event::LinesLeftOut;
            let fields = [("event", u64::from(event.number())), ("count", count)];
            let mut line = Vec::new();
            json(
                &mut line,
                now,
                &Record::builder()
                    .level(event.level())
                    .args(format_args!("{event}: {count} lines"))
                    .key_values(&fields)
                    .build(),
            )?;
            self.send(&mut rate, line);
        }
        if admitted {
            let mut line = Vec::with_capacity(256);
            json(&mut line, now, record)?;
            self.send(&mut rate, line);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

impl RateLimitedWriter {
    fn send(&self, rate: &mut LogRateLimiter, mut line: Vec<u8>) {
        line.push(b'\n');
        if self.tx.try_send(line).is_err() {
            rate.lost();
        }
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(line) = rx.recv() {
        // Nobody is left to tell when standard output is gone.
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Starts the log as JSON lines on standard output; it ends when the handle is dropped.
///
/// # Errors
///
/// Fails when the process has a log already.
pub fn start_rate_limited_logs(level: LevelFilter) -> Result<LoggerHandle, LogError> {
    let (tx, rx) = sync_channel(LINES_WAITING);
    // The thread ends with the process, or when the writer is dropped.
    std::thread::spawn(move || write_lines(&rx));
    let writer = RateLimitedWriter {
        tx,
        rate: Mutex::new(LogRateLimiter::new(Instant::now())),
    };
    let spec = LogSpecification::builder()
        .module("limpetloom", level)
        .build();
    Logger::with(spec)
        .log_to_writer(Box::new(writer))
        .start()
        .map_err(LogError::Start)
}
