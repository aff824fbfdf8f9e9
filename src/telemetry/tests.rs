use std::time::Duration;

use flexi_logger::DeferredNow;
use log::{Level, Record};

use super::*;
use crate::codes::Code;

type Format = fn(&mut dyn std::io::Write, &mut DeferredNow, &Record) -> std::io::Result<()>;

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
