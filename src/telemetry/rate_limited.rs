//! Non-blocking, rate-limited log on standard output.

use std::io::{self, Write};
use std::iter;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle};
use log::{LevelFilter, Record};

use super::Event;
use super::log_format::json;
use super::logs::LogError;

/// Maximum number of lines that wait to be written while the reader of standard output is slow.
/// Further lines are dropped and counted.
const QUEUE_LINES: usize = 2_048;
/// Maximum number of lines per second; lines above it are dropped unless their level is error. An
/// entry writes about two lines per request; the limit is twice the number of lines at its peak
/// load.
const LINES_PER_SECOND: u32 = 400;
/// Period over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Pause after a write, in which lines are collected: a wake-up and a system call for each line would cost
/// more than the line.
const WRITE_PAUSE: Duration = Duration::from_millis(10);
/// Longest wait of a flush: a process that ends is not held up by a reader of standard output that
/// stands still.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two tries to queue the mark of a flush while the queue is full.
const FLUSH_PAUSE: Duration = Duration::from_millis(5);

/// Limits the rate of log lines and counts the dropped ones.
#[derive(Debug)]
pub struct LogRateLimiter {
    window_start: Instant,
    /// Lines admitted in this window.
    written: u32,
    /// Dropped lines that are not reported yet.
    dropped: u64,
}

impl LogRateLimiter {
    /// Creates a limiter whose first window starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            written: 0,
            dropped: 0,
        }
    }

    /// Returns whether to write a line, which is always true for an `important` one, and how many
    /// lines were dropped before. That number is returned once, by the first call in a new window,
    /// and only if it is not 0.
    pub fn admit(&mut self, now: Instant, important: bool) -> (bool, Option<u64>) {
        let mut report = None;
        if now.saturating_duration_since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.written = 0;
            report = (self.dropped > 0).then_some(self.dropped);
            self.dropped = 0;
        }
        let admitted = important || self.written < LINES_PER_SECOND;
        match admitted {
            true => self.written += 1,
            false => self.dropped += 1,
        }
        (admitted, report)
    }

    /// Counts an admitted line that could not be queued.
    pub fn record_dropped(&mut self) {
        self.dropped += 1;
    }
}

/// Sent to the thread that writes.
enum Command {
    Line(Vec<u8>),
    /// Answered once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Queues lines for a thread that writes them.
pub(super) struct RateLimitedWriter {
    tx: SyncSender<Command>,
    limiter: Mutex<LogRateLimiter>,
}

impl LogWriter for RateLimitedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let mut limiter = self
            .limiter
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let important = record.level() <= log::Level::Error;
        let (admitted, dropped) = limiter.admit(Instant::now(), important);
        if let Some(count) = dropped {
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
            self.send(&mut limiter, line);
        }
        if admitted {
            let mut line = Vec::with_capacity(256);
            json(&mut line, now, record)?;
            self.send(&mut limiter, line);
        }
        Ok(())
    }

    /// Waits until the queued lines are written, at most [`FLUSH_TIMEOUT`].
    fn flush(&self) -> io::Result<()> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let (tx, rx) = sync_channel(1);
        let mut mark = Command::Flush(tx);
        while let Err(err) = self.tx.try_send(mark) {
            match err {
                TrySendError::Full(unsent) if Instant::now() < deadline => mark = unsent,
                _ => return Err(io::ErrorKind::TimedOut.into()),
            }
            std::thread::sleep(FLUSH_PAUSE);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        rx.recv_timeout(left)
            .map_err(|_| io::ErrorKind::TimedOut.into())
    }
}

impl RateLimitedWriter {
    /// Starts the thread that writes to `out`. It ends with the process, or when the writer is dropped.
    pub fn spawn(out: impl Write + Send + 'static) -> Self {
        let (tx, rx) = sync_channel(QUEUE_LINES);
        std::thread::spawn(move || write_lines(&rx, out));
        Self {
            tx,
            limiter: Mutex::new(LogRateLimiter::new(Instant::now())),
        }
    }

    fn send(&self, limiter: &mut LogRateLimiter, mut line: Vec<u8>) {
        line.push(b'\n');
        if self.tx.try_send(Command::Line(line)).is_err() {
            limiter.record_dropped();
        }
    }
}

fn write_lines(rx: &Receiver<Command>, mut out: impl Write) {
    let mut lines = Vec::new();
    let mut marks = Vec::new();
    while let Ok(first) = rx.recv() {
        for command in iter::once(first).chain(rx.try_iter()).take(QUEUE_LINES) {
            match command {
                Command::Line(line) => lines.extend(line),
                Command::Flush(tx) => marks.push(tx),
            }
        }
        // A closed standard output cannot be reported anywhere.
        if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
            return;
        }
        lines.clear();
        for mark in marks.drain(..) {
            // The sender may have given up.
            let _ = mark.try_send(());
        }
        std::thread::sleep(WRITE_PAUSE);
    }
}

/// Starts a log of JSON lines on standard output. Dropping the handle writes the queued lines and stops
/// it.
///
/// # Errors
///
/// Fails if the process already has a logger.
pub fn start_rate_limited_logs(level: LevelFilter) -> Result<LoggerHandle, LogError> {
    let spec = LogSpecification::builder()
        .module("limpetloom", level)
        .build();
    Logger::with(spec)
        .log_to_writer(Box::new(RateLimitedWriter::spawn(io::stdout())))
        .start()
        .map_err(LogError::Start)
}
