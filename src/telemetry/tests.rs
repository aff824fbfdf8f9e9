use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::{Level, Record};

use super::rate_limited::RateLimitedWriter;
use super::*;
use crate::codes::Code;

type Format = fn(&mut dyn Write, &mut DeferredNow, &Record) -> io::Result<()>;

fn format_line(format: Format) -> String {
    let mut out = Vec::new();
    let event = [("event", 200u16)];
    let record = Record::builder()
        .level(Level::Info)
        .args(format_args!("configuration adopted: generation 7"))
        .key_values(&event)
        .build();
    format(&mut out, &mut DeferredNow::new(), &record).unwrap();
    String::from_utf8(out).unwrap()
}

#[test]
fn human_lines_contain_the_event_number() {
    let line = format_line(log_format::human);
    assert!(
        line.ends_with("INFO  [200] configuration adopted: generation 7"),
        "{line}"
    );
}

#[test]
fn json_lines_contain_the_event_number() {
    let line: serde_json::Value = serde_json::from_str(&format_line(log_format::json)).unwrap();
    assert_eq!(line["event"], 200);
    assert_eq!(line["level"], "INFO");
    assert_eq!(line["text"], "configuration adopted: generation 7");
}

#[test]
fn scrape_contains_recorded_values() {
    let metrics = Metrics::new();
    metrics.count_request("chat", RequestResult::Refused(Code::QueueFull));
    metrics.record_first_byte("chat", Duration::from_millis(40));
    let guard = metrics.track_in_flight();
    let text = metrics.scrape();
    let refused = text
        .lines()
        .find(|line| line.starts_with("requests_total"))
        .unwrap();
    assert!(
        refused.contains("code=\"2002\"") && refused.ends_with(" 1"),
        "{refused}"
    );
    assert!(text.contains("first_byte_seconds_count"), "{text}");
    let in_flight = |text: &str| {
        text.lines()
            .any(|l| l.starts_with("in_flight") && l.ends_with(" 1"))
    };
    assert!(in_flight(&text), "{text}");
    drop(guard);
    assert!(!in_flight(&metrics.scrape()));
}

/// Output that takes a while for each line.
struct SlowOutput {
    written: Arc<Mutex<Vec<u8>>>,
    pause: Duration,
}

impl Write for SlowOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        std::thread::sleep(self.pause);
        self.written.lock().unwrap().extend(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes so many lines to a slow output and flushes; returns the number of lines written by then.
fn flush_lines(count: usize, pause: Duration) -> (io::Result<()>, usize) {
    let written = Arc::new(Mutex::new(Vec::new()));
    let writer = RateLimitedWriter::spawn(SlowOutput {
        written: written.clone(),
        pause,
    });
    let record = Record::builder().level(Level::Info).build();
    for _ in 0..count {
        writer.write(&mut DeferredNow::new(), &record).unwrap();
    }
    let flushed = writer.flush();
    let written = written.lock().unwrap();
    (
        flushed,
        written.iter().filter(|byte| **byte == b'\n').count(),
    )
}

/// Regression: the last lines of a process were lost when it ended before they were written.
#[test]
fn a_flush_waits_for_the_queued_lines() {
    let (flushed, written) = flush_lines(5, Duration::from_millis(10));
    flushed.unwrap();
    assert_eq!(written, 5);
}

/// A reader that stands still does not hold the end of a process up.
#[test]
fn a_flush_gives_up_on_an_output_that_stands_still() {
    let (flushed, written) = flush_lines(1, Duration::from_secs(3_600));
    assert_eq!(flushed.unwrap_err().kind(), io::ErrorKind::TimedOut);
    assert_eq!(written, 0);
}

/// Output that counts its writes; the first one takes until the other end of `gate` is dropped.
struct GatedOutput {
    gate: Receiver<()>,
    begun: SyncSender<()>,
    writes: Arc<Mutex<Vec<usize>>>,
}

impl Write for GatedOutput {
    fn write(&mut self, lines: &[u8]) -> io::Result<usize> {
        let count = lines.iter().filter(|byte| **byte == b'\n').count();
        self.writes.lock().unwrap().push(count);
        let _ = self.begun.try_send(());
        let _ = self.gate.recv();
        Ok(lines.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_that_wait_are_written_together() {
    let writes = Arc::new(Mutex::new(Vec::new()));
    let (open, gate) = sync_channel(0);
    let (begun, is_writing) = sync_channel(1);
    let writer = RateLimitedWriter::spawn(GatedOutput {
        gate,
        begun,
        writes: writes.clone(),
    });
    let record = Record::builder().level(Level::Info).build();
    let write = || writer.write(&mut DeferredNow::new(), &record).unwrap();
    write();
    is_writing.recv().unwrap();
    (0..100).for_each(|_| write());
    drop(open);
    writer.flush().unwrap();
    assert_eq!(*writes.lock().unwrap(), [1, 100]);
}
