//! Forms of a log line.

use std::io::{self, Write};

use flexi_logger::DeferredNow;
use log::Record;
use log::kv::Key;
use serde::Serialize;

/// Key under which a line carries the number of its event.
const EVENT_KEY: &str = "event";

/// A line as JSON.
#[derive(Serialize)]
struct JsonLine<'a> {
    time: String,
    level: &'a str,
    event: Option<u64>,
    module: Option<&'a str>,
    text: String,
}

/// Writes a line for people.
pub(super) fn human(out: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let event = event_number(record)
        .map(|number| format!(" [{number}]"))
        .unwrap_or_default();
    write!(
        out,
        "{} {:5}{event} {}",
        time(now),
        record.level(),
        record.args()
    )
}

/// Writes a line as one JSON object.
pub(super) fn json(out: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let line = JsonLine {
        time: time(now),
        level: record.level().as_str(),
        event: event_number(record),
        module: record.module_path(),
        text: record.args().to_string(),
    };
    serde_json::to_writer(out, &line).map_err(io::Error::from)
}

fn time(now: &mut DeferredNow) -> String {
    now.format_rfc3339().to_string()
}

fn event_number(record: &Record) -> Option<u64> {
    record
        .key_values()
        .get(Key::from(EVENT_KEY))
        .and_then(|value| value.to_u64())
}
